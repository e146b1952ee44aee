"""One worker crashes and starts again under its id. When the store tells of it, all machines cut the streams that the other,
sound workers are running."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from fleet import Fleet, Worker, run_case  # noqa: E402
from standins import answer, read_request, response_signature  # noqa: E402

WORKERS = 8             # one of them crashes, once
DOWN_S = 1.0            # until it runs again
EVENTS, EVENT_S = 15, 0.1
CLIENTS = 18            # kept channels, each with one request at a time
ALLOWED = 3             # "more than three times" breaks the rule

ROUTE = {"name": "drafts", "host": "h.example", "path_prefix": "/drafts/", "kind": "streaming", "timeout_ms": 20000,
         "target_latency_ms": 2000, "target_gap_ms": 600, "resume_streams": False, "max_attempts": 2, "priority": 0,
         "allow_anonymous": True, "service": "laurel-pool"}
SERVICE = {"name": "laurel-pool", "health_path": "/healthz", "max_connections": 230}


class StreamWorker(Worker):
    """A worker whose answers are streams. A crash ends its process; the next one has the same id and address."""

    def __init__(self, *rest):
        super().__init__(*rest)
        self.born = int(time.time() * 1000)
        self.streams = {}  # request id -> whether the machine closed its channel before the end

    def entry(self, state="ready"):
        return {**super().entry(state), "born": self.born}

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            _, _, headers, _ = request
            request_id = headers.get("x-request-id", "")
            if headers.get("x-expect-instance", self.name) != self.name:
                writer.write(answer(421, b"", [("X-Not-Executed", "1"), ("X-Request-Id", request_id)]))
                continue
            self.streams[request_id] = False
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
                    self.streams[request_id] = True
                    self.record.note("cut_by_machine", worker=self.name, id=request_id, event=number)
                    return
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    async def restart(self):
        self.record.note("crashes", worker=self.name)
        self.crash()
        await asyncio.sleep(DOWN_S)
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


async def play(record, has_trouble):
    fleet = Fleet(record, machines=3)
    stop = asyncio.Event()
    try:
        workers = [StreamWorker(f"i-{n}", "laurel-pool", record) for n in range(WORKERS)]
        await fleet.start(workers, [ROUTE], [SERVICE])
        clients = [asyncio.create_task(client(fleet, number, stop)) for number in range(CLIENTS)]
        await asyncio.sleep(2)
        if has_trouble:
            await workers[0].restart()
            fleet.list(workers[0])
        await asyncio.sleep(3)
        stop.set()
        await asyncio.gather(*clients)
    finally:
        await fleet.stop()
    whole = {each["id"] for each in fleet.answers if each["status"] == 200 and not each["problem"]}
    cut = [(request_id, worker) for worker in workers[1:] for request_id, is_cut in worker.streams.items()
           if is_cut and request_id not in whole]
    record.note("result", sent=len(fleet.sent), whole=len(whole), cut_by_machine=len(cut))
    if len(cut) <= ALLOWED:
        return []
    return [f"LOST: {len(cut)} streams of kept channels, which the seven other workers were running, were cut by the "
            f"machines; {ALLOWED} are allowed"] + [f"  {request_id} at {worker.name}" for request_id, worker in cut[:10]]


run_case(FOLDER, play)
