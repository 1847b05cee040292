#!/bin/sh
# Builds what the scripts of review/4 to review/6 start: the project's programs
# and stand-ins under target/deps, if they aren't there, and the scripts' own.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f target/deps/ospreyford/platform/standins/rank.py ]; then
    bash deploy/build.sh
fi
python3 -m compileall -q target/deps/ospreyford
python3 -m py_compile review/parts_2.py review/[4-6]/case.py
