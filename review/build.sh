#!/bin/sh
# Builds every stand-in that the cases start, after the build of the deploy file.  They are Python programs
# without a dependency of their own, so building them is compiling them.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q rushmux review/common review/1 review/2 review/3
