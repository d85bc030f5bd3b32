"""`python -m oakvale.adapter`: serves the decision module to a simulator over standard input and output."""

import sys

from oakvale.adapter.host import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
