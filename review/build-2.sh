#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the deploy file's program. Their stand-ins are Python (3.11 or
# later, no packages), so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - test/soak/standins.py review/lib-2/*.py review/[6-9]/*.py review/10/*.py <<'CHECK'
import pathlib, sys
for name in sys.argv[1:]:
    if "*" not in name:
        compile(pathlib.Path(name).read_text(), name, "exec")
CHECK
