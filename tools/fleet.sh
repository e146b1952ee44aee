#!/usr/bin/env bash
# Starts and stops a small fleet on this machine: one stand-in, 3 stewards, 3 entries.
#   tools/fleet.sh start brazda|consorzio     tools/fleet.sh stop
# The demo and tools/bench_entry.sh source it for its functions. Logs and process ids go to out/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
BIN=${LAUREL_BIN:-build/release/bin}
OUT=${LAUREL_OUT:-out}
FLEET_KEY=sample-fleet-key-0123456789
SESSION_KEY=sample-session-key-0123456789
OPERATOR_KEY=sample-operator-key-0123456789

fleet_site() { # site: sets the ports and failure domains
  SITE=$1
  case $SITE in
    brazda) PORT=16000; DOMAINS=(osk-hall1 osk-hall2 vuk-hall1 sb-hall1); CHEAP=nacrt; COSTLY=savjet ;;
    consorzio) PORT=17000; DOMAINS=(pa-nord pa-sud pa-porto pa-monreale); CHEAP=bozza; COSTLY=atto ;;
    *) echo "fleet.sh: unknown site; the sites are brazda and consorzio" >&2; exit 2 ;;
  esac
  STEWARDS=127.0.0.1:$((PORT + 20)),127.0.0.1:$((PORT + 21)),127.0.0.1:$((PORT + 22))
  CONTROLS=127.0.0.1:$((PORT + 30)),127.0.0.1:$((PORT + 31)),127.0.0.1:$((PORT + 32))
  STANDIN=127.0.0.1:$((PORT + 2))
}

launch() { # name program args...: starts a process and stores its process id
  local name=$1; shift
  "$@" >>"$OUT/$name.log" 2>&1 &
  echo $! >"$OUT/$name.pid"
}

start_standin() { launch standin "$BIN/laurel-standin" --config="examples/standin-$SITE.json"; }

start_steward() { # number
  launch "steward-$1" "$BIN/laurel-steward" --name="steward-$1" --domain="${DOMAINS[$1]}" \
    --listen=127.0.0.1:$((PORT + 20 + $1)) --control=127.0.0.1:$((PORT + 30 + $1)) --peers="$STEWARDS" \
    --platform=127.0.0.1:"$PORT" --fleet_key=$FLEET_KEY --operator_key=$OPERATOR_KEY
}

start_entry() { # number
  launch "entry-$1" "$BIN/laurel-entry" --name="entry-$1" --domain="${DOMAINS[$(($1 % 4))]}" \
    --listen=127.0.0.1:$((PORT + 10 + $1)) --stewards="$STEWARDS" --rater=127.0.0.1:$((PORT + 1)) \
    --fleet_key=$FLEET_KEY --session_key=$SESSION_KEY --callers_keep_ms=2000
}

ctl() { "$BIN/laurelctl" --stewards="$CONTROLS" --operator_key=$OPERATOR_KEY --by="${OPERATOR:-operator}" "$@"; }

fault() { curl -sf -X POST "http://$STANDIN/faults" -d "$1" >/dev/null; }

wait_ready() { # address...: waits until /readyz replies 200
  local address
  for address in "$@"; do
    for _ in $(seq 300); do
      if curl -sf "http://$address/readyz" >/dev/null; then continue 2; fi
      sleep 0.1
    done
    echo "fleet.sh: $address is not ready; see $OUT/*.log" >&2
    return 1
  done
}

stop_process() { # name signal
  local file=$OUT/$1.pid
  [ -f "$file" ] || return 0
  kill "-${2:-TERM}" "$(cat "$file")" 2>/dev/null || true
}

await_exit() { # name: waits until the process has exited
  local file=$OUT/$1.pid
  while kill -0 "$(cat "$file")" 2>/dev/null; do sleep 0.1; done
  rm -f "$file"
}

start_fleet() { # site
  fleet_site "$1"
  mkdir -p "$OUT"
  rm -f "$OUT"/*.log "$OUT"/*.pid
  start_standin
  for i in 0 1 2; do start_steward $i; done
  wait_ready 127.0.0.1:$((PORT + 30)) 127.0.0.1:$((PORT + 31)) 127.0.0.1:$((PORT + 32))
  for i in 0 1 2; do start_entry $i; done
  ctl bundle submit "examples/$SITE-1.json"
  ctl bundle sign-off "$SITE-1"
  ctl bundle roll "$SITE-1"
  wait_ready 127.0.0.1:$((PORT + 10)) 127.0.0.1:$((PORT + 11)) 127.0.0.1:$((PORT + 12))
}

stop_fleet() {
  local file
  for file in "$OUT"/*.pid; do
    [ -f "$file" ] && kill -TERM "$(cat "$file")" 2>/dev/null || true
  done
  rm -f "$OUT"/*.pid
}

if [ "${BASH_SOURCE[0]}" = "$0" ]; then
  case ${1:-} in
    start) start_fleet "${2:-brazda}" ;;
    stop) stop_fleet ;;
    *) echo "usage: tools/fleet.sh start brazda|consorzio, or tools/fleet.sh stop" >&2; exit 2 ;;
  esac
fi
