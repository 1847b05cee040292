#!/bin/sh
# Puts the programs and their libraries under target/deps, which the platform
# has on Python's path. Libraries are installed again only when they change.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f target/deps/.installed ] || [ pyproject.toml -nt target/deps/.installed ]; then
    rm -rf target/deps
    mkdir -p target
    python3 -c 'import tomllib; print("\n".join(tomllib.load(open("pyproject.toml", "rb"))["project"]["dependencies"]))' >target/requirements.txt
    python3 -m pip install -q --disable-pip-version-check --target target/deps -r target/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/ospreyford
cp -R src/ospreyford target/deps/ospreyford
python3 -m compileall -q target/deps/ospreyford
