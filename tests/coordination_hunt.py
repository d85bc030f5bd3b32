"""Plays drawn schedules of the coordination service and prints what breaks a rule:
`python -m tests.coordination_hunt FIRST_SEED COUNT [--short-retention | --large-state] [--machines N]`.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter

from oakvale.coordination import service
from oakvale.lab.history.violations import Violation
from tests.coordination_simulation import RETAIN_US, CoordinationWorld, real_resources
from tests.test_coordination_schedules import FAULTS, SHORT_RETAIN_US

SHOWN_VIOLATIONS = 4  # of one seed


def play(seed: int, options: argparse.Namespace, statuses: Counter[str]) -> list[Violation]:
    """Plays one schedule and counts its answers."""
    retain_us = SHORT_RETAIN_US if options.short_retention else RETAIN_US
    world = CoordinationWorld(seed, real_resources, options.machines, retain_us, options.large_state)
    violations = world.run_schedule(options.faults)
    for call in world.crew.history.calls:
        statuses[f"{type(call.request).__name__} {call.result.status if call.result else 'none'}"] += 1
    return violations


def main() -> int:
    """Returns 1 if a rule was broken or a schedule failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first_seed", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--short-retention", action="store_true")
    parser.add_argument("--large-state", action="store_true")
    parser.add_argument("--machines", type=int, default=4)
    parser.add_argument("--faults", type=int, default=FAULTS)
    options = parser.parse_args()
    if options.short_retention:
        service.MIN_RETENTION_US = 0
    statuses: Counter[str] = Counter()
    failed = 0
    for seed in range(options.first_seed, options.first_seed + options.count):
        try:
            found = [str(violation) for violation in play(seed, options, statuses)]
        except AssertionError as error:
            found = [f"the control state: {error}"]
        failed += bool(found)
        for line in found[:SHOWN_VIOLATIONS]:
            print(f"seed {seed} ({len(found)} in all): {line}", flush=True)
    print(f"{options.count} schedules from seed {options.first_seed}, {failed} with violations")
    print(f"{statuses.total()} calls:", ", ".join(f"{kind}: {count}" for kind, count in sorted(statuses.items())))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
