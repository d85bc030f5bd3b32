"""What a soak measures beside the rules: times without any success, chains of redirects, and calls that a process left
unanswered while it stopped.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from oakvale.lab.history.calls import Call, History
from oakvale.lab.soak.connections import Ending, Unanswered
from oakvale.lab.soak.plan import EpisodeKind

MAX_REDIRECTS = 2


@dataclass(slots=True, frozen=True)
class Played:
    """An episode that was played, on the callers' clock."""

    kind: EpisodeKind
    began_at: int
    ended_at: int


@dataclass(slots=True, frozen=True)
class Stop:
    """A process from its SIGTERM to its end."""

    address: str
    began_at: int
    ended_at: int


def longest_gaps(history: History, episodes: list[Played], end: int) -> dict[EpisodeKind, int]:
    """The longest time without any success that touches an episode, or begins before the next one, by kind."""
    moments = sorted(call.answered_at for call in history.calls if call.succeeded and call.answered_at <= end)
    gaps = list(zip(moments, [*moments[1:], end], strict=True)) if moments else []
    longest: dict[EpisodeKind, int] = {}
    for number, episode in enumerate(episodes):
        until = episodes[number + 1].began_at if number + 1 < len(episodes) else end
        touching = [later - earlier for earlier, later in gaps if later > episode.began_at and earlier < until]
        longest[episode.kind] = max(longest.get(episode.kind, 0), *touching, 0)
    return longest


def redirect_loops(history: History) -> int:
    """How often a call was led on more than twice in a row."""
    chains: dict[int, int] = {}
    loops = 0
    for call in history.calls:
        key = id(call.request)
        chains[key] = chains.get(key, 0) + 1 if call.has_status(307) else 0
        loops += chains[key] == MAX_REDIRECTS + 1
    return loops


def left_by_stopping(unanswered: list[Unanswered], stops: list[Stop], margin_us: int) -> Counter[str]:
    """Calls without an answer that ended while their process was stopping."""
    found: Counter[str] = Counter()
    for call in unanswered:
        for stop in stops:
            if call.address == stop.address and stop.began_at <= call.ended_at <= stop.ended_at + margin_us:
                if call.ending is not Ending.REFUSED:
                    place = "new connection" if call.is_first_on_connection else "kept connection"
                    found[f"{call.ending} on a {place} ({call.verb})"] += 1
                break
    return found


def is_answered(call: Call) -> bool:
    """Whether a call of the end has its answer."""
    return call.result is not None and call.result.status in (200, 404, 410)
