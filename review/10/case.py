"""A worker leaves shortly after the store has refused a machine for a moment. When the store refuses the machine again,
seconds later, the machine takes up the worker that it knows to have left."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from fleet import BOUNDS, Fleet, Worker, run_case  # noqa: E402

REFUSAL_S = 3.0
LEAVES_AFTER_S = 1.0         # after the first refusal
SECOND_REFUSAL_AFTER_S = 6.0  # after the first refusal
DRAIN_S = BOUNDS["drain_ms"] / 1000

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


async def refuse(record, machine, has_trouble):
    record.note("refusal_begins" if has_trouble else "no_refusal", machine=machine.name)
    machine.door.refuses = has_trouble
    await asyncio.sleep(REFUSAL_S)
    machine.door.refuses = False
    record.note("refusal_ends", machine=machine.name)


async def play(record, has_trouble):
    fleet = Fleet(record, machines=3)
    stop = asyncio.Event()
    try:
        await fleet.start([Worker(f"i-{n}", "claimsvc", record) for n in range(4)], [ROUTE], [SERVICE])
        traffic = asyncio.create_task(send_requests(fleet, stop))
        await asyncio.sleep(1)
        machine, leaving = fleet.machines[1], fleet.workers["i-0"]
        await refuse(record, machine, has_trouble)
        await asyncio.sleep(LEAVES_AFTER_S)
        fleet.store.remove("servers", leaving.name)
        left_at = time.monotonic()
        record.note("store_removes", worker=leaving.name)
        await asyncio.sleep(SECOND_REFUSAL_AFTER_S - LEAVES_AFTER_S)
        await refuse(record, machine, has_trouble)
        leaving.crash()
        record.note("worker_ends", worker=leaving.name)
        await asyncio.sleep(0.5)
        stop.set()
        await traffic
    finally:
        await fleet.stop()
    late = [(at - left_at, request_id) for at, request_id in leaving.runs if at > left_at + DRAIN_S]
    record.note("result", served=sum(each["status"] == 200 for each in fleet.answers), sent=len(fleet.sent),
                late=len(late))
    return [f"DRAIN: {request_id}, sent to {fleet.sent[request_id][1].name}, reached {leaving.name} {after:.2f} s after "
            f"the store removed it (drain_ms {BOUNDS['drain_ms']})" for after, request_id in late]


run_case(FOLDER, play)
