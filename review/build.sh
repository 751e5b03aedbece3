#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies: there is nothing to build but
# to see that each of them can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
