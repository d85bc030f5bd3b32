"""Harness for the policy of one gateway, and a call of the command line."""

from __future__ import annotations

import io
import os
from contextlib import redirect_stderr, redirect_stdout
from dataclasses import dataclass, replace
from typing import Any, TypeVar
from unittest import mock

from oakvale.cli import main
from oakvale.interface import (
    Action,
    Backends,
    Charge,
    Counted,
    Effect,
    Ended,
    Ending,
    Entry,
    Event,
    ListForm,
    Plan,
    Request,
    RequestClass,
    Settings,
    Timer,
)
from oakvale.policy.gateway import Gateway

T = TypeVar("T")

CLASS = RequestClass(aim=1_000_000, deadline=4_000_000, effect=Effect.SAFE)
HARD = Plan(rate=2.0, burst=8.0, price=1.0, over_cost=1.0)
SOFT = Plan(rate=10.0, burst=20.0, price=1.5, over_worth=0.3)
SETTINGS = Settings(
    classes=(CLASS,),
    plans=(HARD, SOFT),
    fleet=2,
    max_attempts=4,
    may_cancel=True,
    may_count=True,
    counter_timeout=50_000,
    largest=4,
    cold_from=0.2,
    ramp=10_000_000,
    fall_multiple=3.0,
    fall_span=1_000_000,
    drain_grace=1_000_000,
)


class GatewayHarness:
    """A policy instance with a clock and an in-memory counter."""

    def __init__(self, backends: int = 12, seed: int = 1, **changes: Any) -> None:
        self.gateway = Gateway(replace(SETTINGS, **changes), seed)
        self.now = 990_000_000  # start of a count epoch, where a unit adds exactly one
        self.request_count = 0
        self.numbers: dict[str, float] = {}
        self.send(Backends(ListForm.CACHED, tuple(Entry(k + 1) for k in range(backends))))

    def send(self, event: Event) -> list[Action]:
        return self.gateway.handle(self.now, event)

    def tick(self, span: int) -> None:
        """Advances the clock with the batch timers that a running gateway has."""
        end = self.now + span
        while self.now < end:
            self.now = min(end, self.now + 250_000)
            self.send(Timer(0))

    def request(
        self,
        customer: str = "a",
        units: float = 1,
        plan: int = 0,
        cls: int = 0,
        spread: int = 2,
        patience: int = 3_000_000,
    ) -> tuple[str, list[Action]]:
        self.request_count += 1
        request_id = f"r{self.request_count}"
        return request_id, self.send(Request(request_id, customer, cls, plan, units, spread, 0, self.now + patience))

    def count(self, actions: list[Action], ending: Ending = Ending.SERVED) -> list[Action]:
        """Answers the counter calls among the actions, and those that follow; returns the resulting actions."""
        out: list[Action] = []
        for charge in of(actions, Charge):
            if ending is Ending.SERVED:
                self.numbers[charge.name] = self.numbers.get(charge.name, 0.0) + charge.amount
            level = self.numbers.get(charge.name, 0.0)
            more = self.send(Counted(charge.name, ending, float(f"{level:.7g}"), 2000))
            out += more
            out += self.count(more, ending)
        return out

    def ask(
        self, customer: str = "a", units: float = 1, plan: int = 0, ending: Ending = Ending.SERVED, **kw: Any
    ) -> tuple[str, list[Action]]:
        request_id, actions = self.request(customer, units, plan, **kw)
        return request_id, actions + self.count(actions, ending)

    def end(
        self,
        request_id: str,
        backend: int,
        hop: int = 0,
        ending: Ending = Ending.SERVED,
        over: bool | None = None,
        latency: int = 100_000,
    ) -> list[Action]:
        over = ending is Ending.SERVED if over is None else over
        return self.send(Ended(request_id, backend, hop, over, ending, latency))


def of(actions: list[Action], kind: type[T]) -> list[T]:
    return [a for a in actions if isinstance(a, kind)]


@dataclass
class Invoked:
    exit_code: int
    stdout: str
    stderr: str


def invoke(words: list[str], env: dict[str, str] | None = None) -> Invoked:
    """Calls the command line in this process."""
    out, err, code = io.StringIO(), io.StringIO(), 0
    with mock.patch.dict(os.environ, env or {}), redirect_stdout(out), redirect_stderr(err):
        try:
            main(words)
        except SystemExit as end:
            code = int(end.code or 0)
    return Invoked(code, out.getvalue(), err.getvalue())
