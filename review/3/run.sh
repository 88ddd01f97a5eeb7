#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disturbance out.
cd "$(dirname "$0")" && exec node case.mjs
