"""Applications that hold locks: for a moment, for long, until they die, or beyond their time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from oakvale.lab.applications.client import MS, SECOND, Client
from oakvale.lab.history.calls import BeginHold, Call, FinishHold, RenewHold

HOLDS_US = (600 * MS, 1_500 * MS, 3 * SECOND, 7 * SECOND)
BEGIN_PATIENCE_US = 3 * SECOND
FINISH_PATIENCE_US = 2 * SECOND
MAX_REQUESTS = 12  # for one lock, while another holds it


class Conduct(Enum):
    """What a caller does with a lock that it holds."""

    MOMENT = auto()
    RENEW = auto()
    DIE = auto()  # says nothing more, and comes back later under the same name
    OVERSLEEP = auto()  # wakes after its time and goes on as if it were holder
    ASK_AGAIN = auto()  # begins a second time while it holds


CONDUCTS = (Conduct.MOMENT, Conduct.MOMENT, Conduct.RENEW, Conduct.RENEW, Conduct.RENEW, *Conduct)


@dataclass(slots=True)
class _Held:
    lock: str
    fence: int
    hold_us: int
    until: int  # by the caller's count
    renewals_left: int


class LockUser:
    """One caller that takes one lock after another."""

    def __init__(self, client: Client, locks: list[str]) -> None:
        self._client, self._locks = client, locks
        self.stopped = False

    def start(self) -> None:
        """Takes the next lock after a while."""
        self._client.later(20 * MS, 600 * MS, self._choose)

    def _choose(self) -> None:
        if not self.stopped:
            rng = self._client.rng
            self._begin(rng.choice(self._locks), rng.choice(HOLDS_US), MAX_REQUESTS)

    def _begin(self, lock: str, hold_us: int, requests_left: int) -> None:
        def answered(call: Call | None) -> None:
            if call is not None and call.succeeded and call.result is not None:
                self._granted(_Held(lock, call.result.fence, hold_us, call.sent_at + hold_us, 0))
            elif call is not None and requests_left > 0 and not self.stopped:
                self._client.later(20 * MS, 250 * MS, lambda: self._begin(lock, hold_us, requests_left - 1))
            else:
                self.start()

        request = BeginHold(self._client.name, hold_us)
        self._client.call(lock, request, self._client.surroundings.now + BEGIN_PATIENCE_US, answered)

    def _granted(self, held: _Held) -> None:
        rng = self._client.rng
        match rng.choice(CONDUCTS):
            case Conduct.MOMENT:
                self._client.later(1 * MS, 80 * MS, lambda: self._finish(held))
            case Conduct.RENEW:
                held.renewals_left = rng.randrange(2, 12)
                self._wait_to_renew(held)
            case Conduct.DIE:
                self._client.later(100 * MS, 2 * held.hold_us, self.start)
            case Conduct.OVERSLEEP:
                wake = held.hold_us + 50 * MS
                self._client.later(wake, wake + held.hold_us, lambda: self._wake(held))
            case Conduct.ASK_AGAIN:
                self._client.later(10 * MS, held.hold_us, lambda: self._begin(held.lock, held.hold_us, 0))

    def _wait_to_renew(self, held: _Held) -> None:
        self._client.later(held.hold_us // 5, held.hold_us // 2, lambda: self._renew(held))

    def _renew(self, held: _Held) -> None:
        now = self._client.surroundings.now
        if now >= held.until or self.stopped:
            return self._finish(held)

        def answered(call: Call | None) -> None:
            if call is None or not call.succeeded or call.answered_at >= held.until:
                return self._finish(held)
            held.until = call.sent_at + held.hold_us
            held.renewals_left -= 1
            if held.renewals_left > 0:
                self._wait_to_renew(held)
            else:
                self._finish(held)

        if self._client.rng.random() < 0.2:
            held.hold_us = self._client.rng.choice(HOLDS_US)  # longer or shorter than before
        request = RenewHold(self._client.name, held.fence, held.hold_us)
        self._client.call(held.lock, request, held.until, answered)

    def _wake(self, held: _Held) -> None:
        """Its time is over: a renewal that succeeds now counts for nothing."""
        request = RenewHold(self._client.name, held.fence, held.hold_us)
        self._client.call(
            held.lock, request, self._client.surroundings.now + FINISH_PATIENCE_US, lambda _: self._finish(held)
        )

    def _finish(self, held: _Held) -> None:
        request = FinishHold(self._client.name, held.fence)
        give_up_at = self._client.surroundings.now + FINISH_PATIENCE_US
        self._client.call(held.lock, request, give_up_at, lambda _: self.start())
