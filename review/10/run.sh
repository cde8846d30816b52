#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.  TROUBLE=0: without the disruption.
# Writes what was sent, answered and run to record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
echo "started" >review/10/record.txt || exit 2
PYTHONPATH=review/common-2 timeout -k 5 115 .venv/bin/python review/10/case.py &
program=$!
trap 'kill "$program"; wait "$program"; exit 2' INT TERM
wait "$program"
code=$?
# A program that ends before its verdict may do so with any code.
tail -n 1 review/10/record.txt | grep -q " verdict " || exit 2
exit "$code"
