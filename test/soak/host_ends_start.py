"""Cases of host_ends.py: signals during the start of a host."""
import asyncio
import signal
import time

from host_ends import case, require

SIGNAL_DELAYS_S = [step * 0.0005 for step in range(0, 40)]  # the program's own code begins within these


async def signal_during_starts(bench, number):
    """Starts a host once for each delay and sends it the signal. Returns (delay, exit code, ready) of each start."""
    await bench.begin(starts=False)
    host = bench.hosts[0]
    found = []
    for delay in SIGNAL_DELAYS_S:
        host.start()
        time.sleep(delay)  # more precise than the event loop
        host.send_signal(number)
        yield host, delay
        if host.is_alive():
            await host.end()
    return


@case
async def reload_signal_during_start(bench):
    """SIGHUP that comes before a host has read its settings ends it."""
    ended = []
    async for host, delay in signal_during_starts(bench, signal.SIGHUP):
        await asyncio.sleep(0.1)
        if not host.is_alive():
            ended.append((delay, host.child.returncode))
    require(not ended, f"{len(ended)} of {len(SIGNAL_DELAYS_S)} starts were ended: {ended}")
