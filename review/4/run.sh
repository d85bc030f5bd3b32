#!/bin/sh
# CONFIG: a route that a configuration adds is never served. Exits with 1 if the rule is broken.
cd "$(dirname "$0")/../.." || exit 2
rm -f review/4/record.txt # the script writes it anew
PYTHONPATH=target/deps exec python3 review/4/case.py
