#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are plain JavaScript for Node.js 20 or later and need no build: this only
# checks that a runtime is there and that each file can be parsed, and that the deploy file's build has made the program.
cd "$(dirname "$0")/.." || exit 1
NODE=node_modules/.bin/node
[ -x "$NODE" ] || NODE=node
for file in review/lib-2/*.mjs review/6/case.mjs review/7/case.mjs review/10/case.mjs; do
    "$NODE" --check "$file" || exit 1
done
[ -x target/skylarktide ] || { echo "target/skylarktide is missing: run the build of deploy/system.toml first" >&2; exit 1; }
