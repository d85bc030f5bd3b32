"""Drawn valid configurations: a third route of a service takes values at and beside their bounds, and takes them back.

The two other routes of the service are served as before and after, and no exception is logged. `python -m
tests.test_drawn_configurations FIRST LAST` plays other seeds.
"""

from __future__ import annotations

import logging
import random
import sys
from copy import deepcopy
from dataclasses import replace
from typing import Any

import orjson
import pytest

from oakvale.config import model
from oakvale.dataplane.routes import Backend, RoutingSnapshot, parse_configuration
from tests.data_plane_model import BACKENDS, CONFIG, MS, BackendEnd, ClientEnd, DataPlaneSimulation, ErrorLogHandler

SEEDS = range(20)
LATENCY_US = 60 * MS
TAIL_EVERY, TAIL_FACTOR = 17, 3  # each so many requests, one takes so many times as long
LONGEST_ANSWER_US = 2 * TAIL_FACTOR * LATENCY_US  # an attempt may be cancelled and made again
STEP_US = 10 * MS
CALM_ROUNDS, ODD_ROUNDS, RESTORED_ROUNDS = 25, 30, 10
SAFE, UNSAFE = 0, 5  # kinds of requests in the model: /r/x, and /b/x without a body

ODD_PREFIX = "/odd/"
DEADLINES = ("0.001ms", "0.002ms", "0.5ms", "1ms", "59ms", "60ms", "5s", "999999999999s")
TARGET_TIMES = (
    "0ms",
    "0s",
    "0.0004ms",
    "0.001ms",
    "0.004ms",
    "0.005ms",
    "0.1ms",
    "1ms",
    "59ms",
    "60ms",
    "61ms",
    "150ms",
)
TRIES = (1, 2, 3, 64, 65, 10**12)
PRIORITIES = (0, 1, -1, 10**15, -(10**15))
SPLITS = (
    None,
    [{"svc": "one", "wt": 1}, {"svc": "two", "wt": 0}],
    [{"svc": "one", "wt": 5e-324}, {"svc": "two", "wt": 0.0}],
    [{"svc": "one", "wt": 1e308}, {"svc": "two", "wt": 5e-324}],
    [{"svc": "one", "wt": 1e308}, {"svc": "one", "wt": 1e308}],
)
MAX_CONNECTIONS = (None, 0, -1, 1, 2**63)


def odd_configuration(rng: random.Random) -> dict[str, Any]:
    """The model's configuration with a third route of its first service: fields at and beside their bounds."""
    configuration = deepcopy(CONFIG)
    routes: Any = configuration["routes"]
    routes["cols"] = [*routes["cols"], "target_time", "prio", "split"]
    routes["rows"] = [[*row, "800ms", 1, None] for row in routes["rows"]]
    deadline = rng.choice(DEADLINES)
    target_time = rng.choice([*TARGET_TIMES, deadline, None])
    split = rng.choice(SPLITS)
    name = rng.choice(("odd", "read", "book"))
    kind = rng.choice(("safe", "unsafe"))
    odd = [name, "a", ODD_PREFIX, kind, deadline, rng.choice(TRIES), None if split else "one"]
    routes["rows"].append([*odd, target_time, rng.choice(PRIORITIES), split])
    services: Any = configuration["svcs"]
    services["cols"] = ["name", "max-conns"]
    services["rows"] = [[row[0], rng.choice(MAX_CONNECTIONS)] for row in services["rows"]]
    return configuration


class SoundService:
    """The simulated data plane, with backends that answer every request after their latency."""

    def __init__(self) -> None:
        self.simulation = DataPlaneSimulation()
        self._began: dict[int, tuple[BackendEnd, int, int]] = {}  # by number of deliveries: end, when, how long
        self._delivered = 0
        self._generation = 100

    def configure(self, configuration: dict[str, Any]) -> None:
        """Puts a configuration into force, which must be valid."""
        self._generation += 1
        text = orjson.dumps(configuration | {"gen": self._generation})
        model.parse(text)
        backends = {
            name: Backend(name, service, f"{ip}:{port}", "z", 4.0, True, 0)
            for name, (service, (ip, port)) in BACKENDS.items()
        }
        snapshot = replace(RoutingSnapshot(**parse_configuration(text)), backends=backends)
        self.simulation.router.apply_snapshot(snapshot)

    def ask(self, client: ClientEnd, kind: int, path: bytes | None = None) -> None:
        request = self.simulation.add_request(kind, 0)
        if path is not None:
            original = request.request_line.split()[1]
            request.request_line = request.request_line.replace(original, path)
            request.raw = request.raw.replace(original, path, 1)
        client.send_request(request, 0)

    def work(self, span: int) -> None:
        """Lets time pass; backends begin what has come, and answer what they have worked on for long enough."""
        simulation = self.simulation
        for _ in range(span // STEP_US):
            simulation.pass_time(STEP_US)
            for end in simulation.backend_ends:
                current = end.current()
                if current is None or current.answered or end.connection.closed:
                    continue
                began, latency = self._begin(end, id(current))
                if simulation.now - began >= latency:
                    end.respond(1)
            simulation.run_turns()

    def _begin(self, end: BackendEnd, delivery: int) -> tuple[int, int]:
        if delivery not in self._began:
            self._delivered += 1
            latency = LATENCY_US * (TAIL_FACTOR if self._delivered % TAIL_EVERY == 0 else 1)
            self._began[delivery] = (end, self.simulation.now, latency)
        return self._began[delivery][1:]


def statuses(client: ClientEnd) -> list[int]:
    return [status for status, _, _, complete in client.responses() if complete]


def play(seed: int) -> None:
    """Calm rounds, rounds with an odd route, and rounds after it was taken back. Raises AssertionError."""
    rng, service = random.Random(f"drawn configuration {seed}"), SoundService()
    simulation = service.simulation
    odd = odd_configuration(rng)
    reader, booker = simulation.connect_client(), simulation.connect_client()
    for number, configuration, rounds in (
        (0, CONFIG, CALM_ROUNDS),
        (1, odd, ODD_ROUNDS),
        (2, CONFIG, RESTORED_ROUNDS),
    ):
        service.configure(configuration)
        for round_number in range(rounds):
            if number == 1:
                service.ask(simulation.connect_client(), rng.choice((SAFE, UNSAFE)), ODD_PREFIX.encode() + b"x")
            service.ask(reader, SAFE)
            service.ask(booker, UNSAFE)
            service.work(LONGEST_ANSWER_US)
            where = f"seed {seed}, part {number}, round {round_number}"
            for client in (reader, booker):
                found, asked = statuses(client), len(client.requests)
                assert len(found) == asked and found[-1] == 200, f"{where}: {found[-3:]} of {asked}; {odd['routes']}"
    assert not simulation.violations, f"seed {seed}: {simulation.violations[0]}; {odd['routes']}"
    simulation.loop.close()


def play_with_errors_counted(seed: int) -> None:
    """Plays a seed; an exception that the program logs is a violation."""
    root = logging.getLogger()
    handlers, raised = root.handlers[:], list[str]()

    class Recorder(ErrorLogHandler):
        def __init__(self) -> None:
            logging.Handler.__init__(self, logging.ERROR)

        def emit(self, record: logging.LogRecord) -> None:
            raised.append(f"{record.getMessage()}: {record.exc_info[1] if record.exc_info else None!r}")

    root.handlers[:] = [Recorder()]
    try:
        play(seed)
    finally:
        root.handlers[:] = handlers
    assert not raised, f"seed {seed}: {len(raised)} exceptions, first {raised[0]}"


@pytest.mark.parametrize("seed", SEEDS)
def test_odd_route_changes_nothing_for_the_others(seed: int) -> None:
    """Guards against a valid value that stops or slows the gateway for routes that it isn't of (CONFIG)."""
    play_with_errors_counted(seed)


if __name__ == "__main__":
    first, last = map(int, sys.argv[1:])
    failed = 0
    for drawn in range(first, last + 1):
        try:
            play_with_errors_counted(drawn)
        except AssertionError as error:
            failed += 1
            print(error)
    print(f"{last - first + 1} seeds, {failed} failed")
