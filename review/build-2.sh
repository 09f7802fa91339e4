#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python scripts of the standard library, so this checks only that
# the interpreter is new enough and that the scripts compile. The program itself is built by the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.11 or newer is needed" if sys.version_info < (3, 11) else 0)'
for script in lib-2/*.py [6-9]/play.py 10/play.py; do
    [ -e "$script" ] || continue
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$script"
done
