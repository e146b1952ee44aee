"""Cases of host_ends.py: what callers and strangers may do to a host without sending a request."""
import asyncio
import socket
import time

from host_ends import case, require

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
