#!/usr/bin/env python3
"""Fault soak of laurel-platform-entry: real processes on loopback, faults from outside them, promises checked while
it runs from what callers and endpoints see. One run for each seed; exits 1 if a promise was broken.

    test/soak/platform_soak.py --program build/release/bin/laurel-platform-entry --seeds 1-50 --seconds 10
"""
import argparse
import asyncio
import collections
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

from standins import Endpoint, Proxy, Store, receipt_of

REVOKE_S = 5.0         # for how long a withdrawn key may still be honoured
LEAVING_S = 2.0        # after which a leaving endpoint gets nothing new
HEARD_S = 3.0          # after which every host knows of a request that ends endpoints
TRIALS = 3             # of such a request, by all hosts together
LIMIT_HEARD_S = 3.0    # after which an endpoint's rate limit binds
LIMIT_PASSED_S = 0.5   # after an answer that names it, for the host that passed it on
LIMIT_WINDOW_S = 4.0
REST_HEARD_S = 0.5     # after which an endpoint that asked a host for rest gets hardly anything from it
REST_REQUESTS = 2
QUIET_S = 4.0          # a bound in time holds for a host that was undisturbed for so long
GRACE_S = 8.0          # from SIGTERM to SIGKILL
NOT_RUN = (408, 421, 429, 503)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Entry:
    """One process under test, with the times of what was done to it."""

    def __init__(self, number, peers_port, store_port, directory, program):
        self.name, self.program = f"entry-{number}", program
        # An address of its own, and for peers the same port everywhere: so hosts find one another on a network, and
        # with one address for all of them none would hear of another.
        self.address, self.seeds = f"127.0.0.{number + 2}", []
        self.ports = {name: free_port() for name in ("callers", "readiness", "directory")}
        self.ports["peers"] = peers_port
        self.store_port = store_port
        self.path = pathlib.Path(directory) / f"{self.name}.flags"
        self.log = open(pathlib.Path(directory) / f"{self.name}.log", "ab")
        self.process, self.disturbed_at, self.stopping = None, 0.0, False

    def start(self):
        flags = {"host": self.name, "failure_domain": "hall", "store": f"127.0.0.1:{self.store_port}",
                 "seeds": ",".join(self.seeds), **{name: f"{self.address}:{port}" for name, port in self.ports.items()}}
        self.path.write_text("".join(f"--{name}={value}\n" for name, value in flags.items()))
        self.process = asyncio.create_task(self.spawn())

    async def spawn(self):
        self.disturb()
        self.stopping = False
        self.child = await asyncio.create_subprocess_exec(
            self.program, stdout=self.log, stderr=self.log, env={**os.environ, "LAURELHOIST_BOOT": str(self.path)})

    def disturb(self):
        self.disturbed_at = time.monotonic()

    def kill(self, how):
        self.disturb()
        if self.child.returncode is None:
            self.child.send_signal(how)


class Run:
    """One seed: a fleet, its callers, its faults and its checks."""

    def __init__(self, seed, seconds, program, directory, entries, keeps_faults, checks_time_bounds=True,
                 sends_deadly=False, names_limits=False, asks_for_rest=False):
        self.checks_time_bounds, self.sends_deadly = checks_time_bounds, sends_deadly
        self.names_limits, self.asks_for_rest = names_limits, asks_for_rest
        self.random = random.Random(seed)
        self.seed, self.seconds, self.directory, self.keeps_faults = seed, seconds, directory, keeps_faults
        self.program, self.entry_count = program, entries
        self.runs, self.turned_away, self.broken, self.counts = [], [], [], collections.Counter()
        self.refused, self.sent_at, self.keys = {}, {}, {"key-a": None, "key-b": None}
        self.version = 0
        self.deadly = []  # times and entries of a request that ended an endpoint

    async def play(self):
        self.store = await Store().listen()
        self.store_proxy = await Proxy(self.store.port).listen()
        self.endpoints, self.proxies = {}, {}
        for number in range(7):
            await self.add_endpoint(f"i-{number}", "claims" if number < 3 else "pool")
        self.write_config()
        await self.start_entries()
        await asyncio.sleep(1.5)
        deadline = time.monotonic() + self.seconds
        tasks = [asyncio.create_task(self.call(number, deadline)) for number in range(16)]
        if self.sends_deadly:
            tasks.append(asyncio.create_task(self.send_deadly(deadline)))
        if self.names_limits:
            tasks.append(asyncio.create_task(self.limit_endpoints()))
        if self.asks_for_rest:
            tasks.append(asyncio.create_task(self.rest_endpoints(deadline)))
        if self.keeps_faults:
            tasks.append(asyncio.create_task(self.disturb(deadline)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.5)
        self.check_runs()
        self.check_deadly()
        self.check_limits()
        self.check_rests()
        self.check_said_leaving()
        await self.stop()
        return self.broken

    async def start_entries(self):
        self.entries, peers_port = [], free_port()
        for number in range(self.entry_count):
            self.entries.append(Entry(number, peers_port, self.store_proxy.port, self.directory, self.program))
        for entry in self.entries:
            entry.seeds = [f"{other.address}:{peers_port}" for other in self.entries if other is not entry]
            entry.start()
            await entry.process

    async def add_endpoint(self, name, service):
        endpoint = await Endpoint(name, self.runs, self.turned_away, self.random, service == "pool").listen()
        proxy = await Proxy(endpoint.port).listen()
        self.endpoints[name], self.proxies[name] = endpoint, proxy
        endpoint.service = service
        endpoint.on_deadly = self.end_endpoint
        self.store.put("servers", name, self.registration(endpoint, "ready"))

    def registration(self, endpoint, state):
        return {"service": endpoint.service, "address": f"127.0.0.1:{self.proxies[endpoint.name].port}",
                "zone": "hall", "version": "v1", "slots": 6, "state": state}

    def write_config(self):
        self.version += 1
        common = {"host": "h.example", "max_attempts": 3, "allow_anonymous": False}
        routes = [
            {**common, "name": "claims", "path_prefix": "/claims/", "kind": "unsafe", "timeout_ms": 1500,
             "target_latency_ms": 300, "service": "claims", "max_attempts": 1},
            {**common, "name": "status", "path_prefix": "/status/", "kind": "safe", "timeout_ms": 1500,
             "target_latency_ms": 300, "service": "claims"},
            {**common, "name": "drafts", "path_prefix": "/drafts/", "kind": "streaming", "timeout_ms": 4000,
             "target_latency_ms": 1000, "target_gap_ms": 300, "resume_streams": True, "sizes": ["small", "large"],
             "service": "pool"}]
        services = [{"name": "claims", "health_path": "/h", "max_connections": 200},
                    {"name": "pool", "health_path": "/h", "max_connections": 200,
                     "engine": {"slots": 16, "kv_capacity_tokens": 100000}}]
        live = [key for key, withdrawn in self.keys.items() if withdrawn is None]
        self.store.put("config", "main", {"version": self.version, "routes": routes, "services": services,
                                          "limits": {}, "tenants": [{"name": "team", "api_keys": live}]})

    # What callers do and see.

    async def call(self, number, deadline):
        connection = None
        while time.monotonic() < deadline:
            try:
                if connection is None:
                    entry = self.random.choice(self.entries)
                    reader, writer = await asyncio.wait_for(
                        asyncio.open_connection(entry.address, entry.ports["callers"]), 1)
                    connection = (entry, reader, writer)
                keeps = await asyncio.wait_for(self.ask(number, connection), 8)
            except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                self.counts["unanswered"] += 1
                keeps = False
            if not keeps and connection is not None:
                connection[2].close()
                connection = None
            await asyncio.sleep(self.random.uniform(0.005, 0.04))

    async def ask(self, number, connection):
        entry, reader, writer = connection
        kind = self.random.choice(["claims", "status", "drafts"])
        request_id = f"{self.seed}-{number}-{len(self.sent_at)}"
        key = self.random.choice(list(self.keys))
        self.sent_at[request_id] = (time.monotonic(), key, kind, entry)
        body = b"x" * self.random.choice([0, 10, 9000])
        method = "GET" if kind == "status" else "POST"
        fields = f"Host: h.example\r\nX-Request-Id: {request_id}\r\nAuthorization: Token {key}\r\n" \
                 f"X-Deadline-Ms: 4000\r\nX-Tenant: forged\r\nX-Model: *\r\nX-Token-Counts: 900,100\r\n" \
                 f"X-Prompt-Prefix: aa:100,{number:x}:300,{len(self.sent_at):x}:500\r\n"
        length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
        writer.write(f"{method} /{kind}/1 HTTP/1.1\r\n{fields}{length}\r\n".encode() + (body if length else b""))
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        status = int(head.split(" ")[1])
        headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        if headers.get("transfer-encoding") == "chunked":
            text = await self.read_chunks(reader)
            self.check_stream(request_id, text)
        else:
            text = await reader.readexactly(int(headers.get("content-length", "0")))
            self.check_answer(request_id, status, headers, text)
        self.counts[status] += 1
        if status in NOT_RUN:
            self.refused[request_id] = status
        return headers.get("connection") != "close"

    async def read_chunks(self, reader):
        text = b""
        while (size := int(await reader.readuntil(b"\r\n"), 16)) > 0:
            text += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return text

    async def send_deadly(self, deadline):
        """One caller's request that ends the endpoint that begins to run it; it comes back at any host."""
        luck, number = random.Random(self.seed), 0
        while time.monotonic() < deadline:
            entry, number = luck.choice(self.entries), number + 1
            request_id = f"{self.seed}-deadly-{number}"
            self.sent_at[request_id] = (time.monotonic(), "key-a", "drafts", entry)
            asyncio.create_task(self.send_one_deadly(entry, request_id))
            await asyncio.sleep(luck.uniform(0.1, 0.4))

    async def send_one_deadly(self, entry, request_id):
        try:
            reader, writer = await asyncio.open_connection(entry.address, entry.ports["callers"])
            writer.write(f"POST /drafts/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
                         "Authorization: Token key-a\r\nX-Deadline-Ms: 4000\r\nX-Model: *\r\nX-Token-Counts: 900,100\r\n"
                         "X-Prompt-Prefix: aa:100,bb:800\r\nConnection: close\r\nContent-Length: 6\r\n\r\n"
                         "deadly".encode())
            status = (await asyncio.wait_for(reader.readline(), 5)).decode().split(" ")[1:2]
            self.counts[f"deadly_{status[0] if status else 'cut'}"] += 1
            writer.close()
        except (ConnectionError, OSError, asyncio.TimeoutError):
            self.counts["deadly_unanswered"] += 1

    def end_endpoint(self, endpoint, request_id, arrived_at):
        self.deadly.append((arrived_at, self.sent_at[request_id][3]))
        if self.endpoints.pop(endpoint.name, None) is not None:
            endpoint.end()
            self.proxies.pop(endpoint.name).end()
            asyncio.create_task(self.replace_endpoint(endpoint))

    async def replace_endpoint(self, endpoint):
        await asyncio.sleep(1.0)
        self.store.remove("servers", endpoint.name)
        await self.add_endpoint(endpoint.name + "x", endpoint.service)

    # The promises.

    def fail(self, promise, detail):
        self.broken.append(f"{promise}: {detail}")

    def check_answer(self, request_id, status, headers, text):
        if status != 200:
            return
        if headers.get("x-response-signature") != receipt_of(request_id, text) or request_id not in text.decode():
            self.fail("a caller gets the whole answer to its own request", f"{request_id}: {text[:60]!r}")

    def check_stream(self, request_id, text):
        events = [event for event in text.decode().split("\n\n") if event]
        count = int(events[-1].rsplit("/", 1)[1]) if events else -1
        expected = [f"id: {number}\ndata: {request_id} {number}/{count}" for number in range(1, count + 1)]
        if events != expected:
            self.fail("a stream has no gap, no repeat and its end", f"{request_id}: {len(events)} of {count}")

    def check_runs(self):
        by_id = collections.Counter(run["id"] for run in self.runs)
        for request_id, times in by_id.items():
            if request_id not in self.sent_at:
                self.fail("only what callers sent runs", request_id)
                continue
            sent, key, kind, _ = self.sent_at[request_id]
            if kind == "claims" and times > 1:
                self.fail("a non-idempotent request runs at most once", f"{request_id} ran {times} times")
            if kind == "claims" and request_id in self.refused:
                self.fail('"not run" is true', f"{request_id} got {self.refused[request_id]}")
            withdrawn = self.keys[key]
            if withdrawn is not None and sent > withdrawn + REVOKE_S:
                self.fail("a withdrawn key runs nothing", f"{request_id} {sent - withdrawn:.2f} s later")
        for run in self.runs:
            headers = run["headers"]
            if headers.get("x-tenant") != "team" or "authorization" in headers:
                self.fail("teams are set and keys withheld by the entry", run["id"])
            self.check_leaving(run)

    def check_deadly(self):
        if len(self.deadly) < 3 or not self.checks_time_bounds:
            return
        known_at = sorted(at for at, _ in self.deadly)[2] + HEARD_S
        late = [at for at, entry in self.deadly if at > known_at and at > entry.disturbed_at + QUIET_S]
        if len(late) > TRIALS:
            self.fail("a request that ends endpoints is not sent on", f"{len(late)} times, {len(self.deadly)} in all")

    def check_limits(self):
        limited = collections.defaultdict(list)
        for run in self.runs:
            if run["limit"] is not None and run["id"] in self.sent_at:
                limited[run["endpoint"], run["limited_since"]].append(run)
        for (endpoint, since), runs in limited.items():
            told, counted = {}, []
            for run in runs:
                if run["answered_at"] is not None:
                    entry = self.sent_at[run["id"]][3]
                    told[entry] = min(told.get(entry, run["answered_at"]), run["answered_at"])
            for run in sorted(runs, key=lambda run: run["at"]):
                entry = self.sent_at[run["id"]][3]
                bound_since = max(since + LIMIT_HEARD_S, entry.disturbed_at + QUIET_S,
                                  told.get(entry, run["at"]) + LIMIT_PASSED_S)
                if run["at"] >= bound_since:
                    counted = [at for at in counted if at > run["at"] - LIMIT_WINDOW_S] + [run["at"]]
                if self.checks_time_bounds and len(counted) > 1.5 * run["limit"] * LIMIT_WINDOW_S + 5:
                    self.fail("a named rate limit is kept", f"{endpoint}: {len(counted)} in 4 s at {run['limit']} a second")
                    break

    def check_rests(self):
        arrivals = collections.defaultdict(list)
        for item in self.runs + self.turned_away:
            if item["id"] in self.sent_at:
                arrivals[item["endpoint"], self.sent_at[item["id"]][3]].append(item["at"])
        for item in self.turned_away:
            entry = self.sent_at[item["id"]][3]
            during = [at for at in arrivals[item["endpoint"], entry]
                      if item["at"] + REST_HEARD_S < at < item["at"] + item["rest"]]
            is_bound = self.checks_time_bounds and item["at"] > entry.disturbed_at + QUIET_S
            if is_bound and len(during) > REST_REQUESTS:
                self.fail("an endpoint gets the rest that it asks for", f"{item['endpoint']}: {len(during)} from {entry.name}")
                return

    def check_said_leaving(self):
        told = {}
        for run in sorted((run for run in self.runs if run["says_leaving"]), key=lambda run: run["at"]):
            if run["id"] not in self.sent_at:
                continue
            sent, _, _, entry = self.sent_at[run["id"]]
            told_at = told.get((run["endpoint"], entry))
            is_bound = self.checks_time_bounds and told_at is not None and told_at > entry.disturbed_at + QUIET_S
            if is_bound and sent > told_at + LEAVING_S:
                self.fail("an endpoint that says it leaves gets nothing new", f"{run['id']} {sent - told_at:.2f} s later")
            if told_at is None and run["answered_at"] is not None:
                told[run["endpoint"], entry] = run["answered_at"]

    def check_leaving(self, run):
        since = run["leaving_since"]
        if since is None or run["id"] not in self.sent_at:
            return
        entry = self.sent_at[run["id"]][3]
        quiet_since = max(entry.disturbed_at, self.store.steady_since, self.proxied_at)
        is_bound = self.checks_time_bounds and run["at"] > quiet_since + QUIET_S and since > quiet_since
        if is_bound and run["at"] > since + LEAVING_S:
            self.fail("a leaving endpoint gets nothing new", f"{run['id']} {run['at'] - since:.2f} s later")

    # What goes wrong, in series and overlapping.

    proxied_at = 0.0

    async def disturb(self, deadline):
        faults = [self.fault_endpoint, self.fault_endpoint, self.fault_path, self.fault_store, self.fault_store_path,
                  self.kill_entry, self.pause_entry, self.stop_entry, self.leave, self.withdraw_key,
                  self.change_config, self.change_settings]
        running = []
        while time.monotonic() < deadline - 1:
            fault = self.random.choice(faults)
            self.counts[fault.__name__] += 1
            running.append(asyncio.create_task(fault()))
            await asyncio.sleep(self.random.uniform(0.1, 0.9))
        await asyncio.gather(*running)

    async def fault_endpoint(self):
        endpoint = self.random.choice(list(self.endpoints.values()))
        endpoint.fault = self.random.choice(["lost", "half", "hang", "extra"])
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        endpoint.fault = ""

    async def limit_endpoints(self):
        """One endpoint of each service names a limit, and one engine says in its answers that it leaves."""
        await asyncio.sleep(0.5)
        for service in ("claims", "pool"):
            endpoint = next(item for item in self.endpoints.values() if item.service == service)
            leaving = [item for item in self.endpoints.values() if item.service == service][1]
            leaving.says_leaving_since = time.monotonic() if service == "pool" else None
            endpoint.limit, endpoint.limited_since = self.random.choice([0.5, 1.7, 4]), time.monotonic()

    async def rest_endpoints(self, deadline):
        """Endpoints in turn refuse everything for some seconds and ask for rest."""
        await asyncio.sleep(4.5)
        while time.monotonic() < deadline - 2:
            endpoint = self.random.choice(list(self.endpoints.values()))
            endpoint.rest = self.random.choice([1, 1.5, 3])
            await asyncio.sleep(self.random.uniform(1.0, 3.0))
            endpoint.rest = None

    async def fault_path(self):
        proxy = self.random.choice(list(self.proxies.values()))
        proxy.mode = self.random.choice(["delay", "reset", "silent", "deaf"])
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        proxy.mode = ""

    async def fault_store(self):
        self.store.set_mode(self.random.choice(["busy", "silent", "lost"]))
        await asyncio.sleep(self.random.uniform(0.2, 2.5))
        self.store.set_mode("")

    async def fault_store_path(self):
        self.store_proxy.mode = self.random.choice(["delay", "reset", "silent", "deaf"])
        await asyncio.sleep(self.random.uniform(0.2, 2.5))
        self.store_proxy.mode = ""
        self.proxied_at = time.monotonic()

    async def kill_entry(self):
        entry = self.random.choice(self.entries)
        entry.kill(signal.SIGKILL)
        await self.restart(entry)

    async def restart(self, entry):
        child = entry.child
        await child.wait()
        if entry.child is child:
            await asyncio.sleep(self.random.uniform(0.0, 0.5))
            if entry.child is child:
                await entry.spawn()

    async def pause_entry(self):
        entry = self.random.choice(self.entries)
        entry.kill(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        entry.kill(signal.SIGCONT)

    async def stop_entry(self):
        entry = self.random.choice(self.entries)
        child = entry.child
        entry.kill(signal.SIGTERM)
        try:
            await asyncio.wait_for(child.wait(), GRACE_S)
        except asyncio.TimeoutError:
            entry.kill(signal.SIGKILL)
        await self.restart(entry)

    async def leave(self):
        live = [item for item in self.endpoints.values() if item.leaving_since is None]
        endpoint = self.random.choice(live)
        if sum(item.service == endpoint.service for item in live) < 3:
            return
        self.store.put("servers", endpoint.name, self.registration(endpoint, "draining"))
        endpoint.leaving_since = time.monotonic()
        await asyncio.sleep(4)
        self.store.remove("servers", endpoint.name)

    async def withdraw_key(self):
        if self.keys["key-b"] is None:
            self.keys["key-b"] = time.monotonic()
            self.write_config()

    async def change_config(self):
        for _ in range(self.random.randint(1, 6)):
            self.write_config()
            await asyncio.sleep(self.random.uniform(0.0, 0.1))

    async def change_settings(self):
        entry = self.random.choice(self.entries)
        entry.path.write_text(entry.path.read_text() + "# touched\n")
        entry.kill(signal.SIGHUP)

    async def stop(self):
        for entry in self.entries:
            entry.kill(signal.SIGCONT)
            entry.kill(signal.SIGKILL)
            await entry.child.wait()
            entry.log.close()
        for listener in [self.store, self.store_proxy, *self.endpoints.values(), *self.proxies.values()]:
            listener.close()


def parse_seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="build/release/bin/laurel-platform-entry")
    parser.add_argument("--seeds", default="1", help="a number, or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--calm", action="store_true", help="no faults")
    parser.add_argument("--deadly", action="store_true",
                        help="one caller sends a request again and again that ends each endpoint that begins to run it")
    parser.add_argument("--limits", action="store_true", help="an endpoint of each service names a rate limit")
    parser.add_argument("--rests", action="store_true", help="endpoints refuse everything and ask for rest")
    parser.add_argument("--without-time-bounds", action="store_true",
                        help="leave out the check that a busy machine could fail: a leaving endpoint's 2 s")
    parser.add_argument("--logs", default="", help="directory to keep the processes' logs in")
    options = parser.parse_args()
    failed = 0
    for seed in parse_seeds(options.seeds):
        with tempfile.TemporaryDirectory() as scratch:
            directory = options.logs or scratch
            os.makedirs(directory, exist_ok=True)
            run = Run(seed, options.seconds, options.program, directory, options.entries, not options.calm,
                      not options.without_time_bounds, options.deadly, options.limits, options.rests)
            broken = asyncio.run(run.play())
        counts = " ".join(f"{name}={count}" for name, count in sorted(run.counts.items(), key=str))
        print(f"seed {seed}: {len(run.sent_at)} requests, {len(broken)} broken; {counts}", flush=True)
        for line in broken[:5]:
            print(f"  {line}", flush=True)
        failed += bool(broken)
    print(f"{len(parse_seeds(options.seeds)) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
