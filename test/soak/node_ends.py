#!/usr/bin/env python3
"""Real processes of laurel-entry and laurel-steward on loopback, disturbed in ways that may end them or keep them from
starting. Each case starts its own processes and exits 1 if one of them ended by itself or did not do its work.

    test/soak/node_ends.py --bin build/release/bin --case NAME
"""
import argparse
import asyncio
import hashlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

from standins import answer, read_request

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEYS = ["--fleet_key=fleet-key-0123456789", "--operator_key=operator-key-0123456789"]
TEAM_KEY = "node-ends-team"
NESTED = b"[" * 200000 + b"]" * 200000  # copying it exhausts a stack of 8 MiB


def require(holds, text):
    if not holds:
        raise AssertionError(text)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def free_port_pair():
    """Returns a free port whose next one is free as well."""
    while True:
        with socket.socket() as first, socket.socket() as second:
            first.bind(("127.0.0.1", 0))
            port = first.getsockname()[1]
            try:
                second.bind(("127.0.0.1", port + 1))
                return port
            except (OSError, OverflowError):
                pass


def hold_port(port):
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", port))
    holder.listen()
    return holder


def ask(method, url, body=None, **headers):
    """Returns the status of a request, 0 if nobody answers."""
    request = urllib.request.Request(url, body, {name.replace("_", "-"): value for name, value in headers.items()},
                                     method=method)
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            response.read()
            return response.status
    except urllib.error.HTTPError as failure:
        return failure.code
    except OSError:
        return 0


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


class Platform:
    """Passes calls on to laurel-standin, but answers reads of the keys in `nested` with a nested document."""

    def __init__(self, port, target_port):
        self.port, self.target_port, self.nested, self.asked = port, target_port, {}, 0

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 20)

    async def serve(self, reader, writer):
        try:
            while request := await read_request(reader):
                method, target, headers, body = request
                key = target.removeprefix("/objects/")
                if method == "GET" and key in self.nested:
                    self.asked += 1
                    writer.write(answer(200, self.nested[key], [("ETag", "1")]))
                    continue
                fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if name != "connection")
                there, here = await asyncio.open_connection("127.0.0.1", self.target_port)
                here.write(f"{method} {target} HTTP/1.1\r\nConnection: close\r\n{fields}\r\n".encode() + body)
                writer.write(await there.read())
                here.close()
                break  # The answer says that the connection closes.
        except OSError:
            pass
        writer.close()


class Service:
    """A plain service whose answers are nested deep."""

    def __init__(self):
        self.asked, self.body = 0, b"{}"

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        while request := await read_request(reader):
            self.asked += 1
            fields = [("Content-Type", "application/json"), ("X-Request-Id", request[2].get("x-request-id", ""))]
            writer.write(answer(200, self.body, fields))
        writer.close()


async def begin_fleet(bench):
    """Starts a stand-in of the platform, a steward and an entry with a bundle in force; returns both and the
    stand-ins whose answers can be set."""
    standin = {"platform": f"127.0.0.1:{free_port()}", "rater": f"127.0.0.1:{free_port()}",
               "control": f"127.0.0.1:{free_port()}", "hosts": ["steward-0", "entry-0"], "versions": {}, "pools": [],
               "host_list_lag_ms": 0}
    sample = json.loads((ROOT / "examples/standin-brazda.json").read_text())
    standin["versions"] = sample["versions"]
    engines = next(pool for pool in sample["pools"] if pool["kind"] == "engine")
    standin["pools"] = [{**engines, "count": 2, "first_port": free_port_pair()}]
    document = json.loads((ROOT / "examples/brazda-1.json").read_text())
    document["teams"][0]["key_sha256"] = hashlib.sha256(TEAM_KEY.encode()).hexdigest()
    plan, bundle = bench.folder / "standin.json", bench.folder / "bundle.json"
    plan.write_text(json.dumps(standin))
    bundle.write_text(json.dumps(document))
    Process(bench, "laurel-standin", f"--config={plan}")
    service = Service()
    await service.listen()
    store_port = int(standin["platform"].split(":")[1])
    platform = Platform(bench.platform, store_port)
    await platform.listen()
    await until(lambda: is_connectable(store_port), "the stand-in does not answer", 5)
    endpoints = [{"name": "claims-0", "address": f"127.0.0.1:{service.port}", "domain": "osk-hall1",
                  "pool": "claims", "state": "live"}]
    endpoints += [{"name": f"laurel-pool-{i}", "address": f"127.0.0.1:{standin['pools'][0]['first_port'] + i}",
                   "domain": "osk-hall1", "pool": "laurel-pool", "state": "live"} for i in range(2)]
    await asyncio.to_thread(ask, "PUT", f"http://127.0.0.1:{store_port}/objects/hosts",
                            json.dumps({"endpoints": endpoints, "hosts": standin["hosts"]}).encode())
    steward, entry = bench.steward(), bench.entry()
    await until(lambda: ask("GET", f"http://127.0.0.1:{bench.control}/readyz") == 200, "the steward is not ready", 10)
    for words in (["submit", str(bundle)], ["sign-off", document["id"]], ["roll", document["id"]]):
        done = await asyncio.to_thread(subprocess.run, [
            bench.bin / "laurelctl", f"--stewards=127.0.0.1:{bench.control}", KEYS[1], "--by=test", "bundle", *words],
            cwd=ROOT, capture_output=True)
        require(done.returncode in (0, 5), f"{words}: {done.stdout} {done.stderr}")
    await until(lambda: ask("GET", f"http://127.0.0.1:{bench.callers}/readyz") == 200, "the entry is not ready", 10)
    return steward, entry, platform, service


def ask_entry(bench, method, path, body=None):
    return ask(method, f"http://127.0.0.1:{bench.callers}{path}", body, Authorization=f"Bearer {TEAM_KEY}",
               Content_Type="application/json")


async def deeply_nested_answer(bench):
    """An answer of a service that is nested deep ends the entry that copies it."""
    _, entry, _, service = await begin_fleet(bench)
    await until(lambda: ask_entry(bench, "POST", "/v1/services/claims/check", b"{}") == 200,
                "no answer that is not nested", 15)
    asked = service.asked
    service.body = b'{"nested":' + NESTED + b"}"
    status = await asyncio.to_thread(ask_entry, bench, "POST", "/v1/services/claims/check", b"{}")
    require(service.asked > asked, "the service was not asked")
    entry.require_alive(f"status {status}")
    require(status == 200, f"the caller got {status}")


async def deeply_nested_object(bench):
    """An object of the platform that is nested deep ends the steward that copies it."""
    steward, entry, platform, _ = await begin_fleet(bench)
    key = "claim/osijek/" + hashlib.sha256(b"order-1").hexdigest()
    platform.nested[key] = (b'{"team":"osijek","key":"order-1","attempt":"a","state":"done","request_digest":"",'
                            b'"status":200,"answer":' + NESTED + b"}")
    await asyncio.to_thread(ask_entry, bench, "GET", "/v1/requests/order-1")
    require(platform.asked, "the claim was not read")
    steward.require_alive("the claim was nested deep")
    entry.require_alive("the claim was nested deep")


async def reload_signal(bench):
    """SIGHUP ends a steward or an entry, at its start or while it runs."""
    processes = [bench.steward(), bench.entry()]
    for delay_s in (0.003, 0.02, 1):
        await asyncio.sleep(delay_s)
        for process in processes:
            process.child.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.2)
    for process in processes:
        process.require_alive("SIGHUP came")
        process.child.send_signal(signal.SIGTERM)
    for process in processes:
        await until(lambda: process.child.poll() is not None, f"{process.program} still runs after SIGTERM", 15)
        require(process.child.returncode == 0, f"{process.program} ended with {process.child.returncode}")


CASES = {function.__name__: function for function in (deeply_nested_answer, deeply_nested_object, port_in_use_at_start,
                                                      reload_signal)}


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
