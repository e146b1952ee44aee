#!/usr/bin/env bash
# Installs the dependencies, builds, and runs every test. Tests named in KNOWN-RED.txt (first field of each line) are
# skipped and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -n "${LAUREL_SKIP_SETUP:-}" ] || tools/setup.sh
tools/build.sh
known_red=$(awk 'NF && $1 !~ /^#/ { print $1 }' KNOWN-RED.txt | paste -sd'|' -)
if [ -n "$known_red" ]; then
  echo "skipped, see KNOWN-RED.txt:"
  awk 'NF && $1 !~ /^#/' KNOWN-RED.txt
  ctest --preset release -j "$(nproc)" -E "^($known_red)\$"
else
  ctest --preset release -j "$(nproc)"
fi
