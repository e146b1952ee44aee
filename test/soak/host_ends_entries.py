"""Cases of host_ends.py: what other writers leave in the store, and what arrives at the peers' port."""
import asyncio
import socket
import time

from host_ends import case, require

DEEP = 100_000
SEEN_S = 6      # a change of the list is known to a host within this time
FIELDS = ("slots", "service", "born")


async def until_listed(host, count):
    """Waits until the host has listed `count` valid endpoints."""
    for _ in range(int(SEEN_S / 0.05)):
        host.require_alive()
        lines = host.events("endpoints_listed")
        if lines and lines[-1]["count"] == count:
            return
        await asyncio.sleep(0.05)
    require(False, f"{host.name} lists {lines[-1:]} and not {count} endpoints")


@case
async def deeply_nested_entry(bench):
    """An entry that is nested so deep that copying it exhausts the stack ends every host, again after each restart."""
    await bench.begin(hosts=2)
    bench.store.raw_values["@deep list@"] = "[" * DEEP + "]" * DEEP
    bench.store.raw_values["@deep object@"] = '{"a":' * DEEP + "1" + "}" * DEEP
    for field in FIELDS:
        for number, value in enumerate(bench.store.raw_values):
            bench.put_entry(f"deep-{field}-{number}", **{field: value})
    bench.put_config(labels="@deep list@")
    bench.store.put("rollouts", "claims", {"service": "claims", "target": "v1", "duration_s": "@deep object@"})
    bench.put_entry("later", port=2)
    valid = 2 + 2 + 1  # at first, those whose deep field is not read, and the later one
    for host in bench.hosts:
        await until_listed(host, valid)
    for host in bench.hosts:
        await host.end()
        host.start()
        await host.until_ready()
        await until_listed(host, valid)
        lines = [line for line in host.events("store_value_omitted") if line["name"] == "deep-service-0"]
        require(len(lines) in (1, 2), f"{len(lines)} lines about one entry, 1 expected of each process: {lines[:3]}")


@case
async def unreadable_rollout(bench):
    """A writer that leaves an unreadable order in place of one that was rolled back has its release served again."""
    await bench.begin(starts=False)
    host = bench.hosts[0]
    bench.put_entry("i-1", port=bench.endpoints[1].port, version="v2")
    bench.store.put("rollouts", "claims", {"service": "claims", "target": "v2", "duration_s": 30},
                    {"state": "rolled_back", "target": "v2"})
    host.start()
    await host.until_ready()
    await until_listed(host, 2)

    async def require_not_served(name):
        for number in range(20):
            require(await bench.ask(host, f"{name}-{number}") == 200, f"request {name}-{number} was not served")
        served = [run["id"] for run in bench.runs if run["endpoint"] == "i-1"]
        require(not served, f"{len(served)} requests to the release that was rolled back, first {served[:1]}")

    await require_not_served("before")
    bench.store.put("rollouts", "claims", {"service": "claims", "target": "v2", "duration_s": "soon"})
    bench.store.put("rollouts", "other", {"service": "other", "target": "v2", "duration_s": 30})
    end = time.monotonic() + SEEN_S
    while not [line for line in host.events("rollout_seen") if line["service"] == "other"]:
        require(time.monotonic() < end, "a later order was not seen")
        await asyncio.sleep(0.05)
    await require_not_served("after")
    refused = host.events("rollout_refused")
    require(len(refused) == 1, f"{len(refused)} lines about one unreadable order, 1 expected")


@case
async def deep_datagram(bench):
    """A datagram that is nested so deep that reading it exhausts the stack ends a host."""
    await bench.begin()
    host = bench.hosts[0]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for start in (b"\x81", b"\x9f", b"\x7f", b"\x5f", b"\xa1\x61k", b"\x82\x00\x81", b"\xc1"):
            nested = start + start[-1:] * 60_000 if len(start) != 3 else start[:2] + start[2:] * 60_000
            for datagram in (nested, start * (60_000 // len(start))):
                sender.sendto(datagram, (host.address, bench.peers_port))
                await asyncio.sleep(0.1)
                host.require_alive()
    require(host.events("peer_message_unreadable"), "no datagram was read")


PIECES = (b"0\r\n", b"\r", b"\n")  # the end of a chunked body without content
PIECE_PAUSE_S = 0.02  # long enough that a host reads each piece by itself


async def send_in_pieces(host, port_name, method):
    """Sends a chunked request without content in pieces. Returns the first bytes of the answer."""
    reader, writer = await asyncio.open_connection(host.address, host.ports[port_name])
    writer.write(f"{method} /status/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: torn-{port_name}\r\n"
                 "Authorization: Token key-a\r\nX-Deadline-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
    try:
        for piece in PIECES:
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)
            writer.write(piece)
        answer = await asyncio.wait_for(reader.read(12), 3)
        writer.close()
        return answer
    except (OSError, asyncio.TimeoutError):
        return b""


@case
async def chunked_request_in_pieces(bench):
    """A caller that sends the end of an empty chunked body in pieces ends the host."""
    await bench.begin()
    host = bench.hosts[0]
    for port_name in ("callers", "readiness", "directory", "metrics"):
        answer = await send_in_pieces(host, port_name, "POST")
        host.require_alive()
        require(port_name != "callers" or answer == b"HTTP/1.1 200", f"{port_name} got {answer!r}")
    require(await bench.ask(host, "after") == 200, "the host does not serve the next request")
