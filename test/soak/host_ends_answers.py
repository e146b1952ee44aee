"""Cases of host_ends.py: endpoints that stop in the middle of their answers, or write them in pieces."""
import asyncio
import random

from host_ends import case, require
from standins import Endpoint, read_request, reset, response_signature

REQUESTS = 600
CALLERS = 12
TORN_SHARE = 0.4
MIN_ANSWERS = 20     # torn ones, and whole ones
REFUSED_PAUSE_S = 0.1
PIECE_PAUSE_S = 0.005  # long enough that a host reads the head before the body is written


class TearingEndpoint(Endpoint):
    """A plain service that stops at a random byte of the head in a share of its answers, and otherwise writes the head
    and the body apart. Each answer has a body."""

    torn_share = 0.0
    torn = 0  # answers

    async def answer_plain(self, writer, request_id, body):
        text = f"done {request_id}".encode()
        version, framing = self.random.choice((("1.1", f"Content-Length: {len(text)}\r\n"),
                                               ("1.1", "Transfer-Encoding: chunked\r\n"), ("1.0", "")))
        head = (f"HTTP/{version} 200 OK\r\nX-Request-Id: {request_id}\r\n"
                f"X-Response-Signature: {response_signature(request_id, text)}\r\n{framing}\r\n").encode()
        if self.random.random() < self.torn_share:
            self.torn += 1
            # The whole head is among the cuts, as an endpoint may end before the body.
            cut = self.random.choice((self.random.randint(0, len(head)), len(head)))
            writer.write(head[:cut])
            await writer.drain()
            if self.random.random() < 0.5:
                reset(writer)
            raise ConnectionResetError  # Closes the connection in an orderly way if it was not reset.
        writer.write(head)
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)
        writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(text), text) if "chunked" in framing else text)
        if not framing:
            await writer.drain()
            raise ConnectionResetError  # The end of the connection ends the answer.


async def add_tearing_endpoints(bench, torn_share):
    """Lets endpoints that tear answers take the places of those of the case."""
    for number, old in enumerate(bench.endpoints):
        old.crash()
        endpoint = await TearingEndpoint(old.name, bench.runs, [], random.Random(number), False).listen()
        endpoint.service, endpoint.torn_share = "claims", torn_share
        bench.endpoints[number] = endpoint
        bench.put_entry(old.name, port=endpoint.port)
    await asyncio.sleep(1)


async def ask(host, request_id, is_safe):
    """Sends one request. Returns its status, 0 without one, and the bytes of its body."""
    try:
        reader, writer = await asyncio.open_connection(host.address, host.ports["callers"])
        method, path = ("GET", "/status/1") if is_safe else ("POST", "/claims/1")
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
                     f"Authorization: Token key-a\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n"
                     f"Content-Length: 0\r\n\r\n".encode())
        head, _, body = (await asyncio.wait_for(reader.read(), 4)).partition(b"\r\n\r\n")
        writer.close()
        return int(head.split(b" ")[1]), body
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, b""


async def ask_all(bench):
    """Sends safe and unsafe requests by turns. Returns how many got each status; a 200 must be whole."""
    counts, numbers = {}, iter(range(REQUESTS))

    async def call():
        for number in numbers:
            request_id = f"{number:016x}"
            status, body = await ask(bench.hosts[number % len(bench.hosts)], request_id, number % 2 == 0)
            counts[status] = counts.get(status, 0) + 1
            await asyncio.sleep(REFUSED_PAUSE_S if status == 503 else 0)
            require(status != 200 or body == f"done {request_id}".encode(), f"200 with {body!r} to {request_id}")
    await asyncio.gather(*(call() for _ in range(CALLERS)))
    return counts


@case
async def torn_heads(bench):
    """A caller gets a part of an answer as a whole one, or its unsafe request runs twice."""
    await bench.begin(hosts=2)
    await add_tearing_endpoints(bench, TORN_SHARE)
    counts = await ask_all(bench)
    torn = sum(endpoint.torn for endpoint in bench.endpoints)
    print(f"torn_heads: answers by status {counts}, {len(bench.runs)} runs, {torn} torn", flush=True)
    require(min(torn, counts.get(200, 0)) >= MIN_ANSWERS, f"too few answers to tell: {counts}, {torn} torn")
    runs = [run["id"] for run in bench.runs if int(run["id"], 16) % 2 == 1]
    require(len(runs) == len(set(runs)), "an unsafe request ran twice")


@case
async def heads_before_bodies(bench):
    """An answer whose head arrives before its body is taken for a broken one."""
    await bench.begin()
    await add_tearing_endpoints(bench, 0.0)
    counts = await ask_all(bench)
    print(f"heads_before_bodies: answers by status {counts}", flush=True)
    require(counts == {200: REQUESTS}, f"all endpoints are sound, but answers by status are {counts}")
