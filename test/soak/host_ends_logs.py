"""Cases of host_ends.py: how a host ended can be told from the logs."""
import asyncio
import signal

from host_ends import case, require

GOSSIP_S = 4  # two hosts hear of each other's restart within this time


@case
async def crash_is_logged(bench):
    """A host that a fault of the program ends leaves no line about it."""
    await bench.begin()
    host = bench.hosts[0]
    for number in (signal.SIGSEGV, signal.SIGABRT, signal.SIGQUIT):
        host.expected_end = True
        code = await host.end(number)
        require(code == -number, f"signal {number} ended the host with {code}")
        ends = host.events("process_ended")
        require(ends and ends[-1]["signal"] == number, f"no line about signal {number}: {host.log_lines()[-2:]}")
        host.start()
        await host.until_ready()


@case
async def kill_is_logged_by_peers(bench):
    """A host that is killed leaves no line anywhere, so that nobody can tell a kill from a planned stop."""
    await bench.begin(hosts=2)
    killed, peer = bench.hosts
    for number, announced in ((signal.SIGKILL, False), (signal.SIGTERM, True)):
        await asyncio.sleep(1)
        await killed.end(number)
        killed.start()
        await killed.until_ready()
        await asyncio.sleep(GOSSIP_S)
        lines = peer.events("host_restarted")
        require(lines and lines[-1]["announced_stop"] == announced, f"after signal {number}: {lines}")
