"""The load tool: its arrivals, its target, and a loopback server that would fool a tool that waits for answers."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import pytest

from oakvale.lab.loadgen import arrivals, drive
from oakvale.lab.loadgen.tally import Tally
from oakvale.lab.loadgen.target import BadTarget, target

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def test_moments_keep_their_rate_and_their_bounds() -> None:
    assert list(arrivals.moments("constant", 3, 1, 100)) == [0, 333_333, 666_666]
    drawn = list(arrivals.moments("poisson", 1000, 10, 100_000, seed=4))
    assert drawn == list(arrivals.moments("poisson", 1000, 10, 100_000, seed=4)) == sorted(drawn)
    assert 9_600 < len(drawn) < 10_400 and drawn[-1] < 10_000_000
    assert len(list(arrivals.moments("poisson", 1000, 10, 7))) == 7


@pytest.mark.parametrize(
    "url",
    [
        "http://192.0.2.1/",
        "https://127.0.0.1/",
        "http://a@127.0.0.1/",
        "127.0.0.1:80",
        "http://127.0.0.1:99999/",
        "http://127.0.0.1/a b",
    ],
)
def test_load_goes_to_loopback_alone(url: str) -> None:
    with pytest.raises(BadTarget):
        target(url)


@contextmanager
def server(held: int, cut: bool = False) -> Iterator[str]:
    """Answers the first request only once `held` more have come, on other connections; with `cut` it answers none."""
    listener = socket.create_server(("127.0.0.1", 0))
    came: list[socket.socket] = []
    lock = threading.Lock()

    def serve(one: socket.socket) -> None:
        with one, suppress(ConnectionError):
            while one.recv(65_536):
                if cut:
                    return
                with lock:
                    came.append(one)
                    if len(came) == held + 1:
                        came[0].sendall(ANSWER)
                    if len(came) > 1 or not held:
                        one.sendall(ANSWER)

    def accept() -> None:
        while True:
            try:
                one = listener.accept()[0]
            except OSError:
                return
            threading.Thread(target=serve, args=(one,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield f"http://127.0.0.1:{listener.getsockname()[1]}/x"
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()


def played(url: str, **more: object) -> Tally:
    return drive.drive(drive.Run(target(url), 2_000.0, 60.0, 40, **more))  # type: ignore[arg-type]


def test_a_slow_answer_holds_no_arrival_back() -> None:
    """A tool that waits for each answer would never get this one, or leave the requests out that were due."""
    with server(held=30) as url:
        tally = played(url)
    assert tally.statuses == {200: 40} and not tally.failures and tally.due == 40
    assert tally.latency.get_max_value() > 14_000  # thirty more are due 15 ms later


def test_waiting_for_a_connection_is_latency() -> None:
    """With one connection, what is due meanwhile waits; measured from the sending it would look quick."""
    with server(held=0) as url:
        tally = played(url, connections=1, keep=False)
    assert tally.statuses == {200: 40} and tally.connections == 40
    assert tally.latency.get_total_count() == 40 and tally.latency.get_mean_value() >= tally.service.get_mean_value()


def test_a_cut_is_a_failure_and_a_limit_ends_what_hangs() -> None:
    with server(held=0, cut=True) as url:
        assert sum(played(url).failures.values()) == 40
    with server(held=1_000) as url:
        tally = played(url, limit=0.3)  # how many more run into it is the machine's affair
    assert tally.failures["time limit"] >= 1 and tally.done() == tally.latency.get_total_count() == 40
    assert tally.latency.get_max_value() == pytest.approx(300_000, rel=0.01)
