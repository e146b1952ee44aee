"""One worker starts again under its id: after a crash, and in a second play after a planned stop. When the store tells of
it, all machines cut the streams that the other, sound workers are running."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from fleet import Fleet, Worker, require_service, run_case  # noqa: E402
from standins import answer, read_request, response_signature  # noqa: E402

WORKERS = 8             # one of them crashes, once
DOWN_S = 1.0            # until it runs again
EVENTS, EVENT_S = 15, 0.1
CLIENTS = 18            # kept channels, each with one request at a time
ALLOWED = 3             # "more than three times" breaks the rule
# The bounds of the deployment that the claim names.
CONTACT_S, DRAIN_S, CONFIG_APPLY_S = 4.0, 3.0, 3.0

ROUTE = {"name": "drafts", "host": "h.example", "path_prefix": "/drafts/", "kind": "streaming", "timeout_ms": 20000,
         "target_latency_ms": 2000, "target_gap_ms": 600, "resume_streams": False, "max_attempts": 2, "priority": 0,
         "allow_anonymous": True, "service": "laurel-pool"}
SERVICE = {"name": "laurel-pool", "health_path": "/healthz", "max_connections": 230}


class StreamWorker(Worker):
    """A worker whose answers are streams. A crash ends its process; the next one has the same id and address."""

    def __init__(self, *rest):
        super().__init__(*rest)
        self.born = int(time.time() * 1000)
        self.streams = {}  # request id -> when the machine closed its channel before the end, or None
        self.over = {}     # request id -> whether its run has ended

    def entry(self, state="ready"):
        return {**super().entry(state), "born": self.born}

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            _, _, headers, _ = request
            request_id = headers.get("x-request-id", "")
            if headers.get("x-expect-instance", self.name) != self.name:
                writer.write(answer(421, b"", [("X-Not-Executed", "1"), ("X-Request-Id", request_id)]))
                continue
            self.streams[request_id] = None
            self.over[request_id] = False
            self.record.note("run", worker=self.name, id=request_id)
            writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request_id}\r\n"
                          f"X-Response-Signature: {response_signature(request_id, b'')}\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(1, EVENTS + 1):
                event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_S)
                if reader.at_eof():
                    self.streams[request_id] = time.monotonic()
                    self.over[request_id] = True
                    self.record.note("cut_by_machine", worker=self.name, id=request_id, event=number)
                    return
            writer.write(b"0\r\n\r\n")
            self.over[request_id] = True
            await writer.drain()

    async def restart(self, down_s=DOWN_S):
        self.record.note("ends", worker=self.name)
        self.crash()
        await asyncio.sleep(down_s)
        self.writers = set()
        self.server = await asyncio.start_server(self.serve_safely, "127.0.0.1", self.port, limit=1 << 20)
        self.born = int(time.time() * 1000)
        self.record.note("runs_again", worker=self.name, born=self.born)


async def client(fleet, number, stop):
    """Asks one machine after another, each for a while, on a kept channel."""
    count, channel = 0, None
    while not stop.is_set():
        machine = fleet.machines[(number + count // 6) % len(fleet.machines)]
        request_id, count = f"c{number}-{count}", count + 1
        if channel is None or channel[0] is not machine:
            channel = (machine, await fleet.open(machine))
        if not await fleet.ask_on(channel[1], machine, request_id, "/drafts/1"):
            channel = None


async def play_crash(record, has_trouble):
    """One worker crashes, and runs again 1 s later."""
    fleet = Fleet(record, machines=3)
    stop = asyncio.Event()
    try:
        workers = [StreamWorker(f"i-{n}", "laurel-pool", record) for n in range(WORKERS)]
        await fleet.start(workers, [ROUTE], [SERVICE])
        clients = [asyncio.create_task(client(fleet, number, stop)) for number in range(CLIENTS)]
        await asyncio.sleep(CONTACT_S)
        if has_trouble:
            await workers[0].restart()
            fleet.list(workers[0])
        await asyncio.sleep(3)
        stop.set()
        await asyncio.gather(*clients)
    finally:
        fleet.stop()
    require_service(fleet, 0.5)
    cut = cut_streams(fleet, workers[1:])
    record.note("result_of_crash", sent=len(fleet.sent), cut_by_machine=len(cut))
    if len(cut) <= ALLOWED:
        return []
    return [f"LOST (at any time): after the crash of one worker, the machines cut {len(cut)} streams of kept channels that "
            f"the seven other workers were running; {ALLOWED} are allowed"]


async def play_planned(record, has_trouble):
    """One worker drains, exits and starts again at once under its id, while another joins and the config changes."""
    fleet = Fleet(record, machines=3)
    stop = asyncio.Event()
    try:
        workers = [StreamWorker(f"i-{n}", "laurel-pool", record) for n in range(WORKERS)]
        leaving = workers[0]
        await fleet.start(workers, [ROUTE], [SERVICE])
        clients = [asyncio.create_task(client(fleet, number, stop)) for number in range(CLIENTS)]
        await asyncio.sleep(CONTACT_S)
        fleet.list(leaving, "draining")
        await asyncio.sleep(DRAIN_S)
        while any(not is_over for is_over in leaving.over.values()):  # It serves until its last stream has ended.
            await asyncio.sleep(0.02)
        config_sent_at = time.monotonic()
        fleet.write_config([{**ROUTE, "timeout_ms": 18000}], [SERVICE])
        await asyncio.sleep(1.0)
        workers.append(StreamWorker(f"i-{WORKERS}", "laurel-pool", record))
        await fleet.add(workers[-1])
        await asyncio.sleep(0.05)
        fleet.store.remove("servers", leaving.name)  # The worker exits. Without the disruption, it stays away.
        record.note("store_removes", worker=leaving.name)
        if has_trouble:
            await leaving.restart(0.1)
            fleet.list(leaving)
        else:
            leaving.crash()
        await asyncio.sleep(CONFIG_APPLY_S)
        stop.set()
        await asyncio.gather(*clients)
    finally:
        fleet.stop()
    require_service(fleet, 0.5)
    end = config_sent_at + CONFIG_APPLY_S + 1
    cut = cut_streams(fleet, workers[1:])
    near = [each for each in cut if config_sent_at <= each[2] <= end]
    # Beside a config it counts only if cuts are over three times as frequent then as at other times.
    others = len(cut) - len(near)
    record.note("result_of_planned_work", sent=len(fleet.sent), cut_near_the_config=len(near), cut_at_other_times=others)
    if not near or len(near) / (end - config_sent_at) <= 3 * others / CONTACT_S:
        return []
    return [f"LOST (planned work): {len(near)} streams that the machines had passed on to other workers ended without a "
            f"complete answer; none is allowed"]


def cut_streams(fleet, workers):
    """Returns (request, worker, time) of each stream that a machine cut at one of these workers."""
    whole = {each["id"] for each in fleet.answers if each["status"] == 200 and not each["problem"]}
    return [(request_id, worker, at) for worker in workers for request_id, at in worker.streams.items()
            if at is not None and request_id not in whole]


async def play(record, has_trouble):
    return await play_crash(record, has_trouble) + await play_planned(record, has_trouble)


run_case(FOLDER, play)
