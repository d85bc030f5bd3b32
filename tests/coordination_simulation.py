"""Core machines in simulated time with emulated applications: drawn schedules of faults, and the verdict on what the
applications saw. One seed is one schedule."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, cast

from oakvale.controlplane.core import Core, address_of
from oakvale.coordination.calls import CallHandler, ControlCall
from oakvale.coordination.service import CoordinationService
from oakvale.lab.applications.crew import Crew, CrewSize
from oakvale.lab.applications.wire import HttpAnswer, HttpRequest
from oakvale.lab.history.verdict import check_history
from oakvale.lab.history.violations import Violation
from oakvale.memory.requests import Answer
from tests.control_plane_simulation import Life, Machine, World
from tests.reference_coordination import ReferenceCoordination
from tests.simulated_processes import MS, SECOND, Loop

RETAIN_US = 20 * SECOND
RECOVERY_TIME_US = 15 * SECOND
CLOSING_US = 2 * SECOND  # for answers to the last of the closing calls
STOP_US = 7 * SECOND  # longer than any application repeats a call
FAULT_SPANS_US = (50 * MS, 300 * MS, 700 * MS, 1 * SECOND, 2_500 * MS, 5 * SECOND)  # 0.7 s: leases end, views stay
USUAL_SYNC_MS = 8
SLOW_SYNCS_MS = (60, 250, 500)  # up to so many for each sync
SLOW_DISK_US = 6 * SECOND
LONG_VALUE = 500  # characters
STAGED_CHANGE = "-" * 60_000  # too long for one request
OTHER_CHANGE_INTERVAL_US = 150 * MS
ZONES = ("z0", "z1", "z2", "z3")

OnAnswer = Callable[[HttpAnswer | None], None]


@dataclass(slots=True, frozen=True)
class Resources:
    """What one process answers calls with, and whether it counts as primary."""

    handlers: dict[tuple[bytes, str], CallHandler]
    serving: Callable[[], bool]


MakeResources = Callable[["CoordinationWorld", Core, Loop], Resources]


class Front:
    """The HTTP server of one process: as `ControlServer`, without connections."""

    def __init__(self, world: CoordinationWorld, core: Core, life: Life, resources: Resources) -> None:
        self._world, self._core, self._life, self._resources = world, core, life, resources
        self._open: dict[OnAnswer, None] = {}  # in order of arrival

    def receive(self, request: HttpRequest, on_answer: OnAnswer) -> None:
        """A request that has arrived; it is handled a moment later, as the process may stand still between."""
        self._open[on_answer] = None
        if not self._resources.serving():
            primary = self._core.primary()
            elsewhere = primary is not None and primary != self._core.self_id
            answer = HttpAnswer(307, b"", address_of(primary)[0]) if primary and elsewhere else HttpAnswer(503)
            return self._answer(on_answer, answer)
        handler = self._resources.handlers[request.method, request.verb]
        call = ControlCall(request.name, request.query, request.body)
        self._later(lambda: handler(call, lambda answer: self._reply(on_answer, answer)))

    def end(self) -> None:
        """The process has ended: its connections are reset, or stay silent."""
        for on_answer in self._open:
            if self._world.network.random() < 0.5:
                self._world.at(self._world.now + self._world.latency(), lambda on_answer=on_answer: on_answer(None))  # type: ignore[misc]
        self._open.clear()

    def _reply(self, on_answer: OnAnswer, answer: Answer) -> None:
        self._answer(on_answer, HttpAnswer(answer.status, answer.body))

    def _answer(self, on_answer: OnAnswer, answer: HttpAnswer) -> None:
        def leave() -> None:
            if on_answer in self._open:
                del self._open[on_answer]
                self._world.at(self._world.now + self._world.latency(), lambda: on_answer(answer))

        self._later(leave)

    def _later(self, call: Callable[[], None]) -> None:
        delay = self._world.network.choice((0, 0, 1 * MS))
        self._world.at(self._world.now + delay, lambda: self._life.machine.run(self._life, call))


class CoordinationWorld(World):
    """The machines with the coordination service, and the surroundings of the applications."""

    def __init__(
        self,
        seed: int,
        make_resources: MakeResources,
        machines: int = 4,
        retain_us: int = RETAIN_US,
        large_state: bool = False,
    ) -> None:
        """With `large_state` the state is sent in chunks, and changes for gateways are made beside those of the
        applications, some of which are staged."""
        self.retain_us, self._large_state = retain_us, large_state
        self._changes_made = 0
        self.network = Random(f"applications {seed}")  # apart from `rng`, so that faults stay the same
        self._fronts: dict[Life, Front] = {}
        self._make_resources = make_resources
        super().__init__(
            seed,
            machines,
            seeds=3,
            on_machine_start=self._start_front,
            on_machine_end=self._end_front,
            machine_zones=ZONES,
        )
        self.crew = Crew(self, seed, CrewSize(value_padding=LONG_VALUE if large_state else 0))

    def _start_front(self, machine: Machine, loop: Loop) -> None:
        assert machine.core is not None and machine.life is not None
        resources = self._make_resources(self, machine.core, loop)
        self._fronts[machine.life] = Front(self, machine.core, machine.life, resources)

    def _end_front(self, life: Life) -> None:
        self._fronts.pop(life).end()

    # ---- surroundings of the applications

    def latency(self) -> int:
        """One way between an application and a machine."""
        return self.network.randrange(300, 3_000)

    def core_addresses(self) -> Sequence[str]:
        return [machine.address[0] for machine in self.machines]

    def send(self, address: str, request: HttpRequest, on_answer: OnAnswer) -> None:
        self.at(self.now + self.latency(), lambda: self._arrive(address, request, on_answer))

    def _arrive(self, address: str, request: HttpRequest, on_answer: OnAnswer) -> None:
        machine = next((each for each in self.machines if each.address[0] == address), None)
        if machine is None or machine.life is None:
            if self.network.random() < 0.5:  # refused; otherwise silent
                self.at(self.now + self.latency(), lambda: on_answer(None))
            return
        life, front = machine.life, self._fronts[machine.life]

        def receive() -> None:
            machine.run(life, lambda: front.receive(request, on_answer))

        if machine.paused:  # read before or after what waits of others, once the process goes on
            machine.held.insert(self.network.randrange(len(machine.held) + 1), receive)
        else:
            receive()

    # ---- faults

    def replace(self, machine: Machine, planned: bool) -> None:
        """An empty machine takes the place of one that is removed for good."""
        if planned:
            self.add()
            self.run(SECOND)
            machine.stop()
            self.run(6 * SECOND)
            if machine in self.machines:
                self.remove(machine)
        else:
            self.remove(machine)
            self.run(SECOND)
            self.add()
        for each in self.machines:
            self.mark_troubled(each, self.now)

    def power_loss(self, wiped: Sequence[Machine] = ()) -> None:
        """All machines lose power; some lose their disks too."""
        for machine in self.machines:
            self.down(machine, self.rng.randrange(50, 1_200) * MS, wiped=machine in wiped)

    def draw_fault(self) -> None:
        """One fault, at the primary more often than at others."""
        rng = self.rng
        machine = self.primary() if rng.random() < 0.6 else rng.choice(self.machines)
        others = [each for each in self.machines if each is not machine]
        span = rng.choice(FAULT_SPANS_US) + rng.randrange(200 * MS)
        calm = not self.troubled_machines() and self.is_fully_replicated()
        match rng.choice(
            ("down", "down", "freeze", "freeze", "freeze", "cut", "halves", "stall", "slow", "slow", "lose", "all")
        ):
            case "down":
                self.down(machine, span)
            case "freeze":
                self.pause(machine, span)
            case "cut":
                side = rng.sample(others, rng.randrange(1, len(others) + 1))
                self.cut([machine], side, span, rng.random() < 0.5)
            case "halves":
                half = [machine, *rng.sample(others, len(self.machines) // 2 - 1)]
                self.cut(half, [each for each in others if each not in half], span, True)
            case "stall":
                machine.disk_hangs = self.now + span
                self.mark_troubled(machine, machine.disk_hangs)
            case "slow":
                machine.sync_ms = rng.choice(SLOW_SYNCS_MS)
                self.mark_troubled(machine, self.now + SLOW_DISK_US)
                self.at(self.now + SLOW_DISK_US, lambda: setattr(machine, "sync_ms", USUAL_SYNC_MS))
            case "lose" if calm:
                match rng.randrange(3):
                    case 0:
                        self.down(machine, span, wiped=True)
                    case 1:
                        self.replace(machine, planned=rng.random() < 0.5)
                    case _:
                        self.power_loss(wiped=[machine])
            case "all":
                self.power_loss()

    def _change_for_gateways(self) -> None:
        found = self.serving()
        if found is not None and found.core is not None:
            self._changes_made += 1
            text = STAGED_CHANGE if self._changes_made % 8 == 0 else ""
            found.core.change({"other": f"{self._changes_made}{text}"}, lambda done: None)
        self.at(self.now + OTHER_CHANGE_INTERVAL_US, self._change_for_gateways)

    def run_schedule(self, faults: int) -> list[Violation]:
        """Plays faults in bursts with calm between them, heals all, asks for everything again, and judges."""
        self.run(2 * SECOND)
        self.crew.start()
        if self._large_state:
            self._change_for_gateways()
        self.run(3 * SECOND)
        for _ in range(faults):
            self.draw_fault()
            self.run(self.rng.choice([20, 200, 1_000, 3_000, 10_000]) * MS + self.rng.randrange(100 * MS))
        self.heal()
        if self.rng.random() < 0.5:
            self.run(8 * SECOND)
            if self.is_fully_replicated():
                self.power_loss(wiped=[self.rng.choice(self.machines)])
        self.crew.stop()
        self.run(STOP_US)
        self.crew.close(self.now + RECOVERY_TIME_US)
        self.run(RECOVERY_TIME_US + CLOSING_US)
        return check_history(self.crew.history, self.retain_us)


def shared_reference() -> MakeResources:
    """The reference implementation, one for all machines."""
    made: list[ReferenceCoordination] = []

    def make(world: CoordinationWorld, core: Core, loop: Loop) -> Resources:
        if not made:
            made.append(ReferenceCoordination(lambda: world.now, world.at))
        return Resources(made[0].handlers(), core.serving)

    return make


def real_resources(world: CoordinationWorld, core: Core, loop: Loop) -> Resources:
    """The service under test, one for each process."""
    return Resources(CoordinationService(core, cast(Any, loop), world.retain_us).handlers(), core.serving)
