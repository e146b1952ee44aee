"""Cases of host_ends.py: the memory that one answer without an end takes, at the full speed of its endpoint."""
import asyncio
import random
import time
import types

from host_ends import case, require
from host_ends_endless import put_config
from host_ends_memory import MEMORY_MB, peak_mb, resident_mb
from standins import Endpoint, response_signature

ANSWER_BUFFER_MB = 20   # --answer_buffer_kb and --max_answer_kb
OTHER_MB = 8            # connections, logs, and what the allocator keeps
ENDLESS_S = 0.8         # time in which one caller asks again and again
REQUEST_LIMIT_S = 5.0   # above the time limit of every route
SETTLED_S = 0.3         # from the end of the last answer until its memory has been released
PIECE = 64 << 10
KINDS = {"safe": ("GET", "/status/1"), "unsafe": ("POST", "/claims/1"), "streaming": ("GET", "/stream/1")}
STATUSES = {"success": (200, True), "unsigned": (200, False), "failure": (500, True)}
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"


def repeat(line):
    return line * max(1, PIECE // len(line))


def numbered_events():
    """Yields pieces of whole events with rising ids."""
    number = 0
    while True:
        events = []
        for _ in range(1000):
            number += 1
            events.append(b"id: %d\ndata: %s\n\n" % (number, b"x" * 40))
        yield b"".join(events)


# By form: the fields before what is repeated, and that or a function that yields pieces.
FORMS = {
    "header_line": (b"A: ", repeat(b"x")),
    "junk_for_chunk_size": (CHUNKED, repeat(b"?junk")),
    "one_chunk": (CHUNKED + b"fffffffff\r\n", repeat(b"x")),
    "chunks_of_a_byte": (CHUNKED, repeat(b"1\r\nx\r\n")),
    "huge_length": (b"Content-Length: 99999999999\r\n\r\n", repeat(b"x")),
    "length_below_the_limit": (b"Content-Length: 20000000\r\n\r\n", repeat(b"x")),
    "body_without_length": (b"\r\n", repeat(b"x")),
    "pieces_of_an_event": (EVENTS + b"\r\n", repeat(b"data: piece\n")),
    "one_event": (EVENTS + b"\r\nid: 1\ndata: ", repeat(b"x")),
    "whole_events": (EVENTS + b"\r\n", numbered_events),
}


def make_faulty(endpoint, form, status):
    """Lets an endpoint answer every request with bytes that do not end, as fast as they are read."""
    fields, again = FORMS[form]
    code, has_receipt = STATUSES[status]

    async def answer_endless(self, writer, request_id, body):
        receipt = f"X-Response-Signature: {response_signature(request_id, b'')}\r\n" if has_receipt else ""
        writer.write(f"HTTP/1.1 {code} X\r\nX-Request-Id: {request_id}\r\n{receipt}".encode() + fields)
        pieces = again() if callable(again) else None
        while not writer.transport.is_closing():
            writer.write(again if pieces is None else next(pieces))
            await writer.drain()
        raise ConnectionResetError
    endpoint.answer_plain = types.MethodType(answer_endless, endpoint)


async def ask_for_endless(host, number, kind):
    """One caller that reads all that comes, for a while."""
    method, path = KINDS[kind]
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host.address, host.ports["callers"])
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: e{number}\r\n"
                     "Authorization: Token key-a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".encode())
        while await reader.read(1 << 18):
            pass
    except OSError:
        pass  # The answer was cut, as it does not end.
    finally:
        if writer is not None:
            writer.close()


async def ask_for_a_while(host, kind):
    numbers = iter(range(10 ** 9))

    async def ask_again():
        while True:
            await ask_for_endless(host, next(numbers), kind)
            await asyncio.sleep(0.01)
    try:
        await asyncio.wait_for(ask_again(), ENDLESS_S)
    except asyncio.TimeoutError:
        pass


async def begin_beside_sound_service(bench, slots=64):
    """Sets up a host, faulty endpoints for all routes but one, and a sound endpoint for that."""
    await bench.begin(starts=False)
    put_config(bench)
    faulty = list(bench.endpoints)
    for endpoint in faulty:
        bench.put_entry(endpoint.name, port=endpoint.port, slots=slots)
    sound = await Endpoint("i-sound", bench.runs, [], random.Random(3), False).listen()
    bench.endpoints.append(sound)
    bench.put_entry("i-sound", port=sound.port, service="sound")
    config = bench.store.kinds["config"]["main"]["spec"]
    route = {**config["routes"][0], "name": "sound", "path_prefix": "/sound/", "service": "sound"}
    service = {"name": "sound", "health_path": "/h", "max_connections": 200}
    bench.put_config(routes=[*config["routes"], route], services=[*config["services"], service])
    host = bench.hosts[0]
    host.flags.update(memory_mb=MEMORY_MB, answer_buffer_kb=ANSWER_BUFFER_MB << 10, max_answer_kb=ANSWER_BUFFER_MB << 10)
    return host, faulty


async def until_no_request_runs(host):
    """Waits for the end of requests whose callers have left: one that may not be repeated goes on to its time limit."""
    end = time.monotonic() + REQUEST_LIMIT_S
    while b"laurel_requests_active 0\n" not in (await host.get("metrics", "/metrics"))[1]:
        require(time.monotonic() < end, f"a request still runs {REQUEST_LIMIT_S} s after its caller has left")
        await asyncio.sleep(0.02)


async def measure_one_answer(bench, host, kind):
    """Returns the resident memory at rest, the highest while one caller asks, and that afterwards, in MB."""
    host.start()
    await host.until_ready()
    require(await bench.ask(host, "before", "/sound/1") == 200, "the sound service is not served at rest")
    at_rest, runs = resident_mb(host), len(bench.runs)
    await ask_for_a_while(host, kind)
    require(len(bench.runs) > runs, "no request has reached a faulty endpoint")
    require(await bench.ask(host, "after", "/sound/1") == 200, "the sound service is not served afterwards")
    await until_no_request_runs(host)
    await asyncio.sleep(SETTLED_S)
    measured = at_rest, peak_mb(host), resident_mb(host)
    await host.end()
    return measured


async def require_bounded_answer(bench, form):
    host, faulty = await begin_beside_sound_service(bench)
    too_much = []
    for status in STATUSES:
        for endpoint in faulty:
            make_faulty(endpoint, form, status)
        for kind in KINDS:
            at_rest, peak, after = await measure_one_answer(bench, host, kind)
            text = f"{status}, {kind}: {at_rest:.0f} MB resident at rest, {peak:.0f} at most, {after:.0f} afterwards"
            print(f"  {form}, {text}", flush=True)
            if peak > at_rest + ANSWER_BUFFER_MB + OTHER_MB or after > at_rest + OTHER_MB:
                too_much.append(text)
    require(not too_much, f"{form}: allowed are {ANSWER_BUFFER_MB + OTHER_MB} more than at rest, and {OTHER_MB} "
            f"afterwards: {'; '.join(too_much)}")


def register(form):
    async def one_answer(bench):
        await require_bounded_answer(bench, form)
    one_answer.__name__ = f"one_answer_{form}"
    one_answer.__doc__ = "One answer without an end takes several times the memory that the account of answers shows."
    case(one_answer)


for each_form in FORMS:
    register(each_form)
