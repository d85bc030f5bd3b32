#!/bin/sh
# Format, lint, types, tests (module size and width are among the tests).
set -eu
cd "$(dirname "$0")"
ruff format --check .
ruff check .
mypy
python -m pytest -q -n auto
