"""Cases of host_ends.py: what callers and strangers may do to a host without sending a request."""
import asyncio
import resource
import socket
import time

from host_ends import case, require

DESCRIPTORS = 256
IDLE_CALLERS = 400
REQUESTS = 12
AT_ONCE = 4  # more are refused at times, as they may have to wait
OPEN_CALLERS = 40


def start_with_few_descriptors(host):
    """Starts a host that may open `DESCRIPTORS` descriptors."""
    host.start(prepare=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)))


async def require_requests_served(bench, host, name):
    """Sends requests on connections of their own, a few at once, and requires each to be served."""
    answers = []
    for first in range(0, REQUESTS, AT_ONCE):
        answers += await asyncio.gather(*(bench.ask(host, f"{name}-{first + i}") for i in range(AT_ONCE)))
    served = sum(answer == 200 for answer in answers)
    print(f"{name}: {served} of {REQUESTS} requests served")
    require(served == REQUESTS, f"{name}: {served} of {REQUESTS} requests served: {sorted(set(answers))}")


def require_no_evidence(host):
    """Requires that the host took no shortage of its own for a failure of its endpoints."""
    lost = host.events("endpoint_links_lost") + host.events("attempt_ended")
    require(not lost, f"{len(lost)} attempts or links were lost: {lost[:2]}")


async def hold_idle(host, port, beside):
    """Holds idle connections to a port while `beside()` runs."""
    held = []
    try:
        for _ in range(IDLE_CALLERS):
            held.append(await asyncio.open_connection(host.address, port))
        await asyncio.sleep(0.5)
        await beside()
    finally:
        for _, writer in held:
            writer.transport.abort()


@case
async def idle_callers(bench):
    """Callers that hold connections without a request take all descriptors of a host, which is not ready any more."""
    await bench.begin(starts=False)
    host = bench.hosts[0]
    start_with_few_descriptors(host)
    await host.until_ready()

    async def beside():
        for _ in range(5):
            require(await host.is_ready(), "not ready while callers are idle")
            await asyncio.sleep(0.1)
        for number in range(3):
            await require_requests_served(bench, host, f"beside-{number}")
        require((await host.get("metrics", "/metrics"))[0] == 200, "no metrics while callers are idle")

    await hold_idle(host, host.ports["callers"], beside)
    require_no_evidence(host)


@case
async def idle_connections_to_other_ports(bench):
    """Connections without a request to the pages of a host, or to its port for forwarding, take all its descriptors."""
    await bench.begin(starts=False)
    host = bench.hosts[0]
    start_with_few_descriptors(host)
    await host.until_ready()

    async def beside():
        for _ in range(5):
            require(await host.is_ready(), "not ready while connections are idle")
            await asyncio.sleep(0.1)
        await require_requests_served(bench, host, "beside")

    for port in (*host.ports.values(), bench.peers_port, bench.peers_port + 1):
        await hold_idle(host, port, beside)
    require_no_evidence(host)


def limit_descriptors(host, limit):
    """Sets how many descriptors a host that runs may open."""
    _, hard = resource.prlimit(host.child.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(host.child.pid, resource.RLIMIT_NOFILE, (limit, hard))


async def ask_on(connection, request_id):
    """Sends a request on an open connection. Returns its status, 0 if the connection ended without one."""
    reader, writer = connection
    try:
        writer.write(f"GET /status/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
                     "Authorization: Token key-a\r\nX-Deadline-Ms: 2000\r\n\r\n".encode())
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
        return int(head.split(b" ")[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0


@case
async def endpoints_without_descriptors(bench):
    """A host that has no descriptor left for its own connections takes its endpoints for unreachable."""
    await bench.begin()
    host = bench.hosts[0]
    callers = [await asyncio.open_connection(host.address, host.ports["callers"]) for _ in range(OPEN_CALLERS)]
    before = resource.prlimit(host.child.pid, resource.RLIMIT_NOFILE)[0]
    try:
        await asyncio.sleep(0.2)
        limit_descriptors(host, 3)
        refused = await asyncio.gather(*(ask_on(caller, f"none-{i}") for i, caller in enumerate(callers)))
    finally:
        limit_descriptors(host, before)
        for _, writer in callers:
            writer.transport.abort()
    lost = host.events("endpoint_links_lost")
    print(f"answers without descriptors {sorted(set(refused))}, links lost {len(lost)}")
    require(not lost, f"links to endpoints were lost: {lost[:1]}")
    require(200 not in refused, "the host had descriptors")
    await require_requests_served(bench, host, "after")
    require(not host.events("endpoint_links_lost"), "links to endpoints were lost later")


BAD_DATAGRAMS_S = 2
BAD_DATAGRAM_PAUSE_S = 0.0004


@case
async def bad_datagrams(bench):
    """Datagrams of a stranger fill the log of a host, a line for each."""
    await bench.begin()
    host = bench.hosts[0]
    sent, end = 0, time.monotonic() + BAD_DATAGRAMS_S
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        while time.monotonic() < end:
            sender.sendto(b"\x81\x18", (host.address, bench.peers_port))
            sent += 1
            await asyncio.sleep(BAD_DATAGRAM_PAUSE_S)
    await asyncio.sleep(0.5)
    lines = host.events("peer_message_unreadable")
    print(f"datagrams {sent}, lines {len(lines)}")
    require(1 <= len(lines) <= 2, f"{len(lines)} lines about {sent} datagrams")
    metrics = (await host.get("metrics", "/metrics"))[1].decode()
    counts = [float(line.split()[-1]) for line in metrics.splitlines() if "peer_messages_unreadable" in line]
    require(counts and counts[-1] > sent / 2, f"{counts} of {sent} datagrams counted")
    require(await bench.ask(host, "after") == 200, "no answer after the datagrams")
