#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# tests/test_known_red.py finds the entry of KNOWN-RED.txt by this line: def CONFIG()
cd "$(dirname "$0")/../.." && PYTHONPATH=review exec python3 -B review/1/case.py
