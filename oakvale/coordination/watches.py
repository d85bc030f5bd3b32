"""Watch calls (long polls): each is answered once its group has a put above the revision that the caller knows.

An answer has all events above `after` up to its `rev`, the revision of the group that is in force or that of the last
event that fits into an answer. The watches of one group are answered in the turn in which the put comes into force. The
state itself is elsewhere; this module holds only the calls that wait.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import parse_qsl

import orjson

from oakvale.coordination.calls import MAX_INTEGER, ControlCall, InvalidCall, SendAnswer, read_name
from oakvale.coordination.entries import EventEntry
from oakvale.coordination.key_groups import MAX_EVENTS
from oakvale.memory.requests import Answer

MAX_WAITING_WATCHES = 1_000
# The caller resumes at the last event of an answer. Until then it is behind, so these bounds only protect the memory.
MAX_EVENTS_PER_ANSWER = MAX_EVENTS
MAX_VALUE_BYTES_PER_ANSWER = 1024 * 1024
MAX_WAIT_US = 60_000_000
SERVING_CHECK_INTERVAL_US = 100_000  # while watches wait
MICROSECONDS_PER_MILLISECOND = 1_000
DIGITS = "0123456789"
JSON = (b"content-type", b"application/json")
RETRY_AFTER = (b"retry-after", b"0.3")  # seconds; for answers that promise that nothing was done


class WatchLoop(Protocol):
    """What watches need of the event loop."""

    @property
    def now(self) -> int: ...

    def at(self, due: int, call: Callable[[Any], None], argument: Any = None) -> Any:
        """Schedules a call at a time of the loop's clock."""


@dataclass(slots=True, frozen=True)
class WatchCall:
    """A watch as it was asked for."""

    group: str
    after: int  # the revision that the caller knows; 0: it asks for the present one
    wait_us: int


@dataclass(slots=True, eq=False)
class WaitingWatch:
    """A watch without an answer; `send` is None once it has one, or its caller has left."""

    group: str
    after: int
    send: SendAnswer | None


def read_watch(call: ControlCall) -> WatchCall:
    """Reads a call of `watch`. Raises InvalidCall."""
    fields = dict[str, str]()
    for field_name, text in parse_qsl(call.query, keep_blank_values=True):
        if field_name in fields:
            raise InvalidCall(400, f"{field_name}: given twice"[:200])
        fields[field_name] = text
    if "after" not in fields:
        raise InvalidCall(400, "after: missing")
    wait_ms = _read_integer(fields.get("wait-ms", "0"), "wait-ms")
    return WatchCall(
        read_name(call.name),
        _read_integer(fields["after"], "after"),
        min(wait_ms * MICROSECONDS_PER_MILLISECOND, MAX_WAIT_US),
    )


def _read_integer(text: str, field_name: str) -> int:
    if not text or len(text) > len(str(MAX_INTEGER)) or text.strip(DIGITS) or int(text) > MAX_INTEGER:
        raise InvalidCall(400, f"{field_name}: no integer from 0")
    return int(text)


class Watches:
    """The watches of all groups that wait for a put."""

    def __init__(
        self,
        loop: WatchLoop,
        events: Callable[[str, int], list[EventEntry] | None],
        revision: Callable[[str], int],
        serving: Callable[[], bool],
        max_waiting: int = MAX_WAITING_WATCHES,
    ) -> None:
        """`events` returns the events of a group in force above a revision, in order, or None if some of them are no
        longer remembered; `revision` the revision of a group that is in force; `serving` whether this replica may
        answer from its state at this moment; `max_waiting` how many watches may wait."""
        self._loop, self._events, self._revision, self._serving = loop, events, revision, serving
        self._max_waiting = max_waiting
        self._waiting: dict[str, dict[WaitingWatch, None]] = {}  # by group, in order of arrival
        self._count = 0
        self._check_scheduled = False

    def __len__(self) -> int:
        return self._count

    def watch(self, call: ControlCall, send: SendAnswer) -> None:
        """Answers a watch at once, or lets it wait for a put."""
        try:
            wanted = read_watch(call)
        except InvalidCall as invalid:
            return send(_answer(invalid.status, {"error": str(invalid)}))
        answer = self._answer_now(wanted.group, wanted.after)
        if answer is not None or not wanted.wait_us:
            return self._send(send, answer or self._empty_answer(wanted.group))
        if self._count >= self._max_waiting:
            return send(_answer(429, {"error": "too many watches wait"}, RETRY_AFTER))
        self._add(call, wanted, send)

    def puts_in_force(self, groups: Iterable[str]) -> None:
        """Puts of these groups came into force: answers the watches that waited for them."""
        for group in groups:
            answers: dict[int, Answer | None] = {}  # by `after`: watches of one revision get the same body
            for watch in list(self._waiting.get(group, ())):
                if watch.after not in answers:
                    answers[watch.after] = self._answer_now(group, watch.after)
                if (answer := answers[watch.after]) is not None:
                    self._finish(watch, answer)

    def end_term(self) -> None:
        """This replica no longer serves: answers all watches, so that their callers turn to another one."""
        for watches in list(self._waiting.values()):
            for watch in list(watches):
                self._finish(watch, NOT_SERVING)

    def _add(self, call: ControlCall, wanted: WatchCall, send: SendAnswer) -> None:
        watch = WaitingWatch(wanted.group, wanted.after, send)
        self._waiting.setdefault(watch.group, {})[watch] = None
        self._count += 1
        call.on_abandoned.append(lambda: self._remove(watch))
        self._loop.at(self._loop.now + wanted.wait_us, self._time_out, watch)
        self._schedule_check()

    def _time_out(self, watch: WaitingWatch) -> None:
        if watch.send is not None:
            self._finish(watch, self._answer_now(watch.group, watch.after) or self._empty_answer(watch.group))

    def _check_serving(self, _: Any) -> None:
        """A primary without a lease may be replaced, so its watches would miss puts."""
        if not self._serving():
            self.end_term()
        self._check_scheduled = False
        self._schedule_check()

    def _schedule_check(self) -> None:
        if self._count and not self._check_scheduled:
            self._check_scheduled = True
            self._loop.at(self._loop.now + SERVING_CHECK_INTERVAL_US, self._check_serving)

    def _finish(self, watch: WaitingWatch, answer: Answer) -> None:
        send = watch.send
        self._remove(watch)
        if send is not None:
            self._send(send, answer)

    def _send(self, send: SendAnswer, answer: Answer) -> None:
        """Sends an answer that was taken from the state, unless this replica has stopped serving by now."""
        send(answer if self._serving() else NOT_SERVING)

    def _remove(self, watch: WaitingWatch) -> None:
        if watch.send is None:
            return
        watch.send = None
        self._count -= 1
        group = self._waiting[watch.group]
        del group[watch]
        if not group:
            del self._waiting[watch.group]

    def _answer_now(self, group: str, after: int) -> Answer | None:
        """The answer to a watch if it need not wait."""
        if not self._serving():
            return NOT_SERVING
        if not after:
            return self._empty_answer(group)
        events = self._events(group, after)
        if events is None:
            return _answer(410, {"error": "after: older than what is remembered"})
        return self._events_answer(group, events) if events else None

    def _empty_answer(self, group: str) -> Answer:
        return self._events_answer(group, [])

    def _events_answer(self, group: str, events: list[EventEntry]) -> Answer:
        shown = _events_of_one_answer(events)
        rev = self._revision(group) if len(shown) == len(events) else shown[-1].rev
        packed = [{"name": event.name, "val": event.value, "rev": event.rev} for event in shown]
        return _answer(200, {"events": packed, "rev": rev})


def _events_of_one_answer(events: list[EventEntry]) -> list[EventEntry]:
    """The first events, at least one, up to the bounds of an answer."""
    size = 0
    for count, event in enumerate(events[:MAX_EVENTS_PER_ANSWER]):
        size += len(event.value.encode())
        if count and size > MAX_VALUE_BYTES_PER_ANSWER:
            return events[:count]
    return events[:MAX_EVENTS_PER_ANSWER]


def _answer(status: int, fields: dict[str, Any], *headers: tuple[bytes, bytes]) -> Answer:
    return Answer(status, [JSON, *headers], orjson.dumps(fields))


NOT_SERVING = _answer(503, {"error": "this replica does not serve"}, RETRY_AFTER)
