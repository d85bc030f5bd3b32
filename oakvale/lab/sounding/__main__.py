"""`python -m oakvale.lab.sounding`: model checking of the control state."""

import argparse
import sys

from oakvale.lab.sounding.check import arguments, check

parser = argparse.ArgumentParser(prog="python -m oakvale.lab.sounding", description=__doc__)
arguments(parser)
sys.exit(check(parser.parse_args()))
