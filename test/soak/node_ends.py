#!/usr/bin/env python3
"""Real processes of laurel-entry and laurel-steward on loopback, disturbed in ways that may end them or keep them from
starting. Each case starts its own processes and exits 1 if one of them ended by itself or did not do its work.

    test/soak/node_ends.py --bin build/release/bin --case NAME
"""
import argparse
import asyncio
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEYS = ["--fleet_key=fleet-key-0123456789", "--operator_key=operator-key-0123456789"]


def require(holds, text):
    if not holds:
        raise AssertionError(text)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def hold_port(port):
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", port))
    holder.listen()
    return holder


async def until(holds, text, limit_s):
    end = time.monotonic() + limit_s
    while not await asyncio.to_thread(holds):
        require(time.monotonic() < end, text)
        await asyncio.sleep(0.05)


class Process:
    def __init__(self, bench, program, *flags):
        self.program, self.log_path = program, bench.folder / f"{program}.log"
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen([bench.bin / program, *flags], cwd=ROOT, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)
        bench.processes.append(self)

    def events(self, name):
        lines = self.log_path.read_text(errors="replace").splitlines()
        return [line for line in lines if f'"event":"{name}"' in line]

    def require_alive(self, what):
        code = self.child.poll()
        require(code is None, f"{self.program} ended with {code}: {what}; {self.log_path.read_text()[-400:]}")


class Bench:
    def __init__(self, programs, folder):
        self.bin, self.folder, self.processes = programs, folder, []
        self.links, self.control, self.callers, self.platform = (free_port() for _ in range(4))

    def steward(self):
        return Process(self, "laurel-steward", "--name=steward-0", "--domain=osk-hall1", *KEYS,
                       f"--listen=127.0.0.1:{self.links}", f"--control=127.0.0.1:{self.control}",
                       f"--platform=127.0.0.1:{self.platform}")

    def entry(self):
        return Process(self, "laurel-entry", "--name=entry-0", "--domain=osk-hall1", KEYS[0],
                       "--session_key=session-key-0123456789", f"--listen=127.0.0.1:{self.callers}",
                       f"--stewards=127.0.0.1:{self.links}")

    def end(self):
        for process in self.processes:
            if process.child.poll() is None:
                process.child.kill()
            process.child.wait()


def is_connectable(port):
    try:
        socket.create_connection(("127.0.0.1", port), 1).close()
        return True
    except OSError:
        return False


async def port_in_use_at_start(bench):
    """A steward or an entry ends because one of its ports is still in use when it starts."""
    held = [hold_port(port) for port in (bench.links, bench.control, bench.callers)]
    processes = [bench.steward(), bench.entry()]
    await asyncio.sleep(9)  # longer than the patience with reasons that do not pass
    for process in processes:
        process.require_alive("a port was in use")
        require(process.events("listen_failed"), f"{process.program} does not say that its port is in use")
    for each in held:
        each.close()
    for port in (bench.links, bench.control, bench.callers):
        await until(lambda: is_connectable(port), f"not listening at {port} once it was free", 2)
    steward = processes[0]
    await until(lambda: len(steward.events("listen_succeeded")) == 2, "no line on the ports that are free", 2)


CASES = {function.__name__: function for function in (port_in_use_at_start,)}


async def run(name, programs):
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(programs, pathlib.Path(folder))
        try:
            await CASES[name](bench)
        finally:
            bench.end()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", type=pathlib.Path, default=ROOT / "build/release/bin")
    parser.add_argument("--case", choices=CASES, required=True)
    options = parser.parse_args()
    try:
        asyncio.run(run(options.case, options.bin.resolve()))
    except AssertionError as violation:
        print(f"{options.case}: {violation}")
        sys.exit(1)
    print(f"{options.case}: ok")


if __name__ == "__main__":
    main()
