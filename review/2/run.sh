#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# tests/test_known_red.py finds the entry of KNOWN-RED.txt by this line: def TWICE()
cd "$(dirname "$0")/../.." || exit 2
record=review/2/record.txt
rm -f "$record"
PYTHONPATH=review python3 -B review/2/case.py "$record" &
case=$!
trap 'kill "$case" 2>/dev/null' TERM INT HUP
wait "$case"
code=$?
while kill -0 "$case" 2>/dev/null; do
    wait "$case"
    code=$?
done
[ -s "$record" ] || exit 2
case $code in
    10) exit 1 ;;
    0) exit 0 ;;
    *) exit 2 ;;
esac
