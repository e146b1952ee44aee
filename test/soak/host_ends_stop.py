"""Cases of host_ends.py: what becomes of the requests of a host that stops as planned, whenever they arrive."""
import asyncio
import collections
import random
import signal
import time

from host_ends import case, require
from standins import Endpoint, answer, read_request, response_signature

GRACE_S = 8.0           # from SIGTERM until the platform kills the process
CALLERS_LEAVE_S = 3.0   # callers learn this long after SIGTERM at the latest that the host is leaving
LAST_SIXTH_S = GRACE_S * 5 / 6
ENDPOINTS = 12          # enough that no request waits for one
EVENT_S = 0.1
LONG_PIECE_BYTES = 60000  # so many answers of this kind do not fit what a host holds of answers
ANSWER_BUFFER_KB = 6000
SERIES_S = 4.6          # from the beginning to the stop of the second host
KEPT_S = 0.5            # from the first use of a kept connection to SIGTERM
ARRIVALS_S = (-0.5, 0, 1, 2, 3.5, 4, 5, 6, 6.5, 7, 7.2, 7.4)
WORK_MS = (50, 400, 1500, 4000, 9000)
TIME_LIMITS_MS = (None, 300, 1000, 2500, 30000)
ROUTES = {"safe-short": ("safe", 1500), "safe-long": ("safe", 20000), "unsafe-short": ("unsafe", 1500),
          "unsafe-long": ("unsafe", 20000), "streaming-long": ("streaming", 20000)}
CROSSING_S = 0.02       # a request that is sent this long before its process ends may cross the end


class TimedEndpoint(Endpoint):
    """Answers in the form and after the time that the path names, as `/route/form-ms`: `whole`, `chunked`, `unframed`,
    `long` or `events`. All but the first write their answer in pieces over that time."""

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            _, target, headers, _ = request
            request_id = headers["x-request-id"]
            if headers.get("x-expect-instance") != self.name:
                writer.write(answer(421, b"", [("X-Instance-Id", self.name)]))
                continue
            run = {"id": request_id, "at": time.monotonic(), "until": None, "is_whole": False,
                   "limit_ms": headers.get("x-deadline-ms")}
            self.record.append(run)
            form, work_ms = target.rsplit("/", 1)[1].split("-")
            try:
                await self.write_answer(writer, request_id, form, int(work_ms) / 1000)
                run["is_whole"] = True
            finally:
                run["until"] = time.monotonic()
            if form == "unframed":
                raise ConnectionResetError  # The end of the connection ends the answer.

    async def write_answer(self, writer, request_id, form, work_s):
        receipt = ("HTTP/1.1 200 OK\r\n" f"X-Request-Id: {request_id}\r\n"
                   f"X-Response-Signature: {response_signature(request_id, b'')}\r\n")
        if form == "whole":
            await asyncio.sleep(work_s)
            body = f"done {request_id}".encode()
            writer.write(f"{receipt}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        else:
            is_chunked = form != "unframed"
            framing = "Transfer-Encoding: chunked\r\n" if is_chunked else ""
            kind = "Content-Type: text/event-stream\r\n" if form == "events" else ""
            writer.write(f"{receipt}{kind}{framing}\r\n".encode())
            for piece in pieces_of(request_id, form, work_s):
                await asyncio.sleep(EVENT_S)
                writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if is_chunked else piece)
                await writer.drain()
            writer.write(b"0\r\n\r\n" if is_chunked else b"")
        await writer.drain()


def pieces_of(request_id, form, work_s):
    count = max(1, round(work_s / EVENT_S))
    if form == "events":
        return [f"id: {i + 1}\ndata: {request_id} {i + 1}/{count}\n\n".encode() for i in range(count)]
    size = LONG_PIECE_BYTES if form == "long" else 200
    return [f"{request_id} {i + 1}/{count};".encode().ljust(size, b".") for i in range(count)]


def whole_body(request_id, form, work_s):
    if form == "whole":
        return f"done {request_id}".encode()
    return b"".join(pieces_of(request_id, form, work_s))


class Request:
    """One request and what became of it. `status` is 0 if its connection ended without a whole answer; `end` says how."""

    def __init__(self, number, route, form, work_ms, limit_ms, at_s, **options):
        self.id, self.route, self.form, self.work_ms = f"s{number}", route, form, work_ms
        self.limit_ms, self.at_s, self.options = limit_ms, at_s, options
        self.status, self.end, self.body, self.sent_at, self.ended_at = 0, "not sent", b"", None, None
        self.has_begun = False  # the head of an answer has arrived

    def __str__(self):
        return (f"{self.id} /{self.route}/{self.form}-{self.work_ms} limit {self.limit_ms} at {self.at_s:+.2f} "
                f"{self.options}: {self.status or self.end}")

    def head_and_body(self):
        method = "GET" if self.route.startswith("safe") else "POST"
        body = b"" if method == "GET" else b"b" * 400
        limit = "" if self.limit_ms is None else f"X-Deadline-Ms: {self.limit_ms}\r\n"
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = (f"{method} /{self.route}/{self.form}-{self.work_ms} HTTP/1.1\r\nHost: h.example\r\n"
                f"X-Request-Id: {self.id}\r\nAuthorization: Token key-a\r\n{limit}{length}\r\n")
        return head.encode() + body

    async def send(self, host, stopped_at):
        """Sends the last byte of the request at its time, on a connection that is as its options say."""
        at = stopped_at + self.at_s
        text = self.head_and_body()
        writer = None
        try:
            if self.options.get("is_kept"):
                await asyncio.sleep(max(0, stopped_at - KEPT_S - time.monotonic()))
            elif "open_s" in self.options:  # the first half is sent that long before the last byte
                await asyncio.sleep(max(0, at - self.options["open_s"] - time.monotonic()))
            else:
                await asyncio.sleep(max(0, at - time.monotonic()))
            port = self.options.get("port", host.ports["callers"])
            reader, writer = await asyncio.open_connection(host.address, port)
            if self.options.get("is_kept"):
                await self.use_connection_before(reader, writer)
                await asyncio.sleep(max(0, at - time.monotonic()))
            if "open_s" in self.options:
                writer.write(text[:len(text) // 2])
                await asyncio.sleep(max(0, at - time.monotonic()))
                text = text[len(text) // 2:]
            await asyncio.sleep(self.options.get("quiet_s", 0))
            self.sent_at = time.monotonic()
            self.end = "no answer"
            writer.write(text)
            await asyncio.wait_for(self.read(reader), 40)
        except asyncio.TimeoutError:
            self.end = "timeout"
        except (OSError, asyncio.IncompleteReadError, ValueError) as failure:
            self.status, self.end = 0, f"{self.end}, {type(failure).__name__}"
        finally:
            self.ended_at = time.monotonic()
            if writer is not None:
                writer.close()

    async def use_connection_before(self, reader, writer):
        earlier = Request(f"-before-{self.id}", self.route, self.form, 50, 1000, 0)
        writer.write(earlier.head_and_body())
        await asyncio.wait_for(earlier.read(reader), 5)
        require(earlier.status == 200, f"not served before the stop: {earlier}")

    async def read(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        self.has_begun, self.end = True, f"cut after {head.split(' ')[1]}"
        status, fields = int(head.split(" ")[1]), head.lower()
        if "transfer-encoding: chunked" in fields:
            while (size := int(await reader.readuntil(b"\r\n"), 16)) > 0:
                self.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        elif "content-length:" in fields:
            length = int(fields.split("content-length:")[1].split("\r\n")[0])
            self.body = await reader.readexactly(length)
        else:
            self.body = await reader.read()
        self.status, self.end = status, "answered"


async def begin(bench, hosts=1, **flags):
    await bench.begin(hosts=hosts, starts=False)
    for old in bench.endpoints:
        old.crash()
    bench.endpoints.clear()
    for number in range(ENDPOINTS):
        endpoint = await TimedEndpoint(f"i-{number}", bench.runs, [], random.Random(number), False).listen()
        bench.endpoints.append(endpoint)
        bench.put_entry(endpoint.name, port=endpoint.port, slots=64)
    base = {"host": "h.example", "target_latency_ms": 300, "service": "claims", "allow_anonymous": False}
    routes = []
    for name, (kind, timeout_ms) in ROUTES.items():
        more = {"target_gap_ms": 600, "resume_streams": True} if kind == "streaming" else {}
        routes.append({**base, "name": name, "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout_ms,
                       "max_attempts": 1 if kind == "unsafe" else 3, **more})
    bench.put_config(routes=routes, limits={"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                                            "header_timeout_ms": 9000, "idle_timeout_ms": 15000})
    for host in bench.hosts:
        host.flags.update(flags)
        host.start()
    for host in bench.hosts:
        await host.until_ready()


def faults_of(request, runs, stopped_at, ended_at):
    """Yields what is wrong with the answer to a request."""
    own = [run for run in runs if run["id"] == request.id]
    limit_ms = min(request.limit_ms or 1e9, ROUTES[request.route][1])
    is_unsafe = request.route.startswith("unsafe")
    sent_s = (request.sent_at or 0) - stopped_at
    ended_s = request.ended_at - stopped_at
    timing = f"sent {sent_s:+.2f} s, ended {ended_s:+.2f} s, ran {[round(r['at'] - stopped_at, 2) for r in own]}"
    if request.sent_at is None:
        return  # The connection was refused.
    if request.status == 200 and request.body != whole_body(request.id, request.form, request.work_ms / 1000):
        yield f"a body that is not the endpoint's: {timing}"
    if request.status == 503 and own:
        yield f"503, but it ran: {timing}"
    if is_unsafe and len(own) > 1:
        yield f"ran {len(own)} times: {timing}"
    if request.status == 503 and sent_s >= 0 and ended_s - sent_s > 0.5:
        yield f"refused late: {timing}"
    if is_unsafe and own and request.status == 502 and sent_s >= 0:
        yield f"accepted, but still running at the end: {timing}"
    if request.status == 0:
        is_out_of_time = ended_s - sent_s >= limit_ms / 1000
        is_stream_of_begin = request.route.startswith("streaming") and sent_s <= CALLERS_LEAVE_S
        is_excused = request.has_begun and (is_out_of_time or (is_stream_of_begin and ended_s >= LAST_SIXTH_S))
        if request.end == "timeout":
            yield f"no answer: {timing}"
        elif own and not is_excused:
            yield f"passed on and cut ({request.end}): {timing}"
        elif not own and ended_at - request.sent_at > CROSSING_S:
            yield f"sent before the process ended, and cut ({request.end}): {timing}"


async def stop_hosts(bench, stops):
    """Sends SIGTERM to each host at its times. Returns the time that each took to end."""
    async def stop(host, times):
        begun = time.monotonic()
        for at_s in times:
            await asyncio.sleep(max(0, begun + at_s - time.monotonic()))
            host.send_signal(signal.SIGTERM)
        first = begun + times[0]
        while host.is_alive() and time.monotonic() < first + GRACE_S + 2:
            await asyncio.sleep(0.005)
        return time.monotonic() - first
    return await asyncio.gather(*(stop(host, times) for host, times in stops))


async def play(bench, requests, stops=None, before=0.6, host=None):
    """Sends the requests to a host, the first if none is given, around its SIGTERM and requires that each gets its
    due."""
    host = host or bench.hosts[0]
    stopped_at = time.monotonic() + before

    async def stop():
        await asyncio.sleep(max(0, stopped_at - time.monotonic()))
        return await stop_hosts(bench, stops or [(host, [0])])
    took, *_ = await asyncio.gather(stop(), *(request.send(host, stopped_at) for request in requests))
    counts = collections.Counter(str(request.status or request.end) for request in requests if request.sent_at)
    faults = [f"{request}: {fault}" for request in requests for fault in faults_of(request, bench.runs, stopped_at, stopped_at + took[0])]
    print(f"  {sum(r.sent_at is not None for r in requests)} requests sent, {len(bench.runs)} runs, {dict(counts)}, "
          f"ended after {[round(t, 2) for t in took]} s", flush=True)
    for fault in faults[:40]:
        print(f"    {fault}", flush=True)
    require(max(took) <= GRACE_S, f"the process ended {max(took):.2f} s after SIGTERM")
    require(not faults, f"{len(faults)} of {len(requests)} requests: {faults[:3]}")


def keeps_host_busy(numbers):
    """Streams that the host still answers until its end, so that it does not end sooner."""
    return [Request(next(numbers), "streaming-long", "events", 9000, None, -0.4) for _ in range(2)]


def forms_of(route):
    return ("events",) if route.startswith("streaming") else ("whole",)


def all_requests(numbers, routes=ROUTES, forms=forms_of, **options):
    rng = random.Random(3)
    found = []
    for at_s in ARRIVALS_S:
        for route in routes:
            for form in forms(route):
                for work_ms in WORK_MS:
                    limit_ms = rng.choice(TIME_LIMITS_MS)
                    found.append(Request(next(numbers), route, form, work_ms, limit_ms,
                                         at_s + rng.uniform(0, 0.1), **options))
    return found


@case
async def stop_under_whole_requests(bench):
    """A request that comes late in a planned stop is passed on, and cut when the process ends."""
    await begin(bench)
    numbers = iter(range(10 ** 6))
    await play(bench, [*keeps_host_busy(numbers), *all_requests(numbers)])


@case
async def stop_under_requests_in_pieces(bench):
    """A request whose last byte comes late in a planned stop is read whole and gets no answer."""
    await begin(bench)
    numbers = iter(range(10 ** 6))
    await play(bench, [*keeps_host_busy(numbers), *all_requests(numbers, open_s=2.5)])


@case
async def stop_under_answers_passed_on(bench):
    """An answer that is passed on as it arrives is cut though its request came late in a planned stop."""
    await begin(bench)
    numbers = iter(range(10 ** 6))
    routes = ("safe-short", "safe-long", "unsafe-short", "unsafe-long")
    await play(bench, [*keeps_host_busy(numbers),
                       *all_requests(numbers, routes, lambda route: ("chunked", "unframed"))])


@case
async def stop_crossed_by_requests(bench):
    """A request that is complete in the last moments of a process is read and gets no answer."""
    await begin(bench)
    numbers = iter(range(10 ** 6))
    rng = random.Random(5)
    requests = [Request(next(numbers), rng.choice(tuple(ROUTES)), "whole", 50, rng.choice(TIME_LIMITS_MS),
                        rng.uniform(6.5, 7.6), open_s=rng.choice((0.3, 1, 3.4))) for _ in range(600)]
    for request in requests:
        request.form = forms_of(request.route)[0]
    await play(bench, [*keeps_host_busy(numbers), *requests])


@case
async def stop_under_new_connections(bench):
    """A connection that is made late in a planned stop is closed before its request arrives."""
    await begin(bench)
    numbers = iter(range(10 ** 6))
    rng = random.Random(7)
    requests = [Request(next(numbers), rng.choice(tuple(ROUTES)), "whole", 50, rng.choice(TIME_LIMITS_MS),
                        rng.uniform(2.8, 6.7), quiet_s=rng.uniform(0, 0.25)) for _ in range(300)]
    for request in requests:
        request.form = forms_of(request.route)[0]
    await play(bench, [*keeps_host_busy(numbers), *requests])
    unanswered = [str(request) for request in requests if request.status == 0]
    require(not unanswered, f"{len(unanswered)} requests got no answer: {unanswered[:3]}")


@case
async def stop_asked_twice(bench):
    """A second SIGTERM during a planned stop ends the process at once, with its requests."""
    await begin(bench)
    numbers = iter(range(10 ** 6))
    await play(bench, [*keeps_host_busy(numbers), *all_requests(numbers)], [(bench.hosts[0], [0, 2, 5])])


@case
async def stop_while_store_is_away(bench):
    """A planned stop cuts requests because the store does not answer."""
    await begin(bench)
    bench.store.set_mode("silent")
    numbers = iter(range(10 ** 6))
    await play(bench, [*keeps_host_busy(numbers), *all_requests(numbers)], before=1.5)


@case
async def long_answers_at_once(bench):
    """Sound answers that are longer than their share of the buffer are broken off, though there is room for them."""
    await begin(bench, answer_buffer_kb=ANSWER_BUFFER_KB, max_answer_kb=ANSWER_BUFFER_KB)
    routes = [route for route in ROUTES if not route.startswith("streaming")]
    requests = [Request(number, routes[number % len(routes)], "long", work_ms, 10000, 0.05 * number)
                for number, work_ms in enumerate([1000] * 32)]
    begun = time.monotonic()
    await asyncio.gather(*(request.send(bench.hosts[0], begun) for request in requests))
    ran = {run["id"] for run in bench.runs}
    others = [request for request in requests
              if request.body != whole_body(request.id, "long", request.work_ms / 1000)]
    # Another long answer is not asked for while several are passed on; what waits for that may be refused.
    broken = [str(request) for request in others if request.status != 503 or request.id in ran]
    print(f"  {len(requests) - len(others)} of {len(requests)} answers whole, {len(broken)} broken", flush=True)
    require(len(others) <= len(requests) // 4, f"{len(others)} of {len(requests)} requests not served")
    require(not broken, f"{len(broken)} of {len(requests)} sound answers are not whole: {broken[:3]}")


@case
async def stop_under_kept_connections(bench):
    """A request on a kept connection gets no answer because its host has begun to stop."""
    await begin(bench)
    numbers = iter(range(10 ** 6))
    requests = [request for request in all_requests(numbers, is_kept=True) if 0 <= request.at_s < CALLERS_LEAVE_S]
    await play(bench, [*keeps_host_busy(numbers), *requests])


@case
async def stop_under_requests_of_peers(bench):
    """A request that another host has forwarded is cut by a planned stop."""
    await begin(bench)
    numbers = iter(range(10 ** 6))
    await play(bench, [*keeps_host_busy(numbers), *all_requests(numbers, port=bench.peers_port + 1)])


@case
async def stop_of_two_hosts_in_series(bench):
    """Requests are cut because a second host stops while the first still does."""
    await begin(bench, hosts=3)
    numbers = iter(range(10 ** 6))
    first = [*keeps_host_busy(numbers), *all_requests(numbers)]
    second = [*keeps_host_busy(numbers), *all_requests(numbers)]
    await asyncio.gather(play(bench, first),
                         play(bench, second, [(bench.hosts[1], [0])], SERIES_S, bench.hosts[1]))
