#!/usr/bin/env bash
# The demo: for each of the two sample sites, runs a stand-in, 3 stewards and 3 entries under a mixed load.
# A bad version is rolled, braked and withdrawn. Meanwhile a host is replaced, a steward is killed, the platform
# becomes unavailable and an endpoint stops answering. Prints a table and exits non-zero if a check fails.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -n "${LAUREL_SKIP_SETUP:-}" ] || tools/setup.sh
[ -n "${LAUREL_SKIP_BUILD:-}" ] || tools/build.sh >/dev/null
source tools/fleet.sh
trap stop_fleet EXIT
failed=0

say() { echo "[$SITE] $*"; }

run_site() { # site service call teams costly-price
  start_fleet "$1" >/dev/null
  say "3 stewards and 3 entries serve bundle $SITE-1; the load starts"
  launch load "$BIN/laurel-load" --entries=127.0.0.1:$((PORT + 10)),127.0.0.1:$((PORT + 11)) --controls="$CONTROLS" \
    --operator_key=$OPERATOR_KEY --standin="$STANDIN" --teams="$4" --service="$2" --single_call="$3" \
    --bad_version="$CHEAP@2" --costly_price="$5" --rate=90 --seconds=40
  local load_pid
  load_pid=$(cat "$OUT/load.pid")
  sleep 2
  ctl bundle submit "examples/$SITE-2-bad.json" >/dev/null
  ctl bundle sign-off "$SITE-2" >/dev/null
  ctl bundle roll "$SITE-2" >/dev/null
  say "the bad version $CHEAP@2 is being rolled"
  for _ in $(seq 125); do
    state=$(ctl bundle status | awk -v id="$SITE-2" '$1 == id { print $2 }')
    [ "$state" = braked ] && break
    sleep 0.2
  done
  say "bundle $SITE-2 is $state; no operator action was needed"
  [ "$state" = braked ] || failed=1
  ctl version withdraw "$CHEAP@2" --reason="wrong answers" | sed "s/^/[$SITE] withdrawn: /"
  fault '{"target":"'"$2"'-1","mode":"silent"}'
  say "endpoint $2-1 stops answering"
  stop_process entry-2 TERM
  start_entry 3
  say "host entry-2 is replaced by entry-3"
  sleep 2
  stop_process steward-1 KILL
  say "steward-1 is killed"
  fault '{"target":"platform","down":true}'
  say "the platform is unavailable"
  sleep 4
  fault '{"target":"platform","down":false,"lose_answers":0.2}'
  start_steward 1
  say "the platform is available again, but loses the answer to one write in five"
  await_exit entry-2
  say "entry-2 has stopped without interrupting a request"
  fault '{"target":"'"$2"'-1","mode":""}'
  wait "$load_pid" || failed=1
  echo
  echo "$SITE:"
  grep -v '^{' "$OUT/load.log"
  local broken
  broken=$(for port in 10 11 13; do curl -sf "http://127.0.0.1:$((PORT + port))/metrics" || true; done |
    awk '/invariant_broken_total/ { sum += $2 } END { print sum + 0 }')
  printf '  %-46s%s\n\n' "invariants violated" "$broken"
  [ "$broken" = 0 ] || failed=1
  ctl ledger | head -4
  echo
  "$BIN/laurel-burn" --stewards="$CONTROLS" --operator_key=$OPERATOR_KEY --team="${4%%,*}" --svg="$OUT/burn-$SITE.svg"
  echo
  ctl status >"$OUT/status-$SITE.txt"
  stop_fleet
  sleep 1
}

run_site brazda claims submit osijek,vukovar,vinkovci,dakovo,nasice 20
run_site consorzio bookings book studio-amari,studio-bellini,studio-caruso,studio-dangelo,studio-esposito 15
echo "laurel-platform-entry: 3 entry hosts between stand-ins, first without faults, then with faults"
python3 test/soak/platform_soak.py --program "$BIN/laurel-platform-entry" --calm --seeds 1 --seconds 5 || failed=1
python3 test/soak/platform_soak.py --program "$BIN/laurel-platform-entry" --seeds 2 --seconds 8 || failed=1
if [ $failed = 0 ]; then echo "all checks passed"; else echo "a check failed" >&2; fi
exit $failed
