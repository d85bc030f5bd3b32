"""The soak of real core machines: a short one in full, and how its parts judge."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading
from collections.abc import Callable
from contextlib import suppress
from random import Random

import pytest

from oakvale.lab.applications.wire import HttpAnswer, HttpRequest
from oakvale.lab.history.calls import History, NextNumber, Result
from oakvale.lab.soak import measures
from oakvale.lab.soak.connections import Connections, Ending, Unanswered
from oakvale.lab.soak.measures import Played, Stop
from oakvale.lab.soak.operator import LARGE_TENANT_COUNT, configuration
from oakvale.lab.soak.plan import EpisodeKind, draw_episode
from oakvale.lab.soak.run import Options, play

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CALL = HttpRequest(b"POST", "numbers", "a", "", b"{}")


def test_a_short_soak_finds_nothing() -> None:
    report = play(1, Options(seconds=4))
    assert report.violations == []
    assert report.episodes and report.success_count > 50 and report.configurations > 0


def test_one_seed_is_one_plan_and_draws_every_kind() -> None:
    rng, same = Random(1), Random(1)
    episodes = [draw_episode(rng, 4) for _ in range(300)]
    assert episodes == [draw_episode(same, 4) for _ in range(300)]
    assert {episode.kind for episode in episodes} == set(EpisodeKind)
    assert all(0.3 <= episode.freeze_s <= 6 for episode in episodes)


def test_large_configurations_are_large() -> None:
    assert len(str(configuration(1, LARGE_TENANT_COUNT))) > 100_000


# ---- connections


def _answer_then_close(accepted: socket.socket) -> None:
    accepted.recv(65_536)
    accepted.sendall(ANSWER)
    accepted.recv(65_536)
    accepted.close()


def _close_after_reading(accepted: socket.socket) -> None:
    accepted.recv(65_536)
    accepted.close()


def _close_without_reading(accepted: socket.socket) -> None:
    threading.Event().wait(0.05)
    accepted.close()


def _reset(accepted: socket.socket) -> None:
    accepted.recv(65_536)
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    accepted.close()


def _cut(accepted: socket.socket) -> None:
    accepted.recv(65_536)
    accepted.sendall(ANSWER[:-1])
    accepted.close()


async def _calls(address: str, count: int) -> tuple[list[HttpAnswer | None], list[Unanswered]]:
    connections = Connections(lambda: [address])
    answers: list[HttpAnswer | None] = []
    for _ in range(count):
        answered = asyncio.get_running_loop().create_future()
        connections.send(address, CALL, answered.set_result)
        answers.append(await asyncio.wait_for(answered, 5))
    connections.close()
    return answers, connections.unanswered


def _against(serve: Callable[[socket.socket], None], count: int) -> tuple[list[HttpAnswer | None], list[Unanswered]]:
    """Sends calls, one after another, to a peer that accepts one connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def accept() -> None:
            with suppress(OSError):
                serve(listener.accept()[0])

        thread = threading.Thread(target=accept)
        thread.start()
        found = asyncio.run(_calls(f"127.0.0.1:{listener.getsockname()[1]}", count))
        thread.join()
    return found


@pytest.mark.parametrize(
    ("serve", "ending"),
    [
        (_close_after_reading, Ending.CLOSED),
        (_close_without_reading, Ending.RESET),
        (_reset, Ending.RESET),
        (_cut, Ending.CUT),
    ],
)
def test_calls_without_an_answer_are_told_apart(serve: Callable[[socket.socket], None], ending: Ending) -> None:
    answers, unanswered = _against(serve, 1)
    assert answers == [None] and [(call.ending, call.is_first_on_connection) for call in unanswered] == [(ending, True)]


def test_a_connection_is_used_until_its_peer_is_gone() -> None:
    answers, unanswered = _against(_answer_then_close, 2)
    assert answers == [HttpAnswer(200, b"{}"), None]
    assert [(call.ending, call.is_first_on_connection) for call in unanswered] == [(Ending.CLOSED, False)]


# ---- measures


def _history(*answers: tuple[int, int]) -> History:
    """Calls of one caller for one number: when they were answered, and with what status."""
    history, request = History(), NextNumber()
    for answered_at, status in answers:
        call = history.sent("n", "c", request, answered_at - 1)
        call.result, call.answered_at = Result(status), answered_at
    return history


def test_gaps_are_those_that_touch_an_episode() -> None:
    history = _history((10, 200), (20, 200), (25, 503), (60, 200), (70, 200), (79, 200))
    episodes = [Played(EpisodeKind.KILL, 22, 30), Played(EpisodeKind.FREEZE, 65, 68)]
    gaps = {EpisodeKind.KILL: 40, EpisodeKind.FREEZE: 10}
    assert measures.longest_gaps(history, episodes, 80) == gaps


def test_three_redirects_in_a_row_are_a_loop() -> None:
    assert measures.redirect_loops(_history((1, 307), (2, 307), (3, 200), (4, 307), (5, 307))) == 0
    assert measures.redirect_loops(_history((1, 307), (2, 307), (3, 307), (4, 307))) == 1


def test_calls_left_by_a_stopping_process_are_counted() -> None:
    calls = [
        Unanswered("a", "numbers", 0, ended_at, ending, is_first_on_connection=False)
        for ended_at, ending in ((5, Ending.RESET), (15, Ending.CLOSED), (22, Ending.RESET), (16, Ending.REFUSED))
    ]
    stops = [Stop("a", 10, 20), Stop("b", 0, 100)]
    found = measures.left_by_stopping(calls, stops, margin_us=3)
    assert found == {"closed on a kept connection (numbers)": 1, "reset on a kept connection (numbers)": 1}
