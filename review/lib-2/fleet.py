"""A small deployment for the scripts of this review: entry hosts as real processes with the deploy file's command and
settings template, and stand-ins for the store, the workers and the clients. Everything listens on loopback."""
import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "soak"))
from standins import Listener, Store, answer, read_request, response_signature  # noqa: E402

BOUNDS = {"drain_ms": 2000, "contact_ms": 3000, "grace_s": 8, "config_apply_ms": 2000, "revoke_ms": 5000,
          "retry_budget_ratio": 0.9, "retry_window_s": 10, "retry_budget_slack": 54, "expose_share": 0.15,
          "expose_slack": 30, "session_ttl_s": 5, "loss_slack_ms": 200}


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds from the start of the script."""

    def __init__(self, path):
        self.began, self.file = time.monotonic(), open(path, "w")

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")

    def close(self):
        self.file.close()


def look_up(fields, name):
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) and part.isdigit() and int(part) < len(value) else (
            value.get(part) if isinstance(value, dict) else None)
    return value


def render(template, fields):
    """Fills in the placeholders of DEPLOY.md that deploy/settings.template uses: values and conditional sections."""
    def section(match):
        return match.group(2) if look_up(fields, match.group(1)) else ""

    def value(match):
        found = look_up(fields, match.group(1))
        return "" if found is None else ",".join(found) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def free_port(address, taken):
    while True:
        with socket.socket() as probe:
            probe.bind((address, 0))
            port = probe.getsockname()[1]
        if port not in taken and port + 1 not in taken:
            taken.add(port)
            return port


class Door(Listener):
    """The store as one machine reaches it. While `is_silent`, a response that is due is lost, and its channel returns
    nothing further; a call that arrives is not answered either. While it `refuses`, a call that arrives gets 503.
    Other machines are served."""

    def __init__(self, store, record, machine):
        self.store, self.record, self.machine = store, record, machine
        self.is_silent, self.refuses, self.calls = False, False, []  # calls: (arrival time, target) of each

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            method, target, _, body = request
            self.calls.append((time.monotonic(), target))
            if self.refuses:
                writer.write(answer(503, b"{}"))
                await writer.drain()
                continue
            reply = None if self.is_silent else await self.store.handle(method, target, body)
            if reply is None or self.is_silent:
                self.record.note("response_lost", machine=self.machine, call=target)
                await reader.read()  # Until the machine closes the channel.
                return
            writer.write(reply)
            await writer.drain()

    async def wait_for_call(self, part, timeout=10):
        """Waits until a call whose target contains `part` arrives."""
        seen, end = len(self.calls), time.monotonic() + timeout
        while time.monotonic() < end:
            if any(part in target for _, target in self.calls[seen:]):
                return True
            await asyncio.sleep(0.005)
        return False


class Worker(Listener):
    """A worker of a plain service. Serves one request at a time on a channel and keeps channels open."""

    def __init__(self, name, service, record, version="v1", work_s=0.03):
        self.name, self.service, self.record, self.version = name, service, record, version
        self.work_s, self.runs = work_s, []  # (arrival time, request id) of each run

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            _, target, headers, body = request
            request_id = headers.get("x-request-id", "")
            if headers.get("x-expect-instance", self.name) != self.name:
                writer.write(answer(421, b"", [("X-Not-Executed", "1"), ("X-Request-Id", request_id)]))
                continue
            if target == "/healthz":  # A liveness check is no run.
                writer.write(answer(200, b"", [("X-Instance-Id", self.name)]))
                continue
            self.runs.append((time.monotonic(), request_id))
            self.record.note("run", worker=self.name, id=request_id, target=target)
            await asyncio.sleep(self.work_s)
            text = f"done {request_id} by {self.name}".encode()
            writer.write(answer(200, text, [("X-Request-Id", request_id),
                                            ("X-Response-Signature", response_signature(request_id, text))]))
            await writer.drain()

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "hall", "state": state,
                "version": self.version, "slots": 6, "cold_remaining_ms": 0, "sequence": 1}


class Machine:
    """One machine with its entry host process."""

    def __init__(self, fleet, number):
        self.fleet, self.name = fleet, f"front-hall-{number}"
        # An address of its own, and the same ports as the other machines, as on a network.
        self.ip = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}.{number + 1}"
        self.process = None

    async def start(self):
        fleet = self.fleet
        self.door = await Door(fleet.store, fleet.record, self.name).listen()
        ports = fleet.ports
        fields = {"node": self.name, "zone": "hall", "ip": self.ip,
                  "listen": {name: f"{self.ip}:{ports[name]}" for name in ("front", "ready", "control", "directory")},
                  "internal_ports": [ports["internal"], ports["internal"] + 1],
                  "seeds": [f"{other.ip}:{ports['control']}" for other in fleet.machines[:3]],
                  "limits": {"memory_mb": 260, "cpu_share": 0.25}, "bounds": {**BOUNDS, **fleet.bounds},
                  "platform": {"address": f"127.0.0.1:{self.door.port}"}}
        path = fleet.folder / f"{self.name}.flags"
        path.write_text(render((ROOT / fleet.role["template"]).read_text(), fields))
        self.log = open(fleet.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(  # Not awaited: a script that is ended here would not know of the process.
            fleet.role["run"].split(), cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"), "LANG": "C.UTF-8",
                 "LAURELHOIST_BOOT": str(path)})

    def signal(self, number):
        self.fleet.record.note("signal", machine=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)


class Fleet:
    """The machines, the store and the workers of one script."""

    def __init__(self, record, machines, bounds=None):
        self.record, self.bounds = record, bounds or {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]
        self.machines = [Machine(self, number) for number in range(machines)]
        self.workers, self.config_version = {}, 0
        self.answers = []  # {id, status, headers, body, problem} of each request
        self.sent = {}     # request id -> (time, machine)

    async def start(self, workers, routes, services, tenants=()):
        self.store = Store()
        taken = set()
        self.ports = {name: free_port(self.machines[0].ip, taken)
                      for name in ("front", "ready", "control", "directory", "internal")}
        for worker in workers:
            await self.add(worker)
        self.write_config(routes, services, tenants)
        for machine in self.machines:
            await machine.start()
        await asyncio.gather(*[self.wait_until_ready(machine) for machine in self.machines])
        await asyncio.sleep(1.5)  # The machines learn of one another.

    async def add(self, worker):
        await worker.listen()
        self.workers[worker.name] = worker
        self.list(worker)

    def list(self, worker, state="ready"):
        self.record.note("store_accepts", worker=worker.name, state=state)
        self.store.put("servers", worker.name, worker.entry(state))

    def write_config(self, routes, services, tenants=()):
        self.config_version += 7
        self.store.put("config", "main", {
            "version": self.config_version, "routes": routes, "services": services, "tenants": list(tenants),
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000,
                       "idle_timeout_ms": 30000}})
        self.record.note("store_accepts", config=self.config_version)

    async def wait_until_ready(self, machine):
        end = time.monotonic() + 20
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(machine.ip, self.ports["ready"])
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                status = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200" in status:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{machine.name} does not become ready")

    async def open(self, machine):
        return await asyncio.wait_for(asyncio.open_connection(machine.ip, self.ports["front"]), 1)

    async def ask(self, machine, request_id, path, method="POST", fields=(), body=b"x" * 200, timeout=6.0):
        """Sends one request on a channel of its own and reads the answer."""
        return await self.ask_on(None, machine, request_id, path, method, fields, body, timeout)

    async def ask_on(self, channel, machine, request_id, path, method="POST", fields=(), body=b"x" * 200, timeout=6.0):
        """Sends one request on `channel`, or on a channel of its own, and reads the answer. For a kept channel, returns
        whether it may be used again."""
        self.sent[request_id] = (time.monotonic(), machine)
        self.record.note("sent", id=request_id, to=machine.name, path=path)
        result = {"id": request_id, "status": None, "headers": {}, "body": b"", "problem": ""}
        writer = None
        try:
            reader, writer = channel or await self.open(machine)
            head = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {request_id}\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in fields)
            head += f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
            writer.write(head.encode() + b"\r\n" + (body if method == "POST" else b""))
            await asyncio.wait_for(self.read_answer(reader, result), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as problem:
            result["problem"] = repr(problem)
        is_kept = channel is not None and not result["problem"] and result["headers"].get("connection") != "close"
        if writer is not None and not is_kept:
            writer.close()
        self.answers.append(result)
        self.record.note("answered", id=request_id, status=result["status"], problem=result["problem"] or "-")
        return is_kept if channel is not None else result

    async def read_answer(self, reader, result):
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        result["status"] = int(lines[0].split(" ")[1])
        headers = result["headers"]
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding") == "chunked":
            while (size := int(await reader.readuntil(b"\r\n"), 16)) > 0:
                result["body"] += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            result["body"] = await reader.readexactly(int(headers.get("content-length", "0")))

    def stop(self):
        """Ends the processes. Does not wait for anything else, so that a second signal interrupts nothing."""
        for machine in self.machines:
            if machine.process is not None:
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def require_service(fleet, least):
    """Raises if fewer than the part `least` of the requests were served: the case then shows nothing."""
    served = sum(each["status"] == 200 and not each["problem"] for each in fleet.answers)
    if served < least * len(fleet.sent):
        raise RuntimeError(f"{served} of {len(fleet.sent)} requests were served")


async def play_until_signal(play, record, has_trouble):
    """Plays the case; a signal that ends the script ends its processes first."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(play(record, has_trouble), 110)


def run_case(folder, play):
    """Runs `play(record, has_trouble)`, which returns the violations. Exits 1 if there are any, 0 if not, 2 if the case
    could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        violations = asyncio.run(play_until_signal(play, record, has_trouble))
    except (Exception, asyncio.CancelledError) as problem:  # The script itself has failed or was ended.
        record.note("could_not_run", problem=repr(problem))
        print(f"could not run: {problem!r}")
        sys.exit(2)
    finally:
        record.close()
    for violation in violations:
        print(violation)
    print("broken" if violations else "held")
    sys.exit(1 if violations else 0)
