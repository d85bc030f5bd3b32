"""Applications that ask for numbers."""

from __future__ import annotations

from oakvale.lab.applications.client import MS, SECOND, Client
from oakvale.lab.history.calls import NextNumber

PATIENCE_US = 3 * SECOND


class NumberUser:
    """One caller that asks for one number after another."""

    def __init__(self, client: Client, counters: list[str]) -> None:
        self._client, self._counters = client, counters
        self.stopped = False

    def start(self) -> None:
        """Asks for the next number after a while."""
        self._client.later(10 * MS, 200 * MS, self._ask)

    def _ask(self) -> None:
        if not self.stopped:
            name = self._client.rng.choice(self._counters)
            give_up_at = self._client.surroundings.now + PATIENCE_US
            self._client.call(name, NextNumber(), give_up_at, lambda _: self.start())
