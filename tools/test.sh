#!/usr/bin/env bash
# The tests: sets up, builds, and runs every test program.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -n "${LAUREL_SKIP_SETUP:-}" ] || tools/setup.sh
tools/build.sh
ctest --preset release -j "$(nproc)"
