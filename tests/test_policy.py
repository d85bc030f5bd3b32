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
    "3b869dd8",
    "aca1eb09",
    "66d0b4f7",
    "9d6e0836",
    "2ae5d740",
    "cc466bc9",
    "88d69897",
    "7bb44f6d",
    "20b8fa5e",
    "0e7a9a9a",
    "154a87b1",
    "47c112ca",
    "97e416e9",
    "bb7fed15",
    "cde1178e",
    "3b835417",
    "517d100b",
    "b851abc2",
    "c1223c3e",
    "15613631",
    "dbe5933e",
    "c28da3cf",
    "d5f6f32f",
    "c3b8a14d",
    "66b8a4dc",
    "85e3f777",
    "379686ae",
    "ebcbde96",
    "df6a3601",
    "4af04c11",
    "ef0ba083",
    "0c48abce",
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
