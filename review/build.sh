#!/usr/bin/env bash
# The stand-ins of the cases are Python programs (common/harness.py) that need no build. Checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.path.insert(0, "common"); sys.dont_write_bytecode = True; import harness'
