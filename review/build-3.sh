#!/bin/bash
# Checks that the stand-ins of the scripts in 11 to 15 can be started. They are plain
# Python files of this repository (review/lib3, tests/fleet), so nothing is compiled;
# their libraries are those that the build of the deploy file puts into target/deps.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.lib3.fleet, tests.fleet.platform, tests.fleet.processes"
echo "the stand-ins of review/11 to review/15 can be started"
