#!/bin/sh
# LOST: a gateway that is stopping cuts off a request that its backend works on. Exits with 1 if the rule is broken.
cd "$(dirname "$0")/../.." || exit 2
rm -f review/5/record.txt # the script writes it anew
PYTHONPATH=target/deps exec python3 review/5/case.py
