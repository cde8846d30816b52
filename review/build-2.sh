#!/bin/sh
# Builds every stand-in that the scripts of review/6 to review/10 start, after the build of the deploy file.
# The stand-ins are Python: the project's own and the ones in review/common-2.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -m compileall -q rushmux/standins rushmux/cli review/common-2 &&
    .venv/bin/rushmux node --help >/dev/null &&
    .venv/bin/rushmux planner --help >/dev/null
