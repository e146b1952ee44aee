#!/bin/sh
# Prepares the stand-ins of the review's scripts. They are Python modules that need only the standard library; this
# checks that the interpreter reads them, and that the program under test has been built.
set -e
cd "$(dirname "$0")"
python3 - lib/standins.py [1-5]/case.py <<'PY'
import sys
if sys.version_info < (3, 9):
    raise SystemExit("Python 3.9 or later is needed")
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
PY
test -x ../target/bin/laurel-platform-entry || {
  echo "run the build of deploy/system.toml first" >&2
  exit 1
}
