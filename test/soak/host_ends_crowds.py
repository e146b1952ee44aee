"""Cases of host_ends.py: crowds of connections whose bytes are odd, or do not end. They check only that the host lives,
its memory, its descriptors, and that it answers an ordinary request afterwards."""
import asyncio
import itertools
import os
import resource

from host_ends import case, require
from host_ends_memory import resident_mb

MEMORY_MB = 40           # of the host, and the bound of what it may use
DESCRIPTORS = 2048       # that the host may open
CONNECTIONS = 200        # of a crowd, at a time
CROWD_S = 2.5
PORT_CROWD_S = 1.0       # of each crowd that comes to a port which is not for callers
PIECE = 16 << 10
MOST_BYTES = 8 << 20     # that one connection sends before it is opened anew
LEFT_OPEN = 32           # descriptors that a host may open more than before the crowd, once it has gone
STOPS_ABOVE = 4          # times the bound: a crowd ends early then, to spare the machine

REQUEST_LINES = (b"POST /status/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\n"
                 b"Authorization: Token key-a\r\n")
HELD_OPEN = b"Content-Length: 1000\r\n\r\n"
CHUNKED_HEAD = REQUEST_LINES + b"Transfer-Encoding: chunked\r\n\r\n"
HEAD_BYTES = 16_000      # of a legal head; the configuration allows 16,384


def fill(line, size=HEAD_BYTES - len(REQUEST_LINES) - len(HELD_OPEN)):
    """Returns as many of `line` as fit into `size` bytes."""
    return line * (size // len(line))


def repeat(line):
    """Returns about PIECE bytes of `line`."""
    return line * max(1, PIECE // len(line))


# Lines that a head may be made of. A folded line continues the field before it.
ODD_LINES = {
    "short_lines": b"a:\r\n",
    "empty_values": b"b: \r\n",
    "transfer_codings": b"TE: a\r\n",
    "cookies": b"Cookie: a=b\r\n",
    "connection_options": b"Connection: a\r\n",
    "folded_lines": b"c: d\r\n e\r\n",
    "long_names": b"n" * 900 + b": 1\r\n",
}
# What a connection sends once, and what it sends again and again after it.
ENDLESS = {
    "lines": (REQUEST_LINES, repeat(b"a:\r\n")),
    "line": (REQUEST_LINES + b"A: ", repeat(b"x")),
    "target": (b"GET /", repeat(b"x")),
    "empty_lines": (b"", repeat(b"\r\n")),
    "blanks": (b"", repeat(b" ")),
    "nuls": (b"", repeat(b"\0")),
    "trailers": (CHUNKED_HEAD + b"0\r\n", repeat(b"a: b\r\n")),
    "chunk_extension": (CHUNKED_HEAD + b"1;", repeat(b"a")),
    "chunk_size": (CHUNKED_HEAD, repeat(b"0")),
    "chunks_of_a_byte": (CHUNKED_HEAD, repeat(b"1\r\nx\r\n")),
    "chunks_with_extensions": (CHUNKED_HEAD, repeat(b"1;" + b"e" * 900 + b"\r\nx\r\n")),
    "chunks": (CHUNKED_HEAD, b"4000\r\n" + b"x" * 0x4000 + b"\r\n"),
}
ENDLESS_AT_OTHER_PORTS = ("lines", "line", "empty_lines", "trailers", "chunk_extension", "chunk_size", "chunks")


def open_descriptors(host):
    return len(os.listdir(f"/proc/{host.child.pid}/fd"))


class Crowd:
    """Connections to one port, each opened again when it ends. `reads`: what comes back is read."""

    def __init__(self, host, port, begin, again=b"", reads=True):
        self.host, self.port, self.begin, self.again, self.reads = host, port, begin, again, reads
        self.peak_mb, self.most_descriptors, self.ended = 0.0, 0, False

    async def connection(self):
        while not self.ended:
            writer = None
            try:
                reader, writer = await asyncio.open_connection(self.host.address, self.port)
                sending = asyncio.ensure_future(self.send(writer))
                try:
                    # Its end is noticed by reading, also while nothing is sent any more.
                    while self.reads and await reader.read(4096):
                        pass
                    await sending
                    while not self.ended and not self.reads:
                        await asyncio.sleep(0.1)
                finally:
                    sending.cancel()
            except OSError:
                await asyncio.sleep(0.05)
            finally:
                if writer is not None:
                    writer.transport.abort()

    async def send(self, writer):
        try:
            writer.write(self.begin)
            await writer.drain()
            sent = 0
            while self.again and not self.ended and sent < MOST_BYTES:
                writer.write(self.again)
                await writer.drain()
                sent += len(self.again)
        except OSError:
            pass

    async def watch(self, seconds):
        for _ in range(int(seconds / 0.02)):
            self.peak_mb = max(self.peak_mb, resident_mb(self.host))
            self.most_descriptors = max(self.most_descriptors, open_descriptors(self.host))
            if self.peak_mb > STOPS_ABOVE * MEMORY_MB:
                return
            await asyncio.sleep(0.02)

    async def come(self, seconds):
        members = [asyncio.ensure_future(self.connection()) for _ in range(CONNECTIONS)]
        try:
            await self.watch(seconds)
        finally:
            self.ended = True
            for member in members:
                member.cancel()
            await asyncio.gather(*members, return_exceptions=True)


async def begin_small(bench):
    """Starts a host with little memory. Returns it."""
    await bench.begin(starts=False)
    host = bench.hosts[0]
    host.flags["memory_mb"] = MEMORY_MB
    host.start(prepare=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)))
    await host.until_ready()
    require(await bench.ask(host, "before") == 200, "no answer before the crowd")
    return host


async def require_crowd_borne(bench, host, name, port, seconds, begin, again=b"", reads=True):
    """Lets a crowd come, and requires that the host stays within its means and answers afterwards."""
    before = open_descriptors(host)
    crowd = Crowd(host, port, begin, again, reads)
    await crowd.come(seconds)
    host.require_alive()
    print(f"  {name}: highest resident memory {crowd.peak_mb:.0f} MB, {crowd.most_descriptors} descriptors", flush=True)
    require(crowd.peak_mb < MEMORY_MB, f"{name}: {crowd.peak_mb:.0f} MB resident, {MEMORY_MB} allowed")
    require(crowd.most_descriptors <= DESCRIPTORS, f"{name}: {crowd.most_descriptors} descriptors")
    status = await bench.ask(host, f"after-{name}", limit_s=30)
    require(status == 200, f"{name}: an ordinary request afterwards got {status}")
    for _ in range(500):
        if open_descriptors(host) <= before + LEFT_OPEN:
            return
        await asyncio.sleep(0.02)
    require(False, f"{name}: {open_descriptors(host)} descriptors open after the crowd, {before} before")


def register(name, doc, function):
    function.__name__, function.__doc__ = name, doc
    case(function)


def register_odd_heads(form, line):
    async def held_open(bench):
        host = await begin_small(bench)
        await require_crowd_borne(bench, host, form, host.ports["callers"], CROWD_S,
                                  REQUEST_LINES + fill(line) + HELD_OPEN)

    async def whole(bench):
        host = await begin_small(bench)
        request = REQUEST_LINES + fill(line) + b"Content-Length: 0\r\n\r\n"
        await require_crowd_borne(bench, host, form, host.ports["callers"], CROWD_S, request * 20, reads=False)

    register(f"crowd_holds_{form}", "Legal heads of many odd lines, held open, bring a host over its memory.", held_open)
    register(f"crowd_sends_{form}", "Whole requests of many odd lines, with unread answers, bring a host over its memory.",
             whole)


def register_endless(form, begin, again):
    async def endless(bench):
        host = await begin_small(bench)
        await require_crowd_borne(bench, host, form, host.ports["callers"], CROWD_S, begin, again)
    register(f"crowd_endless_{form}", "A part of a request that does not end brings a host over its memory.", endless)


for odd_form, odd_line in ODD_LINES.items():
    register_odd_heads(odd_form, odd_line)
for endless_form, (endless_begin, endless_again) in ENDLESS.items():
    register_endless(endless_form, endless_begin, endless_again)


@case
async def crowd_heads_that_stop(bench):
    """Heads of many short lines that stop before their end bring a host over its memory."""
    host = await begin_small(bench)
    await require_crowd_borne(bench, host, "heads_that_stop", host.ports["callers"], CROWD_S,
                              REQUEST_LINES + fill(b"a:\r\n"))


@case
async def crowd_bodies_that_stop(bench):
    """Long bodies that stop before their end bring a host over its memory."""
    host = await begin_small(bench)
    await require_crowd_borne(bench, host, "bodies_that_stop", host.ports["callers"], CROWD_S,
                              REQUEST_LINES + b"Content-Length: 4000000\r\n\r\n" + b"x" * 1_000_000)


@case
async def crowd_sends_ahead(bench):
    """Requests sent far ahead of their answers, which are not read, bring a host over its memory."""
    host = await begin_small(bench)
    request = b"GET /status/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\nAuthorization: Token key-a\r\n\r\n"
    await require_crowd_borne(bench, host, "sends_ahead", host.ports["callers"], CROWD_S, request, repeat(request),
                              reads=False)


async def require_port_bears_crowds(bench, port_of):
    host = await begin_small(bench)
    port = port_of(bench, host)
    crowds = {form: ENDLESS[form] for form in ENDLESS_AT_OTHER_PORTS}
    crowds["heads_that_stop"] = (REQUEST_LINES + fill(b"a:\r\n"), b"")
    crowds["bodies_that_stop"] = (REQUEST_LINES + b"Content-Length: 1000000\r\n\r\n" + b"x" * 900_000, b"")
    for form, (begin, again) in crowds.items():
        await require_crowd_borne(bench, host, form, port, PORT_CROWD_S, begin, again)


def register_port(name, port_of):
    async def bears_crowds(bench):
        await require_port_bears_crowds(bench, port_of)
    register(f"crowd_at_{name}", "Parts of requests that do not end, at a port not for callers, bring a host over its "
                                 "memory.", bears_crowds)


for page in ("readiness", "directory", "metrics"):
    register_port(page, lambda bench, host, page=page: host.ports[page])
register_port("peers", lambda bench, host: bench.peers_port)
register_port("forwarding", lambda bench, host: bench.peers_port + 1)


async def status_of(host, request):
    """Sends the bytes of one request. Returns the status, 0 if there is none."""
    try:
        reader, writer = await asyncio.open_connection(host.address, host.ports["callers"])
        writer.write(request)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
        writer.close()
        return int(head.split(b" ")[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0


@case
async def legal_requests_of_odd_forms(bench):
    """A single request of an odd form, but inside the limits, is refused."""
    await bench.begin()
    host, numbers = bench.hosts[0], itertools.count()

    def head():
        return REQUEST_LINES.replace(b"crowd", b"%016x" % next(numbers))

    requests = {form: head() + fill(line) + b"Content-Length: 0\r\n\r\n" for form, line in ODD_LINES.items()}
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    requests["one_empty_line"] = b"\r\n" + head() + b"Content-Length: 0\r\n\r\n"
    requests["three_empty_lines"] = b"\r\n" * 3 + head() + b"Content-Length: 0\r\n\r\n"
    requests["trailers"] = head() + chunked + b"1\r\nx\r\n0\r\n" + fill(b"a: b\r\n", 8000) + b"\r\n"
    requests["chunk_extension"] = head() + chunked + b"1;" + b"e" * 8000 + b"\r\nx\r\n0\r\n\r\n"
    requests["chunk_size"] = head() + chunked + b"0" * 8000 + b"\r\n\r\n"
    requests["chunks_of_a_byte"] = head() + chunked + b"1\r\nx\r\n" * 4000 + b"0\r\n\r\n"
    requests["long_body"] = head() + b"Content-Length: 4000000\r\n\r\n" + b"x" * 4_000_000
    for form, request in requests.items():
        status = await status_of(host, request)
        print(f"  {form}: {status}", flush=True)
        require(status == 200, f"{form}: a legal request got {status}")
