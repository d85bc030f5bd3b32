"""Attempts: time-outs, further attempts, the final answer."""

from oakvale.interface import Attempt, Ending, Refuse
from tests.helpers import Drive, of


def test_a_client_that_gives_up_before_the_aim_gets_its_answer_at_once() -> None:
    d = Drive()
    rid, actions = d.ask(patience=500_000)
    [first] = of(actions, Attempt)
    d.now += 500_000  # its deadline, well before the aim
    actions = d.end(rid, first.backend, ending=Ending.TIMEOUT)
    assert not of(actions, Attempt)
    assert [a.id for a in of(actions, Refuse)] == [rid]


def test_an_attempt_that_was_out_of_time_is_not_sent_again() -> None:
    d = Drive()
    rid, actions = d.ask()
    [first] = of(actions, Attempt)
    actions = d.end(rid, first.backend, ending=Ending.MOOT)
    assert not of(actions, Attempt) and of(actions, Refuse)
