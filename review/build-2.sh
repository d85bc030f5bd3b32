#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: they are Python, so this checks that they compile. Run it after the build
# of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
test -d target/deps || exit 2
exec python3 - review/harness2.py review/[4-8]/*.py <<'END'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
END
