"""Gateways that start, freeze and are restarted together with their relays while changes are made and primaries change.

Whatever comes together, no gateway that serves goes by a configuration that was replaced longer ago than `apply`.
"""

from __future__ import annotations

from random import Random

import pytest

from oakvale.base.limits import MS, SECOND
from tests.test_stale_start import APPLY_US, config, make_gateway
from tests.thin_links import Deployment

GATEWAYS = 18
RUN_US = 25 * SECOND
QUIET_US = 8 * SECOND
PROBE_INTERVAL_US = 50 * MS
CONTACT_US = 6 * SECOND  # after a freeze a gateway counts as in touch again
TENANT_BYTES = (1_000, 12_000, 24_000)
MAX_CHANGE_GAP_US = (300 * MS, 3 * SECOND)  # changes in quick succession, or at times


class Scenario:
    """A deployment, and when each generation was put into force."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.tenant_bytes = self.rng.choice(TENANT_BYTES)
        self.max_change_gap_us = self.rng.choice(MAX_CHANGE_GAP_US)
        text = config(1, self.tenant_bytes, [])["text"]
        self.deployment = Deployment(seed, make_gateway, text, GATEWAYS)
        self.in_force_at = {1: self.deployment.events.now}
        self.generation = 1
        self.frozen_until: dict[int, int] = {}
        self.violations: list[str] = []

    @property
    def now(self) -> int:
        return self.deployment.events.now

    def change(self) -> None:
        """A change that its primary doesn't live to make is not in force."""
        self.generation += 1
        generation, primary = self.generation, self.deployment.primary

        def put_into_force(_: object) -> None:
            primary.change("config", config(generation, self.tenant_bytes, []))
            self.in_force_at[generation] = self.now

        primary.loop.at(0, put_into_force)

    def disturb(self) -> None:
        kind = self.rng.random()
        if kind < 0.1:
            self.deployment.replace_primary()
        elif kind < 0.4:
            number = self.rng.randrange(GATEWAYS)
            span_us = self.rng.randrange(2 * APPLY_US)
            self.frozen_until[number] = self.now + span_us
            self.deployment.freeze(number, span_us)
        else:
            for number in self.rng.sample(range(GATEWAYS), self.rng.choice((1, 3, GATEWAYS // 2, GATEWAYS))):
                if self.frozen_until.get(number, 0) < self.now:
                    self.deployment.restart(number, self.rng.randrange(500 * MS))

    def probe(self) -> None:
        """Compares what the gateways serve by with what was in force `apply` ago."""
        required = max((g for g, at in self.in_force_at.items() if at + APPLY_US < self.now), default=0)
        for gateway in self.deployment.gateways():
            number = int(gateway.settings.node.rpartition("-")[2])
            in_touch = self.frozen_until.get(number, 0) + CONTACT_US < self.now
            if in_touch and gateway.serves() and gateway.router.snapshot.generation < required:
                self.violations.append(f"{gateway.settings.node}: {gateway.router.snapshot.generation} of {required}")

    def run(self, until: int, disturbed: bool) -> None:
        next_change = next_disturbance = self.now
        while self.now < until:
            if disturbed and self.now >= next_change:
                self.change()
                next_change = self.now + self.rng.randrange(self.max_change_gap_us)
            if disturbed and self.now >= next_disturbance:
                self.disturb()
                next_disturbance = self.now + self.rng.randrange(4 * SECOND)
            self.deployment.run(PROBE_INTERVAL_US)
            self.probe()


@pytest.mark.parametrize("seed", range(4))
def test_no_gateway_serves_by_what_was_replaced_longer_ago_than_apply(seed: int) -> None:
    scenario = Scenario(seed)
    scenario.run(scenario.now + RUN_US, disturbed=True)
    scenario.run(scenario.now + QUIET_US, disturbed=False)
    assert scenario.violations == []
    newest = max(scenario.in_force_at)
    assert [gateway.router.snapshot.generation for gateway in scenario.deployment.gateways()] == [newest] * GATEWAYS
    assert all(gateway.serves() for gateway in scenario.deployment.gateways())
