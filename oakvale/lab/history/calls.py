"""Coordination calls as their callers saw them: each send of a call with its times and its answer.

Times are microseconds of one clock that all callers share.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TypeVar

# the page promises of 412, 429 and 503 that the call never takes effect; the others are given before a call is handled
STATUSES_WITHOUT_EFFECT = frozenset((307, 400, 404, 405, 409, 410, 412, 413, 429, 503))


@dataclass(slots=True, frozen=True)
class BeginHold:
    """Asks for a lock."""

    owner: str
    hold_us: int


@dataclass(slots=True, frozen=True)
class RenewHold:
    """Asks for more time as holder of a lock."""

    owner: str
    fence: int
    hold_us: int


@dataclass(slots=True, frozen=True)
class FinishHold:
    """Gives a lock back."""

    owner: str
    fence: int


@dataclass(slots=True, frozen=True)
class NextNumber:
    """Asks for a number above all earlier ones."""


@dataclass(slots=True, frozen=True)
class PutValue:
    """Writes a key. Values are unique; sends with the same value belong to one put."""

    value: str
    topic: int  # the revision that the key must have; 0: it must have none


@dataclass(slots=True, frozen=True)
class ReadValue:
    """Reads a key."""


@dataclass(slots=True, frozen=True)
class WatchGroup:
    """Waits for puts in a group of keys above a revision; with 0 asks for the present revision."""

    after: int
    wait_us: int


Request = BeginHold | RenewHold | FinishHold | NextNumber | PutValue | ReadValue | WatchGroup
RequestT = TypeVar("RequestT", bound=Request)


@dataclass(slots=True, frozen=True)
class Event:
    """A put, as a watch shows it."""

    name: str
    value: str
    rev: int


@dataclass(slots=True, frozen=True)
class Result:
    """An answer, with the fields that its kind of call has."""

    status: int
    fence: int = 0
    number: int = 0
    rev: int = 0
    value: str = ""
    events: tuple[Event, ...] = ()


@dataclass(slots=True, eq=False)
class Call:
    """One send of a call to one machine."""

    caller: str
    name: str  # of the lock, counter, key or group
    request: Request
    sent_at: int
    closing: bool = False  # sent after the last fault, to find what was lost
    result: Result | None = None  # None if no answer came while the caller waited
    answered_at: int = 0

    @property
    def succeeded(self) -> bool:
        return self.result is not None and self.result.status == 200

    @property
    def has_no_effect(self) -> bool:
        """Whether its answer says that it has not taken effect and never will."""
        return self.result is not None and self.result.status in STATUSES_WITHOUT_EFFECT

    def has_status(self, status: int) -> bool:
        return self.result is not None and self.result.status == status

    def was_answered_before(self, moment: int) -> bool:
        return self.result is not None and self.answered_at < moment

    def __str__(self) -> str:
        times = f"{self.sent_at} to {self.answered_at if self.result else 'no answer'}"
        return f"{self.caller} {self.name} {self.request} {self.result} ({times})"


@dataclass(slots=True)
class History:
    """All calls, in the order in which they were sent."""

    calls: list[Call] = field(default_factory=list)

    def sent(self, caller: str, name: str, request: Request, sent_at: int, closing: bool = False) -> Call:
        """Records that a call is sent."""
        call = Call(caller, name, request, sent_at, closing)
        self.calls.append(call)
        return call

    def by_name(self, *kinds: type[Request]) -> dict[str, list[Call]]:
        """The calls with requests of these kinds, by the name that they concern."""
        found: dict[str, list[Call]] = {}
        for call in self.calls:
            if isinstance(call.request, kinds):
                found.setdefault(call.name, []).append(call)
        return found


def with_request(calls: list[Call], kind: type[RequestT]) -> Iterator[tuple[Call, RequestT]]:
    """The calls with a request of this kind, and the request."""
    for call in calls:
        if isinstance(call.request, kind):
            yield call, call.request


def successes(calls: list[Call], kind: type[RequestT]) -> Iterator[tuple[Call, RequestT, Result]]:
    """The calls of this kind that were answered 200, with request and result."""
    for call, request in with_request(calls, kind):
        if call.result is not None and call.result.status == 200:
            yield call, request, call.result
