#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 14. They are plain JavaScript that the runtime of the project's own packages runs, so
# nothing is compiled: this checks that the runtime and the program are there and that each file parses.
set -eu
cd "$(dirname "$0")/.."
test -x target/skylarktide
for file in review/stand-ins-3/*.mjs review/1[1-4]/*.mjs; do
    node_modules/.bin/node --check "$file"
done
