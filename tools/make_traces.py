#!/usr/bin/env python3
"""Generates the traces under traces/ from fixed seeds. Each trace is a scenario that the users described, with its
faults and the outcome that a replay must reach. A trace recorded by an entry (laurel-entry --record) has the same form of request lines."""
import json
import pathlib
import random

ROOT = pathlib.Path(__file__).resolve().parent.parent / "traces"


def lines(seed, rate_at, length_ms, service_share, stream_share):
    rng = random.Random(seed)
    at = 0.0
    while True:
        at += rng.expovariate(rate_at(at)) * 1000
        if at >= length_ms:
            return
        big = rng.random() < 0.5
        team = rng.randrange(2) if big else rng.randrange(2, 10)
        service = rng.random() < service_share
        line = {"at_us": int(at * 1000), "team": f"team-{team}", "kind": rng.choice(["short", "long"]),
                "service": "booking" if service else "",
                "path": ("book" if rng.random() < 0.7 else "free") if service else "",
                "stream": (not service) and rng.random() < stream_share, "tokens": rng.randrange(10, 40)}
        yield line


def write(name, header, requests):
    ROOT.mkdir(exist_ok=True)
    text = [json.dumps({"name": name, **header})] + [json.dumps(line) for line in requests]
    (ROOT / f"{name}.jsonl").write_text("\n".join(text) + "\n")


def event(at_ms, action, target="", value=0.0):
    return {"at_ms": at_ms, "action": action, "target": target, "value": value}


write("advisers-morning",
      {"site": "brazda", "seed": 101, "length_ms": 60000,
       "events": [event(15000, "roll", "", 0.3)],
       "outcome": {"least_whole_share": 0.995, "most_bad_answers": 20, "least_quality_share": 0.93,
                   "most_p95_ms": 2000, "final_bundle": "bundle-1"}},
      lines(101, lambda at: 30 + at / 2000, 60000, 0.15, 0.25))
write("counter-rush",
      {"site": "consorzio", "seed": 102, "length_ms": 45000,
       "events": [event(15000, "lose_domain", "pa-sud", 20000)],
       "outcome": {"least_whole_share": 0.98, "least_quality_share": 0.93, "most_p95_ms": 2500,
                   "final_bundle": "bundle-1"}},
      lines(102, lambda at: 90 if 10000 < at < 30000 else 30, 45000, 0.35, 0.15))
write("store-outage",
      {"site": "brazda", "seed": 103, "length_ms": 90000,
       "events": [event(9000, "withdraw", "cheap@1"), event(10000, "store_down"),
                  event(40000, "kill_steward", "1", 5000), event(75000, "store_up")],
       "outcome": {"least_whole_share": 0.8, "most_p95_ms": 10000, "final_bundle": "bundle-1"}},
      lines(103, lambda at: 25, 90000, 0.2, 0.2))
write("host-replaced",
      {"site": "consorzio", "seed": 104, "length_ms": 45000,
       "events": [event(8000, "stop_entry", "0", 2000), event(22000, "kill_entry", "1", 3000),
                  event(32000, "silence_endpoint", "bookings-1")],
       "outcome": {"least_whole_share": 0.98, "most_p95_ms": 2500, "final_bundle": "bundle-1"}},
      lines(104, lambda at: 40, 45000, 0.5, 0.1))
