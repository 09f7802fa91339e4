#!/usr/bin/env bash
# Builds the stand-ins of the cases: Python 3.11 or later, its standard library alone, so that all there is to do is to
# check that they compile. The program is built by the deploy file's `build`.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -B - lib/standin.py [0-9]/play.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
