#!/usr/bin/env python3
"""Fault soak of laurel-platform-entry: real processes on loopback with faults injected from outside. Checks the
guarantees from what callers and endpoints observe. One run for each seed; exits 1 if a guarantee was violated.

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

from standins import CRASHING_PART, LONG_STREAM_EVENTS, Endpoint, Proxy, Store, response_signature

REVOKE_S = 5.0              # longest time for which a withdrawn key may still be accepted
LEAVING_S = 2.0             # time after which a leaving endpoint gets no new request
CRASH_NOTICE_S = 3.0        # time after which every host knows of a request that crashes endpoints
CRASHES_TO_KNOW = {"body": 3, "part": 5}  # crashes after which a request, or a part of prompts, is known
MIN_SOUND_REQUESTS = 20     # sound requests with the same first part that are enough to judge how they are served
MAX_TRIALS = 3              # crashes tolerated, over all hosts, once they know of the request that causes them
LIMIT_NOTICE_S = 3.0        # time after which an endpoint's rate limit must be kept by every host
LIMIT_ANSWER_S = 0.5        # time after which a host that forwarded an answer stating a limit must keep the limit
LIMIT_WINDOW_S = 4.0        # window in which requests are counted against a rate limit
BACK_OFF_NOTICE_S = 0.5     # time after which a host must keep the back-off that an endpoint asked it for
MAX_BACK_OFF_REQUESTS = 2   # requests tolerated from a host during a back-off
UNDISTURBED_S = 4.0         # time bounds are checked only for hosts undisturbed for longer than this
GRACE_S = 8.0               # time from SIGTERM to SIGKILL
PRESSED_ENGINES = 8         # engines, of few slots, of the runs under load
HOT_CALLERS = 8             # callers of each hot team
HOT_PAUSE_S = (0.0, 0.001)
BURST_CALLERS = 48
FIRST_HOT_CALLER, FIRST_BURST_CALLER = 1000, 2000  # numbers that tell these callers from the others
NOT_RUN = (408, 421, 429, 503)


def free_port(address, taken=()):
    while True:
        with socket.socket() as probe:
            probe.bind((address, 0))
            port = probe.getsockname()[1]
        if port not in taken:
            return port


def host_address(number):
    """A loopback address that no other run uses, because another run's host could take a port that this one has
    probed."""
    subnets = 250
    return f"127.{1 + os.getpid() // subnets % subnets}.{os.getpid() % subnets}.{number + 2}"


class Entry:
    """One process under test, and the time when a fault last disturbed it."""

    def __init__(self, number, peers_port, store_port, directory, program):
        self.name, self.program = f"entry-{number}", program
        # Each process has an address of its own and the same port for peers, as on a network. With one address for all
        # of them no host would learn of another.
        self.address, self.seeds = host_address(number), []
        self.ports = {"peers": peers_port, "forwarding": peers_port + 1}
        for name in ("callers", "readiness", "directory"):
            self.ports[name] = free_port(self.address, self.ports.values())
        self.store_port = store_port
        self.path = pathlib.Path(directory) / f"{self.name}.flags"
        self.log = open(pathlib.Path(directory) / f"{self.name}.log", "ab")
        self.process, self.disturbed_at, self.was_ended = None, 0.0, False
        self.unexpected_ends = []  # exit codes of processes that ended although no signal told them to

    def start(self):
        flags = {"host": self.name, "failure_domain": "hall", "store": f"127.0.0.1:{self.store_port}",
                 "seeds": ",".join(self.seeds), **{name: f"{self.address}:{port}" for name, port in self.ports.items()}}
        self.path.write_text("".join(f"--{name}={value}\n" for name, value in flags.items()))
        self.process = asyncio.create_task(self.spawn())

    async def spawn(self):
        self.mark_disturbed()
        self.was_ended = False
        self.child = await asyncio.create_subprocess_exec(
            self.program, stdout=self.log, stderr=self.log, env={**os.environ, "LAURELHOIST_BOOT": str(self.path)})

    def mark_disturbed(self):
        self.disturbed_at = time.monotonic()

    def send_signal(self, number):
        self.mark_disturbed()
        self.note_unexpected_end()
        self.was_ended = self.was_ended or number in (signal.SIGTERM, signal.SIGKILL)
        if self.child.returncode is None:
            self.child.send_signal(number)

    def note_unexpected_end(self):
        if self.child.returncode is not None and not self.was_ended:
            self.unexpected_ends.append(self.child.returncode)
            self.was_ended = True


class Run:
    """One run of a seed: a fleet, its callers, the injected faults and the checks."""

    def __init__(self, seed, seconds, program, directory, entries, injects_faults, checks_time_bounds=True,
                 crashes_on="", names_limits=False, asks_for_back_off=False, slow_callers=0, hot_teams=0,
                 has_burst=False, ends_together=False):
        self.checks_time_bounds, self.crashes_on = checks_time_bounds, crashes_on
        self.slow_callers = slow_callers
        self.hot_keys = [f"key-hot-{number}" for number in range(hot_teams)]
        self.has_burst, self.ends_together = has_burst, ends_together
        # The checks under load hold where nothing but the load and the common end is injected.
        self.is_pressed = bool(hot_teams or has_burst or ends_together) and not injects_faults
        self.names_limits, self.asks_for_back_off = names_limits, asks_for_back_off
        self.random = random.Random(seed)
        self.seed, self.seconds, self.directory, self.injects_faults = seed, seconds, directory, injects_faults
        self.program, self.entry_count = program, entries
        self.runs, self.back_off_refusals, self.violations, self.counts = [], [], [], collections.Counter()
        self.refused, self.sent_at, self.keys = {}, {}, {"key-a": None, "key-b": None}
        self.version = 0
        self.crashes = []  # (arrival time, entry) of each request that crashed an endpoint
        self.served = set()  # ids of the requests answered with 200

    async def execute(self):
        self.store = await Store().listen()
        self.store_proxy = await Proxy(self.store.port).listen()
        self.endpoints, self.proxies = {}, {}
        for number in range(3 + (PRESSED_ENGINES if self.is_pressed else 4)):
            await self.add_endpoint(f"i-{number}", "claims" if number < 3 else "pool")
        self.write_config()
        await self.start_entries()
        await asyncio.sleep(1.5)
        deadline = time.monotonic() + self.seconds
        tasks = [asyncio.create_task(self.call(number, deadline)) for number in range(16)]
        tasks += [asyncio.create_task(self.call(FIRST_HOT_CALLER + number, deadline, key, HOT_PAUSE_S))
                  for key in self.hot_keys for number in range(HOT_CALLERS)]
        if self.has_burst:
            tasks.append(asyncio.create_task(self.burst(deadline)))
        if self.ends_together:
            tasks.append(asyncio.create_task(self.end_together()))
        if self.crashes_on:
            tasks.append(asyncio.create_task(self.send_crash_requests(deadline)))
        if self.names_limits:
            tasks.append(asyncio.create_task(self.limit_endpoints()))
        if self.asks_for_back_off:
            tasks.append(asyncio.create_task(self.back_off_endpoints(deadline)))
        if self.injects_faults:
            tasks.append(asyncio.create_task(self.inject_faults(deadline)))
        if self.slow_callers:
            tasks += [asyncio.create_task(self.call_slowly(number, deadline)) for number in range(self.slow_callers)]
            tasks += [asyncio.create_task(self.stop_entries(deadline)), asyncio.create_task(self.break_streams(deadline))]
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.5)
        self.check_runs()
        self.check_crash_requests()
        self.check_limits()
        self.check_back_offs()
        self.check_announced_leaving()
        self.check_hosts_run()
        await self.stop()
        return self.violations

    async def start_entries(self):
        self.entries, peers_port = [], free_port(host_address(0))
        for number in range(self.entry_count):
            self.entries.append(Entry(number, peers_port, self.store_proxy.port, self.directory, self.program))
        for entry in self.entries:
            entry.seeds = [f"{other.address}:{peers_port}" for other in self.entries if other is not entry]
            entry.start()
            await entry.process

    async def add_endpoint(self, name, service):
        endpoint = await Endpoint(name, self.runs, self.back_off_refusals, self.random, service == "pool").listen()
        proxy = await Proxy(endpoint.port).listen()
        self.endpoints[name], self.proxies[name] = endpoint, proxy
        endpoint.service = service
        endpoint.on_crash_request = self.crash_endpoint
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
             "service": "pool"},
            {**common, "name": "long", "path_prefix": "/long/", "kind": "streaming", "timeout_ms": 20000,
             "target_latency_ms": 1000, "target_gap_ms": 300, "resume_streams": True, "service": "pool"}]
        services = [{"name": "claims", "health_path": "/h", "max_connections": 200},
                    {"name": "pool", "health_path": "/h", "max_connections": 200,
                     "engine": {"slots": 3 if self.is_pressed else 16, "kv_capacity_tokens": 100000}}]
        live = [key for key, withdrawn in self.keys.items() if withdrawn is None]
        self.store.put("config", "main", {"version": self.version, "routes": routes, "services": services,
                                          "limits": {}, "tenants": [{"name": "team", "api_keys": live}] + [
                                              {"name": f"team-of-{key}", "api_keys": [key]} for key in self.hot_keys]})

    # The callers.

    async def call(self, number, deadline, key=None, pause_s=(0.005, 0.04)):
        connection = None
        while time.monotonic() < deadline:
            try:
                if connection is None:
                    entry = self.random.choice(self.entries)
                    reader, writer = await asyncio.wait_for(
                        asyncio.open_connection(entry.address, entry.ports["callers"]), 1)
                    connection = (entry, reader, writer)
                keeps_open = await asyncio.wait_for(self.ask(number, connection, key), 8)
            except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as problem:
                self.counts["unanswered"] += 1
                if self.is_pressed:
                    self.fail("under load every request is answered, and no stream that could resume is cut",
                              f"caller {number}: {problem!r}")
                keeps_open = False
            if not keeps_open and connection is not None:
                connection[2].close()
                connection = None
            await asyncio.sleep(self.random.uniform(*pause_s))

    async def burst(self, deadline):
        """Many more callers of the same team come for a quarter of the run."""
        await asyncio.sleep(self.seconds / 3)
        end = min(deadline, time.monotonic() + self.seconds / 4)
        await asyncio.gather(*[self.call(FIRST_BURST_CALLER + number, end, "key-a") for number in range(BURST_CALLERS)])

    async def end_together(self):
        """A quarter of the engines ends in one moment and is replaced."""
        await asyncio.sleep(self.seconds / 2)
        engines = [item for item in self.endpoints.values() if item.streams]
        ended = self.random.sample(engines, len(engines) // 4)
        for endpoint in ended:
            del self.endpoints[endpoint.name]
            endpoint.crash()
            self.proxies.pop(endpoint.name).crash()
        self.counts["ended_together"] += len(ended)
        await asyncio.gather(*[self.replace_endpoint(endpoint) for endpoint in ended])

    async def ask(self, number, connection, key=None):
        entry, reader, writer = connection
        kind = "drafts" if key else self.random.choice(["claims", "status", "drafts"])
        request_id = f"{self.seed}-{number}-{len(self.sent_at)}"
        key = key or self.random.choice(list(self.keys))
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
            self.check_refusal(request_id, status, headers, text)
        self.counts[status] += 1
        if status == 200:
            self.served.add(request_id)
        if status in NOT_RUN:
            self.refused[request_id] = status
        return headers.get("connection") != "close"

    async def call_slowly(self, number, deadline):
        """Requests long streams and stops reading for a while in the middle of each."""
        rng = random.Random(f"{self.seed}-{number}")
        while time.monotonic() < deadline:
            entry, request_id = rng.choice(self.entries), f"{self.seed}-slow-{number}-{len(self.sent_at)}"
            self.sent_at[request_id] = (time.monotonic(), "key-a", "long", entry)
            try:
                await asyncio.wait_for(self.read_slowly(rng, entry, request_id), 30)
            except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                self.counts["slow_unanswered"] += 1
            await asyncio.sleep(rng.uniform(0.05, 0.3))

    async def read_slowly(self, rng, entry, request_id):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (entry.address, entry.ports["callers"]))
        reader, writer = await asyncio.open_connection(sock=connection)
        writer.write(f"POST /long/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
                     "Authorization: Token key-a\r\nX-Deadline-Ms: 20000\r\nX-Model: *\r\n"
                     "X-Token-Counts: 900,100\r\nX-Prompt-Prefix: aa:100,bb:800\r\nConnection: close\r\n"
                     "Content-Length: 4\r\n\r\nlong".encode())
        status = int((await reader.readuntil(b"\r\n\r\n")).split(b" ")[1])
        self.counts[f"slow_{status}"] += 1
        if status != 200:
            return
        try:
            text = await self.read_chunks(reader, rng.randrange(LONG_STREAM_EVENTS), rng.uniform(0.3, 2.5))
            self.check_stream(request_id, text)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.fail("neither a slow caller, a planned stop nor a broken attempt cuts a stream", request_id)
        finally:
            writer.close()

    async def stop_entries(self, deadline):
        """Stops the hosts one after another while callers read their streams."""
        await asyncio.sleep(1.0)
        for entry in self.entries[1:]:
            if time.monotonic() < deadline:
                entry.send_signal(signal.SIGTERM)
                await self.restart(entry)
                await asyncio.sleep(1.5)

    async def break_streams(self, deadline):
        """Engines break one after another the streams that they begin."""
        engines = [item for item in self.endpoints.values() if item.streams]
        while time.monotonic() < deadline:
            engine = self.random.choice(engines)
            engine.fault = "half"
            await asyncio.sleep(self.random.uniform(0.2, 0.6))
            engine.fault = ""
            await asyncio.sleep(self.random.uniform(0.2, 0.6))

    async def read_chunks(self, reader, pause_after=-1, pause_s=0.0):
        text, chunks = b"", 0
        while (size := int(await reader.readuntil(b"\r\n"), 16)) > 0:
            text += await reader.readexactly(size)
            await reader.readexactly(2)
            chunks += 1
            if chunks == pause_after:
                await asyncio.sleep(pause_s)
        await reader.readexactly(2)
        return text

    async def send_crash_requests(self, deadline):
        """Sends requests that crash the endpoint that runs them, each through a random host."""
        rng, number = random.Random(self.seed), 0
        while time.monotonic() < deadline:
            entry, number = rng.choice(self.entries), number + 1
            request_id = f"{self.seed}-deadly-{number}"
            self.sent_at[request_id] = (time.monotonic(), "key-a", "drafts", entry)
            asyncio.create_task(self.send_crash_request(entry, request_id, *self.crashing_prompt(rng, number)))
            await asyncio.sleep(rng.uniform(0.1, 0.4))

    def crashing_prompt(self, rng, number):
        """The prompt and the body of a request that crashes an endpoint. With `crashes_on` = "part" no two are alike
        but for one part, which stands anywhere but at the end."""
        if self.crashes_on == "body":
            return "aa:100,bb:800", "deadly"
        parts = ["aa:100", f"{rng.randrange(16):x}:300"]
        parts.insert(rng.randrange(3), f"{CRASHING_PART}:200")
        return ",".join([*parts, f"c0de{number:x}:300"]), f"draft {number}"

    async def send_crash_request(self, entry, request_id, prompt, body):
        try:
            reader, writer = await asyncio.open_connection(entry.address, entry.ports["callers"])
            writer.write(f"POST /drafts/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
                         "Authorization: Token key-a\r\nX-Deadline-Ms: 4000\r\nX-Model: *\r\nX-Token-Counts: 900,100\r\n"
                         f"X-Prompt-Prefix: {prompt}\r\nConnection: close\r\nContent-Length: {len(body)}\r\n\r\n"
                         f"{body}".encode())
            status = (await asyncio.wait_for(reader.readline(), 5)).decode().split(" ")[1:2]
            self.counts[f"deadly_{status[0] if status else 'cut'}"] += 1
            writer.close()
        except (ConnectionError, OSError, asyncio.TimeoutError):
            self.counts["deadly_unanswered"] += 1

    def crash_endpoint(self, endpoint, request_id, arrived_at):
        self.crashes.append((arrived_at, self.sent_at[request_id][3]))
        if self.endpoints.pop(endpoint.name, None) is not None:
            endpoint.crash()
            self.proxies.pop(endpoint.name).crash()
            asyncio.create_task(self.replace_endpoint(endpoint))

    async def replace_endpoint(self, endpoint):
        await asyncio.sleep(1.0)
        self.store.remove("servers", endpoint.name)
        await self.add_endpoint(endpoint.name + "x", endpoint.service)

    # The checks of the guarantees.

    def fail(self, guarantee, detail):
        self.violations.append(f"{guarantee}: {detail}")

    def check_answer(self, request_id, status, headers, text):
        if status != 200:
            return
        if headers.get("x-response-signature") != response_signature(request_id, text) \
                or request_id not in text.decode():
            self.fail("a caller gets the complete answer to its own request", f"{request_id}: {text[:60]!r}")

    def check_refusal(self, request_id, status, headers, text):
        if not self.is_pressed or status == 200:
            return
        error = json.loads(text).get("error") if text else None
        self.counts[error] += 1
        if error == "ends_endpoints":
            self.fail("no request is blamed for engines that end together", request_id)
        elif status in NOT_RUN and float(headers.get("retry-after", "0")) <= 0:
            self.fail("a refusal under load says when to return", f"{request_id}: {status} {error}")

    def check_stream(self, request_id, text):
        events = [event.rstrip("x").rstrip() for event in text.decode().split("\n\n") if event]
        count = int(events[-1].rsplit("/", 1)[1]) if events else -1
        expected = [f"id: {number}\ndata: {request_id} {number}/{count}" for number in range(1, count + 1)]
        if events != expected:
            self.fail("a stream is complete, without a repeated event", f"{request_id}: {len(events)} of {count}")

    def check_runs(self):
        by_id = collections.Counter(run["id"] for run in self.runs)
        for request_id, times in by_id.items():
            if request_id not in self.sent_at:
                self.fail("only requests sent by callers run", request_id)
                continue
            sent, key, kind, _ = self.sent_at[request_id]
            breaks = sum(run["id"] == request_id and run["broken"] for run in self.runs)
            if kind == "long" and not self.injects_faults and times > 1 + breaks:
                self.fail("a caller that reads slowly causes no second attempt", f"{request_id} ran {times} times")
            if kind == "claims" and times > 1:
                self.fail("a non-idempotent request runs at most once", f"{request_id} ran {times} times")
            if (kind == "claims" or self.is_pressed) and request_id in self.refused:
                self.fail("a request reported as not run has not run", f"{request_id} got {self.refused[request_id]}")
            withdrawn = self.keys.get(key)
            if withdrawn is not None and sent > withdrawn + REVOKE_S:
                self.fail("a request with a withdrawn key does not run", f"{request_id} {sent - withdrawn:.2f} s later")
        for run in self.runs:
            headers = run["headers"]
            key = self.sent_at.get(run["id"], (0, ""))[1]
            team = f"team-of-{key}" if key in self.hot_keys else "team"
            if headers.get("x-tenant") != team or "authorization" in headers:
                self.fail("the entry sets the team and removes the key", run["id"])
            self.check_leaving(run)

    def check_crash_requests(self):
        ends_to_know = CRASHES_TO_KNOW[self.crashes_on] if self.crashes_on else 0
        if not ends_to_know or len(self.crashes) < ends_to_know or not self.checks_time_bounds:
            return
        known_at = sorted(at for at, _ in self.crashes)[ends_to_know - 1] + CRASH_NOTICE_S
        late = [at for at, entry in self.crashes if at > known_at and at > entry.disturbed_at + UNDISTURBED_S]
        if len(late) > MAX_TRIALS:
            self.fail("a request that crashes endpoints is quarantined",
                      f"{len(late)} times, {len(self.crashes)} in all")
        sound = [request_id for request_id, (at, _, kind, _) in self.sent_at.items()
                 if kind == "drafts" and at > known_at + CRASH_NOTICE_S and "deadly" not in request_id]
        if len(sound) >= MIN_SOUND_REQUESTS and len(self.served.intersection(sound)) < len(sound) / 2:
            self.fail("sound requests are served beside those that crash endpoints",
                      f"{len(self.served.intersection(sound))} of {len(sound)}")

    def check_limits(self):
        limited = collections.defaultdict(list)
        for run in self.runs:
            if run["limit"] is not None and run["id"] in self.sent_at:
                limited[run["endpoint"], run["limited_since"]].append(run)
        for (endpoint, since), runs in limited.items():
            first_answered_at, counted = {}, []
            for run in runs:
                if run["answered_at"] is not None:
                    entry = self.sent_at[run["id"]][3]
                    first_answered_at[entry] = min(first_answered_at.get(entry, run["answered_at"]), run["answered_at"])
            for run in sorted(runs, key=lambda run: run["at"]):
                entry = self.sent_at[run["id"]][3]
                bound_since = max(since + LIMIT_NOTICE_S, entry.disturbed_at + UNDISTURBED_S,
                                  first_answered_at.get(entry, run["at"]) + LIMIT_ANSWER_S)
                if run["at"] >= bound_since:
                    counted = [at for at in counted if at > run["at"] - LIMIT_WINDOW_S] + [run["at"]]
                if self.checks_time_bounds and len(counted) > 1.5 * run["limit"] * LIMIT_WINDOW_S + 5:
                    self.fail("the rate limit of an endpoint is kept",
                              f"{endpoint}: {len(counted)} in 4 s at {run['limit']} a second")
                    break

    def check_back_offs(self):
        arrivals = collections.defaultdict(list)
        for item in self.runs + self.back_off_refusals:
            if item["id"] in self.sent_at:
                arrivals[item["endpoint"], self.sent_at[item["id"]][3]].append(item["at"])
        for item in self.back_off_refusals:
            entry = self.sent_at[item["id"]][3]
            during = [at for at in arrivals[item["endpoint"], entry]
                      if item["at"] + BACK_OFF_NOTICE_S < at < item["at"] + item["rest"]]
            is_bound = self.checks_time_bounds and item["at"] > entry.disturbed_at + UNDISTURBED_S
            if is_bound and len(during) > MAX_BACK_OFF_REQUESTS:
                self.fail("the back-off that an endpoint asks for is kept",
                          f"{item['endpoint']}: {len(during)} from {entry.name}")
                return

    def check_announced_leaving(self):
        announcements = {}
        for run in sorted((run for run in self.runs if run["says_leaving"]), key=lambda run: run["at"]):
            if run["id"] not in self.sent_at:
                continue
            sent, _, _, entry = self.sent_at[run["id"]]
            announced_at = announcements.get((run["endpoint"], entry))
            is_bound = self.checks_time_bounds and announced_at is not None \
                and announced_at > entry.disturbed_at + UNDISTURBED_S
            if is_bound and sent > announced_at + LEAVING_S:
                self.fail("an endpoint that announces its leaving gets no new request",
                          f"{run['id']} {sent - announced_at:.2f} s later")
            if announced_at is None and run["answered_at"] is not None:
                announcements[run["endpoint"], entry] = run["answered_at"]

    def check_hosts_run(self):
        for entry in self.entries:
            entry.note_unexpected_end()
            for code in entry.unexpected_ends:
                self.fail("a host runs until it is stopped", f"{entry.name} ended with code {code}")

    def check_leaving(self, run):
        since = run["leaving_since"]
        if since is None or run["id"] not in self.sent_at:
            return
        entry = self.sent_at[run["id"]][3]
        undisturbed_since = max(entry.disturbed_at, self.store.mode_changed_at, self.store_path_restored_at)
        is_bound = self.checks_time_bounds and run["at"] > undisturbed_since + UNDISTURBED_S \
            and since > undisturbed_since
        if is_bound and run["at"] > since + LEAVING_S:
            self.fail("a leaving endpoint gets no new request", f"{run['id']} {run['at'] - since:.2f} s later")

    # The faults, in sequence and overlapping.

    store_path_restored_at = 0.0

    async def inject_faults(self, deadline):
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
        """One endpoint of each service names a rate limit, and one engine announces in its answers that it leaves."""
        await asyncio.sleep(0.5)
        for service in ("claims", "pool"):
            endpoint = next(item for item in self.endpoints.values() if item.service == service)
            leaving = [item for item in self.endpoints.values() if item.service == service][1]
            leaving.announced_leaving_at = time.monotonic() if service == "pool" else None
            endpoint.limit, endpoint.limited_since = self.random.choice([0.5, 1.7, 4]), time.monotonic()

    async def back_off_endpoints(self, deadline):
        """Randomly chosen endpoints, one at a time, refuse every request for some seconds and ask for a back-off."""
        await asyncio.sleep(4.5)
        while time.monotonic() < deadline - 2:
            endpoint = self.random.choice(list(self.endpoints.values()))
            endpoint.back_off_s = self.random.choice([1, 1.5, 3])
            await asyncio.sleep(self.random.uniform(1.0, 3.0))
            endpoint.back_off_s = None

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
        self.store_path_restored_at = time.monotonic()

    async def kill_entry(self):
        entry = self.random.choice(self.entries)
        entry.send_signal(signal.SIGKILL)
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
        entry.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        entry.send_signal(signal.SIGCONT)

    async def stop_entry(self):
        entry = self.random.choice(self.entries)
        child = entry.child
        entry.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(child.wait(), GRACE_S)
        except asyncio.TimeoutError:
            entry.send_signal(signal.SIGKILL)
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
        entry.send_signal(signal.SIGHUP)

    async def stop(self):
        for entry in self.entries:
            entry.send_signal(signal.SIGCONT)
            entry.send_signal(signal.SIGKILL)
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
    parser.add_argument("--deadly", choices=["body", "part"], nargs="?", const="body", default="",
                        help="a caller keeps sending requests that crash each endpoint that runs them: the same request "
                             "again, or requests that share one part of their prompts")
    parser.add_argument("--limits", action="store_true", help="an endpoint of each service names a rate limit")
    parser.add_argument("--rests", action="store_true", help="endpoints refuse every request and ask for a back-off")
    parser.add_argument("--slow-callers", type=int, default=0, metavar="N",
                        help="N callers pause in the middle of long streams, while hosts stop and engines break streams")
    parser.add_argument("--hot-teams", type=int, default=0, metavar="N", help="N teams send without a pause")
    parser.add_argument("--burst", action="store_true", help="many more callers come for a quarter of the run")
    parser.add_argument("--end-together", action="store_true", help="a quarter of the engines ends in one moment")
    parser.add_argument("--without-time-bounds", action="store_true",
                        help="leave out the checks of time bounds, which a busy machine could fail")
    parser.add_argument("--logs", default="", help="directory in which the logs of the processes are kept")
    options = parser.parse_args()
    failed = 0
    for seed in parse_seeds(options.seeds):
        with tempfile.TemporaryDirectory() as scratch:
            directory = options.logs or scratch
            os.makedirs(directory, exist_ok=True)
            run = Run(seed, options.seconds, options.program, directory, options.entries, not options.calm,
                      not options.without_time_bounds, options.deadly, options.limits, options.rests,
                      options.slow_callers, options.hot_teams, options.burst, options.end_together)
            violations = asyncio.run(run.execute())
        counts = " ".join(f"{name}={count}" for name, count in sorted(run.counts.items(), key=str))
        print(f"seed {seed}: {len(run.sent_at)} requests, {len(violations)} violations; {counts}", flush=True)
        for line in violations[:5]:
            print(f"  {line}", flush=True)
        failed += bool(violations)
    print(f"{len(parse_seeds(options.seeds)) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
