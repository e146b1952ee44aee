"""Cases of host_ends.py: the memory that a host uses for callers that read slowly."""
import asyncio
import socket
import time
import types

from host_ends import case, require
from standins import answer, response_signature

MEMORY_MB = 110
DOCUMENT_BYTES = 4 << 20
READ_BYTES_PER_S = 400_000
READERS = 40
READER_GAP_S = 0.1
TAKEN_IN = 10        # documents that have to arrive whole; the others may be refused before they have run


async def answer_document(endpoint, writer, request_id, body):
    """Answers requests whose ids begin with d with a document."""
    await asyncio.sleep(0.02)
    text = b"." * (DOCUMENT_BYTES if request_id.startswith("d") else 200)
    writer.write(answer(200, text, [("X-Request-Id", request_id),
                                    ("X-Response-Signature", response_signature(request_id, text))]))


def head_of_document(version, status, request_id, text, framing=""):
    return (f"HTTP/{version} {status} X\r\nX-Request-Id: {request_id}\r\n"
            f"X-Response-Signature: {response_signature(request_id, text)}\r\n{framing}\r\n").encode()


async def answer_chunked(endpoint, writer, request_id, body):
    """As answer_document, but documents come in chunks of 64 KB, without a length."""
    if not request_id.startswith("d"):
        await answer_document(endpoint, writer, request_id, body)
        return
    text, piece = b"." * DOCUMENT_BYTES, b"." * (64 << 10)
    writer.write(head_of_document("1.1", 200, request_id, text, "Transfer-Encoding: chunked\r\n"))
    for _ in range(DOCUMENT_BYTES // len(piece)):
        writer.write(b"%x\r\n" % len(piece) + piece + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def answer_until_end(endpoint, writer, request_id, body):
    """As answer_document, but documents end with their connection, as by HTTP/1.0."""
    if not request_id.startswith("d"):
        await answer_document(endpoint, writer, request_id, body)
        return
    text = b"." * DOCUMENT_BYTES
    writer.write(head_of_document("1.0", 200, request_id, text) + text)
    await writer.drain()
    raise ConnectionResetError  # Closes the connection in an orderly way.


async def answer_failure(endpoint, writer, request_id, body):
    """As answer_document, but documents are the bodies of failures."""
    is_document = request_id.startswith("d")
    text = b"." * (DOCUMENT_BYTES if is_document else 200)
    writer.write(answer(500 if is_document else 200, text, [
        ("X-Request-Id", request_id), ("X-Response-Signature", response_signature(request_id, text))]))


def whole_body(head, body):
    """Returns the body of an answer, None if its framing shows that it is not complete."""
    if b"transfer-encoding: chunked" in head.lower():
        parts = []
        while True:
            size, end, rest = body.partition(b"\r\n")
            length = int(size, 16) if end else -1
            if length < 0 or len(rest) < length + 2:
                return None
            if length == 0:
                return b"".join(parts)
            parts.append(rest[:length])
            body = rest[length + 2:]
    length = next((line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")), None)
    return None if length is None or int(length.split(b":")[1]) != len(body) else body


def resident_mb(host):
    host.require_alive()
    with open(f"/proc/{host.child.pid}/status") as lines:
        return int(next(line for line in lines if line.startswith("VmRSS")).split()[1]) / 1024


async def read_document(host, number, status=200, path="/status/1", method="GET"):
    """Returns what a slow caller got: "whole" (with `status`), "refused" (503) or what was wrong with it."""
    loop, connection, got = asyncio.get_running_loop(), socket.socket(), b""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
    connection.setblocking(False)
    begun = time.monotonic()
    try:
        await loop.sock_connect(connection, (host.address, host.ports["callers"]))
        await loop.sock_sendall(connection, f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: d{number}\r\n"
                                f"Authorization: Token key-a\r\nConnection: close\r\n"
                                f"Content-Length: 0\r\n\r\n".encode())
        while piece := await asyncio.wait_for(loop.sock_recv(connection, 32 << 10), 20):
            got += piece
            await asyncio.sleep(max(0.0, len(got) / READ_BYTES_PER_S - (time.monotonic() - begun)))
    except (OSError, asyncio.TimeoutError) as failure:
        return f"{type(failure).__name__} after {len(got)} bytes"
    finally:
        connection.close()
    head, _, body = got.partition(b"\r\n\r\n")
    if head.startswith(b"HTTP/1.1 503"):
        return "refused"
    if not head.startswith(f"HTTP/1.1 {status}".encode()):
        return f"status {head[9:12].decode()}"
    return "whole" if whole_body(head, body) == b"." * DOCUMENT_BYTES else f"cut after {len(body)} bytes"


async def require_room_beside_slow_readers(bench, answer_plain, **asked):
    """Has endpoints answer by `answer_plain` and many callers read slowly; `asked` is passed to read_document."""
    await bench.begin(starts=False)
    for endpoint in bench.endpoints:
        endpoint.answer_plain = types.MethodType(answer_plain, endpoint)
    host = bench.hosts[0]
    host.flags["memory_mb"] = MEMORY_MB
    host.start()
    await host.until_ready()
    highest, others, readers = 0.0, [], []
    for number in range(READERS):
        readers.append(asyncio.create_task(read_document(host, number, **asked)))
        for _ in range(int(READER_GAP_S / 0.02)):
            await asyncio.sleep(0.02)
            highest = max(highest, resident_mb(host))
        others.append(asyncio.create_task(bench.ask(host, f"c{number}", "/claims/1", "POST", b"claim")))
    while not all(reader.done() for reader in readers):
        await asyncio.sleep(0.02)
        highest = max(highest, resident_mb(host))
    ends, statuses = await asyncio.gather(*readers), await asyncio.gather(*others)
    counts = {end: ends.count(end) for end in sorted(set(ends))}
    print(f"  highest resident memory {highest:.0f} MB; documents {counts}; claims "
          f"{ {status: statuses.count(status) for status in sorted(set(statuses))} }")
    require(highest < MEMORY_MB, f"{highest:.0f} MB resident, {MEMORY_MB} allowed")
    require(set(ends) <= {"whole", "refused"}, f"documents: {counts}")
    require(ends.count("whole") >= TAKEN_IN, f"documents: {counts}")
    require(set(statuses) == {200}, f"other callers got {statuses}")


@case
async def slow_readers_of_whole_answers(bench):
    """Callers that read long answers slowly bring a host over its memory, or take the endpoints from others."""
    await require_room_beside_slow_readers(bench, answer_document)


@case
async def slow_readers_of_chunked_answers(bench):
    """Callers that read long answers without a length, sent in chunks, bring a host over its memory."""
    await require_room_beside_slow_readers(bench, answer_chunked)


@case
async def slow_readers_of_unframed_answers(bench):
    """Callers that read long answers slowly that end with their connection bring a host over its memory."""
    await require_room_beside_slow_readers(bench, answer_until_end)


@case
async def slow_readers_of_long_failures(bench):
    """Callers that read long failures slowly bring a host over its memory."""
    await require_room_beside_slow_readers(bench, answer_failure, status=500, path="/claims/1", method="POST")


UNREAD_BYTES = 15_000_000
UNREAD_ANSWERS = 14
BUFFERS_MB = 0.3 * MEMORY_MB  # what answers and callers that read slowly get of it together
OTHER_MB = 8                  # connections, logs, and what the allocator keeps


def peak_mb(host):
    """Returns the highest resident memory that the process has had."""
    host.require_alive()
    with open(f"/proc/{host.child.pid}/status") as lines:
        return int(next(line for line in lines if line.startswith("VmHWM")).split()[1]) / 1024


async def require_room_beside_unread_answers(bench, status):
    """Has callers ask for long answers of a status, one after the other, and read nothing of them."""
    await bench.begin(starts=False)
    text = b"." * UNREAD_BYTES

    async def answer_long(endpoint, writer, request_id, body):
        writer.write(answer(status, text, [("X-Request-Id", request_id),
                                           ("X-Response-Signature", response_signature(request_id, text))]))
    for endpoint in bench.endpoints:
        endpoint.answer_plain = types.MethodType(answer_long, endpoint)
    host = bench.hosts[0]
    host.flags["memory_mb"] = MEMORY_MB
    for method, path in (("GET", "/status/1"), ("POST", "/claims/1")):
        host.start()
        await host.until_ready()
        at_rest, callers = resident_mb(host), []
        for number in range(UNREAD_ANSWERS):
            caller = socket.create_connection((host.address, host.ports["callers"]))
            callers.append(caller)
            caller.sendall(f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: n{number}\r\n"
                           "Authorization: Token key-a\r\nContent-Length: 0\r\n\r\n".encode())
            await asyncio.sleep(0.15)
        peak = peak_mb(host)
        print(f"  {status}, {method}: {at_rest:.0f} MB resident at rest, {peak:.0f} at most")
        for caller in callers:
            caller.close()
        require(peak < at_rest + BUFFERS_MB + OTHER_MB, f"{status}, {method}: {peak:.0f} MB resident, "
                f"{at_rest + BUFFERS_MB + OTHER_MB:.0f} allowed")
        await host.end()


@case
async def unread_long_successes(bench):
    """Long answers that nobody reads bring a host over its memory."""
    await require_room_beside_unread_answers(bench, 200)


@case
async def unread_long_redirects(bench):
    """Long answers of a status that is no success, which nobody reads, bring a host over its memory."""
    await require_room_beside_unread_answers(bench, 302)


@case
async def unread_long_client_errors(bench):
    """Long answers of a status that is no success, which nobody reads, bring a host over its memory."""
    await require_room_beside_unread_answers(bench, 404)


@case
async def unread_long_failures(bench):
    """Long failures of endpoints, which nobody reads, bring a host over its memory."""
    await require_room_beside_unread_answers(bench, 500)


UPLOADERS = 60
UPLOAD_BYTES = 2 << 20
UPLOAD_BYTES_PER_S = 1_000_000


async def upload(bench, host, number):
    """Sends a long body slowly. Returns the status, 0 if the connection ended without one."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(host.address, host.ports["callers"])
        writer.write(f"POST /claims/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: u{number}\r\nAuthorization: Token "
                     f"key-a\r\nConnection: close\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n".encode())
        begun, piece = time.monotonic(), b"." * (32 << 10)
        for sent in range(len(piece), UPLOAD_BYTES + 1, len(piece)):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(max(0.0, sent / UPLOAD_BYTES_PER_S - (time.monotonic() - begun)))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
        return int(head.split(b" ")[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0
    finally:
        if writer is not None:
            writer.close()


@case
async def slow_uploads(bench):
    """Callers that send long bodies slowly bring a host over its memory."""
    await bench.begin(starts=False)
    bench.put_config(limits={"max_body_bytes": 4 << 20})
    host = bench.hosts[0]
    host.flags["memory_mb"] = MEMORY_MB
    host.start()
    await host.until_ready()
    highest, uploads = 0.0, [asyncio.create_task(upload(bench, host, number)) for number in range(UPLOADERS)]
    while not all(each.done() for each in uploads):
        await asyncio.sleep(0.02)
        highest = max(highest, resident_mb(host))
    statuses = await asyncio.gather(*uploads)
    ran = [run["id"] for run in bench.runs]
    print(f"  highest resident memory {highest:.0f} MB; statuses "
          f"{ {status: statuses.count(status) for status in sorted(set(statuses))} }")
    require(highest < MEMORY_MB, f"{highest:.0f} MB resident, {MEMORY_MB} allowed")
    require(set(statuses) <= {200, 503}, f"statuses {statuses}")
    require(len(set(ran)) == len(ran) == statuses.count(200), f"{len(ran)} runs, {statuses.count(200)} answers")
