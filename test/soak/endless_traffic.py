"""Processes for cases of host_ends.py: endpoints whose answers do not end, and their callers, so that neither shares
a processor with what a case measures. Each prints one line of JSON when it is ready and one when its input ends.

    endless_traffic.py endpoints FORM STATUS NAME...
    endless_traffic.py callers ADDRESS PORT KIND COUNT
    endless_traffic.py quota PID        (gives that process a quarter of a core: it stops for the rest of a period)
"""
import asyncio
import json
import os
import pathlib
import random
import signal
import sys
import time

from host_ends_one_answer import ask_for_endless, make_faulty
from standins import Endpoint

PERIOD_S = 0.1
QUOTA_S = 0.025   # processor time of a process in each period
LOOK_S = 0.001


class Caller:
    """What `ask_for_endless` needs of a host."""

    def __init__(self, address, port):
        self.address, self.ports = address, {"callers": port}


class CountingWriter:
    """Counts the bytes that a connection has taken."""

    def __init__(self, writer, count):
        self.writer, self.count, self.transport = writer, count, writer.transport

    def write(self, piece):
        self.writer.write(piece)
        self.count["bytes"] += len(piece)

    async def drain(self):
        await self.writer.drain()


def say(**fields):
    print(json.dumps(fields), flush=True)


async def until_input_ends():
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


async def run_endpoints(form, status, *names):
    count, ports = {"bytes": 0}, {}
    for name in names:
        endpoint = await Endpoint(name, [], [], random.Random(name), False).listen()
        make_faulty(endpoint, form, status)
        answer_endless = endpoint.answer_plain

        async def answer_counted(writer, request_id, body, answer_endless=answer_endless):
            await answer_endless(CountingWriter(writer, count), request_id, body)
        endpoint.answer_plain = answer_counted
        ports[name] = endpoint.port
    say(ports=ports)
    await until_input_ends()
    say(**count)


async def run_callers(address, port, kind, count):
    host, numbers = Caller(address, int(port)), iter(range(10 ** 9))

    async def ask_again():
        while True:
            await ask_for_endless(host, next(numbers), kind)
            await asyncio.sleep(0.01)
    callers = [asyncio.ensure_future(ask_again()) for _ in range(int(count))]
    say(callers=len(callers))
    await until_input_ends()
    for each in callers:
        each.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    say(asked=next(numbers))


def processor_s(pid):
    """Returns the processor time that the threads of a process have taken."""
    return sum(int(each.read_text().split()[0]) for each in pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat")) / 1e9


async def run_quota(pid):
    pid, stopped_s, ended = int(pid), 0.0, asyncio.ensure_future(until_input_ends())
    say(pid=pid)
    while not ended.done():
        period_end, granted = time.monotonic() + PERIOD_S, processor_s(pid) + QUOTA_S
        while (now := time.monotonic()) < period_end and processor_s(pid) < granted:
            await asyncio.sleep(LOOK_S)
        if now < period_end:
            os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(period_end - now)
            os.kill(pid, signal.SIGCONT)
            stopped_s += period_end - now
    say(stopped_s=stopped_s)


async def run_role(role, *arguments):
    await {"endpoints": run_endpoints, "callers": run_callers, "quota": run_quota}[role](*arguments)


if __name__ == "__main__":
    asyncio.run(run_role(*sys.argv[1:]))
