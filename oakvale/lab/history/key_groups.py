"""Checks of one group of keys: revisions, what reads and watches show, and puts that were turned away."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from oakvale.lab.history.calls import Call, PutValue, ReadValue, WatchGroup, successes, with_request
from oakvale.lab.history.violations import Rule, Violation


@dataclass(slots=True)
class Put:
    """All sends of one value."""

    name: str
    value: str
    topic: int
    sends: list[Call] = field(default_factory=list)

    @property
    def first_sent_at(self) -> int:
        return self.sends[0].sent_at

    @property
    def was_turned_away(self) -> bool:
        """Whether it never takes effect: a 412 holds for all sends, as revisions only rise; other answers for one."""
        return any(call.has_status(412) for call in self.sends) or all(call.has_no_effect for call in self.sends)

    @property
    def acknowledgement(self) -> Call | None:
        """The first 200."""
        answered = [call for call in self.sends if call.succeeded]
        return min(answered, key=lambda call: call.answered_at, default=None)


@dataclass(slots=True, frozen=True)
class Sight:
    """A value under a revision, as an answer shows it."""

    name: str
    value: str
    rev: int
    call: Call


class GroupHistory:
    """The calls of one group, its puts by value, and all that was shown."""

    def __init__(self, group: str, calls: list[Call]) -> None:
        self.group, self.calls = group, calls
        self.puts: dict[str, Put] = {}
        for call, request in with_request(calls, PutValue):
            put = self.puts.setdefault(request.value, Put(call.name, request.value, request.topic))
            put.sends.append(call)
        self.sights = list(self._sights())
        self.by_rev = {sight.rev: sight for sight in reversed(self.sights)}  # the first of each revision

    def _sights(self) -> Iterator[Sight]:
        for call in self.calls:
            if call.result is None or call.result.status != 200:
                continue
            match call.request:
                case PutValue(value):
                    yield Sight(call.name, value, call.result.rev, call)
                case ReadValue():
                    yield Sight(call.name, call.result.value, call.result.rev, call)
                case WatchGroup():
                    for event in call.result.events:
                        yield Sight(event.name, event.value, event.rev, call)

    def key_names(self) -> set[str]:
        """Names of all keys that were put or read."""
        return {call.name for call in self.calls if not isinstance(call.request, WatchGroup)}


def _check_values(history: GroupHistory) -> Iterator[Violation]:
    rev_by_value: dict[str, int] = {}
    for sight in history.sights:
        put = history.puts.get(sight.value)
        if put is None or put.name != sight.name or put.first_sent_at >= sight.call.answered_at:
            yield Violation(Rule.MIXED, sight.name, f"a value that nobody put to this key: {sight}")
        elif put.was_turned_away:
            yield Violation(Rule.REFUSED, sight.name, f"shown although turned away: {sight}")
        if rev_by_value.setdefault(sight.value, sight.rev) != sight.rev:
            yield Violation(Rule.MIXED, sight.name, f"also shown under {rev_by_value[sight.value]}: {sight}")
        first = history.by_rev[sight.rev]
        if (first.name, first.value) != (sight.name, sight.value):
            yield Violation(Rule.ORDER, sight.name, f"revision given twice: {first} and {sight}")


def _check_revisions(history: GroupHistory) -> Iterator[Violation]:
    acknowledgements = [(call, result.rev) for call, _, result in successes(history.calls, PutValue)]
    for put in history.puts.values():
        acknowledgement = put.acknowledgement
        if acknowledgement is None or acknowledgement.result is None:
            continue
        rev = acknowledgement.result.rev
        before = [given for call, given in acknowledgements if call.was_answered_before(put.first_sent_at)]
        if before and max(before) >= rev:
            yield Violation(Rule.ORDER, put.name, f"not above {max(before)}, given before: {acknowledgement}")
        between = [shown for shown in history.by_rev if put.topic < shown < rev]
        overwritten = [history.by_rev[shown] for shown in between if history.by_rev[shown].name == put.name]
        if overwritten:
            yield Violation(Rule.ORDER, put.name, f"put over {overwritten[0]}: {acknowledgement}")


def _check_conflicts(history: GroupHistory) -> Iterator[Violation]:
    """Checks that each 412 names a revision of its key."""
    for call, _ in with_request(history.calls, PutValue):
        if call.result is None or call.result.status != 412 or call.result.rev == 0:
            continue
        sight = history.by_rev.get(call.result.rev)
        if sight is not None:
            named_wrongly = sight.name != call.name
        else:
            named_wrongly = not any(
                put.name == call.name and put.acknowledgement is None and not put.was_turned_away
                for put in history.puts.values()
            )
        if named_wrongly:
            yield Violation(Rule.MIXED, call.name, f"names a revision that the key never had: {call}")


def _check_reads(history: GroupHistory) -> Iterator[Violation]:
    acknowledged: dict[str, list[tuple[Call, int]]] = {}
    for call, _, result in successes(history.calls, PutValue):
        acknowledged.setdefault(call.name, []).append((call, result.rev))
    for call, _ in with_request(history.calls, ReadValue):
        if call.result is None or call.result.status not in (200, 404):
            continue
        before = [rev for put, rev in acknowledged.get(call.name, []) if put.was_answered_before(call.sent_at)]
        if before and max(before) > call.result.rev:
            yield Violation(Rule.STALE, call.name, f"{max(before)} was acknowledged before: {call}")


def _check_watches(history: GroupHistory) -> Iterator[Violation]:
    for call, request, result in successes(history.calls, WatchGroup):
        revs = [event.rev for event in result.events]
        if any(
            later <= earlier for earlier, later in zip([request.after, *revs], [*revs, result.rev + 1], strict=True)
        ):
            yield Violation(Rule.ORDER, history.group, f"events do not rise: {call}")
        if request.after > 0:
            shown = set(revs)
            skipped = [rev for rev in history.by_rev if request.after < rev <= result.rev and rev not in shown]
            if skipped:
                yield Violation(Rule.ORDER, history.group, f"skips {min(skipped)}: {call}")


def _check_retention(history: GroupHistory, retain_us: int) -> Iterator[Violation]:
    given_at: dict[tuple[str, int], int] = {}  # by caller and revision, the latest so far
    watches = [(call, request) for call, request in with_request(history.calls, WatchGroup) if call.result is not None]
    for call, request in sorted(watches, key=lambda watch: watch[0].answered_at):
        assert call.result is not None
        if call.result.status == 410:
            latest = given_at.get((call.caller, request.after))
            if latest is not None and call.sent_at - latest < retain_us:
                yield Violation(Rule.LOST, history.group, f"given at {latest}: {call}")
        for rev in (call.result.rev, *(event.rev for event in call.result.events)):
            given_at[call.caller, rev] = call.answered_at


def check_group(history: GroupHistory, retain_us: int) -> list[Violation]:
    """Checks all calls to the keys of one group, and the watches of the group."""
    return [
        *_check_values(history),
        *_check_revisions(history),
        *_check_conflicts(history),
        *_check_reads(history),
        *_check_watches(history),
        *_check_retention(history, retain_us),
    ]
