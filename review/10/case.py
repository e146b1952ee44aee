"""A store that is silent to one machine for 0.8 s loses the response to the watch of the workers. The machine goes on
with a channel that returns nothing, while its other calls are answered."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from fleet import BOUNDS, Fleet, Worker, require_service, run_case  # noqa: E402

SILENCE_S = 0.8
CONTACT_S = BOUNDS["contact_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000
SERVING_AFTER_DRAIN_S = 5.0  # "a little longer (at times many seconds)"

ROUTE = {"name": "claims", "host": "h.example", "path_prefix": "/claims/", "kind": "unsafe", "timeout_ms": 4000,
         "target_latency_ms": 300, "max_attempts": 1, "priority": 0, "allow_anonymous": True, "service": "claimsvc"}
SERVICE = {"name": "claimsvc", "health_path": "/healthz", "max_connections": 100}


async def send_requests(fleet, stop):
    number, tasks = 0, []
    while not stop.is_set():
        machine = fleet.machines[number % len(fleet.machines)]
        tasks.append(asyncio.create_task(fleet.ask(machine, f"r{number}", "/claims/1")))
        number += 1
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)


async def play(record, has_trouble):
    fleet = Fleet(record, machines=3)
    stop = asyncio.Event()
    try:
        await fleet.start([Worker(f"i-{n}", "claimsvc", record) for n in range(4)], [ROUTE], [SERVICE])
        traffic = asyncio.create_task(send_requests(fleet, stop))
        await asyncio.sleep(1)
        machine, leaving = fleet.machines[1], fleet.workers["i-0"]
        # Two workers join, one after the other. The store is silent to one machine as the second one joins.
        await machine.door.wait_for_call("/objects/config")
        await fleet.add(Worker("i-4", "claimsvc", record))
        await asyncio.sleep(0.4)
        if has_trouble:
            record.note("silence_begins", machine=machine.name)
            machine.door.is_silent = True
        await asyncio.sleep(0.1)
        await fleet.add(Worker("i-5", "claimsvc", record))
        await asyncio.sleep(SILENCE_S - 0.1)
        machine.door.is_silent = False
        record.note("silence_ends", machine=machine.name)
        # The machine and the store have been without disturbance for contact_ms when a worker drains.
        await asyncio.sleep(CONTACT_S + 0.2)
        fleet.list(leaving, "draining")
        drained_at = time.monotonic()
        await asyncio.sleep(DRAIN_S + SERVING_AFTER_DRAIN_S)
        fleet.store.remove("servers", leaving.name)
        leaving.crash()
        record.note("worker_ends", worker=leaving.name)
        await asyncio.sleep(0.5)
        stop.set()
        await traffic
    finally:
        fleet.stop()
    require_service(fleet, 0.9)
    late = [(at - drained_at, request_id) for at, request_id in leaving.runs if at > drained_at + DRAIN_S]
    record.note("result", served=sum(each["status"] == 200 for each in fleet.answers), sent=len(fleet.sent),
                late=len(late))
    return [f"DRAIN: {request_id}, sent to {fleet.sent[request_id][1].name}, reached {leaving.name} {after:.2f} s after "
            f"the store accepted that it drains (drain_ms {BOUNDS['drain_ms']})" for after, request_id in late]


run_case(FOLDER, play)
