"""A stream whose channel was reset is resumed at a worker that fails it: the failure is written into the stream."""
import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import TROUBLE, CannotRun, Client, Worker, engine_service, message, route, run_case  # noqa: E402

HOSTS, WORKERS, SLOTS = 10, 8, 32
STREAMS = 100             # clients; half of them at the first host
EVENTS, GAP_S = 60, 0.05
GREY_X = 0.45             # srv_grey: one of eight workers (share 0.125) fails this part of its requests
RESET_X = 0.5             # reset_conns: one of ten hosts (share 0.1) has this part of its channels reset
ROUNDS, GREY_FOR_S = 6, 6.5  # srv_grey lasts for 6.5 s; each round has another grey worker
RESETS_AT_S = (1.0, 4.0)     # in each round


class Engine(Worker):
    grey = 0.0

    async def stream(self, reader, writer, headers, request_id):
        if self.grey and random.random() < self.grey:
            self.record(f"worker {self.name} fails {request_id} with 400, Last-Event-Id {headers.get('last-event-id')}")
            writer.write(message("HTTP/1.1 400 Bad Request", [
                ("X-Request-Id", request_id), ("X-Response-Signature", f"{self.name}.{request_id}")], b"failed"))
            await writer.drain()
            return
        await super().stream(reader, writer, headers, request_id)


class StreamClient(Client):
    """Notes what stands where the size of a chunk belongs."""
    spoiled = None
    is_kept = False

    async def read_body(self, reader, headers):
        if headers.get("transfer-encoding", "").lower() != "chunked":
            return await reader.readexactly(int(headers.get("content-length", "0")))
        text = b""
        while True:
            line = await reader.readuntil(b"\r\n")
            try:
                size = int(line, 16)
            except ValueError:
                self.spoiled = line + await reader.read(200)
                try:
                    self.is_kept = await asyncio.wait_for(reader.read(1), 1) != b""
                except asyncio.TimeoutError:
                    self.is_kept = True  # neither more bytes nor an end within a second
                raise ConnectionResetError("no chunk") from None
            text += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return text


async def case(record, fleet):
    rng = random.Random(5)
    await fleet.begin(HOSTS, [route("eligchat", "streaming", "laurel-pool")], [engine_service("laurel-pool", SLOTS)])
    for number in range(WORKERS):
        engine = Engine(record, f"i-pool-{number}", "laurel-pool", slots=SLOTS, queue=2 * SLOTS)
        engine.events_of, engine.gap_s = (lambda headers: EVENTS), GAP_S
        await fleet.add_worker(engine, has_link=True)
    await fleet.until_ready()
    begun, spoiled, counts = time.monotonic(), [], {}
    end = begun + 4 + ROUNDS * GREY_FOR_S

    async def ask(number):
        turn = 0
        while time.monotonic() < end:
            turn += 1
            host = 0 if number % 2 else number % HOSTS
            client = StreamClient(record, f"h{host}-{number}-{turn}", fleet.hosts[host])
            fields = [("X-Token-Counts", "60,400"), ("X-Model", "m0"), ("X-Prompt-Prefix", f"{number:x}{turn:x}:60")]
            answer = await client.ask("POST", "/eligchat/2f", b"x" * 80, fields, limit_ms=15000)
            counts[answer.status] = counts.get(answer.status, 0) + 1
            if client.spoiled is not None:
                spoiled.append(answer.id)
                record(f"client {client.name} to {client.host.name}: in the stream of {answer.id}, where a chunk is due: "
                       f"{client.spoiled!r}; the channel is {'kept' if client.is_kept else 'closed'}")
            client.close()
            await asyncio.sleep(random.uniform(0, 0.5))

    def is_of_first_host(request):
        return request.startswith("h0-")

    async def disturb():
        await asyncio.sleep(3.5)
        if not TROUBLE:
            return
        for number in range(ROUNDS):
            grey, since = fleet.workers[f"i-pool-{number}"], time.monotonic()
            grey.grey = GREY_X
            for at in RESETS_AT_S:
                await asyncio.sleep(since + at - time.monotonic())
                count = sum(worker.link.reset_some(is_of_first_host, RESET_X, rng) for worker in fleet.workers.values())
                record(f"{count} channels of {fleet.hosts[0].name} to workers are reset; {grey.name} is grey")
            await asyncio.sleep(since + GREY_FOR_S - time.monotonic())
            grey.grey = 0.0

    await asyncio.gather(disturb(), *[ask(number) for number in range(STREAMS)])
    if counts.get(200, 0) < 200:
        raise CannotRun(f"answers by status {counts}")
    record.say(f"answers by status {counts}; {len(spoiled)} streams with bytes that are no part of the answer: {spoiled}")
    return bool(spoiled)


run_case(FOLDER, case)
