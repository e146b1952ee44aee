#!/usr/bin/env bash
# Fails if clang-format or clang-tidy reports anything in the C++ sources. Needs a configured build/release.
#   tools/check_style.sh [format|lint]
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:-all}
mapfile -t files < <(git ls-files 'src/*.cpp' 'src/*.h' 'test/*.cpp' 'test/*.h' 'platform/*.cpp' 'platform/*.h')
if [ "$what" != lint ]; then
  clang-format --dry-run --Werror "${files[@]}"
fi
if [ "$what" != format ]; then
  printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release 2>/dev/null
fi
