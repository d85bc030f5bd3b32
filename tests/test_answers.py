"""Answers to the right caller, nothing unrepeatable twice: drawn schedules of clients, backends and one gateway between
them (tests/crossing.py), and each mechanism taken out in turn, which the same draw must find."""

from __future__ import annotations

from typing import Any, cast

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from oakvale import interface as i
from oakvale.base.limits import Limits
from oakvale.intake.bounds import bounds
from tests.crossing import MS, SECOND, SETTINGS, Caller, Ear, World, play
from tests.lines import PLENTY
from tests.node import Node, request

EXAMPLES = 300  # `python -m tests.test_answers N` plays N others
SCHEDULES = st.binary(min_size=24, max_size=140)


def drawn(examples: int, seed: bool = True) -> settings:
    return settings(max_examples=examples, derandomize=seed, database=None, deadline=None, print_blob=False,
                    suppress_health_check=list(HealthCheck))


def search(examples: int, seed: bool = True) -> None:
    drawn(examples, seed)(given(SCHEDULES)(lambda schedule: None if play(schedule) else None))()


def bounds_of() -> Limits:
    return bounds(cast(Any, SETTINGS))


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
