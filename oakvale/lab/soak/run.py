"""One soak from its seed: starts the machines, plays drawn episodes for some time while applications and the operator
call, lets the machines recover, asks for everything again, and judges.
"""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from oakvale.lab.applications.crew import Crew, CrewSize
from oakvale.lab.history.linearizability import SearchLimitExceeded
from oakvale.lab.history.verdict import check_history
from oakvale.lab.soak import measures
from oakvale.lab.soak.connections import Connections, now_us
from oakvale.lab.soak.machines import Machine, Machines, Size
from oakvale.lab.soak.measures import Played, Stop
from oakvale.lab.soak.operator import Operator
from oakvale.lab.soak.plan import PRIMARY, Episode, EpisodeKind, draw_episode

SECOND = 1_000_000
RETAIN_US = 20 * SECOND
SYNC_TIME_S = 4.0  # for which a machine counts as lost after it is back
RECOVER_S = 15.0
START_TIMEOUT_S = 30.0
STOP_S = 1.0  # from the stop of the applications to the calls at the end
SAMPLE_INTERVAL_S = 1.0
LAG_INTERVAL_S = 0.01
POLL_INTERVAL_S = 0.05
RELOAD_COUNT = 10
SERIES_COUNT = 3
EXIT_MARGIN_US = SECOND // 2  # in which callers notice the end of a process
SHORT_LIFE_S = 0.3
MAX_START_DELAY_S = 1.2  # of each machine, after all were killed


@dataclass(slots=True, frozen=True)
class Options:
    """The size of a soak."""

    seconds: float
    core_count: int = 4
    gateway_count: int = 0


@dataclass(slots=True)
class Report:
    """What a soak found and measured."""

    seed: int
    violations: list[str] = field(default_factory=list)
    episodes: list[Played] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)
    call_count: int = 0
    success_count: int = 0
    gaps: dict[EpisodeKind, int] = field(default_factory=dict)
    redirect_loops: int = 0
    left_by_stopping: Counter[str] = field(default_factory=Counter)
    killed_after_grace: list[str] = field(default_factory=list)
    configurations: int = 0
    configurations_given_up: int = 0
    first_sizes: dict[str, Size] = field(default_factory=dict)
    largest_sizes: dict[str, Size] = field(default_factory=dict)
    last_sizes: dict[str, Size] = field(default_factory=dict)
    max_lag_us: int = 0  # of the callers' own loop

    def lines(self) -> list[str]:
        """The report as text."""
        gaps = ", ".join(f"{kind} {gap / SECOND:.2f} s" for kind, gap in sorted(self.gaps.items()))
        left = ", ".join(f"{ending}: {count}" for ending, count in sorted(self.left_by_stopping.items()))
        lines = [
            f"seed {self.seed}: {len(self.violations)} findings; {len(self.episodes)} episodes, "
            f"{self.call_count} calls, {self.success_count} answered 200; {self.configurations} configurations, "
            f"{self.configurations_given_up} unclear; callers' lag {self.max_lag_us / 1000:.0f} ms",
            f"  longest without success: {gaps or 'no episode'}",
            f"  unanswered by a stopping process: {left or 'none'}; chains of redirects: {self.redirect_loops}; "
            f"killed after the grace: {', '.join(self.killed_after_grace) or 'none'}",
        ]
        for name, last in self.last_sizes.items():
            first, largest = self.first_sizes[name], self.largest_sizes[name]
            lines.append(f"  {name}: memory {_range(first.memory, largest.memory, last.memory)}, disk ")
            lines[-1] += _range(first.disk, largest.disk, last.disk)
        return lines + [f"  {violation}" for violation in self.violations]


def _range(first: int, largest: int, last: int) -> str:
    return f"{first / 1e6:.1f} MB at first, {largest / 1e6:.1f} at most, {last / 1e6:.1f} at last"


def play(seed: int, options: Options) -> Report:
    """Plays one soak. Raises OSError if there are no loopback addresses."""

    async def play_soak() -> Report:
        return await _Soak(seed, options).play()

    return asyncio.run(play_soak())


class NeverServed(Exception):
    """No machine served in time after the first start."""


class _Soak:
    def __init__(self, seed: int, options: Options) -> None:
        self._options = options
        self._rng = Random(f"soak {seed}")
        self._report = Report(seed)
        self._machines = Machines(options.core_count, options.gateway_count)
        self._connections = Connections(lambda: [machine.ctl for machine in self._machines.core])
        self._crew = Crew(self._connections, seed, CrewSize())
        self._operator = Operator(self._connections, Random(f"operator {seed}"))
        self._stops: list[Stop] = []
        self._series: dict[EpisodeKind, Callable[[Episode, Machine], Awaitable[None]]] = {
            EpisodeKind.KILL: self._kill,
            EpisodeKind.TERMINATE: self._terminate,
            EpisodeKind.FREEZE: self._freeze,
            EpisodeKind.TERMINATE_FROZEN: self._terminate_frozen,
            EpisodeKind.FREEZE_STOPPING: self._freeze_stopping,
            EpisodeKind.KILL_STOPPING: self._kill_stopping,
            EpisodeKind.KILL_STARTING: self._kill_starting,
            EpisodeKind.RELOAD_TERMINATE: self._reload_terminate,
            EpisodeKind.FREEZE_SERIES: self._freeze_series,
            EpisodeKind.REPLACE: self._replace,
            EpisodeKind.REPLACE_PLANNED: self._replace_planned,
            EpisodeKind.KILL_ALL: self._kill_all,
        }

    async def play(self) -> Report:
        """Plays the soak; its processes are gone at the end."""
        helpers = []
        try:
            self._machines.start_all()
            helpers = [asyncio.create_task(self._sample()), asyncio.create_task(self._measure_lag())]
            self._crew.start()
            await self._wait_for_success()
            operator = asyncio.create_task(self._operator.run())
            await self._play_episodes()
            self._operator.stopped = True
            self._crew.stop()
            await asyncio.sleep(STOP_S)
            end = now_us()
            await self._close()
            await operator
            self._report.violations += await self._operator.check(RECOVER_S)
            self._judge(end)
            return self._report
        finally:
            for helper in helpers:
                helper.cancel()
            self._connections.close()
            self._machines.close()

    # ---- the run

    async def _wait_for_success(self) -> None:
        deadline = now_us() + START_TIMEOUT_S * SECOND
        while not self._connections.last_success:
            if now_us() > deadline:
                raise NeverServed("no machine served after the first start")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _play_episodes(self) -> None:
        await asyncio.sleep(1)
        deadline = now_us() + self._options.seconds * SECOND
        while now_us() < deadline:
            episode = draw_episode(self._rng, self._options.core_count)
            machine = self._machine(episode.machine)
            began_at = now_us()
            await self._series[episode.kind](episode, machine)
            self._report.episodes.append(Played(episode.kind, began_at, now_us()))
            await asyncio.sleep(SYNC_TIME_S + episode.calm_s)

    async def _close(self) -> None:
        deadline = now_us() + int(RECOVER_S * SECOND)
        self._crew.close(deadline)
        while now_us() < deadline and not self._is_closing_done():
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_closing_done(self) -> bool:
        closing = [call for call in self._crew.history.calls if call.closing]
        answered = Counter(call.name for call in closing if measures.is_answered(call))
        expected = Counter([*self._crew.locks, *self._crew.counters, *self._crew.keys])
        expected.update(watcher.group for watcher in self._crew.watchers)
        return answered >= expected

    def _machine(self, number: int) -> Machine:
        if number == PRIMARY:
            last = self._connections.last_success
            return next((each for each in self._machines.core if each.ctl == last), self._machines.core[0])
        return self._machines.core[number % len(self._machines.core)]

    async def _sample(self) -> None:
        while True:
            self._report.last_sizes = self._machines.sizes()
            for name, size in self._report.last_sizes.items():
                self._report.first_sizes.setdefault(name, size)
                largest = self._report.largest_sizes.get(name, size)
                self._report.largest_sizes[name] = Size(max(largest.memory, size.memory), max(largest.disk, size.disk))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _measure_lag(self) -> None:
        while True:
            before = now_us()
            await asyncio.sleep(LAG_INTERVAL_S)
            lag = now_us() - before - int(LAG_INTERVAL_S * SECOND)
            self._report.max_lag_us = max(self._report.max_lag_us, lag)

    def _judge(self, end: int) -> None:
        report, history = self._report, self._crew.history
        try:
            report.violations += [str(violation) for violation in check_history(history, RETAIN_US)]
        except SearchLimitExceeded as error:
            report.violations.append(f"undecided: {error}")
        report.violations += [*self._machines.failures(), *self._operator.rejected]
        report.call_count = len(history.calls)
        report.success_count = sum(call.succeeded for call in history.calls)
        report.statuses = self._connections.statuses
        report.gaps = measures.longest_gaps(history, report.episodes, end)
        for kind, gap in report.gaps.items():
            if gap > RECOVER_S * SECOND:
                report.violations.append(f"no success for {gap / SECOND:.1f} s around {kind}")
        report.redirect_loops = measures.redirect_loops(history)
        report.left_by_stopping = measures.left_by_stopping(self._connections.unanswered, self._stops, EXIT_MARGIN_US)
        report.killed_after_grace = self._machines.killed_after_grace
        report.configurations = self._operator.acknowledged_count
        report.configurations_given_up = len(self._operator.given_up)

    # ---- series of signals

    async def _restart(self, episode: Episode, machine: Machine) -> None:
        await asyncio.sleep(episode.down_s)
        self._machines.start(machine)

    async def _stop(self, machine: Machine) -> None:
        """Waits for the end of a process after its SIGTERM."""
        began_at = now_us()
        await self._machines.finish_stopping(machine)
        self._stops.append(Stop(machine.ctl, began_at, now_us()))

    def _request_stop(self, machine: Machine) -> None:
        machine.stop_requested_at = now_us()
        machine.signal(signal.SIGTERM)

    async def _pause(self, machine: Machine, seconds: float) -> None:
        machine.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        machine.signal(signal.SIGCONT)

    async def _kill(self, episode: Episode, machine: Machine) -> None:
        self._machines.kill(machine)
        await self._restart(episode, machine)

    async def _terminate(self, episode: Episode, machine: Machine) -> None:
        self._request_stop(machine)
        await self._stop(machine)
        await self._restart(episode, machine)

    async def _freeze(self, episode: Episode, machine: Machine) -> None:
        await self._pause(machine, episode.freeze_s)

    async def _freeze_series(self, episode: Episode, machine: Machine) -> None:
        for _ in range(SERIES_COUNT):
            await self._pause(machine, episode.freeze_s / SERIES_COUNT)
            await asyncio.sleep(episode.signal_delay_s)

    async def _terminate_frozen(self, episode: Episode, machine: Machine) -> None:
        machine.signal(signal.SIGSTOP)
        await asyncio.sleep(episode.freeze_s / 2)
        self._request_stop(machine)
        await asyncio.sleep(episode.freeze_s / 2)
        machine.signal(signal.SIGCONT)
        await self._stop(machine)
        await self._restart(episode, machine)

    async def _freeze_stopping(self, episode: Episode, machine: Machine) -> None:
        self._request_stop(machine)
        await asyncio.sleep(episode.signal_delay_s)
        await self._pause(machine, episode.freeze_s)
        await self._stop(machine)
        await self._restart(episode, machine)

    async def _kill_stopping(self, episode: Episode, machine: Machine) -> None:
        self._request_stop(machine)
        await asyncio.sleep(episode.signal_delay_s)
        await self._kill(episode, machine)

    async def _kill_starting(self, episode: Episode, machine: Machine) -> None:
        await self._kill(episode, machine)
        await asyncio.sleep(SHORT_LIFE_S + episode.signal_delay_s)
        await self._kill(episode, machine)

    async def _reload_terminate(self, episode: Episode, machine: Machine) -> None:
        for _ in range(RELOAD_COUNT):
            for each in self._machines.core:
                each.signal(signal.SIGHUP)
            await asyncio.sleep(episode.signal_delay_s / RELOAD_COUNT)
        await self._terminate(episode, machine)

    async def _replace(self, episode: Episode, machine: Machine) -> None:
        self._machines.kill(machine)
        self._machines.core.remove(machine)
        await asyncio.sleep(episode.down_s)
        self._machines.add()

    async def _replace_planned(self, episode: Episode, machine: Machine) -> None:
        self._machines.add()
        await asyncio.sleep(SYNC_TIME_S + episode.down_s)
        self._machines.core.remove(machine)
        self._request_stop(machine)
        await self._stop(machine)
        self._machines.kill(machine)

    async def _kill_all(self, episode: Episode, machine: Machine) -> None:
        for each in self._machines.core:
            self._machines.kill(each)
        for each in self._machines.core:
            await asyncio.sleep(self._rng.uniform(0, MAX_START_DELAY_S) / len(self._machines.core))
            self._machines.start(each)
