#!/usr/bin/env bash
# Configures and builds everything into build/release.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
cmake --build --preset release -- -k 0
