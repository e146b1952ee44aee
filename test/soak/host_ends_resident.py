"""Cases of host_ends.py: the memory that a host takes for foreign bytes, resident and in the kernel's receive queues."""
import asyncio
import os
import types

from host_ends import case, require
from host_ends_endless import SLOTS, put_config
from host_ends_memory import MEMORY_MB
from host_ends_one_answer import peak_mb
from standins import answer, response_signature

CALLERS = 24
READS_S = 0.1            # that a caller reads a stream, alone and at full speed, before it stops
WATCHED_S = 4.0
EVENT = b"id: 1\ndata: " + b"x" * (16 << 10) + b"\n\n"
UPLOAD_BYTES = 4_000_000
AHEAD_PIECE = 64 << 10
STEP_S = 0.05


def sockets_of(host):
    """Returns the inodes of the sockets that a host has open."""
    inodes, folder = set(), f"/proc/{host.child.pid}/fd"
    for name in os.listdir(folder):
        try:
            target = os.readlink(f"{folder}/{name}")
        except OSError:
            continue  # It has been closed in the meantime.
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    return inodes


def unread_bytes(host):
    """Returns the bytes that the kernel has received and the host has not read, by connection."""
    inodes, found = sockets_of(host), []
    with open("/proc/net/tcp") as lines:
        for fields in (line.split() for line in lines):
            if len(fields) > 9 and fields[9] in inodes and fields[3] != "0A":  # Of a listener it is a count.
                found.append(int(fields[4].split(":")[1], 16))
    return found


class Watch:
    """The highest resident memory of a host, its unread bytes, and their sum, in MB."""

    def __init__(self, host):
        self.host, self.unread, self.most_of_one = host, 0.0, 0.0

    def look(self):
        self.host.require_alive()
        found = unread_bytes(self.host)
        self.unread = max(self.unread, sum(found) / 1e6)
        self.most_of_one = max([self.most_of_one, *(each / 1e6 for each in found)])

    async def look_for(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.look()
            await asyncio.sleep(STEP_S)

    def require_bounded(self, text):
        peak = peak_mb(self.host)
        print(f"  {text}: {peak:.0f} MB resident at most, {self.unread:.1f} MB unread, {self.most_of_one:.2f} MB of one "
              "connection", flush=True)
        require(peak + self.unread < MEMORY_MB, f"{text}: {peak:.0f} MB resident and {self.unread:.1f} MB unread, "
                f"{MEMORY_MB} allowed")


async def begin(bench, **limits):
    await bench.begin(starts=False)
    put_config(bench)
    spec = bench.store.kinds["config"]["main"]["spec"]
    bench.put_config(routes=spec["routes"], services=spec["services"], limits=limits)
    for endpoint in bench.endpoints:
        bench.put_entry(endpoint.name, port=endpoint.port, slots=SLOTS)
    host = bench.hosts[0]
    host.flags["memory_mb"] = MEMORY_MB
    host.start()
    await host.until_ready()
    return host


async def stream_without_end(self, writer, request_id, body):
    writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request_id}\r\n"
                  f"X-Response-Signature: {response_signature(request_id, b'')}\r\n\r\n").encode())
    while not writer.transport.is_closing():
        writer.write(EVENT * 4)
        await writer.drain()
    raise ConnectionResetError


async def keep_silent(self, writer, request_id, body):
    await asyncio.sleep(30)


def set_answer(bench, answer_plain):
    for endpoint in bench.endpoints:
        endpoint.answer_plain = types.MethodType(answer_plain, endpoint)


def head(number, method, path, length):
    return (f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r{number}\r\nAuthorization: Token key-a\r\n"
            f"Content-Length: {length}\r\n\r\n").encode()


async def stop_reading(host, number):
    """A caller that reads a stream for a while and then keeps its connection without reading."""
    await asyncio.sleep(number * READS_S)
    reader, writer = await asyncio.open_connection(host.address, host.ports["callers"], limit=4 << 20)
    try:
        writer.write(head(number, "GET", "/stream/1", 0))
        end = asyncio.get_running_loop().time() + READS_S
        while asyncio.get_running_loop().time() < end and await reader.read(1 << 18):
            pass
        writer.transport.pause_reading()
        await asyncio.sleep(60)
    finally:
        writer.transport.abort()


async def send_ahead(host, number):
    """A caller that sends a long request, and without waiting for its answer more and more of the same."""
    _, writer = await asyncio.open_connection(host.address, host.ports["callers"])
    try:
        writer.write(head(number, "POST", "/claims/1", UPLOAD_BYTES))
        await send(writer, UPLOAD_BYTES)
        while True:
            await send(writer, UPLOAD_BYTES)
    finally:
        writer.transport.abort()


async def send(writer, size):
    for _ in range(0, size, AHEAD_PIECE):
        writer.write(b"x" * AHEAD_PIECE)
        await writer.drain()


async def watch_crowd(bench, host, members, text):
    watch, tasks = Watch(host), [asyncio.ensure_future(each) for each in members]
    try:
        await watch.look_for(WATCHED_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    watch.require_bounded(text)


@case
async def resident_streams_not_read(bench):
    """Endpoints whose streams are paused for callers that do not read fill the kernel's receive buffers."""
    host = await begin(bench)
    set_answer(bench, stream_without_end)
    await watch_crowd(bench, host, [stop_reading(host, number) for number in range(CALLERS)], "streams")


@case
async def resident_requests_ahead(bench):
    """Callers that send far ahead of their answers fill the kernel's receive buffers."""
    host = await begin(bench, max_body_bytes=4 << 20)
    set_answer(bench, keep_silent)
    await watch_crowd(bench, host, [send_ahead(host, number) for number in range(CALLERS)], "requests")


@case
async def resident_streams_and_requests(bench):
    """Streams that are not read and requests sent ahead bring a host over its memory together."""
    host = await begin(bench, max_body_bytes=4 << 20)

    async def answer_either(self, writer, request_id, body):
        await (keep_silent if body else stream_without_end)(self, writer, request_id, body)
    set_answer(bench, answer_either)
    await watch_crowd(bench, host, [member(host, number) for number, member in
                                    enumerate([stop_reading, send_ahead] * CALLERS)], "both")


STORE_BODY_BYTES = 7 << 20   # a response may have 8 MiB
STORE_FORMS = {
    "long_text": b'{"x":"' + b"x" * STORE_BODY_BYTES + b'"}',
    "numbers": b'{"items":[' + b"0," * (STORE_BODY_BYTES // 2) + b'0],"at":1,"has_more":false}',
    "lists": b'{"events":[' + b"[]," * (STORE_BODY_BYTES // 3) + b'[]],"at":1}',
    "objects": b'{"items":[' + b'{"a":{}},' * (STORE_BODY_BYTES // 9) + b'{}],"at":1,"has_more":false}',
}


def register_store_form(form, body):
    async def store_responses(bench):
        host = await begin(bench)

        async def handle(method, target, sent):
            return answer(200, body)
        bench.store.handle = handle
        bench.store.changed.set()
        await watch_crowd(bench, host, [], form)
    store_responses.__name__ = f"resident_store_{form}"
    store_responses.__doc__ = "Long responses of the store bring a host over its memory."
    case(store_responses)


for store_form, store_body in STORE_FORMS.items():
    register_store_form(store_form, store_body)
