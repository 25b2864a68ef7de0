#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs: there is nothing to compile.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path("common-3").glob("*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
