"""Runs the laboratory's models on loopback sockets: one event loop for all hosts, each with its own address."""

from __future__ import annotations

import itertools
import os
from collections.abc import Callable
from dataclasses import dataclass

from oakvale.base.address import Address
from oakvale.base.limits import Limits
from oakvale.base.loop import Clock, Loop
from oakvale.lab.days import Trouble
from oakvale.lab.models.platform import Edge

SECOND = 1_000_000


@dataclass
class LoopbackHost:
    """A host of the models, at one loopback address."""

    loop: Loop
    ip: str

    def power(self, on: bool) -> None:
        pass


class Loopback:
    """The environment of the models. Addresses contain the process id, so that parallel test runs do not collide."""

    def __init__(self) -> None:
        self.loop = Loop(Clock(), Limits(timer_slack=0))
        self.edges: list[Edge] = []
        self.struck_by: list[str] = []
        self._numbers = itertools.count(2)
        self._machines: dict[str, str] = {}
        self._ctl: list[Address] = []

    def ip(self) -> str:
        pid = os.getpid()
        return f"127.{1 + (pid >> 8) % 200}.{pid % 256}.{next(self._numbers)}"

    def host(self, name: str, zone: str) -> LoopbackHost:
        return LoopbackHost(self.loop, self.ip())

    def ctl(self) -> list[Address]:
        return self._ctl

    def machine(self, ip: str) -> str:
        return self._machines.get(ip, "")

    def struck(self, trouble: Trouble, machine: str) -> None:
        self.struck_by.append(machine)

    def until(self, done: Callable[[], bool], seconds: float = 20) -> None:
        """Runs the loop until a condition holds; fails after `seconds`."""
        deadline = self.loop.clock() + round(seconds * SECOND)
        while not done():
            assert self.loop.clock() < deadline, "condition not met in time"
            self.loop.turn(0.05)
