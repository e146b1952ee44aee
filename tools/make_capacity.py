#!/usr/bin/env python3
"""Generates docs/CAPACITY.md from the measured slopes in docs/data (laurel-bench --experiment=control,
tools/bench_entry.sh) and the target fleet size. Run it again after each new measurement."""
import csv
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
ENTRIES, STEWARDS, ENDPOINTS, TEAMS = 400, 18, 6100, 60
REQUESTS, TOKENS, CHANGES_A_DAY = 12000, 2_700_000, 4300
EXITS_A_DAY, SUBSET, LINKS = 1320, 64, 3
ALLOWED_CPU_MS, ALLOWED_MB, ALLOWED_BYTES = 11, 128, 6000
DAY = 86400


def rows(name):
    with open(ROOT / "docs" / "data" / name) as file:
        return [{k: (v if k == "varied" else float(v)) for k, v in row.items()} for row in csv.DictReader(file)]


control = rows("control.csv")
cost = rows("entry_cost.csv")


def varied(name):
    return [row for row in control if row["varied"] == name]


def total(row, column):
    return row[column] * (row["entries"] + row["stewards"])


# Bytes per second that each further entry adds over all links, and that each ordered pair of stewards adds.
entries = varied("entries")
entry_bytes = (total(entries[-1], "bytes_per_node_s") - total(entries[0], "bytes_per_node_s")) / (
    entries[-1]["entries"] - entries[0]["entries"])
stewards = varied("stewards")
pair_bytes = max((total(row, "bytes_per_node_s") - row["entries"] * entry_bytes) /
                 (row["stewards"] * (row["stewards"] - 1)) for row in stewards)
entry_cpu = (total(entries[-1], "cpu_ms_per_node_s") - total(entries[0], "cpu_ms_per_node_s")) / (
    entries[-1]["entries"] - entries[0]["entries"])
endpoint = varied("endpoints")
endpoint_cpu = (total(endpoint[-1], "cpu_ms_per_node_s") - total(endpoint[0], "cpu_ms_per_node_s")) / (
    (endpoint[-1]["endpoints"] - endpoint[0]["endpoints"]) * endpoint[-1]["stewards"])
pair_cpu = max(0.0, (total(stewards[-1], "cpu_ms_per_node_s") - total(stewards[0], "cpu_ms_per_node_s")) / (
    stewards[-1]["stewards"] * (stewards[-1]["stewards"] - 1)))
change = varied("changes_per_s")
change_bytes = (change[-1]["bytes_per_node_s"] - change[0]["bytes_per_node_s"]) / change[-1]["value"]
change_cpu = (change[-1]["cpu_ms_per_node_s"] - change[0]["cpu_ms_per_node_s"]) / change[-1]["value"]
requests = varied("requests_per_s")
request_bytes = (total(requests[-1], "bytes_per_node_s") - total(requests[0], "bytes_per_node_s")) / requests[-1]["value"]
reads_a_steward = stewards[-1]["platform_reads_s"] / stewards[-1]["stewards"]
request_cpu = max(row["cpu_ms_per_request"] for row in cost)
resident_mb = max(row["resident_mb"] for row in cost)
STREAM_KB = 31  # tools/bench_entry.sh: 298 open streams
ENTRY_RECORD, ENDPOINT_RECORD, BILL_RECORD, BILL_MEMORY = 140, 115, 230, 500

changes_s = CHANGES_A_DAY / DAY
per_entry = REQUESTS / ENTRIES
open_streams = per_entry * (TOKENS / REQUESTS) * 0.041
peers = STEWARDS - 1
entry_links = ENTRIES * LINKS / STEWARDS
table = []


def row(role, what, value, unit, allowed, how, mend=""):
    fits = "" if allowed is None else ("fits" if value <= allowed else "**does not fit**")
    text = f"{value:,.2f}" if value < 10 else f"{value:,.0f}"
    table.append(f"| {role} | {what} | {text} {unit} | {'' if allowed is None else f'{allowed:,} {unit}'} | {fits} | {how} | {mend} |")


row("entry", "freshness requests and confirmations, both ways", entry_bytes, "B/s", ALLOWED_BYTES,
    f"slope over 6 to 96 entries, {LINKS} links", "")
row("entry", "configuration, sent and received", change_bytes * changes_s, "B/s", ALLOWED_BYTES,
    f"slope over 0 to 1 changes/s, at {changes_s:.3f}/s", "")
row("entry", "list of entries, at each exit and return", 3 * EXITS_A_DAY / DAY * ENTRIES * ENTRY_RECORD * LINKS, "B/s",
    ALLOWED_BYTES, f"3 changes for each of {EXITS_A_DAY} exits a day, {ENTRY_RECORD} B an entry, {LINKS} links; not measured at this size",
    "send only the difference of the list, as stewards already do among themselves: about 0.1 KB a change")
row("entry", "subset of endpoints, at each change", EXITS_A_DAY / DAY * SUBSET / ENDPOINTS * SUBSET * ENDPOINT_RECORD * LINKS + 1,
    "B/s", ALLOWED_BYTES, f"{SUBSET} of {ENDPOINTS} endpoints; a change matters to {SUBSET}/{ENDPOINTS} of the entries", "")
row("entry", "bills, both ways", request_bytes * per_entry, "B/s", ALLOWED_BYTES,
    f"slope over 0 to 180 requests/s: {request_bytes:,.0f} B a request, at {per_entry:.0f} requests/s",
    "not counted as control traffic, but over 6 KB/s: encode records as arrays with numbers for names, acknowledge by number; about 150 B a request")
row("entry", "processor time for control", entry_cpu + change_cpu * changes_s, "ms/s", ALLOWED_CPU_MS,
    "slope over 6 to 96 entries, includes the steward's part", "")
row("entry", "processor time for requests", per_entry * request_cpu, "ms/s", None,
    f"{request_cpu:.2f} ms a request (largest of 30 to 300 requests/s), links and HTTP included", "")
row("entry", "memory", resident_mb + open_streams * STREAM_KB / 1000, "MB", ALLOWED_MB,
    f"{resident_mb:.0f} MB resident and {STREAM_KB} KB for each of {open_streams:,.0f} open streams", "")
row("steward", "freshness requests of entries, both ways", entry_bytes * ENTRIES / STEWARDS, "B/s", ALLOWED_BYTES,
    f"{entry_links:.0f} links", "2 links an entry instead of 3, and fields encoded by number: about 4 KB/s")
row("steward", "other stewards, both ways", peers * pair_bytes * 2 / 2, "B/s", ALLOWED_BYTES,
    f"{pair_bytes:,.0f} B/s an ordered pair, largest of 4, 9 and 18 stewards", "")
row("steward", "list of endpoints from the platform", 2 * EXITS_A_DAY / DAY * ENDPOINTS * ENDPOINT_RECORD, "B/s", ALLOWED_BYTES,
    f"conditional reads: {ENDPOINTS * ENDPOINT_RECORD / 1000:,.0f} KB at each change; not measured at this size",
    "one object for each of 9 failure domains: a ninth of it")
row("steward", "processor time, entries and peers", entry_cpu * ENTRIES / STEWARDS + pair_cpu * peers, "ms/s", ALLOWED_CPU_MS,
    "slopes over entries and stewards", "")
row("steward", "processor time, endpoints", endpoint_cpu * ENDPOINTS, "ms/s", ALLOWED_CPU_MS,
    "slope over 22 to 1804 endpoints, the simulator's own share included", "work out what an engine should load only when head or list change")
row("steward", "memory, no bills waiting", resident_mb + ENDPOINTS * 1.0 / 1000 + ENTRIES * SUBSET * 0.3 * LINKS / STEWARDS / 1000, "MB",
    ALLOWED_MB, "an entry's resident size, 1 KB an endpoint, 0.3 KB for each endpoint of each link's last push", "")
row("steward", "memory after 150 s of platform outage at the peak", 15 + 150 * REQUESTS * 2 / STEWARDS * BILL_MEMORY / 1e6, "MB",
    ALLOWED_MB, f"{BILL_MEMORY} B a waiting bill, 2 holders; bounded at 200,000 bills, then refusals before release",
    "keep waiting bills as encoded bytes (about 80 B): 15 minutes")
row("platform", "reads", reads_a_steward * STEWARDS, "1/s", 2000, f"{reads_a_steward:.2f}/s a steward, any number of entries; plus one waiting watch a steward", "")
row("platform", "ledger segments", float(STEWARDS), "writes/s", 300, f"at most one a second a steward, up to 2,000 bills each; {REQUESTS * 2 / STEWARDS:,.0f} bills/s a steward", "")
row("platform", "configuration and roll-outs", changes_s, "writes/s", 300, "one conditional update a change, and one read", "")
row("platform", "keyed calls that may not be repeated", 150.0, "1/s", None, "2 writes and 1 read each beside the rest of several hundred writes/s",
    "claims of one team written together, if more are needed")
row("operator tools", "laurelctl, laurel-burn", 3.0, "calls", None, "a status, a command, reads of ledger/ or counts/ through one steward",
    "laurel-burn reads the whole ledger: let it start at a given segment, or aggregate segments by hour")

text = f"""# Capacity

Made by `tools/make_capacity.py` from `docs/data/control.csv` (`laurel-bench --experiment=control`: up to 100 nodes and
1,804 endpoints of the real decisions in one process, virtual time, messages in their CBOR form) and
`docs/data/entry_cost.csv` (`tools/bench_entry.sh`: 8 processes on one machine of 8 cores, real sockets).
Extrapolated: entries from 96 to {ENTRIES} (4 times), endpoints from 1,804 to {ENDPOINTS:,} (3.4 times), stewards measured at
{STEWARDS}, requests a node measured to 300 a second.

Target: {ENTRIES} nodes, {ENDPOINTS:,} workers on 12,000 accelerators, {REQUESTS:,} requests/s ({per_entry:.0f} a node), {TOKENS / 1e6:.1f} M tokens/s
({TOKENS / REQUESTS:.0f} a request, {open_streams:,.0f} open streams a node at 41 ms a token), {CHANGES_A_DAY:,} changes a day ({changes_s:.3f}/s), {EXITS_A_DAY:,} host exits a day,
3 regions, 9 failure domains. Allowed for control: 1.1% of a core ({ALLOWED_CPU_MS} ms/s), {ALLOWED_MB} MB, 6 KB/s a node. {STEWARDS} stewards, two a domain.

| role | what | at full size | allowed | | derived from | possible remedy |
| --- | --- | --- | --- | --- | --- | --- |
{chr(10).join(table)}

## State of each role

| role | holds | lost with it |
| --- | --- | --- |
| entry | one configuration, {SUBSET} endpoints a pool with their load, open requests, learned quality (at most 20,000 beliefs), bills until drained | open requests (callers are disconnected and retry where that is safe), learned quality |
| steward | 16 configurations, all endpoints, counts of versions by entry, undrained bills, unfinished claims | nothing that another steward or an entry does not hold, but for the losses of docs/PROMISES.md |
| platform | all durable state: head, bundles, claims, ledger, counts | |
| caller | session token, the answer of /v1/entries for 5 s | the pinned versions of its sessions |

## Mechanisms by target

- **6,100 workers over 400 nodes:** a subset of {SUBSET} a pool by rendezvous hash, spread over the failure domains; an endpoint is
  used by {ENTRIES * SUBSET / ENDPOINTS:.1f} entries on average, at most 20 in the test `subsets_share_out_the_endpoints`. Load travels with answers, not as reports:
  reports to all would be 6,100 a node and second.
- **Changes in force within 5 s:** the steward that wrote pushes a difference to peers and entries (47 ms in the experiment
  `withdrawal`); a host that cannot be reached stops serving 3 s after its last confirmation. Neither bound depends on size.
- **1,320 exits a day:** an entry is out of the directory 3 s after it falls silent, at once when it is stopped; a steward
  that is replaced takes its old place on the list with one write.
- **A rack, a domain:** choices of entries and subsets alternate over domains; bills stand in two domains. `outage.csv`: a lost
  domain of four, with the platform unavailable as well, left 99.6% of requests answered.
- **A region; regions apart for minutes:** not built. With 18 stewards over 3 regions, a region that sees neither the platform nor
  a majority refuses within 3 s, with requests certainly not run; with the platform in reach it goes on. Options: one list of
  stewards a region with the platform's own replication, or accepting commands by region.
- **A roll-out on most days:** evidence is counters, {TEAMS} teams do not enlarge them; a step waits for loaded capacity, so the weight
  store's rate only prolongs a roll-out. One steward sends the orders for each engine.
- **First token in 0.87 s, 41 ms between tokens at p95:** the entry adds 0.6 ms at p50 and 0.8 ms at p99 at 30 requests a second
  (`entry_cost.csv`); the rest is the engines' and their queues', which the choice of endpoint keeps short.
"""
(ROOT / "docs" / "CAPACITY.md").write_text(text)
