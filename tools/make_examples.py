#!/usr/bin/env python3
"""Generates the sample bundles and stand-in plans under examples/, so that their keys and sizes agree.

The team keys of the samples are "<team>-key"; a bundle holds only their SHA-256.
"""
import hashlib
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent / "examples"


def key_hash(team):
    return hashlib.sha256(f"{team}-key".encode()).hexdigest()


def write(name, document):
    (ROOT / name).write_text(json.dumps(document, indent=2) + "\n")


def model(name, version, pool, cost, prior, first_ms, token_ms):
    return {"name": name, "version": version, "pool": pool, "cost_per_1k_tokens": cost,
            "prior_quality": prior, "first_token_ms": first_ms, "token_ms": token_ms}


def team(name, ladder, services, weight=1, **more):
    return {"name": name, "key_sha256": key_hash(name), "ladder": ladder, "services": services,
            "quality": {"score": 0.7, "share": 0.95}, "latency_budget_ms": 10000, "weight": weight, **more}


def bundle(site, number, pools, cheap, costly, service, teams, steps):
    models = [cheap, costly]
    if cheap["version"] != "1":
        # Sessions may stay on version 1 during and after the roll-out of the new version.
        models.append({**cheap, "version": "1"})
        for entry in teams:
            entry["allow"] = [f"{cheap['name']}@1"]
    return {
        "id": f"{site}-{number}", "pools": pools,
        "models": models,
        "services": [service], "teams": teams,
        "rollout": {"steps": steps, "tolerated_drop": 0.03, "braked_drop": 0.4},
        "objectives": [{"team": t["name"], "latency_ms": 2000} for t in teams],
    }


def brazda(number, cheap_version):
    cheap = model("nacrt", cheap_version, "laurel-pool", 1, 0.8, 40, 2)
    costly = model("savjet", "1", "laurel-pool", 20, 0.97, 80, 3)
    ladder = [f"nacrt@{cheap_version}", "savjet@1"]
    service = {"name": "claims", "pool": "claims", "cost_per_call": 0.01,
               "calls": [{"path": "submit", "idempotent": False}, {"path": "check", "idempotent": True}]}
    names = ["osijek", "vukovar", "vinkovci", "dakovo", "nasice", "valpovo", "beli-manastir",
             "zupanja", "slatina", "orahovica"]
    teams = [team(name, ladder, ["claims"], weight=3 if i < 2 else 1) for i, name in enumerate(names)]
    pools = [{"name": "laurel-pool", "kind": "engine", "checks_fence": True, "slots": 8},
             {"name": "claims", "kind": "service", "slots": 16}]
    steps = [{"share": 0.1, "bake_ms": 4000}, {"share": 0.5, "bake_ms": 2000}, {"share": 1, "bake_ms": 1000}]
    return bundle("brazda", number, pools, cheap, costly, service, teams, steps)


def consorzio(number, cheap_version):
    cheap = model("bozza", cheap_version, "redattore", 1, 0.85, 20, 1)
    costly = model("atto", "1", "redattore", 15, 0.97, 50, 2)
    ladder = [f"bozza@{cheap_version}", "atto@1"]
    service = {"name": "bookings", "pool": "bookings", "cost_per_call": 0.02,
               "calls": [{"path": "book", "idempotent": False}, {"path": "free", "idempotent": True}]}
    names = ["studio-amari", "studio-bellini", "studio-caruso", "studio-dangelo", "studio-esposito",
             "studio-ferrara", "studio-gallo", "studio-leone", "studio-messina", "studio-russo"]
    teams = [team(name, ladder, ["bookings"], weight=3 if i < 2 else 1, latency_budget_ms=6000)
             for i, name in enumerate(names)]
    for entry in teams:
        entry["latency_budget_ms"] = 6000
    pools = [{"name": "redattore", "kind": "engine", "checks_fence": False, "slots": 8},
             {"name": "bookings", "kind": "service", "slots": 16}]
    steps = [{"share": 0.1, "bake_ms": 4000}, {"share": 0.5, "bake_ms": 2000}, {"share": 1, "bake_ms": 1000}]
    return bundle("consorzio", number, pools, cheap, costly, service, teams, steps)


def versions(cheap, costly):
    skill = lambda s, first, token: {"skill": s, "first_token_ms": first, "token_ms": token, "load_ms": 300}
    return {f"{cheap}@1": skill(0.82, 40, 2), f"{cheap}@2": skill(0.3, 40, 2),
            f"{cheap}@3": skill(0.86, 40, 2), f"{costly}@1": skill(0.985, 80, 3)}


def plan(port, domains, cheap, costly, engine_pool, engines, service_pool, services, checks_fence):
    local = lambda offset: f"127.0.0.1:{port + offset}"
    return {
        "platform": local(0), "rater": local(1), "control": local(2),
        "hosts": [f"steward-{i}" for i in range(8)] + [f"entry-{i}" for i in range(8)],
        "versions": versions(cheap, costly), "host_list_lag_ms": 1500,
        "pools": [
            {"name": engine_pool, "kind": "engine", "first_port": port + 100, "count": engines,
             "domains": domains, "slots": 8, "checks_fence": checks_fence,
             "loaded": [f"{cheap}@1", f"{costly}@1"]},
            {"name": service_pool, "kind": "service", "first_port": port + 200, "count": services,
             "domains": domains, "slots": 16},
        ],
    }


ROOT.mkdir(exist_ok=True)
write("brazda-1.json", brazda(1, "1"))
write("brazda-2-bad.json", brazda(2, "2"))
write("brazda-3.json", brazda(3, "3"))
write("consorzio-1.json", consorzio(1, "1"))
write("consorzio-2-bad.json", consorzio(2, "2"))
write("consorzio-3.json", consorzio(3, "3"))
write("standin-brazda.json", plan(16000, ["osk-hall1", "osk-hall2", "vuk-hall1", "sb-hall1"],
                                  "nacrt", "savjet", "laurel-pool", 18, "claims", 4, True))
write("standin-consorzio.json", plan(17000, ["pa-nord", "pa-sud", "pa-porto", "pa-monreale"],
                                     "bozza", "atto", "redattore", 12, "bookings", 4, False))
