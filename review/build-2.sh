#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the router. Their stand-ins are Python programs that need the
# standard library only, so they are only compiled to check them; nothing is written.
cd "$(dirname "$0")" || exit 1
exec python3 -B - common-2/*.py [6-9]/*.py 10/*.py <<'PY'
import os
import sys

for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
PY
