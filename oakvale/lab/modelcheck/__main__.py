"""`python -m oakvale.lab.modelcheck`: model checking of the control state."""

import argparse
import sys

from oakvale.lab.modelcheck.check import arguments, check

parser = argparse.ArgumentParser(prog="python -m oakvale.lab.modelcheck", description=__doc__)
arguments(parser)
sys.exit(check(parser.parse_args()))
