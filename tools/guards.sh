#!/usr/bin/env bash
# Switches each guard off in turn and prints which random run detects it, how soon, and by which invariant.
#   tools/guards.sh [runs] [virtual seconds a run]
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-40} length=${2:-60}
guards="allowed_at_dispatch bill_before_release claim drop_stale_rating freshness leaving_endpoints majority
  named_version not_run_truth only_forward own_answer retry_only_idempotent settle_lost_write stop_in_flight
  stream_order token_revision reroute_on_change reroute_on_change,allowed_at_dispatch"
check() {
  local line
  line=$(build/release/bin/laurel-soak --runs="$2" --seconds="$3" --disable="$1" 2>/dev/null | grep '^{"after' || true)
  if [ -z "$line" ]; then
    echo "| $1 | not detected in $2 runs | | |"
  else
    echo "$line" | python3 -c 'import json, sys
d = json.load(sys.stdin)
print("| %s | seed %d, run %d | %d events, %d virtual s | %s |" % (sys.argv[1], d["seed"], d["after_runs"],
      d["after_events"], d["virtual_seconds"], d["broken"].split(" ")[0]))' "$1"
  fi
}
export -f check
echo "| guard switched off | detected by | after | violated invariant |"
echo "| --- | --- | --- | --- |"
printf '%s\n' $guards | xargs -P "$(nproc)" -I{} bash -c "check {} $runs $length" | sort
