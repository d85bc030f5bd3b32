#!/bin/sh
# LOST: a gateway that is stopping cuts off a request that its backend works on. Exits with 1 if the rule is broken.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps exec python3 review/5/case.py
