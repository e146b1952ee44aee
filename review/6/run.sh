#!/usr/bin/env bash
# Exits 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
child=
trap '[ -n "$child" ] || exit 2; kill -TERM "$child" 2>/dev/null' TERM INT HUP
timeout -k 5 115 python3 case.py &
child=$!
wait "$child"
status=$?
while kill -0 "$child" 2>/dev/null; do # A signal has interrupted the wait.
    wait "$child"
    status=$?
done
[ "$status" -le 2 ] || status=2
exit "$status"
