"""Regression test of all decisions: digests of the actions that follow random events.

An intended change of a decision changes the digests; `python -m tests.test_policy` prints them. Floats are compared
to nine digits, so that rounding in a library does not matter.
"""

import hashlib
from dataclasses import astuple

import pytest

from oakvale import interface as i
from oakvale.policy.gateway import Gateway
from tests.drawn_events import RandomEvents

EVENTS = 300
DIGESTS = (
    "1950a89b",
    "4e132ddd",
    "30008642",
    "4084d9b4",
    "2ae5d740",
    "b9b925cf",
    "c43b5b78",
    "76ac6135",
    "20b8fa5e",
    "0e7a9a9a",
    "446c2487",
    "7c85ee5b",
    "e24133df",
    "97c500d7",
    "bd19a770",
    "3b835417",
    "33b71e5f",
    "64236970",
    "958fd360",
    "15613631",
    "40b6862c",
    "c28da3cf",
    "785ffb0e",
    "c3b8a14d",
    "0a2364ec",
    "3252b1db",
    "99f7dc57",
    "7100889c",
    "df6a3601",
    "08a5e653",
    "aa2b62b3",
    "ae272881",
)


def formatted(action: i.Action) -> str:
    fields = (f"{x:.9g}" if isinstance(x, float) else str(x) for x in astuple(action))
    return f"{type(action).__name__} {' '.join(fields)}"


def digest_of(seed: int) -> str:
    random_events, digest = RandomEvents(seed), hashlib.sha256()
    for _, _, actions in random_events.play(Gateway(random_events.settings, seed), EVENTS):
        digest.update("\n".join([*map(formatted, actions), ""]).encode())
    return digest.hexdigest()[:8]


@pytest.mark.parametrize("seed", range(len(DIGESTS)))
def test_same_events_give_same_actions(seed: int) -> None:
    assert digest_of(seed) == DIGESTS[seed]


if __name__ == "__main__":
    print(*map(digest_of, range(len(DIGESTS))))
