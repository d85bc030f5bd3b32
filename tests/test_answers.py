"""Answers to the right caller, nothing unrepeatable twice: drawn schedules of clients, backends and one gateway between
them (tests/data_plane_model.py), and each mechanism taken out in turn, which the same draw must find."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, cast

import h11
import pytest

from oakvale import interface as i
from oakvale.base.limits import Limits
from oakvale.config.bounds import limits_from_settings
from oakvale.dataplane import backend_protocol
from oakvale.dataplane.backend_protocol import SystemDialect
from oakvale.memory.requests import Answer
from oakvale.policy.attempts import Attempts
from oakvale.wire import backends
from oakvale.wire.backends import BackendConnection
from oakvale.wire.clients import ClientConnection
from oakvale.wire.tcp import Gone
from tests import schedules
from tests.data_plane_model import MS, SECOND, SETTINGS, Caller, Ear, World, play
from tests.memory_connections import PLENTY
from tests.node import Node, request

EXAMPLES = 2_000  # `python -m tests.test_answers N` plays N others
SIZES = 24, 140  # bytes of a schedule, three a step


def search(examples: int, again: bool = True, shrinks: bool = True) -> None:
    schedules.search(play, examples, SIZES, again, shrinks)


def bounds_of() -> Limits:
    return limits_from_settings(cast(Any, SETTINGS))


def test_drawn_schedules_break_no_rule() -> None:
    search(EXAMPLES)


# ---- each mechanism taken out: the draw must find it


def loose(event: h11.Response, longest: int) -> int:
    return int(dict(event.headers).get(b"content-length", 0))


def ending(*promised: int, stamped: bool = True) -> Callable[[SystemDialect, Answer], i.Ending]:
    """As it is, but for answers of these statuses, and whether a success needs its stamp."""
    real = SystemDialect.ending

    def found(dialect: SystemDialect, answer: Answer) -> i.Ending:
        if answer.status in promised:
            return i.Ending.FULL
        return i.Ending.SERVED if answer.status == 200 and not stamped else real(dialect, answer)

    return found


def forgets(connection: h11.Connection) -> None:
    """What came behind a request is dropped."""
    CYCLE(connection)
    if connection.our_role is h11.SERVER:
        connection._receive_buffer = type(connection._receive_buffer)()


def unseen(connection: h11.Connection) -> tuple[bytes, bool]:
    """What came behind an answer is not looked at."""
    found: tuple[bytes, bool] = TRAILING.__get__(connection)
    return found if connection.our_role is h11.SERVER else (b"", False)


def gone(connection: ClientConnection) -> None:
    raise Gone()


CYCLE = h11.Connection.start_next_cycle
TRAILING: Any = h11.Connection.__dict__["trailing_data"]
BREAKAGES: dict[str, tuple[Any, str, Any]] = {
    "any answer is the one that is waited for": (SystemDialect, "belongs", lambda *_: True),
    "part of a request is none": (SystemDialect, "part_may_run", False),
    "what ended without an answer never ran": (BackendConnection, "_may_have_run", lambda *_: False),
    "a 503 that does not say so never ran": (SystemDialect, "ending", ending(503)),
    "a 429 that does not say so is passed on as a promise": (backend_protocol, "PROMISES", ()),
    "a success needs no stamp": (SystemDialect, "ending", ending(stamped=False)),
    "an encoded body is the backend's": (SystemDialect, "check", lambda *_: None),
    "an answer needs no length": (backends, "framing", loose),
    "what may have run is sent again": (Attempts, "repeatable", lambda *_: True),
    "answers that name no attempt leave their connection as it is": (SystemDialect, "named", lambda *_: True),
    "bytes behind an answer leave their connection as it is": (h11.Connection, "trailing_data", property(unseen)),
    "a silent backend is given up": (SystemDialect, "waits", lambda *_: False),
    "requests behind one in hand are forgotten": (h11.Connection, "start_next_cycle", forgets),
    "a client that ended its sending has gone": (ClientConnection, "_probe", gone),
    "keys are passed on": (backend_protocol, "OURS", backend_protocol.OURS - {b"authorization"}),
}


@pytest.mark.parametrize("what", BREAKAGES)
def test_each_mechanism_taken_out_is_found(monkeypatch: pytest.MonkeyPatch, what: str) -> None:
    owner, name, made = BREAKAGES[what]
    monkeypatch.setattr(owner, name, made)
    with pytest.raises(AssertionError):
        search(EXAMPLES, shrinks=False)


# ---- what the draw found, and what it can't see, by hand


def asked(world: World, kind: int, caller: Caller | None = None) -> Caller:
    """A client's request: 0 may be repeated, 3 may not, 7 may not and has no body."""
    caller = caller or world.client()
    caller.ask(world.request(kind, 0), 0)
    world.turn()
    return caller


def statuses(caller: Caller) -> list[tuple[int, str]]:
    caller.line.read()
    return [(status, headers.get("connection", "")) for status, headers, _, whole in caller.answers() if whole]


def at_work(world: World) -> Ear:
    """Where a backend has a request that is not answered, the latest."""
    world.turn(4)
    return [ear for ear in world.ears if (now := ear.now()) is not None and not now.done][-1]


def served(world: World) -> None:
    at_work(world).answer(1)
    world.turn()


def test_what_stands_behind_a_request_waits_for_as_long_as_that_takes() -> None:
    """The request in hand got a 400 of the gateway's own after 6 s, and its backend was cut off while at work."""
    world = World()
    caller = asked(world, 7)
    asked(world, 7, caller)
    world.pass_time(8 * SECOND)
    served(world)
    served(world)
    assert statuses(caller) == [(200, ""), (200, "")]
    world.finish()


def test_a_time_out_in_the_turn_of_an_answer_takes_nothing_from_it() -> None:
    """The time for what stands behind a request was over in the turn that gave its answer: a 500 went out."""
    node = Node()
    node.script.answers[i.Request] = lambda r: [i.Attempt(r.id, 1)]
    node.script.answers[i.Ended] = lambda e: [i.Refuse(e.id, 1)]
    client = node.client()
    client.send(request("a1", X_Expires_In="2499m") + b"nonsense\r\n\r\n")
    node.reads(node.taken(node.backend))
    node.pass_time(2_600 * MS)
    assert node.reads(client).startswith(b"HTTP/1.1 503")
    node.close()


def test_requests_that_were_read_are_answered_before_a_stopping_gateway_ends_their_connection() -> None:
    """Those behind one in hand were read and dropped, as its answer said that the connection ends."""
    world = World()
    caller = world.client()
    caller.ask(world.request(7, 0), 1000)  # but for all bytes save one
    asked(world, 7, caller)
    world.shutdown.begin()
    served(world)
    served(world)
    assert statuses(caller) == [(200, ""), (200, "close")]
    world.finish()


def test_part_of_an_interim_answer_is_no_front_of_the_answer_behind_it() -> None:
    """A client that ended its sending is probed by a 100. The kernel took a part: `HTTP/HTTP/1.1 200 OK` followed."""
    world = World()
    caller = asked(world, 7)
    caller.deaf, caller.line.room = True, 5
    caller.line.fin()
    world.turn()
    caller.deaf, caller.line.room = False, PLENTY
    served(world)
    assert statuses(caller) == [(200, "")] and caller.line.heard.startswith(b"HTTP/1.1 100")
    world.finish()


def idle(world: World) -> Caller:
    """A client that has its answer, and 3 ms later a connection that rests."""
    caller = asked(world, 7)
    served(world)
    assert statuses(caller)[-1] == (200, "")
    return caller


def test_a_connection_rests_for_as_long_as_the_operator_lets_it_also_when_that_changes() -> None:
    """Its client goes by the newest bound, and by the one before until it has heard of that."""
    world = World()
    world.idle = "4s"
    world.show()
    world.pass_time(16 * SECOND)
    longer = idle(world)
    world.pass_time(2 * SECOND)
    world.idle = "30s"
    world.show()
    world.pass_time(24 * SECOND)
    assert not longer.line.closed
    shorter = idle(world)
    world.idle = "4s"
    world.show()
    world.pass_time(5 * SECOND)
    after = idle(world)
    world.pass_time(24 * SECOND)
    assert longer.line.closed and not shorter.line.closed and not after.line.closed
    world.pass_time(8 * SECOND)
    assert shorter.line.closed and after.line.closed
    late = idle(world)
    world.pass_time(5 * SECOND)
    assert late.line.closed
    world.finish()


def test_a_request_that_comes_as_the_time_of_its_connection_is_over_is_read() -> None:
    """It was reset: the time-out came first in a turn, and nobody looked."""
    world = World()
    caller = idle(world)
    raw = world.request(7, 0)
    world.loop.at(world.now + 15 * SECOND, lambda _: caller.ask(raw, 0))
    world.loop.at(world.now, lambda _: None)
    world.pass_time(15 * SECOND)
    served(world)
    assert statuses(caller) == [(200, ""), (200, "")]
    world.finish()


def test_empty_lines_in_front_of_a_request_begin_nothing() -> None:
    """The first got a 400 of its own, and the request behind it no answer; in halves, too. What sends nothing else is
    idle, and closed as such."""
    world = World()
    caller = idle(world)
    for part in (b"\r", b"\n", b"\r\n\r", b"\n"):
        caller.line.say(part)
        world.turn()
    asked(world, 7, caller)
    served(world)
    assert statuses(caller) == [(200, ""), (200, "")]
    caller.line.say(b"\r\n")
    world.pass_time(14 * SECOND)
    assert not caller.line.closed
    world.pass_time(3 * SECOND)
    assert caller.line.closed and statuses(caller) == [(200, ""), (200, "")]
    world.finish()


def test_idle_connections_are_closed_for_room_alone_and_not_at_the_start_of_a_stop() -> None:
    """What crosses their end is lost to its client: half of the places were kept free, and SIGTERM closed all."""
    world = World({"clients": 4, "clients_idle": bounds_of().clients_idle - bounds_of().clients + 4})
    rests = [idle(world) for _ in range(4)]
    assert not any(caller.line.closed for caller in rests)
    fifth = idle(world)
    assert [caller.line.closed for caller in (*rests, fifth)] == [True, False, False, False, False]
    world.shutdown.begin()
    world.turn()
    caller = asked(world, 7, rests[1])
    served(world)
    assert statuses(caller) == [(200, ""), (200, "close")]
    world.pass_time(3 * SECOND)
    assert all(caller.line.closed for caller in rests)
    world.finish()


def test_an_answer_that_stops_midway_is_waited_for_where_nothing_is_gained_by_another() -> None:
    """After 2 s of silence an unsafe request got a 502, well before its deadline, and its backend was cut off."""
    world = World()
    caller, safe = asked(world, 7), asked(world, 0)
    for ear in world.ears:
        ear.answer(21)
    world.pass_time(3 * SECOND)
    assert world.ears[1].line.closed and not world.ears[0].line.closed  # what may be repeated is, elsewhere
    world.ears[0].answer(1)
    world.turn()
    assert statuses(caller) == [(200, "")] and not statuses(safe)
    world.finish()


def test_a_connection_whose_answer_names_no_attempt_is_not_used_again() -> None:
    """A second copy of `Not-Run` in the place of the next request's answer: it would be sent again, and run twice."""
    world = World()
    caller = asked(world, 7)
    world.ears[0].answer(8)
    world.turn()
    assert world.ears[0].line.closed and at_work(world).arrivals[0].asked is caller.asked[0]
    served(world)
    assert statuses(caller) == [(200, "")] and not world.ears[1].line.closed
    world.finish()


@pytest.mark.parametrize("how, status", [(0, 200), (8, 200), (20, 502)])
def test_an_answer_before_the_whole_request_is_heeded(how: int, status: int) -> None:
    """Its backend reads no further: to the deadline, a 502 was all that came of what it had said."""
    world = World()
    world.room = 40
    caller = asked(world, 3)
    world.ears[0].answer(how)
    world.room = PLENTY
    world.turn()
    if how == 8:
        served(world)
    assert statuses(caller) == [(status, "")] and world.ears[0].line.closed
    world.finish()


def test_the_rest_of_a_request_follows_behind_an_interim_answer() -> None:
    world = World()
    world.room = 40
    caller = asked(world, 3)
    ear = world.ears[0]
    ear.answer(14)
    world.turn()
    ear.line.room = PLENTY
    world.turn()
    assert ear.arrivals[0].left == 0
    served(world)
    assert statuses(caller) == [(200, "")] and not ear.line.closed
    world.finish()


def test_a_fault_with_part_of_a_request_written_is_no_proof_that_it_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    def part(sock: Any, data: bytes, due: int, heed: bool = False) -> Any:
        sock.send(data[:40])
        raise RuntimeError("a fault")
        yield

    monkeypatch.setattr(backends, "write_all", part)
    world = World()
    caller = asked(world, 3)
    assert statuses(caller) == [(502, "")] and len(world.ears) == 1


def test_a_tunnel_that_is_asked_for_stops_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """One CONNECT to a known path, answered with 200, kept the gateway in one turn for ever."""
    world = World()
    asks = world.request(0, 0)
    asks.line, asks.raw = asks.line.replace(b"GET", b"CONNECT"), asks.raw.replace(b"GET", b"CONNECT")
    caller = world.client()
    caller.ask(asks, 0)
    world.turn(4)
    assert statuses(caller)[0][0] == 405 and not world.ears
    world.finish()
    world = World()
    asked(world, 7)
    connection = next(iter(world.router.requests.all()[0].out.values())).connection
    monkeypatch.setattr(cast(Any, connection)._http, "next_event", lambda: h11.PAUSED)
    world.ears[0].line.say(b"x")
    world.turn()
    assert world.ears[0].line.closed


if __name__ == "__main__":
    search(int(sys.argv[1]), again=False)
    print(f"{sys.argv[1]} schedules, no rule broken")
