"""The laboratory's backends and clients: decisions by hand, then on loopback sockets with each other."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from oakvale.lab.days import decode
from oakvale.lab.judge.verdict import judge
from oakvale.lab.models.backend import Backend, Ways
from oakvale.lab.models.client_requests import ClientRequest, TryEnd
from oakvale.lab.models.core_calls import CallEnded, CallSequence, NextCall
from oakvale.lab.models.crowd import Crowd, Flow
from oakvale.lab.models.exchanges import Reply
from oakvale.lab.models.orders import CHANGES, SPOILS, Books
from oakvale.lab.models.platform import Edge, Platform
from oakvale.lab.models.workshop import Do, Job, Outcome, Terms, Workshop
from oakvale.lab.record import Fate, Kind, Record
from tests.loopback import Loopback

MS, SECOND = 1_000, 1_000_000
DAY: dict[str, Any] = {
    "name": "small",
    "seconds": 5,
    "zones": ["a", "b"],
    "edges_per_zone": 1,
    "services": [{"name": "one", "backends": 2}, {"name": "two", "backends": 1}],
    "tenants": [{"name": "big", "keys": 2, "rate_per_s": 20, "burst": 10}],
    "routes": [
        {"name": "look", "service": "one", "per_s": 20, "work_ms": 2, "aim_ms": 300, "deadline_ms": 2000},
        {"name": "book", "service": "two", "safe": False, "per_s": 5, "work_ms": 2, "aim_ms": 300, "deadline_ms": 2000},
    ],
}


# ---- a backend's decisions


def shop(**terms: Any) -> Workshop:
    return Workshop(Terms("i-1", "one", spread=0, warmup=0, **terms), 0, Random(1))


def job(name: str = "j", work: int = 100 * MS, until: int = 10 * SECOND, **more: Any) -> Job:
    return Job(name, work, until, **more)


def test_a_backend_works_on_its_slots_queues_a_few_and_declines_the_rest() -> None:
    s = shop(slots=2, queue=1)
    jobs = [job(str(n)) for n in range(4)]
    assert [s.take(0, j) for j in jobs] == [Do.RUN, Do.RUN, Do.WAIT, Do.DECLINE]
    assert jobs[3].status == 503
    s.ends(100 * MS, jobs[0])
    assert (jobs[2].began, jobs[2].due) == (100 * MS, 200 * MS)
    assert shop(slots=0, queue=0, resets=True).take(0, job()) is Do.RESET


@pytest.mark.parametrize(
    "asked, status",
    [(job(""), 400), (job(named="i-2"), 421), (job(until=0), 503), (job(named="i-1"), 0), (job(named=None), 0)],
)
def test_what_a_backend_declines(asked: Job, status: int) -> None:
    assert (shop().take(0, asked) is Do.DECLINE) == bool(status)
    assert asked.status == status


def test_what_waits_past_its_deadline_is_declined_and_what_works_past_it_is_a_504() -> None:
    s = shop(slots=1)
    first, second = job(until=50 * MS), job(until=40 * MS)
    s.take(0, first)
    s.take(0, second)
    assert first.due == 50 * MS
    assert s.ends(50 * MS, first).status == 504
    assert (second.status, second.began) == (503, 0)


def test_a_cold_backend_is_slow() -> None:
    s = Workshop(Terms("i-1", "one", spread=0, warmup=SECOND, cold=3.0, speed=2.0), 0, Random(1))
    early, late = job(), job()
    s.take(0, early)
    s.take(SECOND, late)
    assert (early.due, late.due - SECOND) == (150 * MS, 50 * MS)


@pytest.mark.parametrize(
    "ill, fate",
    [("lost", Fate.SILENT), ("cut", Fate.CUT), ("garbled", Fate.GARBLED), ("extra", Fate.EXTRA), ("slow", Fate.WHOLE)],
)
def test_ailments(ill: str, fate: Fate) -> None:
    s = shop()
    setattr(s.ill, ill, 1.0)
    asked = job()
    s.take(0, asked)
    given: Outcome = s.ends(asked.due, asked)
    assert (given.fate, given.status) == (fate, 200)
    s.ill.lost_by_reset = True
    s.take(0, again := job())
    assert s.ends(again.due, again).fate is (Fate.LOST if ill == "lost" else fate)


def test_health_lies_only_where_it_ails() -> None:
    s = shop()
    probe = job(probe=True)
    s.take(0, probe)
    assert s.ends(1, probe).status == 200
    s.ill.errors, s.ill.lies = 0.9, True
    s.take(2, probe)
    assert s.ends(3, probe).status == 200
    s.ill.lies = False
    s.take(4, probe)
    assert s.ends(5, probe).status == 503


# ---- a client's and a caller's decisions


def ask(safe: bool, **more: Any) -> ClientRequest:
    made = ClientRequest("r", "h", "/p/", "GET", b"", None, None, safe, "c", "a", 0, 3 * SECOND, **more)
    made.tries.append("t")
    return made


@pytest.mark.parametrize(
    "end, safe, unsafe",
    [
        (200, False, False),
        (404, False, False),
        (502, True, False),
        (503, True, True),
        (429, True, True),
        (TryEnd.UNREACHED, True, True),
        (TryEnd.BROKEN, True, False),
        (TryEnd.GIVEN_UP, True, False),
        (TryEnd.OVER, False, False),
    ],
)
def test_who_tries_again(end: TryEnd | int, safe: bool, unsafe: bool) -> None:
    assert (ask(True).next_try_at(0, end) is not None, ask(False).next_try_at(0, end) is not None) == (safe, unsafe)


def test_a_client_waits_as_told_up_to_a_third_of_its_time_unless_it_is_eager() -> None:
    assert ask(False).next_try_at(0, 429, 0.5) == 500 * MS
    assert ask(False).next_try_at(0, 429, 60) == SECOND
    assert ask(False, eager=True).next_try_at(0, 429, 60) == 2 * MS


def test_a_caller_of_ctl_follows_twice_moves_on_and_ends() -> None:
    places = [("10.0.0.1", 1), ("10.0.0.2", 1)]
    elsewhere = Reply(307, [(b"location", b"http://10.0.0.9:1/x")], b"", 0)
    steps = CallSequence(lambda: places, Random(1), 10 * SECOND, first=places[0])
    assert steps.on_answer(0, elsewhere) == steps.on_answer(0, elsewhere) == NextCall(("10.0.0.9", 1), 0)
    moved = steps.on_answer(0, elsewhere)
    assert isinstance(moved, NextCall) and moved.address in places and moved.pause > 0
    assert isinstance(steps.on_answer(0, None), NextCall) and isinstance(
        steps.on_answer(0, Reply(503, [], b"", 0)), NextCall
    )
    assert steps.on_answer(0, Reply(400, [], b"", 0)) == CallEnded(Reply(400, [], b"", 0))
    others = [steps.on_answer(0, Reply(404, [], b"", 0)) for _ in range(3)]
    assert [type(o) for o in others] == [NextCall, NextCall, CallEnded]
    beat = CallSequence(lambda: places, Random(1), 10 * SECOND, beat=True)
    assert isinstance(beat.on_answer(0, Reply(200, [], b"x" * 5000, 0)), NextCall), (
        "an answer to a beat holds 4 KiB at most"
    )
    assert beat.on_answer(20 * SECOND, None) == CallEnded(None)


def test_the_platform_leads_to_gateways_that_are_ready() -> None:
    edges = [Edge(f"e{n}", zone, ("", n), ("", n)) for n, zone in enumerate("aaab")]
    platform = Platform(edges, ["a", "b"])
    assert {platform.lead("a", f"c{n}", 0).machine for n in range(99)} == {"e0", "e1", "e2"}
    for _ in range(2):
        platform.looked("e0", False)
    assert {platform.lead("a", f"c{n}", 0).machine for n in range(99)} == {"e1", "e2"}
    assert platform.lead("a", "c1", 1, {"e1"}).machine == "e2"
    for _ in range(2):
        platform.looked("e1", False)
    assert {platform.lead("a", f"c{n}", 0).machine for n in range(99)} == {"e0", "e1", "e2"}, "fewer than half are in"
    for _ in range(2):
        platform.looked("e2", False)
    assert platform.lead("a", "c1", 0).machine == "e3"


# ---- orders


def test_valid_orders_are_taken_and_invalid_ones_refused_by_the_systems_own_reader() -> None:
    from oakvale.config.model import InvalidConfiguration, parse

    books = Books(decode(DAY), Random(3))
    orders = [books.first(), *(books.change(how) for how in CHANGES * 3), *books.race(), books.revoke()]
    assert [parse(order.text).gen for order in orders] == sorted({order.gen for order in orders})
    for how in SPOILS:
        spoilt = books.spoil(how)
        with pytest.raises(InvalidConfiguration):
            parse(spoilt.text)
        assert not spoilt.valid


def test_clients_use_a_key_from_when_they_may_to_a_little_after_its_end() -> None:
    books = Books(decode(DAY), Random(3))
    tenant = books.tenants["big"]
    order = books.revoke()
    books.taken(order, 10 * SECOND, 0)
    rng = Random(1)
    early = {books.key(tenant, 11 * SECOND, rng) for _ in range(50)}
    late = {books.key(tenant, 12 * SECOND, rng) for _ in range(50)}
    assert len(early) == 2 and len(late) == 1 and late < early


# ---- on loopback sockets, with each other


def served(ills: Callable[[Backend], Any], safe: bool = True) -> Record:
    """A crowd that reaches a backend directly, for a third of a second."""
    ground = Loopback()
    loop = ground.loop
    record = Record("loopback", 1, {}, kinds={"look": Kind("look", 1, 0.3, 500 * MS)})
    address = (ground.ip(), 9000)
    ways = Ways(lambda: [(ground.ip(), 1)], lambda ip: "", lambda host, path: MS, SECOND, SECOND)
    backend = Backend(loop, record, Terms("i-1", "one", slots=8, warmup=0), "a", address, ways, Random(1))
    backend.start()
    ills(backend)
    crowd = Crowd(
        loop,
        record,
        Random(2),
        "a",
        4,
        Platform([Edge("e1", "a", address, address)], ["a"]),
        [Flow("look", 100, safe, SECOND, True, 3000)],
        lambda route: ("a.example", "/look/"),
        {},
        lambda *_: None,
        0,
        [],
        [],
    )
    record.began = loop.now
    crowd.begin(loop.now, loop.now + 300 * MS)
    ground.until(lambda: loop.now > record.began + 300 * MS and crowd.senders.out == 0)
    backend.end()
    loop.close()
    return record


@pytest.mark.parametrize("safe", [True, False])
def test_clients_and_a_backend_serve_each_other_on_sockets(safe: bool) -> None:
    record = served(lambda backend: None, safe)
    assert len(record.sent) > 10
    assert {s.id for s in record.sent} == {r.id for r in record.ran} == {g.id for g in record.got if g.status == 200}
    assert {s.body_digest for s in record.sent} == {a.body_digest for a in record.arrived}
    verdict = judge(record)
    assert not verdict.broken and all(got.whole for got in record.got)


@pytest.mark.parametrize(
    "ill, rules", [("cut", {"FAULT"}), ("garbled", {"MIXED", "FAULT"}), ("extra", {"MIXED"}), ("errors", {"FAULT"})]
)
def test_an_ailing_backend_is_seen_for_what_it_is(ill: str, rules: set[str]) -> None:
    """With no gateway between, its spoilt bytes reach the clients, who tell the judge."""

    def fall_ill(backend: Backend) -> None:
        setattr(backend.shop.ill, ill, 1.0)

    record = served(fall_ill)
    found = {broken.rule for broken in judge(record).broken}
    assert found == rules
    assert {a.fate for a in record.answered} <= {Fate(ill) if ill != "errors" else Fate.WHOLE}


def test_a_client_that_reaches_nobody_tries_again_once_at_a_time() -> None:
    """A failed connection was once told twice, and each of both tried again."""
    record = served(lambda backend: backend.end())
    tries = Counter(sent.first for sent in record.sent)
    assert set(tries.values()) == {4} and len(record.closed) == len(record.sent)
    assert not any(closed.read or closed.by_client for closed in record.closed)


def test_a_lost_answer_by_reset_is_tried_again() -> None:
    def fall_ill(backend: Backend) -> None:
        backend.shop.ill.lost, backend.shop.ill.lost_by_reset = 0.5, True

    record = served(fall_ill)
    again = [s for s in record.sent if s.first != s.id]
    assert again and {g.status for g in record.got} == {200}
