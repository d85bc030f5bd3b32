"""The data plane of the whole system on loopback sockets: each test is a rule, and the failure it guards against."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from oakvale.dataplane.routes import Picture
from oakvale.failover.chains import Chains
from oakvale.loadbalancing.board_service import Rejected, Selection
from oakvale.ratelimit.quotas import Quota
from tests.data_plane import CONFIG, KEY, Gate, sealed
from tests.node import MS, answer


def test_a_backend_is_told_who_it_is_and_whose_the_request_is_and_never_the_key(gate: Gate) -> None:
    client = gate.say(Tenant="someone-else", Backend="i-9", X_Other="kept")
    name, backend, came = gate.at_backend()
    fields = dict(line.split(": ", 1) for line in came.decode().split("\r\n")[1:-2])
    fields = {name.lower(): value for name, value in fields.items()}
    assert fields["backend"] == name and fields["tenant"] == "t1" and fields["attempt-id"] == "a1"
    assert KEY not in came.decode() and fields["x-other"] == "kept" and int(fields["time-left"]) <= 5_000
    backend.send(sealed())
    assert gate.reads(client, b"ok").startswith(b"HTTP/1.1 200") and b"seal: s" in client.came.lower()


@pytest.mark.parametrize(
    "path, key, host, status",
    [
        ("/none/", KEY, "a.example", 404),
        ("/r/x", KEY, "b.example", 404),
        ("/r/x", "wrong", "a.example", 401),
        ("/r/x", None, "a.example", 401),
    ],
)
def test_what_no_configuration_allows_is_told_so(
    gate: Gate, path: str, key: str | None, host: str, status: int
) -> None:
    assert gate.status(gate.say(path, key=key, Host=host)) == status


def test_the_longest_prefix_decides_and_a_public_route_wants_no_key(gate: Gate) -> None:
    gate.say("/r/deep/x", key=None)
    assert b"tenant" not in gate.reads(gate.taken(gate.other)).lower()


def test_nothing_is_denied_before_there_is_a_configuration(gate: Gate) -> None:
    gate.router.picture = Picture()
    client = gate.say("/none/", key="wrong")
    assert gate.status(client) == 503 and b"retry-after" in client.came


def test_the_operators_bounds_on_clients_are_in_force_with_its_configuration(gate: Gate) -> None:
    """They were checked and then forgotten: a client could send a head bit by bit for as long as the process let it."""
    gate.show(gen=8, limits={"hdr-bytes": 400, "body-bytes": 8, "hdr": "1500ms", "idle": "4s"})
    assert gate.status(gate.say("/b/x", method="POST", body=b"nine nine")) == 413
    assert gate.status(gate.say(X_Long="x" * 500)) == 431
    slow, idle = gate.client(), gate.say(rid="a2")
    slow.send(b"GET /r/x HTTP/1.1\r\nHost: ")
    gate.at_backend()[1].send(sealed("a2"))
    assert gate.status(idle) == 200
    gate.pass_time(1_600 * MS)
    assert gate.status(slow) == 408 and (idle.read(), idle.ended)[1] is False
    gate.pass_time(3_000 * MS)
    gate.until_ended(idle)
    assert gate.router.limits.body == 8 and gate.router.shared.limits.body > 8  # answers are bounded as before


def test_a_key_that_may_have_been_taken_away_unheard_is_not_honoured(gate: Gate) -> None:
    """With strict-revoke. A public route and an unknown key are answered as ever."""
    gate.router.sure = lambda: False
    client = gate.say()
    assert gate.status(client) == 503 and b"retry-after" in client.came
    assert gate.status(gate.say(rid="a2", key="wrong")) == 401
    gate.say("/r/deep/x", rid="a3", key=None)
    gate.taken(gate.other)


@pytest.mark.parametrize("word, status", [((False, 250_000, True), 429), ((False, 200_000, False), 503)])
def test_over_the_quota_or_not_counted_is_refused_at_once_with_a_time(gate: Gate, word: Any, status: int) -> None:
    gate.rate_limiter.word = word
    client = gate.say()
    assert gate.status(client) == status and b"retry-after: 0.2" in client.came
    assert gate.first.take() is None and gate.second.take() is None


def test_a_repeat_is_told_from_a_first_try_by_the_time_left(gate: Gate) -> None:
    for rid, left in (("a1", "5000"), ("a2", "4982"), ("a3", "4700")):
        gate.say(rid=rid, Time_Left=left)
    gate.until(lambda: len(gate.rate_limiter.asked) == 3)
    assert [again for _, again in gate.rate_limiter.asked] == [False, False, True]


def test_an_unsafe_request_whose_connection_breaks_is_neither_sent_again_nor_promised(gate: Gate) -> None:
    client = gate.say("/b/x", method="POST", body=b"slot")
    _, backend, _ = gate.at_backend()
    backend.close(reset=True)
    assert gate.status(client) == 502
    assert gate.first.take() is None and gate.second.take() is None


@pytest.mark.parametrize(
    "path, youth, kept",
    [("/b/x", 200 * MS, False), ("/b/x", 400 * MS, True), ("/b/x", None, True), ("/r/x", 200 * MS, True)],
)
def test_what_may_run_once_only_goes_out_on_a_young_connection(
    gate: Gate, path: str, youth: int | None, kept: bool
) -> None:
    """Its backend had forgotten the connection without a word: it was reset, and nobody knew whether it ran."""
    gate.show(gone=("i-2",))
    first = gate.say()
    _, backend, _ = gate.at_backend()
    backend.send(sealed())
    gate.reads(first, b"ok")
    gate.pass_time(300 * MS)
    gate.router.boards.select = lambda service, wait, on_selected, facts=None, without=frozenset(): on_selected(  # type: ignore[method-assign]
        Selection(service, "i-1", 1, "gauge/0", youth)
    )
    gate.say(path, rid="a2")
    if kept:
        assert b"a2" in gate.reads(backend, b"a2")
    else:
        assert b"a2" in gate.at_backend()[2]


def test_a_connection_that_breaks_on_its_next_request_is_told_of_with_its_idle_time(gate: Gate) -> None:
    gate.show(gone=("i-2",))
    told: list[int] = []
    gate.router.boards.select = lambda service, wait, on_selected, facts=None, without=frozenset(): on_selected(  # type: ignore[method-assign]
        Selection(service, "i-1", 1, "gauge/0")
    )
    gate.router.boards.report_attempt = lambda pick, route, latency, outcome, dropped=0, kept=0: told.append(  # type: ignore[method-assign]
        dropped
    )
    for rid, ends in (("a1", False), ("a2", True), ("a3", False), ("a4", True)):
        client = gate.say("/b/x", rid=rid, method="POST", body=b"slot")
        if rid in ("a1", "a3"):
            _, backend, _ = gate.at_backend()
        else:
            gate.reads(backend, rid.encode())
        if rid == "a4":
            backend.send(b"HTTP/1.1 2")  # it had begun to answer
            gate.turns()
        if ends:
            backend.close(reset=True)
        else:
            backend.send(sealed(rid))
        gate.status(client)
        gate.pass_time(300 * MS)
    assert told[0] == told[2] == told[3] == 0 and 300 * MS <= told[1] < 400 * MS


def test_what_surely_never_ran_goes_to_another_backend(gate: Gate) -> None:
    """421: the address is another's now. The unsafe request has not run and may be sent once more."""
    client = gate.say("/b/x", method="POST", body=b"slot")
    name, backend, _ = gate.at_backend()
    backend.send(answer("421 Misdirected Request", Served_By="i-8"))
    other, backend, _ = gate.at_backend()
    assert other != name
    backend.send(sealed())
    assert gate.status(client) == 200


def test_a_further_attempt_is_handed_the_time_that_is_left(gate: Gate) -> None:
    """A backend works for as long as it is told: with the client's first time it would go on when nobody waits."""
    gate.say()
    _, backend, first = gate.at_backend()
    gate.pass_time(700 * MS)
    backend.close(reset=True)
    _, _, second = gate.at_backend()
    times = [int(came.lower().split(b"time-left: ")[1].split()[0]) for came in (first, second)]
    assert times[0] <= 5_000 and times[1] <= times[0] - 700


@pytest.mark.parametrize("path, method", [("/r/x", "GET"), ("/b/x", "POST")])
def test_the_final_answer_comes_at_the_routes_deadline_however_long_its_client_waits(
    gate: Gate, path: str, method: str
) -> None:
    client = gate.say(path, method=method, Time_Left="60000")
    _, backend, _ = gate.at_backend()
    gate.pass_time(4_800 * MS)
    assert client.read() == b""
    gate.pass_time(1_300 * MS)
    assert gate.status(client) >= 500
    gate.until_ended(backend)


def test_tries_are_kept_and_what_never_ran_is_refused_with_a_time(gate: Gate) -> None:
    client = gate.say("/b/x", method="POST", body=b"slot")
    for _ in range(2):
        _, backend, _ = gate.at_backend()
        backend.send(answer("503 Service Unavailable", Not_Run="1"))
    assert gate.status(client) == 503 and b"retry-after" in client.came


@pytest.mark.parametrize("status", ["503 Service Unavailable", "429 Too Many Requests"])
def test_a_promise_that_no_backend_made_is_not_passed_on(gate: Gate, status: str) -> None:
    """Without Not-Run it may have run: a client that took the 503 for a promise would have it run twice."""
    client = gate.say("/b/x", method="POST", body=b"slot")
    _, backend, _ = gate.at_backend()
    backend.send(answer(status, Attempt_Id="a1"))
    assert gate.status(client) == 502


def test_a_surplus_answer_is_thrown_away_and_the_own_one_waited_for(gate: Gate) -> None:
    client = gate.say(rid="a2")
    _, backend, _ = gate.at_backend()
    backend.send(sealed("a1", b"another's"))
    gate.turns()
    assert client.read() == b""
    backend.send(sealed("a2", b"its own"))
    assert gate.reads(client, b"its own").endswith(b"its own") and b"another's" not in client.came


@pytest.mark.parametrize(
    "spoilt",
    [
        answer(body=b"ok", Attempt_Id="a1"),  # no seal
        answer(body=b"ok", Attempt_Id="a1", Seal="s", Content_Encoding="gzip"),
        b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalf",
        b"\0\1\2 no answer at all\r\n\r\n",
    ],
)
def test_a_spoilt_answer_never_looks_like_a_success(gate: Gate, spoilt: bytes) -> None:
    client = gate.say("/b/x", method="POST", body=b"slot")
    _, backend, _ = gate.at_backend()
    backend.send(spoilt)
    backend.close()
    assert gate.status(client) == 502


def test_an_answer_without_a_length_that_is_reset_is_not_complete(gate: Gate) -> None:
    """Its end is the end of its connection: one that breaks looks like one that is over."""
    client = gate.say("/b/x", method="POST", body=b"slot")
    _, backend, _ = gate.at_backend()
    backend.send(b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nSeal: s\r\n\r\nhalf")
    gate.turns()
    backend.close(reset=True)
    assert gate.status(client) == 502


def test_a_failure_of_the_backends_own_goes_to_the_client_as_it_is(gate: Gate) -> None:
    client = gate.say("/b/x", method="POST", body=b"slot")
    _, backend, _ = gate.at_backend()
    backend.send(answer("500 Internal Server Error", b"boom", Attempt_Id="a1", Seal="s"))
    assert gate.reads(client, b"boom").startswith(b"HTTP/1.1 500")


def test_a_drained_backend_gets_nothing_more_not_even_a_repeat(gate: Gate) -> None:
    """Chosen before the drain and sent after it is a breach: the state is looked at when it is sent."""
    client = gate.say()
    name, backend, _ = gate.at_backend()
    other = {"i-1": "i-2", "i-2": "i-1"}[name]
    gate.show(drain=(other,))
    backend.send(answer("503 Service Unavailable", Not_Run="1"))
    gate.show(drain=(other, name))
    assert gate.status(client) == 503
    parties = {"i-1": gate.first, "i-2": gate.second}
    assert parties[other].take() is None


def test_a_kept_connection_to_an_address_that_has_another_life_is_not_used(gate: Gate) -> None:
    client = gate.say()
    name, backend, _ = gate.at_backend()
    backend.send(sealed())
    gate.reads(client, b"ok")
    gate.show(gone=(name,))
    gate.until(lambda: backend.read() and backend.ended)


def test_a_new_picture_holds_for_the_next_request_whole(gate: Gate) -> None:
    """Key and route of a version go together: a half of each would be no version that was ever sent."""
    routes = CONFIG["routes"]["rows"]  # type: ignore[index]
    gate.show(
        gen=8,
        routes={**CONFIG["routes"], "rows": routes[:1]},  # type: ignore[dict-item]
        tenants={"cols": ["name", "apikeys"], "rows": [["t2", ["new"]]]},
    )
    assert gate.status(gate.say("/b/x", method="POST", key="new")) == 404
    assert gate.status(gate.say("/r/x", key=KEY)) == 401
    gate.say("/r/x", key="new")
    assert b"tenant: t2" in gate.at_backend()[2].lower()
    assert gate.router.picture.tenants["t2"].quota == Quota()


def apart(gate: Gate) -> None:
    """The second backend of service one stands in another zone."""
    backends = dict(gate.router.picture.backends)
    backends["i-2"] = replace(backends["i-2"], zone="y")
    gate.router.show(replace(gate.router.picture, backends=backends))


def zone_of(name: str) -> str:
    return "y" if name == "i-2" else "z"


def test_a_place_that_is_out_gives_up_what_is_there_and_an_unsafe_request_ends_at_once(gate: Gate) -> None:
    """A payment order at a failed place: its client waited for the deadline, and a second attempt would double it."""
    apart(gate)
    client = gate.say("/b/x", method="POST", body=b"order")
    name, backend, _ = gate.at_backend()
    gate.turns(4)
    gate.router.boards.on_zones_closed("one", frozenset({zone_of(name)}))
    assert gate.status(client) == 502
    gate.turns(10)
    assert gate.first.take() is None and gate.second.take() is None


def test_a_safe_request_at_a_place_that_is_out_goes_on_elsewhere_and_nothing_follows_it_there(gate: Gate) -> None:
    apart(gate)
    client = gate.say()
    name, _, _ = gate.at_backend()
    gate.turns(4)
    gate.router.boards.on_zones_closed("one", frozenset({zone_of(name)}))
    other, backend, _ = gate.at_backend()
    assert other != name
    backend.send(sealed())
    assert gate.status(client) == 200
    for n in range(6):
        again = gate.say(rid=f"c{n}")
        there, backend, _ = gate.at_backend()
        assert there == other
        backend.send(sealed(f"c{n}"))
        assert gate.status(again) == 200
    gate.router.boards.on_zones_closed("one", frozenset({"y", "z"}))  # all out: better tried than refused
    again = gate.say(rid="d")
    _, backend, _ = gate.at_backend()
    backend.send(sealed("d"))
    assert gate.status(again) == 200


def test_what_no_place_has_room_for_is_refused_with_a_time_to_come_back_and_never_runs(gate: Gate) -> None:
    boards: Any = gate.router.boards
    boards.select = lambda service, wait, on_selected, facts=None, without=frozenset(): on_selected(Rejected(120 * MS))
    text = gate.reads(gate.say("/b/x", method="POST", body=b"order"))
    assert text.split()[1] == b"503" and b"retry-after: 0.12" in text.lower()
    gate.turns(10)
    assert gate.first.take() is None and gate.second.take() is None


def test_without_chains_the_keeper_is_asked_in_the_words_of_before(gate: Gate) -> None:
    """Off, nothing more is told, and nothing is kept."""
    said: list[Any] = []

    def ask(address: Any, kind: str, body: Any, wait: int, then: Callable[[Any], None]) -> None:
        said.append(body)
        then(["i-1", 4, None])

    gate.rate_limiter.holder = lambda duty: ("h", 1)  # type: ignore[method-assign,assignment]
    transport: Any = gate.router.boards._transport
    transport.ask, transport.tell = ask, lambda address, kind, body: said.append(body)
    client = gate.say()
    _, backend, _ = gate.at_backend()
    backend.send(sealed())
    assert gate.status(client) == 200
    assert [len(body) for body in said] == [4, 9]
    gate.router.boards.set_chains(Chains())
    client = gate.say(rid="a2")
    _, backend, _ = gate.at_backend()
    backend.send(sealed("a2"))
    assert gate.status(client) == 200
    assert [len(body) for body in said[2:]] == [5, 10]
    gate.router.boards.set_chains(None)
    assert gate.router.boards.flows() == []
