"""When a gateway that has started begins to serve. No I/O and no clock.

Its first state may have been replaced while it was on its way, so it serves only once its state is known to be current.
That is asked once: a gateway that serves and is cut off afterwards goes on by what it holds.
"""

from __future__ import annotations

MAX_AGE_DIVISOR = 4  # of `apply`: the rest is for the next change's ordinary way
MAX_WAIT_DIVISOR = 3  # of `recover`: the rest is for the election of a primary and for the first state's way


class ServiceEntry:
    """Whether a gateway has begun to serve; it never ends to."""

    def __init__(self, apply_us: int, recover_us: int) -> None:
        self._max_age_us = apply_us // MAX_AGE_DIVISOR
        self._max_wait_us = recover_us // MAX_WAIT_DIVISOR
        self._configured_at: int | None = None
        self.entered = False

    def check(self, now: int, has_configuration: bool, state_age_us: int | None) -> bool:
        """Whether the gateway serves, now that its state may lack what came into force in the last `state_age_us`.

        An unknown or large age holds it up for `recover` / 3 at most: a source of an earlier version doesn't tell any.
        """
        if self.entered or not has_configuration:
            return self.entered
        if self._configured_at is None:
            self._configured_at = now
        is_current = state_age_us is not None and state_age_us <= self._max_age_us
        self.entered = is_current or now - self._configured_at >= self._max_wait_us
        return self.entered
