#!/usr/bin/env python3
"""Real processes of laurel-platform-entry on loopback, disturbed in ways that may end them or keep them from starting.
Each case starts its own hosts between stand-ins and exits 1 if a host ended by itself, did not get ready in time, or
did not say why.

    test/soak/host_ends.py --program build/release/bin/laurel-platform-entry [--case NAME]... [--list]
"""
import argparse
import asyncio
import importlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from standins import Endpoint, Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_S = 10.0       # time within which a host that starts must be ready: callers come 10 s after the hosts start
CASE_MODULES = ("host_ends_answers", "host_ends_callers", "host_ends_crowds", "host_ends_endless", "host_ends_entries",
                "host_ends_logs", "host_ends_memory", "host_ends_one_answer", "host_ends_others", "host_ends_resident",
                "host_ends_start", "host_ends_stop")
CASES = {}


def case(function):
    """Registers `async def name(bench)`; the first line of its doc string says which failure it guards against."""
    CASES[function.__name__] = function
    return function


class Violation(AssertionError):
    """A host did not keep what it must."""


def require(holds, text):
    if not holds:
        raise Violation(text)


class Host:
    """One process. `flags` are those of the settings file; change them before a start."""

    def __init__(self, bench, number):
        self.bench, self.name = bench, f"entry-{number}"
        self.address = bench.address(number)
        self.ports = {name: bench.free_port(self.address) for name in ("callers", "readiness", "directory", "metrics")}
        self.flags = {"host": self.name, "failure_domain": "hall", "store": f"127.0.0.1:{bench.store.port}",
                      "peers": f"{self.address}:{bench.peers_port}",
                      **{name: f"{self.address}:{port}" for name, port in self.ports.items()}}
        self.path = bench.folder / f"{self.name}.flags"
        self.log_path = bench.folder / f"{self.name}.log"
        self.child = None
        self.expected_end = False

    def write_settings(self):
        seeds = ",".join(f"{other.address}:{self.bench.peers_port}" for other in self.bench.hosts if other is not self)
        flags = {"seeds": seeds, **self.flags}
        self.path.write_text("".join(f"--{name}={value}\n" for name, value in flags.items()))

    def start(self, writes_settings=True, prepare=None):
        """Starts the process. `prepare` runs in the child before the program does, e.g. to set limits."""
        if writes_settings:
            self.write_settings()
        self.expected_end = False
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen([self.bench.program], cwd=ROOT, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL, preexec_fn=prepare,
                                          env={**os.environ, "LAURELHOIST_BOOT": str(self.path)})
        self.started_at = time.monotonic()

    def send_signal(self, number):
        self.expected_end = self.expected_end or number in (signal.SIGTERM, signal.SIGINT, signal.SIGKILL)
        if self.child.poll() is None:
            self.child.send_signal(number)

    async def end(self, number=signal.SIGKILL, limit_s=15):
        self.send_signal(number)
        end = time.monotonic() + limit_s
        while self.is_alive():
            require(time.monotonic() < end, f"{self.name} still runs {limit_s} s after signal {number}")
            await asyncio.sleep(0.005)
        return self.child.returncode

    def is_alive(self):
        return self.child is not None and self.child.poll() is None

    def log_lines(self):
        """The lines of the log; those that are no JSON under the event `not_json`."""
        lines = []
        for text in self.log_path.read_text(errors="replace").splitlines() if self.log_path.exists() else []:
            try:
                lines.append(json.loads(text))
            except ValueError:
                lines.append({"event": "not_json", "text": text})
        return lines

    def events(self, name):
        return [line for line in self.log_lines() if line.get("event") == name]

    async def get(self, port_name, target):
        """Returns the status and the body of a GET, or (0, b"") if nobody answers."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, self.ports[port_name]), 1)
            writer.write(f"GET {target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encode())
            answer = await asyncio.wait_for(reader.read(), 2)
            writer.close()
            head, _, body = answer.partition(b"\r\n\r\n")
            return int(head.split(b" ")[1]), body
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0, b""

    async def is_ready(self):
        return (await self.get("readiness", "/readyz"))[0] == 200

    async def until_ready(self, limit_s=READY_S):
        while not await self.is_ready():
            require(self.is_alive(), f"{self.name} ended with {self.child.returncode}: {self.log_lines()[-3:]}")
            require(time.monotonic() - self.started_at < limit_s, f"{self.name} is not ready after {limit_s} s")
            await asyncio.sleep(0.02)
        return time.monotonic() - self.started_at

    def require_alive(self):
        require(self.is_alive(), f"{self.name} ended with {self.child and self.child.returncode}: "
                                 f"{self.log_lines()[-2:]}")


class Bench:
    """The stand-ins and hosts of one case."""

    count = 0

    def __init__(self, program, folder):
        Bench.count += 1
        self.program, self.folder, self.hosts, self.endpoints, self.runs = program, folder, [], [], []
        self.subnet = (os.getpid() * 7 + Bench.count) % 62500
        self.peers_port = self.free_port(self.address(0))

    def address(self, number):
        """An address of this case only, so that no other run takes a port that this one has probed."""
        return f"127.{1 + self.subnet // 250}.{self.subnet % 250}.{number + 2}"

    @staticmethod
    def free_port(address):
        with socket.socket() as probe:
            probe.bind((address, 0))
            return probe.getsockname()[1]

    async def begin(self, hosts=1, starts=True):
        import random
        self.store = await Store().listen()
        for number in range(2):
            endpoint = await Endpoint(f"i-{number}", self.runs, [], random.Random(number), False).listen()
            endpoint.service = "claims"
            self.endpoints.append(endpoint)
            self.put_entry(endpoint.name, port=endpoint.port)
        self.put_config()
        self.hosts = [Host(self, number) for number in range(hosts)]
        if starts:
            for host in self.hosts:
                host.start()
            for host in self.hosts:
                await host.until_ready()
        return self

    def put_entry(self, name, port=1, **fields):
        self.store.put("servers", name, {"service": "claims", "address": f"127.0.0.1:{port}", "zone": "hall",
                                         "version": "v1", "slots": 6, "state": "ready", **fields})

    def put_config(self, **fields):
        route = {"name": "status", "host": "h.example", "path_prefix": "/status/", "kind": "safe", "timeout_ms": 1500,
                 "target_latency_ms": 300, "service": "claims", "max_attempts": 3, "allow_anonymous": False}
        claims = {**route, "name": "claims", "path_prefix": "/claims/", "kind": "unsafe", "max_attempts": 1}
        self.store.put("config", "main", {"version": self.store.revision + 1, "routes": [route, claims],
                                          "services": [{"name": "claims", "health_path": "/h", "max_connections": 200}],
                                          "limits": {}, "tenants": [{"name": "team", "api_keys": ["key-a"]}], **fields})

    async def ask(self, host, request_id, path="/status/1", method="GET", body=b"", limit_s=3):
        """Sends one request on a connection of its own. Returns its status, 0 if the connection ended without one."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host.address, host.ports["callers"]), 1)
            length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
                         f"Authorization: Token key-a\r\nX-Deadline-Ms: 2000\r\n{length}\r\n".encode() + body)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), limit_s)
            writer.close()
            return int(head.split(b" ")[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0

    async def stop(self):
        for host in self.hosts:
            if host.is_alive():
                host.send_signal(signal.SIGCONT)
                await host.end()
        for listener in [*self.endpoints, getattr(self, "store", None)]:
            if listener is not None:
                listener.crash()

    def require_no_unexpected_end(self):
        for host in self.hosts:
            if host.child is not None and not host.expected_end:
                host.require_alive()


async def run_case(name, program, folder):
    bench = Bench(program, folder)
    try:
        await asyncio.wait_for(CASES[name](bench), 100)
        bench.require_no_unexpected_end()
        return None
    except Violation as violation:
        return str(violation)
    except asyncio.TimeoutError:
        return "the case did not end within 100 s"
    finally:
        await bench.stop()


def main():
    sys.modules.setdefault("host_ends", sys.modules[__name__])
    for module in CASE_MODULES:
        importlib.import_module(module)
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--program", default="build/release/bin/laurel-platform-entry")
    parser.add_argument("--case", action="append", choices=sorted(CASES))
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--logs", help="directory in which the logs of the hosts are kept")
    options = parser.parse_args()
    if options.list:
        for name, function in sorted(CASES.items()):
            print(f"{name}: {function.__doc__.splitlines()[0]}")
        return 0
    failed = 0
    for name in options.case or sorted(CASES):
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(options.logs or scratch) / name
            folder.mkdir(parents=True, exist_ok=True)
            violation = asyncio.run(run_case(name, str(pathlib.Path(options.program).resolve()), folder))
        failed += violation is not None
        print(f"{name}: {'held' if violation is None else 'broken: ' + violation}", flush=True)
    total = len(options.case or CASES)
    print(f"{total - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
