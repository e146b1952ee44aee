"""Stand-ins for the systems around entry hosts: the object store, plain services, engines that stream, and a loopback
proxy that delays, resets or silences connections. All run in one asyncio process; faults are set as attributes."""
import asyncio
import hashlib
import json
import socket
import struct
import time
import urllib.parse

LONG_STREAM_EVENTS = 160    # a long stream has several times the bytes that the kernel buffers for one connection
LONG_EVENT_BYTES = 65536
UNFRAMED_SHARE = 0.2        # of short streams: they have neither a length nor chunks and end with their connection
CRASHING_PART = "dead"      # an engine crashes when it begins an answer to a prompt with this part, but for the last one


def response_signature(request_id, body):
    """The signature that an endpoint puts on an answer; callers use it to check that the answer is complete."""
    return hashlib.sha256(request_id.encode() + b"/" + body).hexdigest()[:16]


async def read_request(reader):
    """Reads one HTTP request. Returns (method, target, headers by lower-case name, body), or None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    method, target, _ = head[0].split(" ", 2)
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, headers, body


def has_crashing_part(headers):
    parts = [item.split(":")[0] for item in headers.get("x-prompt-prefix", "").split(",")]
    return CRASHING_PART in parts[:-1]


def answer(status, body, fields=()):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    return (text + "".join(f"{name}: {value}\r\n" for name, value in fields) + "\r\n").encode() + body


def reset(writer):
    """Aborts the connection, so that the other side sees a reset instead of an orderly close."""
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Listener:
    """A server on a free loopback port."""

    async def listen(self):
        self.writers = set()
        self.server = await asyncio.start_server(self.serve_safely, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve_safely(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            if not writer.is_closing():
                writer.close()

    def close(self):
        self.server.close()

    def crash(self):
        """Behaves like a crashed process: stops listening and resets every connection."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)


class Store(Listener):
    """The object store: versions, watches, conditional writes. `mode`: "", "busy" (answers 503), "silent" (answers
    after 30 s) or "lost" (a write takes effect, but its connection is reset)."""

    def __init__(self):
        self.kinds, self.events, self.revision = {}, [], 0
        self.raw_values = {}  # JSON text that is sent in place of a string, for values that json.dumps cannot write
        self.mode, self.changed = "", asyncio.Event()
        self.mode_changed_at = time.monotonic()

    def set_mode(self, mode):
        self.mode, self.mode_changed_at = mode, time.monotonic()

    def put(self, kind, name, spec=None, status=None):
        self.revision += 1
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name, {})
        objects[name] = {"metadata": {"name": name, "revision": self.revision},
                         "spec": old.get("spec") if spec is None else spec,
                         "status": old.get("status") if status is None else status}
        self.record_event(kind, objects[name], False)
        return objects[name]

    def remove(self, kind, name):
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone:
            self.revision += 1
            self.record_event(kind, gone, True)

    def record_event(self, kind, item, removed):
        copy = json.loads(json.dumps(item))
        self.events.append((self.revision, kind, {"removed": removed, "object": copy}))
        self.changed.set()
        self.changed = asyncio.Event()

    def encode(self, value):
        text = json.dumps(value)
        for placeholder, raw in self.raw_values.items():
            text = text.replace(json.dumps(placeholder), raw)
        return text.encode()

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            if self.mode == "silent":
                await asyncio.sleep(30)
            if self.mode == "busy":
                writer.write(answer(503, b"{}"))
                continue
            method, target, _, body = request
            reply = await self.handle(method, target, body)
            if self.mode == "lost" and method != "GET":
                reset(writer)
                return
            writer.write(reply)
            await writer.drain()

    async def handle(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        path = parts.path.split("/")[2:]
        query = dict(urllib.parse.parse_qsl(parts.query))
        if method == "GET" and "watch" in query:
            return await self.watch(path[0], int(query["watch"]), int(query.get("wait_ms", "0")) / 1000)
        if method == "GET":
            items = [self.kinds[path[0]][name] for name in sorted(self.kinds.get(path[0], {}))
                     if name > query.get("after", "")]
            page = {"items": items[:20], "has_more": len(items) > 20, "at": self.revision}
            return answer(200, self.encode(page))
        if method == "PUT" and path[-1] == "status":
            sent = json.loads(body)
            current = self.kinds.get(path[0], {}).get(path[1])
            if current is None:
                return answer(404, b"{}")
            expected = sent["metadata"].get("revision")
            if expected is not None and expected != current["metadata"]["revision"]:
                return answer(409, self.encode(current))
            return answer(200, self.encode(self.put(path[0], path[1], status=sent["status"])))
        return answer(404, b"{}")

    async def watch(self, kind, since, wait):
        end = time.monotonic() + wait
        while True:
            events = [event for revision, of, event in self.events if of == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return answer(200, self.encode({"events": events, "at": self.revision}))
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Endpoint(Listener):
    """A plain service, or with `streams` an engine. Appends every run to `record`.
    `fault`: "", "lost" (runs, then resets), "half" (breaks the answer off), "hang" (answers after 30 s) or "extra"
    (sends the answer twice; plain services only). An engine breaks its stream off in both "lost" and "half"."""

    def __init__(self, name, record, back_off_refusals, random, streams):
        self.name, self.record, self.random, self.streams = name, record, random, streams
        self.back_off_refusals = back_off_refusals
        self.fault, self.leaving_since = "", None
        self.limit = self.limited_since = None  # rate limit in requests per second, named in each answer
        self.announced_leaving_at = None  # when its answers began to announce it; the store still lists it as ready
        self.back_off_s = None  # back-off that it asks for, in seconds; while set, it refuses every request
        self.on_crash_request = None  # called when a request arrives that crashes the endpoint

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            _, _, headers, body = request
            now = time.monotonic()
            if headers.get("x-expect-instance") != self.name:
                writer.write(answer(421, b"", [("X-Instance-Id", self.name)]))
                continue
            request_id = headers.get("x-request-id", "")
            if body.startswith(b"deadly"):
                await asyncio.sleep(0.05)
                self.on_crash_request(self, request_id, now)
                raise ConnectionResetError
            run = {"id": request_id, "at": now, "endpoint": self.name, "headers": headers,
                   "leaving_since": self.leaving_since, "fault": self.fault, "limit": self.limit,
                   "limited_since": self.limited_since, "answered_at": None, "broken": False,
                   "says_leaving": self.announced_leaving_at is not None}
            if self.back_off_s is not None:
                self.back_off_refusals.append({"id": request_id, "at": now, "rest": self.back_off_s,
                                               "endpoint": self.name})
                writer.write(answer(503, b"", [("X-Request-Id", request_id), ("X-Not-Executed", "1"),
                                               ("Retry-After", self.back_off_s)]))
                await writer.drain()
                continue
            self.record.append(run)
            if self.fault == "hang":
                await asyncio.sleep(30)
            if self.streams:
                await self.stream(writer, headers, run, body)
            else:
                await self.answer_plain(writer, request_id, body)
            await writer.drain()
            run["answered_at"] = time.monotonic()

    def statements(self):
        fields = [] if self.limit is None else [("Server-Limit", self.limit)]
        return fields if self.announced_leaving_at is None else [*fields, ("Server-Leaving", "1")]

    async def answer_plain(self, writer, request_id, body):
        await asyncio.sleep(self.random.uniform(0.005, 0.05))
        text = f"done {request_id} by {self.name} with {len(body)} bytes".encode()
        fields = [("X-Request-Id", request_id), ("X-Response-Signature", response_signature(request_id, text)),
                  *self.statements()]
        whole = answer(200, text, fields)
        if self.fault == "lost":
            reset(writer)
            raise ConnectionResetError
        if self.fault == "half":
            writer.write(whole[:-5])
            await writer.drain()
            reset(writer)
            raise ConnectionResetError
        writer.write(whole * (2 if self.fault == "extra" else 1))

    async def stream(self, writer, headers, run, body):
        request_id = run["id"]
        is_long = body == b"long"
        count = LONG_STREAM_EVENTS if is_long else 6 + int(hashlib.sha256(request_id.encode()).hexdigest(), 16) % 20
        padding = " " + "x" * LONG_EVENT_BYTES if is_long else ""
        first = int(headers.get("last-event-id", "0")) + 1
        confidence = self.random.choice([20, 80])
        lines = "".join(f"{name}: {value}\r\n" for name, value in self.statements())
        is_framed = is_long or self.random.random() > UNFRAMED_SHARE
        framing = "Transfer-Encoding: chunked\r\n" if is_framed else ""
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request_id}\r\n{lines}"
                      f"X-Response-Signature: {response_signature(request_id, b'')}\r\nX-Confidence: {confidence}\r\n"
                      f"{framing}\r\n").encode())
        if has_crashing_part(headers):
            await writer.drain()
            await asyncio.sleep(0.06)
            self.on_crash_request(self, request_id, run["at"])
            raise ConnectionResetError
        for number in range(first, count + 1):
            event = f"id: {number}\ndata: {request_id} {number}/{count}{padding}\n\n".encode()
            is_broken_before = is_long and first > 1
            if self.fault in ("lost", "half") and number > first + 2 and not is_broken_before:
                run["broken"] = True
                writer.write(b"%x\r\n" % len(event) + event[:7] if is_framed else event[:7])
                await writer.drain()
                if is_framed or self.random.random() < 0.5:
                    reset(writer)
                raise ConnectionResetError
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n" if is_framed else event)
            await writer.drain()
            await asyncio.sleep(0 if is_long else 0.01)
        if not is_framed:
            raise ConnectionResetError  # Closes the connection, which ends the answer.
        writer.write(b"0\r\n\r\n")


class Proxy(Listener):
    """Forwards connections to the port `target`. `mode`: "", "delay", "reset", "silent" (drops all data) or "deaf"
    (drops only the answers)."""

    def __init__(self, target):
        self.target, self.mode = target, ""

    async def serve(self, reader, writer):
        if self.mode == "reset":
            reset(writer)
            return
        there_reader, there_writer = await asyncio.open_connection("127.0.0.1", self.target)
        both = (writer, there_writer)
        await asyncio.gather(self.pump(reader, there_writer, both, False), self.pump(there_reader, writer, both, True),
                             return_exceptions=True)

    async def pump(self, reader, writer, both, is_answer):
        """Copies one direction. A side that was reset, or whose data was dropped, must not look closed in order."""
        try:
            is_whole = await self.copy(reader, writer, is_answer)
        except ConnectionError:
            is_whole = False
        if not is_whole:
            for each in both:
                reset(each)
        elif not writer.is_closing():
            writer.close()

    async def copy(self, reader, writer, is_answer):
        is_whole = True
        while data := await reader.read(65536):
            if self.mode == "silent" or (self.mode == "deaf" and is_answer):
                is_whole = False
                continue
            if self.mode == "reset":
                return False
            if self.mode == "delay":
                await asyncio.sleep(0.08)
            writer.write(data)
            await writer.drain()
        return is_whole
