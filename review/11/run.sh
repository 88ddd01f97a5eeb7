#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../node_modules/.bin/node ] && [ -x ../../target/skylarktide ] || exit 2
exec ../../node_modules/.bin/node play.mjs
