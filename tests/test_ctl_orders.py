"""Requests on `ctl` connections: each is handled once and in order, and answered on its connection in its place."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any, cast

import pytest

from oakvale.base.limits import Limits
from oakvale.base.loop import Loop
from oakvale.config.bounds import limits_from_settings
from oakvale.controlplane.control_server import ControlServer
from oakvale.controlplane.replies import Reply
from oakvale.lifecycle.acceptor import Acceptor
from oakvale.memory.requests import Answer
from oakvale.shared import ConnectionOwner, SharedResources
from tests import schedules
from tests.data_plane_model import MS, SECOND, SETTINGS, START
from tests.memory_connections import UNLIMITED_BYTES, MemoryConnection, MemoryNet

ADDRESS = ("10.0.0.1", 8783)
MAX_CONCURRENT_ORDERS = 8
bounds_of = limits_from_settings


@dataclass(eq=False)
class Caller:
    """A client connection and the orders sent on it."""

    line: MemoryConnection
    sent: list[str] = field(default_factory=list)  # orders
    unsent: bytes = b""
    left: bool = False
    slow: bool = False  # it stopped reading for a time

    def push(self, cut: int) -> None:
        if not self.left and not self.line.peer_sending_ended:
            size = max(1, len(self.unsent) - cut) if self.unsent else 0
            self.line.deliver(self.unsent[:size])
            self.unsent = self.unsent[size:]

    def answers(self) -> list[tuple[int, bytes]]:
        data, found = self.line.read(), list[tuple[int, bytes]]()
        while data:
            head, end, rest = data.partition(b"\r\n\r\n")
            if not end:
                break
            assert head.startswith(b"HTTP/1.1 "), f"no answer: {data!r}"
            status = int(head.split()[1])
            if status >= 200:
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                if len(rest) < length:
                    break
                found.append((status, rest[:length]))
                rest = rest[length:]
            data = rest
        return found


class World:
    def __init__(self) -> None:
        self.now, self.net = START, MemoryNet()
        given = replace(bounds_of(cast(Any, SETTINGS)), timer_slack=0, wake_slack=0)
        self.loop = Loop(lambda: self.now, given, cast(Any, self.net))
        replicated_state = SimpleNamespace(table=SimpleNamespace(items=lambda prefix: []))
        core = SimpleNamespace(on_serving_change=[], serving=lambda: True, replicated_state=replicated_state)
        bound = SimpleNamespace(bind={"ctl": ADDRESS}, beat=SECOND)
        self.ctl = ControlServer(SharedResources(self.loop, given), cast(Any, core), cast(Any, bound))
        self.taken: list[str] = []
        self.replies: list[tuple[str, Callable[[Reply], None]]] = []
        self.ctl._handlers[(b"POST", "Test.Order")] = self._order
        self.listener = self.net.listen(ADDRESS, 9)
        Acceptor(cast(Any, self.ctl), cast(Any, self.listener), self.loop)
        self.callers: list[Caller] = []
        self.orders = 0

    def _order(self, name: str, body: bytes, send_reply: Callable[[Reply], None]) -> None:
        assert body == name.encode() * 9
        self.taken.append(name)
        if body[-1] % 3:
            self.replies.append((name, send_reply))
        else:
            send_reply(Reply(200, name.encode()))

    def step(self, what: int, which: int) -> None:
        here = [c for c in self.callers if not c.left and not c.line.closed and not c.line.peer_sending_ended]
        caller = here[which % len(here)] if here else None
        under_way = sum(len(c.sent) for c in here) - sum(len(c.answers()) for c in here)
        if what < 6 and under_way < MAX_CONCURRENT_ORDERS:
            if caller is None or which & 32:
                line = self.net.connection()
                line.connected = True
                self.listener.queue.append(line)
                caller = Caller(line)
                self.callers.append(caller)
            self.orders += 1
            name = f"o{self.orders}"
            caller.unsent += (
                f"POST /oakvale/Test.Order/{name} HTTP/1.1\r\nHost: c\r\nContent-Length: {9 * len(name)}"
                f"\r\n\r\n{name * 9}"
            ).encode()
            caller.sent.append(name)
            caller.push((0, 0, 7, 40)[which & 3])
        elif what < 11 and self.replies:
            name, send_reply = self.replies.pop(which % len(self.replies))
            send_reply(Reply(200 if which & 16 else 503, name.encode()))
            if which & 64:
                self.replies.append((name, send_reply))  # called a second time later
        elif what == 11:
            self.now += (MS, 300 * MS, 3 * SECOND, 7 * SECOND)[which & 3]
        elif what == 12 and caller is not None and which & 1:
            caller.left = True
            (caller.line.reset if which & 2 else caller.line.close_peer)()
        elif what == 13 and caller is not None and not caller.unsent:
            caller.line.end_sending()
        elif what == 14 and caller is not None:
            caller.line.capacity_bytes = UNLIMITED_BYTES if which & 1 else len(caller.line.in_transit) + 10
            caller.slow |= not which & 1
        elif caller is not None:
            caller.push(0)

    def play(self, schedule: bytes) -> None:
        for at in range(0, len(schedule) - 1, 2):
            self.step(schedule[at] % 16, schedule[at + 1])
            self.turn()
        for caller in self.callers:
            caller.line.capacity_bytes = UNLIMITED_BYTES
            caller.push(0)
        for _ in range(2 * len(self.taken) + self.orders + 9):
            replies, self.replies = self.replies, []
            for name, send_reply in replies:
                send_reply(Reply(200, name.encode()))
            self.turn()
        for caller in self.callers:
            names = [body.decode() for status, body in caller.answers() if status != 408]
            late = len(names) < len(caller.answers())  # the end of an order came after the timeout
            assert names == caller.sent[: len(names)], f"{caller.sent} got {names}"
            excused = caller.left or late or caller.slow and caller.line.closed
            assert excused or len(names) == len(caller.sent), f"{caller.sent} got {names}"
            taken = [name for name in self.taken if name in caller.sent]
            assert taken == caller.sent[: len(taken)], f"{caller.sent} were handled as {taken}"
        self.loop.close()

    def turn(self) -> None:
        for _ in range(2):
            self.loop.turn(0)


def search(examples: int, shrinks: bool = True) -> None:
    schedules.search(lambda schedule: World().play(schedule), examples, (20, 120), shrink=shrinks)


def test_each_order_is_answered_on_its_own_connection_and_in_its_place() -> None:
    """Pipelined requests on reused, cut and half-closed connections, from callers that leave before the answer; replies
    in a different order than the requests, and duplicate replies."""
    search(600)


def answer_although_over(owner: ConnectionOwner, request: Any, answer: Answer) -> None:
    """Sends a duplicate or late answer all the same."""
    request.client.send_answer(answer)
    request.finished = False


def with_timeout_behind_pending(given: Any) -> Limits:
    return replace(limits_from_settings(given), patient=False)


BREAKAGES: dict[str, tuple[Any, str, Any]] = {
    "answered twice": (ConnectionOwner, "final", answer_although_over),
    "timeout while pending": (sys.modules[__name__], "bounds_of", with_timeout_behind_pending),
}


@pytest.mark.parametrize("what", BREAKAGES)
def test_each_removed_mechanism_is_detected(monkeypatch: pytest.MonkeyPatch, what: str) -> None:
    monkeypatch.setattr(*BREAKAGES[what])
    with pytest.raises(AssertionError):
        search(400, shrinks=False)
