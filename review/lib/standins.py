"""Stand-ins for the review's scripts: the platform's store, workers, clients, and the start of the hosts.

All run on loopback addresses in one asyncio process; only the hosts are separate processes. The store, the workers and
the clients follow PROTOCOL.md. Each stand-in records what it saw, so that a case judges from the outside only."""
import asyncio
import collections
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = 50                 # objects in a page of a listing
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up; the script ends with 2."""


class Record:
    """What was sent, answered and run, in record.txt beside the script."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8", errors="backslashreplace")
        self.begun = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")

    def say(self, text):
        self(text)
        try:
            print(text, flush=True)
        except BrokenPipeError:  # nobody reads; the result of the script must not depend on it
            os.dup2(os.open(os.devnull, os.O_WRONLY), 1)

    def close(self):
        self.file.close()


def loopback(number):
    """An address of this run: other runs on the machine use other ones."""
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{pid % 250}.{number + 2}"


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def render(template, fields):
    """Fills in a settings template as DEPLOY.md describes: sections, then values."""
    def find(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        return match.group(2) if find(match.group(1)) not in (None, False, "", []) else ""

    def text(match):
        value = find(match.group(1))
        return "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)

    filled = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", text, filled)


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


def message(first_line, fields=(), body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body


def reset(writer):
    found = writer.get_extra_info("socket")
    if found is not None and not writer.transport.is_closing():
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Listener:
    """A server of this process."""

    def __init__(self):
        self.writers = set()

    async def listen(self, address, port=0):
        self.server = await asyncio.start_server(self.accept, address, port, limit=1 << 22, backlog=1024)
        self.address = f"{address}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # The other side has gone, or the script ends.
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """The process ends: nothing listens any more, and all channels are reset."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)


# ---------------------------------------------------------------- the platform's store

class Store(Listener):
    def __init__(self, record):
        super().__init__()
        self.record, self.kinds, self.revision = record, collections.defaultdict(dict), 100
        self.events, self.changed = [], asyncio.Event()

    def _note(self, kind, item, removed):
        self.events.append((self.revision, kind, {"removed": removed, "object": json.loads(json.dumps(item))}))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec=None, status=None):
        old = self.kinds[kind].get(name, {"metadata": {"created": self.revision + 1}, "spec": None, "status": None})
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision, "created": old["metadata"]["created"],
                             "finalizers": [], "deleting": False},
                "spec": old["spec"] if spec is None else spec, "status": old["status"] if status is None else status}
        self.kinds[kind][name] = item
        self._note(kind, item, False)
        self.record(f"store {kind}/{name} revision {self.revision}: {json.dumps(item['spec'])[:300]} "
                    f"status {json.dumps(item['status'])}")
        return item

    def remove(self, kind, name):
        item = self.kinds[kind].pop(name, None)
        if item is not None:
            self.revision += 1
            self._note(kind, item, True)
            self.record(f"store {kind}/{name} removed at revision {self.revision}")
        return item

    async def serve(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            method, target, _ = line.split(" ", 2)
            status, answer = await self.handle(method, target, body)
            writer.write(message(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")],
                                 json.dumps(answer).encode()))
            await writer.drain()

    async def handle(self, method, target, body):
        await asyncio.sleep(0.004)
        parts = urllib.parse.urlsplit(target)
        path = [urllib.parse.unquote(part) for part in parts.path.split("/")[2:]]
        query = dict(urllib.parse.parse_qsl(parts.query))
        if method == "GET" and "watch" in query:
            return await self.watch(path[0], int(query["watch"]), min(30.0, int(query.get("wait_ms", "0")) / 1000))
        if method == "GET" and len(path) == 1:
            after = query.get("after", "")
            names = [name for name in sorted(self.kinds[path[0]]) if name > after]
            items = [self.kinds[path[0]][name] for name in names[:PAGE]]
            return 200, {"items": items, "has_more": len(names) > PAGE, "at": self.revision}
        if method == "GET":
            item = self.kinds[path[0]].get(path[1])
            return (404, {}) if item is None else (200, item)
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["metadata"]["name"]
            if name in self.kinds[path[0]]:
                return 409, self.kinds[path[0]][name]
            return 200, self.put(path[0], name, spec=sent.get("spec"))
        item = self.kinds[path[0]].get(path[1]) if len(path) > 1 else None
        if item is None:
            return 404, {}
        expected = sent.get("metadata", {}).get("revision") or query.get("revision")
        if expected and int(expected) != item["metadata"]["revision"]:
            return 409, item
        if method == "DELETE":
            return 200, self.remove(path[0], path[1])
        if path[-1] == "status":
            return 200, self.put(path[0], path[1], status=sent.get("status"))
        return 200, self.put(path[0], path[1], spec=sent.get("spec"))

    async def watch(self, kind, since, wait):
        end = time.monotonic() + wait
        while True:
            events = [event for revision, of, event in self.events if of == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- workers

class Worker(Listener):
    """A worker of a service. It runs `slots` requests at once, queues a few more and sheds the rest.

    `runs` holds one entry for each request that it began to run: id, time, tenant, how it ended."""

    def __init__(self, record, name, service, slots=6, queue=24, zone="zone-a"):
        super().__init__()
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.slots, self.queue = slots, queue
        self.places, self.waiting = asyncio.Semaphore(slots), 0
        self.runs, self.arrivals = [], []
        self.work_s = lambda headers: 0.06          # time of a plain request
        self.events_of = lambda headers: 20         # events of a stream
        self.gap_s = 0.02                           # time between two events
        self.read_bytes_per_s = None                # reads request bodies slowly; None: at once
        self.link = None                            # the network before it, if a case disturbs that

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.link.address if self.link else self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "cold_remaining_ms": 0, "sequence": 1}

    async def read_body(self, reader, headers):
        left, body = int(headers.get("content-length", "0")), b""
        if self.read_bytes_per_s is None:
            return await reader.readexactly(left)
        while left > 0:
            piece = await reader.read(min(left, max(1, int(self.read_bytes_per_s / 10))))
            if not piece:
                raise ConnectionResetError
            left -= len(piece)
            body += piece
            await asyncio.sleep(0.1)
        return body

    async def serve(self, reader, writer):
        while True:
            line, headers = await read_head(reader)
            request_id = headers.get("x-request-id", "")
            arrived = time.monotonic()
            if headers.get("x-expect-instance", self.name) != self.name:
                writer.write(message("HTTP/1.1 421 X", [("X-Instance-Id", self.name), ("X-Request-Id", request_id)]))
                continue
            body = await self.read_body(reader, headers)
            self.arrivals.append((request_id, arrived))
            if self.waiting >= self.queue:
                writer.write(message("HTTP/1.1 503 X", [("X-Request-Id", request_id), ("X-Not-Executed", "1")]))
                await writer.drain()
                continue
            self.waiting += 1
            await self.places.acquire()
            self.waiting -= 1
            run = {"id": request_id, "at": time.monotonic(), "tenant": headers.get("x-tenant"), "end": "cut",
                   "until": None, "line": line, "last_event_id": headers.get("last-event-id")}
            self.runs.append(run)
            self.record(f"worker {self.name} runs {request_id}: {line}")
            try:
                if headers.get("x-token-counts"):
                    await self.stream(reader, writer, headers, request_id)
                else:
                    await self.plain(reader, writer, headers, request_id, body)
                run["end"] = "whole"
            finally:
                run["until"] = time.monotonic()
                self.places.release()
                self.record(f"worker {self.name} ends {request_id}: {run['end']}")

    async def work(self, reader, seconds):
        """Works for a time; drops the request if its channel closes."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left, 0.02))
            if reader.at_eof():
                raise ConnectionResetError

    async def plain(self, reader, writer, headers, request_id, body):
        await self.work(reader, self.work_s(headers))
        text = f"done {request_id} by {self.name}, {len(body)} bytes. ".encode().ljust(800, b".")
        writer.write(message("HTTP/1.1 200 OK", [("X-Request-Id", request_id),
                                                 ("X-Response-Signature", f"{self.name}.{request_id}")], text))
        await writer.drain()

    async def stream(self, reader, writer, headers, request_id):
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"X-Request-Id: {request_id}\r\nX-Response-Signature: {self.name}.{request_id}\r\n"
                      "X-Confidence: 90\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        count = self.events_of(headers)
        for number in range(int(headers.get("last-event-id", "0")) + 1, count + 1):
            await self.work(reader, self.gap_s)
            event = f"id: {number}\ndata: {request_id} {number}/{count}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Link(Listener):
    """The network before a worker: forwards each channel to it, and can reset some of them."""

    def __init__(self, target):
        super().__init__()
        self.target, self.channels = target, {}

    async def serve(self, reader, writer):
        host, port = self.target.split(":")
        there = await asyncio.open_connection(host, int(port))
        self.channels[writer] = [there[1], ""]
        try:
            await asyncio.gather(self.pump(reader, there[1], writer), self.pump(there[0], writer, there[1]))
        finally:
            del self.channels[writer]
            there[1].close()

    async def pump(self, reader, writer, other):
        try:
            while data := await reader.read(65536):
                request = re.search(rb"X-Request-Id: (\S+)", data) if other in self.channels else None
                if request:
                    self.channels[other][1] = request.group(1).decode("latin1")
                writer.write(data)
                await writer.drain()
            writer.close()
        except ConnectionError:
            reset(writer)
            reset(other)

    def reset_some(self, is_meant, share, rng):
        """Resets, at both ends, a share of the channels whose last request has an id that `is_meant`."""
        found = [(writer, there) for writer, (there, request) in self.channels.items() if is_meant(request)]
        chosen = rng.sample(found, round(len(found) * share))
        for writer, there in chosen:
            reset(writer)
            reset(there)
        return len(chosen)


# ---------------------------------------------------------------- clients

class Answer:
    """How a request ended: `status` 0 means that the channel ended without a complete answer."""

    def __init__(self, status, headers, body, end, sent, ended):
        self.status, self.headers, self.body, self.end, self.sent, self.ended = status, headers, body, end, sent, ended

    def __str__(self):
        return f"{self.status or self.end} after {(self.ended - self.sent) * 1000:.0f} ms {self.body[:100]!r}"


class Client:
    """A client with one channel to one host; a closed channel is opened anew for the next request."""

    def __init__(self, record, name, host, key="key-a"):
        self.record, self.name, self.host, self.key = record, name, host, key
        self.channel, self.count, self.answers = None, 0, []

    async def open(self):
        host, port = self.host.callers.split(":")
        self.channel = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 22), 1)

    def close(self):
        if self.channel is not None:
            self.channel[1].close()
            self.channel = None

    async def ask(self, method, path, body=b"", fields=(), limit_ms=4000, request_id=None, tell=True):
        self.count += 1
        request_id = request_id or f"{self.name}-{self.count}"
        sent, status, headers, text = time.monotonic(), 0, {}, b""
        try:
            if self.channel is None:
                await self.open()
            reader, writer = self.channel
            head = [("Host", "h.example"), ("X-Request-Id", request_id), ("Authorization", f"Token {self.key}"),
                    ("X-Deadline-Ms", limit_ms), *fields]
            sent = time.monotonic()
            writer.write(message(f"{method} {path} HTTP/1.1", head, body))
            line, headers = await asyncio.wait_for(read_head(reader), limit_ms / 1000 + 1)
            status = int(line.split(" ")[1])
            text = await asyncio.wait_for(self.read_body(reader, headers), limit_ms / 1000 + 1)
            end = "answered"
        except asyncio.TimeoutError:
            status, end = 0, "timeout"
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as failure:
            status, end = 0, f"channel ended ({type(failure).__name__})"
        answer = Answer(status, headers, text, end, sent, time.monotonic())
        answer.id = request_id
        self.answers.append(answer)
        if tell:
            self.record(f"client {self.name} to {self.host.name}: {method} {path} {request_id} -> {answer}")
        if end != "answered" or headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def read_body(self, reader, headers):
        if headers.get("transfer-encoding", "").lower() != "chunked":
            return await reader.readexactly(int(headers.get("content-length", "0")))
        text = b""
        while (size := int(await reader.readuntil(b"\r\n"), 16)) > 0:
            text += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return text


# ---------------------------------------------------------------- hosts

class Host:
    """One host process, started with the command and the settings template of the deploy file."""

    def __init__(self, fleet, number, zone="zone-a"):
        self.fleet, self.number, self.name, self.zone = fleet, number, f"front-{number}", zone
        self.ip = loopback(number)
        self.process = None
        self.started = self.ended = None

    def settings(self):
        return {"node": self.name, "zone": self.zone, "ip": self.ip,
                "listen": {"front": self.callers, "ready": self.ready_at, "directory": self.directory},
                "internal_ports": [self.fleet.peers_port, self.fleet.peers_port + 15],
                "seeds": [f"{host.ip}:{self.fleet.peers_port}" for host in self.fleet.hosts[:3]],
                "platform": {"address": self.fleet.store.address},
                "limits": {"cpu_share": 0.25, "memory_mb": self.fleet.memory_mb, "max_fds": 4100},
                "bounds": self.fleet.bounds}

    def start(self):
        if self.process is None:
            ports = set()
            while len(ports) < 3:
                ports.add(free_port(self.ip))
            self.callers, self.ready_at, self.directory = (f"{self.ip}:{port}" for port in ports)
        path = self.fleet.folder / f"{self.name}.settings"
        path.write_text(render(self.fleet.template, self.settings()))
        self.log = open(self.fleet.folder / f"{self.name}.log", "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["LAURELHOIST_BOOT"] = str(path)
        self.process = subprocess.Popen(self.fleet.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.started, self.ended = time.monotonic(), None
        self.fleet.record(f"host {self.name} started")

    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        self.fleet.record(f"host {self.name} gets {signal.Signals(number).name}")
        if self.is_alive():
            self.process.send_signal(number)

    def resident_kb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+)", text).group(1))
        except (OSError, AttributeError):
            return 0

    async def is_ready(self):
        try:
            host, port = self.ready_at.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return line.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Fleet:
    """The store, the workers and the hosts of one case."""

    bounds = {"revoke_ms": 5000, "expose_share": 0.15, "expose_slack": 30, "session_ttl_s": 5,
              "retry_budget_ratio": 0.9, "retry_window_s": 10, "retry_budget_slack": 52}
    memory_mb = 110

    def __init__(self, record):
        deploy = (ROOT / "deploy/system.toml").read_text()
        self.command = re.search(r'^run = "(.*)"', deploy, re.M).group(1).split()
        template = re.search(r'^template = "(.*)"', deploy, re.M).group(1)
        self.template = (ROOT / template).read_text()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is missing: run the build of the deploy file")
        self.record, self.hosts, self.workers = record, [], {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.peers_port = random.randrange(20000, 30000)
        self.version = 0

    async def begin(self, hosts, routes, services, tenants=None):
        self.store = await Store(self.record).listen(loopback(200))
        self.put_config(routes, services, tenants)
        for number in range(hosts):
            self.hosts.append(Host(self, number))
        for host in self.hosts:
            host.start()

    def put_config(self, routes, services, tenants=None):
        self.version += 3
        self.store.put("config", "main", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": tenants or [{"name": "team-a", "api_keys": ["key-a"]}]})

    async def add_worker(self, worker, has_link=False):
        await worker.listen(loopback(100))
        if has_link:
            worker.link = await Link(worker.address).listen(loopback(101))
        self.workers[worker.name] = worker
        self.store.put("servers", worker.name, worker.entry())
        return worker

    async def until_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while not all([await host.is_ready() for host in self.hosts]):
            if time.monotonic() > end:
                raise CannotRun("the hosts are not ready")
            await asyncio.sleep(0.1)

    def stop(self):
        for host in self.hosts:
            if host.is_alive():
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
            if host.process is not None:
                host.process.wait()
                host.log.close()
        links = [worker.link for worker in self.workers.values() if worker.link]
        for listener in [*links, *self.workers.values(), *([self.store] if hasattr(self, "store") else [])]:
            listener.stop()
        keep = os.environ.get("KEEP_LOGS")
        for path in self.folder.iterdir():
            if keep:
                os.makedirs(keep, exist_ok=True)
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
            path.unlink()
        self.folder.rmdir()


def require_answers(answers, least):
    """The case has shown something only if the clients were served at all."""
    served = sum(answer.status == 200 for answer in answers)
    if served < least:
        raise CannotRun(f"{served} requests were served, {least} are needed")


def route(name, kind, service, **more):
    timeout = {"safe": 4000, "unsafe": 4000, "streaming": 20000}[kind]
    base = {"name": name, "host": "h.example", "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout,
            "target_latency_ms": 2000 if kind == "streaming" else 300, "priority": 1, "service": service,
            "max_attempts": 1 if kind == "unsafe" else 3, "allow_anonymous": False}
    if kind == "streaming":
        base.update({"target_gap_ms": 600, "resume_streams": True, "session_affinity": True})
    return {**base, **more}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_connections": 100, "protocol": "h1", "tls": False}


def engine_service(name, slots):
    return {"name": name, "health_path": "/healthz", "max_connections": 230, "protocol": "h1", "tls": False,
            "engine": {"slots": slots, "kv_capacity_tokens": 600000, "models": [{"name": "m0", "cost": 0.02}]}}


def run_case(folder, case, limit_s=110):
    """Runs `case(record, fleet)`, which returns whether the rule was broken, and ends the script with its result."""
    record = Record(folder)

    async def guarded():
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        fleet = Fleet(record)
        try:
            return await asyncio.wait_for(case(record, fleet), limit_s)
        finally:
            fleet.stop()

    try:
        code = 1 if asyncio.run(guarded()) else 0
    except (Exception, KeyboardInterrupt, asyncio.CancelledError) as failure:  # whatever it was, it shows no fault
        record.say(f"could not run: {failure!r}")
        code = 2
    record.say(f"trouble {'on' if TROUBLE else 'off'}: {['the rule held', 'the rule was broken', 'not run'][code]}")
    record.close()
    raise SystemExit(code)
