"""`python -m oakvale.adapter`: the decision module on the simulator's wire."""

import sys

from oakvale.adapter.host import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
