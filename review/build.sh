#!/usr/bin/env bash
# The stand-ins of the cases are plain Node.js programs without dependencies: this only checks that they can be read.
set -eu
cd "$(dirname "$0")"
test -x ../target/skylarktide || { echo "target/skylarktide is missing: run the build of deploy/system.toml first" >&2; exit 1; }
for file in lib/*.mjs [0-9]*/*.mjs; do
    node --check "$file"
done
