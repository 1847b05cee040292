#!/bin/sh
# Prepares the cases: their own stand-ins need no build but a check, those of
# the project come with the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/ospreyford/platform/standins ] || sh deploy/build.sh
python3 -m compileall -q review
PYTHONPATH=target/deps python3 -c 'import ospreyford.platform.standins.rank, ospreyford.platform.standins.storeserver'
