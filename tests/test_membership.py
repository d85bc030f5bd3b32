"""The list of gateways on the primary: of two incarnations of a gateway, only the running one is listed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from oakvale.controlplane.membership import GatewayRegistry


class Primary:
    """The core, transport and voter service that the registry needs; changes come into force at once."""

    def __init__(self) -> None:
        self.now, self.serves, self.ended = 0, True, list[str]()
        self.entries: dict[str, Any] = {}
        self.change_count = 0
        self.on_serving_change: list[Any] = []
        self.handlers: dict[str, Any] = {}
        self.incarnation_queries: list[Callable[[Any], None]] = []
        self.replicated_state = self
        whole = cast(Any, self)
        GatewayRegistry(
            whole,
            cast(
                Any, type("Votes", (), {"incarnation_ended": lambda _, incarnation: self.ended.append(incarnation)})()
            ),
            whole,
            whole,
        )

    def serving(self) -> bool:
        return self.serves

    def primary(self) -> None:
        return None

    def latest(self, key: str) -> Any:
        return self.entries.get(key)

    def change(self, changes: dict[str, Any], then: Callable[[bool], None]) -> None:
        self.entries.update(changes)
        self.change_count += 1
        then(True)

    def ask_on(self, conn: Any, kind: str, body: Any, timeout: int, then: Callable[[Any], None]) -> None:
        assert kind == "life" and timeout > 0
        self.incarnation_queries.append(then)

    def join(self, incarnation: str) -> list[Any]:
        answers: list[Any] = []
        self.handlers["join"](
            None, {"node": "g1", "addr": "10.0.0.9:7341", "az": "a", "life": incarnation}, answers.append
        )
        return answers

    def listed(self) -> str:
        return str(self.entries["gate/g1"]["life"])


def test_a_delayed_join_of_an_ended_incarnation_does_not_replace_the_next_one() -> None:
    """A paused primary reads both requests afterwards. Accepting the one read last would free the votes of the running
    gateway and allow a second counter."""
    primary = Primary()
    assert primary.join("one") == [{"joined": True}]
    newer = primary.join("two")
    older = primary.join("one, delayed")
    primary.incarnation_queries[0]("two")
    primary.incarnation_queries[1](None)  # its connection is closed
    assert newer == [{"joined": True}] and older == [{"joined": False}]
    assert primary.listed() == "two" and primary.ended == ["one"]


def test_an_incarnation_that_joins_twice_is_added_once() -> None:
    primary = Primary()
    primary.join("one")
    first, second = primary.join("two"), primary.join("two")
    for then in primary.incarnation_queries:
        then("two")
    assert first == second == [{"joined": True}]
    assert primary.listed() == "two" and primary.ended == ["one"] and primary.change_count == 2
    assert primary.join("two") == [{"joined": True}] and len(primary.incarnation_queries) == 2


def test_a_primary_that_is_replaced_during_the_query_adds_no_gateway() -> None:
    primary = Primary()
    primary.join("one")
    answers = primary.join("two")
    primary.serves = False
    primary.incarnation_queries[0]("two")
    assert answers == [{"joined": False}] and primary.listed() == "one" and not primary.ended
