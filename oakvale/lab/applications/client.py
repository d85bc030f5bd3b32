"""How an application calls the system: any core machine, redirects followed, another machine after a failure."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from oakvale.lab.applications.wire import HttpAnswer, Surroundings, decode, encode
from oakvale.lab.history.calls import Call, History, Request, WatchGroup

MS, SECOND = 1_000, 1_000_000
SILENCE_US = 1 * SECOND
MAX_REDIRECTS = 2
RETRY_DELAY_US = 40 * MS
RETRIED_STATUSES = frozenset((307, 429))  # and all from 500
STATUSES_OF_REFUSAL = frozenset((429, 503))  # nothing was done

OnCall = Callable[[Call | None], None]


class Client:
    """The calls of one application; each send is recorded."""

    def __init__(self, name: str, surroundings: Surroundings, history: History, rng: Random) -> None:
        self.name, self.surroundings, self.rng = name, surroundings, rng
        self._history = history
        self.closing = False  # whether calls count as those at the end of a run

    def call(
        self, name: str, request: Request, give_up_at: int, on_done: OnCall, accepts_refusal: bool = False
    ) -> None:
        """Sends a call, again and again until its outcome is clear; `on_done` gets the last send, or None if it is
        still unclear at `give_up_at`. With `accepts_refusal` it is not sent again once nothing was done."""
        addresses = list(self.surroundings.core_addresses())
        self.rng.shuffle(addresses)
        _Attempts(self, name, request, give_up_at, on_done, addresses, accepts_refusal).start()

    def record(self, name: str, request: Request) -> Call:
        """Records that a call is sent now."""
        return self._history.sent(self.name, name, request, self.surroundings.now, self.closing)

    def later(self, low_us: int, high_us: int, then: Callable[[], None]) -> None:
        """Calls back after a time drawn between the two."""
        self.surroundings.at(self.surroundings.now + self.rng.randrange(low_us, high_us), then)


class _Attempts:
    """The sends of one call, one after another."""

    def __init__(
        self,
        client: Client,
        name: str,
        request: Request,
        give_up_at: int,
        on_done: OnCall,
        addresses: list[str],
        accepts_refusal: bool,
    ) -> None:
        self._client, self._name, self._request = client, name, request
        self._give_up_at, self._on_done, self._addresses = give_up_at, on_done, addresses
        self._patience = SILENCE_US + (request.wait_us if isinstance(request, WatchGroup) else 0)
        self._accepts_refusal = accepts_refusal
        self._next = 0

    def start(self) -> None:
        """Sends to the next machine, or gives up."""
        if self._client.surroundings.now >= self._give_up_at:
            return self._on_done(None)
        if not self._addresses:
            return self._retry()
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        self._send(address, MAX_REDIRECTS)

    def _retry(self) -> None:
        self._client.later(RETRY_DELAY_US // 2, RETRY_DELAY_US, self.start)

    def _send(self, address: str, redirects_left: int) -> None:
        surroundings = self._client.surroundings
        call = self._client.record(self._name, self._request)
        open_until = surroundings.now + self._patience
        ended = False

        def answered(answer: HttpAnswer | None) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            if answer is None:
                return self._retry()
            call.result, call.answered_at = decode(self._request, answer), surroundings.now
            if answer.status == 307 and redirects_left > 0 and answer.location:
                self._send(answer.location, redirects_left - 1)
            elif self._accepts_refusal and answer.status in STATUSES_OF_REFUSAL:
                self._on_done(call)
            elif answer.status in RETRIED_STATUSES or answer.status >= 500:
                self._retry()
            else:
                self._on_done(call)

        surroundings.at(open_until, lambda: answered(None))
        surroundings.send(address, encode(self._name, self._request), answered)
