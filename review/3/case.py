"""A planned stop cuts the requests that wait for a worker: their channels end without an answer."""
import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import TROUBLE, Client, Worker, engine_service, require_answers, route, run_case  # noqa: E402

GRACE_S = 8.0
LOSS_SLACK_S = 0.2
LIMIT_S = 20.0            # time limit of the client and timeout of the route
SLOTS, ENGINES = 16, 2
EVENTS, GAP_S = 10, 0.3   # a stream of 3 s, with pauses of half of what the route allows
LOAD = 1.5                # requests that arrive, as a multiple of what the workers can run


async def case(record, fleet):
    await fleet.begin(2, [route("appdraft", "streaming", "laurel-pool")], [engine_service("laurel-pool", SLOTS)])
    for number in range(ENGINES):
        worker = await fleet.add_worker(Worker(record, f"i-pool-{number}", "laurel-pool", slots=SLOTS, queue=2 * SLOTS))
        worker.events_of, worker.gap_s = (lambda headers: EVENTS), GAP_S
    await fleet.until_ready()
    rng = random.Random(7)
    begun, stop_at, answers, tasks = time.monotonic(), 26.0, [], []
    stopped = []

    async def ask(number):
        client = Client(record, f"c{number}", fleet.hosts[number % 2])
        if fleet.hosts[number % 2] is fleet.hosts[0] and stopped and time.monotonic() > stopped[0] + 3:
            client.host = fleet.hosts[1]     # its directory entry has expired
        fields = [("X-Token-Counts", "600,240"), ("X-Model", "m0"), ("X-Prompt-Prefix", f"aa:100,{number:x}:500")]
        answers.append((client.host, await client.ask("POST", "/appdraft/2f", b"x" * 800, fields, limit_ms=int(LIMIT_S * 1000))))

    async def arrive():
        number = 0
        while time.monotonic() < begun + stop_at + GRACE_S:
            number += 1
            tasks.append(asyncio.create_task(ask(number)))
            await asyncio.sleep(rng.expovariate(LOAD * SLOTS * ENGINES / (EVENTS * GAP_S)))

    async def stop():
        await asyncio.sleep(stop_at)
        stopped.append(time.monotonic())
        if TROUBLE:
            fleet.hosts[0].signal(signal.SIGTERM)
            await asyncio.sleep(GRACE_S)
            if fleet.hosts[0].is_alive():
                fleet.hosts[0].signal(signal.SIGKILL)

    await asyncio.gather(arrive(), stop())
    await asyncio.gather(*tasks)
    require_answers([answer for _, answer in answers], 100)
    passed_on = {run["id"] for worker in fleet.workers.values() for run in worker.runs}
    passed_on |= {request for worker in fleet.workers.values() for request, _ in worker.arrivals}

    def is_lost(host, answer):
        """By the rule: around the SIGTERM of its machine, later than the slack, not at its time limit. Those that were
        passed on are left out, whatever became of them, as an excuse of the rule may hold for them."""
        is_around_stop = answer.sent <= stopped[0] + GRACE_S and stopped[0] <= answer.ended <= stopped[0] + GRACE_S + 1
        return (host is fleet.hosts[0] and is_around_stop and answer.end.startswith("channel ended")
                and LOSS_SLACK_S < answer.ended - answer.sent < LIMIT_S and answer.id not in passed_on)

    lost = [answer for host, answer in answers if is_lost(host, answer)]
    statuses = {}
    for _, answer in answers:
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    record.say(f"answers by status {statuses}; {len(lost)} requests that reached no worker ended with their channel: "
               + ", ".join(f"{a.id} sent {a.sent - stopped[0]:+.1f} s, ended {a.ended - stopped[0]:+.1f} s" for a in lost))
    return bool(lost)


run_case(FOLDER, case)
