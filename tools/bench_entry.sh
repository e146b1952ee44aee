#!/usr/bin/env bash
# Measures the overhead of an entry: calls a plain service directly and through one entry, in one run on one
# machine, and records latency, CPU time and memory of the entry. Writes docs/data/entry_cost.csv.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/fleet.sh
trap stop_fleet EXIT
start_fleet brazda >/dev/null
entry=127.0.0.1:$((PORT + 10))
common=(--teams=osijek,vukovar,vinkovci,dakovo --service=claims --single_call=check --service_share=1 --json)
metric() { curl -sf "http://$entry/metrics" | awk -v name="$1" '$1 == name { print $2 }'; }
field() { python3 -c 'import json, sys; print(json.load(sys.stdin)[sys.argv[1]])' "$1"; }
csv=docs/data/entry_cost.csv
echo "requests_per_s,direct_p50_ms,entry_p50_ms,added_p50_ms,direct_p99_ms,entry_p99_ms,added_p99_ms,cpu_ms_per_request,resident_mb" >$csv
for rate in 30 100 200 300; do
  direct=$("$BIN/laurel-load" --direct=127.0.0.1:$((PORT + 200)),127.0.0.1:$((PORT + 201)),127.0.0.1:$((PORT + 202)),127.0.0.1:$((PORT + 203)) \
    --rate=$rate --seconds=8 "${common[@]}")
  cpu=$(metric laurel_process_cpu_seconds)
  asked=$(metric laurel_requests_total)
  through=$("$BIN/laurel-load" --entries=$entry --only_seeds --rate=$rate --seconds=8 "${common[@]}")
  python3 - "$rate" "$direct" "$through" "$cpu" "$(metric laurel_process_cpu_seconds)" "${asked:-0}" \
    "$(metric laurel_requests_total)" "$(metric laurel_process_resident_bytes)" <<'PY' | tee -a $csv
import json, sys
rate, direct, through = sys.argv[1], json.loads(sys.argv[2]), json.loads(sys.argv[3])
cpu = (float(sys.argv[5]) - float(sys.argv[4])) * 1000 / max(1, float(sys.argv[7]) - float(sys.argv[6]))
print("%s,%.2f,%.2f,%.2f,%.2f,%.2f,%.2f,%.3f,%.1f" % (
    rate, direct["p50_ms"], through["p50_ms"], through["p50_ms"] - direct["p50_ms"], direct["p99_ms"],
    through["p99_ms"], through["p99_ms"] - direct["p99_ms"], cpu, float(sys.argv[8]) / 1e6))
PY
done
before=$(metric laurel_process_resident_bytes)
"$BIN/laurel-load" --entries=$entry --only_seeds --rate=150 --seconds=6 --stream_share=1 --service_share=0 --tokens=400 \
  --teams=osijek,vukovar,vinkovci,dakovo --json >/dev/null &
load=$!
sleep 5
echo "memory with open streams: $(metric laurel_open_requests) open, $(metric laurel_process_resident_bytes) bytes; before: $before bytes"
wait $load
