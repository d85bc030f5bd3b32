"""Locks, counters, keys and watches in one memory without replication: what the checks of histories must accept."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from oakvale.coordination.calls import CallHandler, ControlCall, SendAnswer
from oakvale.coordination.entries import group_of
from oakvale.memory.requests import Answer
from tests.simulated_processes import MS


def reply(status: int, **fields: Any) -> Answer:
    return Answer(status, [], json.dumps(fields).encode())


@dataclass
class Lock:
    fence: int = 0
    owner: str = ""
    until: int = 0


@dataclass
class Group:
    rev: int = 0
    events: list[dict[str, Any]] = field(default_factory=list)
    waiting: list[Callable[[], None]] = field(default_factory=list)


class ReferenceCoordination:
    """The state that all machines share; each call takes effect at once."""

    def __init__(self, now: Callable[[], int], at: Callable[[int, Callable[[], None]], None]) -> None:
        self._now, self._at = now, at
        self._locks: dict[str, Lock] = {}
        self._numbers: dict[str, int] = {}
        self._cells: dict[str, dict[str, Any]] = {}
        self._groups: dict[str, Group] = {}

    def handlers(self) -> dict[tuple[bytes, str], CallHandler]:
        return {
            (b"POST", "Locks.Begin"): self._begin,
            (b"POST", "Locks.Heartbeat"): self._renew,
            (b"POST", "Locks.Finish"): self._finish,
            (b"POST", "numbers"): self._number,
            (b"POST", "Cells.Replace"): self._put,
            (b"GET", "Cells.Read"): self._read,
            (b"GET", "watch"): self._watch,
        }

    def _held(self, call: ControlCall, body: dict[str, Any]) -> tuple[Lock, bool, int]:
        """The lock, whether the caller holds it, and until when it would."""
        lock = self._locks.setdefault(call.name, Lock())
        until = self._now() + int(body.get("hold", "0ms")[:-2]) * MS
        return lock, lock.owner == body["owner"] and lock.until > self._now(), until

    def _begin(self, call: ControlCall, send: SendAnswer) -> None:
        body = json.loads(call.body)
        lock, held, until = self._held(call, body)
        if not held and lock.until > self._now():
            return send(reply(409))
        if not held:
            lock.fence, lock.owner, lock.until = lock.fence + 1, body["owner"], 0
        lock.until = max(lock.until, until)
        send(reply(200, fence=lock.fence))

    def _renew(self, call: ControlCall, send: SendAnswer) -> None:
        body = json.loads(call.body)
        lock, held, until = self._held(call, body)
        if not held or lock.fence != body["fence"]:
            return send(reply(409))
        lock.until = max(lock.until, until)
        send(reply(200))

    def _finish(self, call: ControlCall, send: SendAnswer) -> None:
        body = json.loads(call.body)
        lock, held, _ = self._held(call, body)
        if held and lock.fence == body["fence"]:
            lock.until = 0
        send(reply(200))

    def _number(self, call: ControlCall, send: SendAnswer) -> None:
        self._numbers[call.name] = self._numbers.get(call.name, 0) + 1
        send(reply(200, val=self._numbers[call.name]))

    def _put(self, call: ControlCall, send: SendAnswer) -> None:
        body, group = json.loads(call.body), self._groups.setdefault(group_of(call.name), Group())
        for event in group.events:
            if event["val"] == body["val"]:
                return send(reply(200, rev=event["rev"]))
        rev = self._cells.get(call.name, {}).get("rev", 0)
        if body["topic"] != rev:
            return send(reply(412, rev=rev))
        group.rev += 1
        self._cells[call.name] = {"val": body["val"], "rev": group.rev}
        group.events.append({"name": call.name, "val": body["val"], "rev": group.rev})
        send(reply(200, rev=group.rev))
        waiting, group.waiting = group.waiting, []
        for wake in waiting:
            wake()

    def _read(self, call: ControlCall, send: SendAnswer) -> None:
        cell = self._cells.get(call.name)
        send(reply(200, **cell) if cell else reply(404))

    def _watch(self, call: ControlCall, send: SendAnswer) -> None:
        query = parse_qs(call.query)
        after, wait_us = int(query["after"][0]), int(query["wait-ms"][0]) * MS
        group = self._groups.setdefault(call.name, Group())
        answered = False

        def answer() -> None:
            nonlocal answered
            if not answered:
                answered = True
                events = [event for event in group.events if event["rev"] > after] if after else []
                send(reply(200, events=events, rev=group.rev))

        if after == 0 or group.rev > after:
            return answer()
        group.waiting.append(answer)
        self._at(self._now() + wait_us, answer)
