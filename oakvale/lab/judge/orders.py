"""Rules on what machines say to the operator: one content under a number, an order sent again, what readers get.

They go by every answer of a machine, also by those that were lost on their way: what a machine said, it said. CONFIG
on the operators' pages speaks of what was acknowledged and of the last reading alone; here every reading counts.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from functools import lru_cache

from oakvale.lab.judge.cases import Matter
from oakvale.lab.judge.words import Broken
from oakvale.lab.record import Replied, Told

UNCLEAR = frozenset({408, 429})  # 4xx that say nothing of the order


def orders(matter: Matter) -> Iterator[Broken]:
    yield from _one_content(matter)
    yield from _refused(matter)
    yield from _reads(matter)


class Meanings:
    """Texts by what they say: two spellings of one configuration are one content."""

    def __init__(self, texts: dict[str, bytes]) -> None:
        self._texts = texts
        self.of = lru_cache(None)(self._of)

    def _of(self, name: str) -> str:
        try:
            return json.dumps(json.loads(self._texts[name]), sort_keys=True)
        except (KeyError, ValueError):
            return name


def _yes(replied: Replied) -> bool:
    return 200 <= replied.status < 300


def _no(replied: Replied) -> bool:
    return 400 <= replied.status < 500 and replied.status not in UNCLEAR


def _one_content(matter: Matter) -> Iterator[Broken]:
    """At most one content is ever confirmed, or handed out, under a number."""
    meanings = Meanings(matter.record.texts)
    said: list[tuple[int, int, str, str, str]] = [
        (r.at, r.gen, meanings.of(r.content_digest), r.by, "confirmed")
        for r in matter.record.replied
        if r.valid and _yes(r)
    ]
    said += [(t.at, t.gen, meanings.of(t.content_digest), t.by, "handed out") for t in matter.record.told if t.gen >= 0]
    first: dict[int, tuple[str, str]] = {}
    for at, gen, meaning, by, how in sorted(said):
        was, whose = first.setdefault(gen, (meaning, by))
        if was != meaning:
            yield Broken(
                "CONFIG",
                at,
                (by,),
                f"{by}: a second content of version {gen} is {how}; another was said by {whose} before",
            )


def _refused(matter: Matter) -> Iterator[Broken]:
    """What was taken is never refused, before or after, by whichever machine; nor is what nothing speaks against."""
    meanings = Meanings(matter.record.texts)
    taken = {(r.gen, r.content_digest) for r in matter.record.replied if r.valid and _yes(r)}
    rivals: dict[int, set[str]] = {}
    for order in matter.record.ordered:
        rivals.setdefault(order.gen, set()).add(meanings.of(order.content_digest))
    for replied in matter.record.replied:
        if not replied.valid or not _no(replied):
            continue
        if (replied.gen, replied.content_digest) in taken:
            yield Broken(
                "CONFIG",
                replied.at,
                (replied.by,),
                f"{replied.by} refuses version {replied.gen} with {replied.status}, and the same was acknowledged",
            )
        elif len(rivals.get(replied.gen, ())) < 2:
            yield Broken(
                "DUTY",
                replied.at,
                (replied.by,),
                f"{replied.by} refuses version {replied.gen} with "
                f"{replied.status}, which is valid, and no other content has its number",
            )


def _reads(matter: Matter) -> Iterator[Broken]:
    """A reader is given nothing older than what was acknowledged, or given to a reader, before it asked."""
    known = [(r.at, r.gen, "acknowledged by " + r.by) for r in matter.record.replied if r.valid and _yes(r)]
    known += [(t.at, t.gen, "read from " + t.by) for t in matter.record.told]
    known.sort()
    best: tuple[int, str] = (-1, "")
    index = 0
    valid = {(o.gen, o.content_digest) for o in matter.record.ordered if o.valid}
    for told in sorted(matter.record.told, key=_asked):
        while index < len(known) and known[index][0] < told.sent:
            best = max(best, (known[index][1], known[index][2]), key=lambda found: found[0])
            index += 1
        if told.gen < best[0]:
            yield Broken(
                "CONFIG",
                told.at,
                (told.by,),
                f"{told.by} hands out version {told.gen}, asked after {best[0]} was {best[1]}",
            )
        if told.gen >= 0 and (told.gen, told.content_digest) not in valid:
            yield Broken(
                "CONFIG",
                told.at,
                (told.by,),
                f"{told.by} hands out as version {told.gen} what was not sent under this number, or is invalid",
            )


def _asked(told: Told) -> int:
    return told.sent
