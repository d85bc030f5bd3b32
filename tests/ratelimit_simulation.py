"""Simulates gateways that count and voters that elect them, with injected faults.

`Fleet.judge` checks that each sliding window over all gateways keeps to the quota. The tests also check that few of the
requests that an ideal counter would pass are refused, and that no duty is vacant for long.
"""

from __future__ import annotations

import random
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

import cbor2

from oakvale.base.address import Address, format_address
from oakvale.controlplane.voter import VoterService
from oakvale.dissemination.tree import Member, Members
from oakvale.ratelimit.quotas import Quota, QuotaTerms
from oakvale.ratelimit.service import DUTY_COUNT, RateLimiter
from oakvale.transport.links import CONNECT_TIMEOUT_US
from tests import simulated_processes
from tests.simulated_processes import MS, SECOND, Loop, Time

TERMS = QuotaTerms(5 * SECOND, 0.1, 20)
CALM = 3 * SECOND  # after the last fault
OFF_LIST = 2_500 * MS  # a gateway that stopped responding is removed from the list after this


class Life(simulated_processes.Life):
    machine: Machine

    def __init__(self, machine: Machine, number: int) -> None:
        super().__init__(machine)
        self.name, self.born = f"life{number}", machine.fleet.now
        self.refused: dict[Address, int] = {}
        self.stuck: dict[Address, int] = {}  # address -> when a pending connection attempt is abandoned
        self.waiting: dict[int, tuple[Life, Callable[[Any], None]]] = {}
        self.handlers: dict[str, Any] = {}


class Transport:
    def __init__(self, life: Life) -> None:
        self._life, self.handlers, self._number = life, life.handlers, 0

    def tell(self, address: Address, kind: str, body: Any) -> None:
        self.ask(address, kind, body, SECOND, lambda answer: None)

    def ask(self, address: Address, kind: str, body: Any, timeout: int, then: Callable[[Any], None]) -> None:
        life, fleet = self._life, self._life.machine.fleet
        there = fleet.machines[address]
        if (
            there.off and life.stuck.get(address, 0) < fleet.now
        ):  # nothing is delivered until the connection attempt is abandoned
            life.stuck[address] = fleet.now + CONNECT_TIMEOUT_US
        stuck = life.stuck.get(address, 0) >= fleet.now
        if there.life is not None and not stuck:
            return self.ask_on(there.life, kind, body, timeout, then)
        self._number += 1
        number = self._number
        life.waiting[number] = (life, then)

        def nothing(refused: bool) -> None:
            if refused:
                life.refused[address] = fleet.now
            if life.waiting.pop(number, None) is not None:
                then(None)

        fleet.at(fleet.now + timeout, lambda: life.machine.run(life, lambda: nothing(False)))
        if not stuck and fleet.reaches(life.machine, there):
            fleet.at(fleet.now + MS, lambda: life.machine.run(life, lambda: nothing(True)))

    def ask_on(self, target: Life, kind: str, body: Any, timeout: int, then: Callable[[Any], None]) -> None:
        life, fleet = self._life, self._life.machine.fleet
        self._number += 1
        number, data = self._number, cbor2.dumps(body)

        def on_answer(answer: Any) -> None:
            if life.waiting.pop(number, None) is not None:
                then(answer)

        def on_answer_or_timeout(answer: Any) -> None:
            life.machine.run(life, lambda: on_answer(answer))

        def arrive() -> None:
            handler = target.handlers.get(kind)
            if handler is not None:
                handler(life, cbor2.loads(data), answered)

        def answered(answer: Any) -> None:
            packed = cbor2.dumps(answer)
            fleet.ship(target, life, lambda: on_answer(cbor2.loads(packed)))

        fleet.at(fleet.now + timeout, lambda: on_answer_or_timeout(None))
        life.waiting[number] = (target, then)
        fleet.ship(life, target, arrive)

    def recently_refused(self, address: Address, since: int = 0) -> bool:
        at = self._life.refused.get(address, -SECOND)
        return self._life.machine.fleet.now - at < 120 * MS and at >= since


class Storage:
    """Writes take some milliseconds each, one after the other."""

    def __init__(self, life: Life) -> None:
        self._life, self._waiting = life, deque[tuple[str, bytes, Callable[[], None]]]()

    def fact(self, name: str) -> bytes | None:
        return self._life.machine.disk.get(name)

    def write(self, what: tuple[str, Any], then: Callable[[], None]) -> None:
        self._waiting.append((what[1][0], what[1][1], then))
        if len(self._waiting) == 1:
            self._next()

    def _next(self) -> None:
        fleet, machine = self._life.machine.fleet, self._life.machine
        fleet.at(fleet.now + fleet.rng.randrange(1, machine.sync_ms) * MS, lambda: machine.run(self._life, self._done))

    def _done(self) -> None:
        name, data, then = self._waiting.popleft()
        self._life.machine.disk[name] = data
        if self._waiting:
            self._next()
        then()


class Machine(simulated_processes.Machine):
    def __init__(self, fleet: Fleet, name: str, voter: bool) -> None:
        super().__init__()
        self.fleet, self.name, self.voter = fleet, name, voter
        self.address: Address = (name, 7000)
        self.life: Life | None = None
        self.rate_limiter: RateLimiter | None = None
        self.disk: dict[str, bytes] = {}
        self.first_start = True  # of the whole system: an empty disk has lost no vote
        self.is_witness = True
        self.sync_ms = 8
        self.off = False  # without power: connections are not refused but time out
        self.slow = 0  # additional microseconds each way
        self.lossy = 0.0
        self.members = Members()  # as known here
        self.silent_since = 0

    def start(self) -> None:
        if self.life is not None:
            return
        self.off = False
        self.fleet.incarnations += 1
        life = self.life = Life(self, self.fleet.incarnations)
        loop, transport = cast(Any, Loop(self.fleet, life)), cast(Any, Transport(life))
        if self.voter:
            VoterService(loop, transport, cast(Any, Storage(life)), self.first_start, lambda: self.is_witness)
            self.first_start = False
            return
        self.members = Members()
        self.rate_limiter = RateLimiter(
            loop,
            transport,
            TERMS,
            self.name,
            life.name,
            format_address(self.address),
            lambda: self.members,
            lambda: self.fleet.voters if self.members else [],
            self.fleet.quota,
        )
        self.fleet.later(100, 400, lambda: self.fleet.join(self, life))

    def stop(self, grace: int) -> None:
        """Starts a shutdown; the process is killed after `grace`."""
        if self.rate_limiter is not None:
            self.rate_limiter.release()
        self.fleet.at(self.fleet.now + grace, self.kill)

    def kill(self, off: bool = False) -> None:
        life, self.life, self.rate_limiter = self.life, None, None
        self.off = off
        self.forget()
        self.silent_since = self.fleet.now
        if life is None:
            return
        life.alive = False
        for machine in self.fleet.machines.values() if not off else ():
            if machine.life is not None and self.fleet.reaches(machine, self):
                for number, (target, _) in list(machine.life.waiting.items()):
                    if target is life:
                        self.fleet.at(
                            self.fleet.now + MS,
                            lambda m=machine, n=number, other=machine.life:  # type: ignore[misc]
                            m.run(other, lambda: other.waiting.pop(n, (None, lambda answer: None))[1](None)),
                        )

    def wipe(self) -> None:
        """Kills the process and erases its disk."""
        self.kill()
        self.disk = {}

    def reset_link(self) -> None:
        self.slow, self.lossy = 0, 0.0


@dataclass
class Tenant:
    name: str
    quota: Quota
    load: float  # relative to its quota
    batch: int  # requests that arrive together
    sticky: bool  # always at the same gateway
    passed: list[int] = field(default_factory=list)
    level: float = 0.0  # of an ideal counter: passed and pending requests
    at: int = 0

    def owed(self, now: int) -> bool:
        """Whether an ideal counter would pass one more request."""
        self.level = max(0.0, self.level - self.quota.rate * (now - self.at) / SECOND)
        self.at = now
        self.level += 1
        return self.level <= self.quota.burst

    def refused(self) -> None:
        """Takes back a request that was refused."""
        self.level = max(0.0, self.level - 1)

    def worst(self) -> tuple[float, int]:
        """The fullest window relative to what may pass in one, and when it began."""
        most = (self.quota.rate * TERMS.window_us / SECOND + self.quota.burst) * (1 + TERMS.excess) + TERMS.slack
        return max(
            ((bisect_right(self.passed, at + TERMS.window_us - 1) - n) / most, at)
            for n, at in enumerate([*self.passed, 0])
        )


class Fleet(Time):
    def __init__(self, seed: int, gateways: int, voters: int = 3) -> None:
        super().__init__(seed)
        self.net.rng = random.Random(seed)  # for the random choices of the rate limiter
        self.incarnations = 0
        self.cuts: set[tuple[str, str]] = set()
        self.core = [Machine(self, f"core{n}", True) for n in range(voters)]
        self.gates = [Machine(self, f"gate{n}", False) for n in range(gateways)]
        self.machines = {m.address: m for m in [*self.core, *self.gates]}
        self.voters = [format_address(m.address) for m in self.core]
        self.listed: dict[str, Member] = {}
        self.tenants = self.draw()
        self.faults_until = self.last_kill = self.now  # end of the last fault; time of the last kill
        self.long_ago = self.now
        self.asked = {"calm": 0, "kill": 0, "trouble": 0}
        self.refused = {"calm": 0, "kill": 0, "trouble": 0}
        self.vacant: dict[str, int] = {}
        self.longest = 0  # longest vacancy of a duty while it could have been filled
        for machine in self.machines.values():
            machine.start()
        for tenant in self.tenants.values():
            self.at(self.now + SECOND, lambda t=tenant: self.request(t))  # type: ignore[misc]
        self.at(self.now + SECOND, self.look)

    def draw(self) -> dict[str, Tenant]:
        rng, found = self.rng, {}
        for n in range(6):
            rate = rng.choice([20, 30, 63])
            load = 8.0 if n == 0 else rng.choice([1.3, 8.0]) if n == 1 else rng.uniform(0.1, 0.85)
            name = f"t{n}-{rng.randrange(99)}"
            found[name] = Tenant(name, Quota(rate, rate), load, rng.choice([1, 1, 5]), rng.random() < 0.3, at=self.now)
        return found

    def quota(self, tenant: str) -> Quota:
        return self.tenants[tenant].quota

    # ---- time and the network

    def later(self, least: int, most: int, call: Callable[[], Any]) -> None:
        self.at(self.now + self.rng.randrange(least, most) * MS, call)

    def reaches(self, one: Machine, other: Machine) -> bool:
        return (one.name, other.name) not in self.cuts and (other.name, one.name) not in self.cuts

    def ship(self, source: Life, target: Life, call: Callable[[], None]) -> None:
        """Delivers in order; across a cut, messages are delayed for a while, then lost."""
        one, other = source.machine, target.machine
        if self.rng.random() < one.lossy + other.lossy:
            return
        due = self.now + self.rng.randrange(150, 1_500) + one.slow + other.slow
        if one.slow + other.slow:
            due += self.rng.randrange(one.slow + other.slow)
        due = source.behind(other.address, due)
        sent = self.now

        def deliver() -> None:
            if not target.alive:
                return
            if (one.name, other.name) in self.cuts:
                if self.now - sent < 1_500 * MS:
                    self.at(self.now + 100 * MS, deliver)
                return
            other.run(target, call)

        self.at(due, deliver)

    # ---- the list of gateways

    def core_up(self, machine: Machine | None = None) -> bool:
        up = [m for m in self.core if m.life is not None and not m.paused and (not machine or self.reaches(m, machine))]
        return len(up) > len(self.core) // 2

    def join(self, machine: Machine, life: Life) -> None:
        if machine.life is not life:
            return
        if machine.paused or not self.core_up(machine):
            return self.later(150, 200, lambda: self.join(machine, life))
        self.listed[machine.name] = Member(machine.name, format_address(machine.address), "", life.name)
        self.news()

    def news(self) -> None:
        for machine in self.gates:
            self.later(5, 60, lambda m=machine: self.tell(m))  # type: ignore[misc]

    def tell(self, machine: Machine) -> None:
        if machine.life is None or machine.paused or machine.members == self.listed:
            return
        if not self.core_up(machine):
            return self.later(100, 300, lambda: self.tell(machine))
        machine.members = Members(self.listed.values())
        if machine.rate_limiter is not None:
            machine.rate_limiter.members_changed()

    def look(self) -> None:
        """Updates the list of gateways, and checks that each duty has one holder and is not vacant for long."""
        self.at(self.now + 50 * MS, self.look)
        up = [m for m in self.gates if m.life is not None and not m.paused]
        for machine in self.gates:
            seen = [m for m in up if m is not machine and self.reaches(m, machine)]
            if machine in up and (2 * len(seen) >= len(up) - 1):
                machine.silent_since = self.now
                if machine.name not in self.listed and machine.life and self.now - machine.life.born > 500 * MS:
                    self.join(machine, machine.life)
            elif self.now - machine.silent_since > OFF_LIST and self.core_up():
                if self.listed.pop(machine.name, None) is not None:
                    self.news()
        holders: dict[str, int] = {}
        for machine in up:
            for duty in machine.rate_limiter.held_duties() if machine.rate_limiter else ():
                holders[duty] = holders.get(duty, 0) + 1
        able = (
            self.core_up()
            and len(up) > 1
            and not self.cuts
            and not any(m.slow or m.lossy or m.paused or m.sync_ms > 8 for m in self.machines.values())
        )
        for duty in (f"gauge/{n}" for n in range(DUTY_COUNT)):
            assert holders.get(duty, 0) <= 1, f"{duty} is counted twice"
            if holders.get(duty) or not able:
                self.vacant[duty] = self.now
            self.longest = max(self.longest, self.now - self.vacant.setdefault(duty, self.now))

    # ---- requests

    def request(self, tenant: Tenant) -> None:
        mean = tenant.quota.rate * tenant.load / tenant.batch
        self.at(self.now + 1 + int(self.rng.expovariate(mean) * SECOND), lambda: self.request(tenant))
        up = [m for m in self.gates if m.rate_limiter is not None and not m.paused]
        for _ in range(tenant.batch):
            if not up:
                return
            machine = up[hash_of(tenant.name) % len(up)] if tenant.sticky else self.rng.choice(up)
            if self.now - machine.life.born < 500 * MS:  # type: ignore[union-attr]
                continue  # not ready yet
            when = (
                "kill"
                if self.now - self.last_kill < CALM
                else "trouble"
                if self.now < self.faults_until + CALM
                else "calm"
            )
            owed = tenant.load < 1 and tenant.owed(self.now)
            self.asked[when] += owed
            machine.rate_limiter.count_request(  # type: ignore[union-attr]
                tenant.name,
                self.rng.random() < 0.1,
                lambda passes, wait, counted, owed=owed, when=when:  # type: ignore[misc]
                self.on_counted(tenant, passes, owed, when),
            )

    def on_counted(self, tenant: Tenant, passes: bool, owed: bool, when: str) -> None:
        if passes:
            tenant.passed.append(self.now)
        else:
            self.refused[when] += owed
            if tenant.load < 1:
                tenant.refused()

    # ---- faults

    def trouble(self, until: int) -> None:
        self.faults_until = max(self.faults_until, until)

    def down(self, machine: Machine, span: int, off: bool = False) -> None:
        machine.kill(off)
        self.last_kill = max(self.last_kill, self.now)
        self.trouble(self.now + span)
        self.at(self.now + span, machine.start)

    def cut(self, ones: list[Machine], others: list[Machine], span: int, both: bool) -> None:
        pairs = {(a.name, b.name) for a in ones for b in others if a is not b}
        pairs |= {(b, a) for a, b in pairs} if both else set()
        self.cuts |= pairs
        self.at(self.now + span, lambda: self.cuts.difference_update(pairs))

    def holder(self) -> Machine:
        held = [m for m in self.gates if m.rate_limiter is not None and m.rate_limiter.held_duties()]
        return self.rng.choice(held or self.gates)

    def fault(self) -> None:
        rng = self.rng
        machine = self.holder() if rng.random() < 0.6 else rng.choice(self.gates)
        span = rng.choice([50, 300, 1_000, 2_500, 5_000, 12_000]) * MS + rng.randrange(200 * MS)
        kind = rng.choice(
            [
                "down",
                "down",
                "off",
                "cut",
                "half",
                "split",
                "core cut",
                "voter",
                "voters",
                "all",
                "all gates",
                "slow",
                "lossy",
                "pause",
                "several",
                "flap",
                "disk",
            ]
        )
        others = [m for m in self.gates if m is not machine]
        self.trouble(self.now + span)
        if kind in ("down", "off"):
            self.down(machine, span, kind == "off")
        elif kind in ("cut", "half"):
            self.cut([machine], rng.sample(others, rng.randrange(1, len(others) + 1)), span, kind == "cut")
        elif kind == "split":
            side = rng.sample(self.gates, len(self.gates) // 2)
            rest = [m for m in self.gates if m not in side]
            self.cut(side, rest + rng.sample(self.core, rng.randrange(len(self.core) + 1)), span, True)
        elif kind == "core cut":
            self.cut([machine], self.core + (others if rng.random() < 0.5 else []), span, True)
        elif kind == "voter":
            self.down(rng.choice(self.core), span)
        elif kind == "voters":
            for voter in rng.sample(self.core, 2):
                self.down(voter, span)
        elif kind == "all":
            for m in self.machines.values():
                self.down(m, rng.randrange(50, 1_500) * MS)
        elif kind == "all gates":
            for m in self.gates:
                self.down(m, rng.randrange(50, 1_500) * MS)
        elif kind in ("slow", "lossy"):
            ones = [machine] if rng.random() < 0.5 else rng.sample([*self.core, *self.gates], len(self.gates) // 2)
            for m in ones:
                m.slow, m.lossy = (rng.choice([20, 80, 300]) * MS, 0.0) if kind == "slow" else (0, 0.1)
                self.at(self.now + span, m.reset_link)
        elif kind == "pause" and machine.life is not None:
            machine.paused = True
            self.at(self.now + span, machine.resume)
        elif kind == "several":
            for m in rng.sample(self.gates, max(1, len(self.gates) // 3)):
                self.down(m, span + rng.randrange(500) * MS)
        elif kind == "flap":
            for n in range(4):
                self.at(self.now + n * span // 4, lambda: self.down(machine, span // 9))
        elif kind == "disk":
            voter = rng.choice(self.core)
            voter.sync_ms = 900
            self.at(self.now + span, lambda: setattr(voter, "sync_ms", 8))

    def day(self, faults: int) -> None:
        self.run(8 * SECOND)
        for _ in range(faults):
            self.fault()
            self.run(self.rng.choice([20, 200, 1_000, 3_000, 8_000]) * MS)
        self.run(18 * SECOND)

    def judge(self) -> None:
        for tenant in self.tenants.values():
            worst, at = tenant.worst()
            assert worst <= 1, f"{tenant.name}, {tenant.quota}: {worst:.3f} of what may pass from {at} on"


def hash_of(name: str) -> int:
    return sum(name.encode())
