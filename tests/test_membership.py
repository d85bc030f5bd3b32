"""The list of gateways at the primary: which of two lives of one gateway is believed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from oakvale.controlplane.membership import GatewayRegistry


class Primary:
    """A core that serves and a jury, as far as the list needs them; changes come into force at once."""

    def __init__(self) -> None:
        self.now, self.serves, self.ended = 0, True, list[str]()
        self.held: dict[str, Any] = {}
        self.changes = 0
        self.on_serving_change: list[Any] = []
        self.handlers: dict[str, Any] = {}
        self.asked: list[Callable[[Any], None]] = []
        self.replicated_state = self
        whole = cast(Any, self)
        GatewayRegistry(
            whole,
            cast(Any, type("Votes", (), {"incarnation_ended": lambda _, life: self.ended.append(life)})()),
            whole,
            whole,
        )

    def serving(self) -> bool:
        return self.serves

    def primary(self) -> None:
        return None

    def latest(self, key: str) -> Any:
        return self.held.get(key)

    def change(self, changes: dict[str, Any], then: Callable[[bool], None]) -> None:
        self.held.update(changes)
        self.changes += 1
        then(True)

    def ask_on(self, conn: Any, kind: str, body: Any, timeout: int, then: Callable[[Any], None]) -> None:
        assert kind == "life" and timeout > 0
        self.asked.append(then)

    def join(self, life: str) -> list[Any]:
        answers: list[Any] = []
        self.handlers["join"](None, {"node": "g1", "addr": "10.0.0.9:7341", "az": "a", "life": life}, answers.append)
        return answers

    def listed(self) -> str:
        return str(self.held["gate/g1"]["life"])


def test_the_word_of_a_life_that_has_ended_does_not_replace_the_next() -> None:
    """A primary that stood still reads both; it took the later read for the later life, freed the votes that the
    living one held, and so let a second counter come up beside it."""
    primary = Primary()
    assert primary.join("one") == [{"joined": True}]
    newer = primary.join("two")
    older = primary.join("one, which was long on its way")
    primary.asked[0]("two")
    primary.asked[1](None)  # its connection has ended
    assert newer == [{"joined": True}] and older == [{"joined": False}]
    assert primary.listed() == "two" and primary.ended == ["one"]


def test_a_life_that_is_asked_back_joins_once() -> None:
    primary = Primary()
    primary.join("one")
    first, again = primary.join("two"), primary.join("two")
    for then in primary.asked:
        then("two")
    assert first == again == [{"joined": True}]
    assert primary.listed() == "two" and primary.ended == ["one"] and primary.changes == 2
    assert primary.join("two") == [{"joined": True}] and len(primary.asked) == 2


def test_a_primary_that_was_replaced_while_it_asked_back_lists_nobody() -> None:
    primary = Primary()
    primary.join("one")
    answers = primary.join("two")
    primary.serves = False
    primary.asked[0]("two")
    assert answers == [{"joined": False}] and primary.listed() == "one" and not primary.ended
