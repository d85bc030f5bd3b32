"""Backends: choice, limits, ejection, cold starts, drains."""

from oakvale.interface import Attempt, Backends, Cancel, Charge, Ending, Entry, ListForm, Refuse, State, Timer, Wake
from tests.helpers import Drive, of


def test_slow_answers_shrink_what_a_backend_may_hold() -> None:
    """All servers slow at once: less is sent on, instead of everything being late."""
    d = Drive(backends=1, may_count=False)
    b = d.gw.context.backends[1]
    b.limit.size = before = 10.0
    for k in range(30):
        rid, actions = d.request(customer=f"c{k}")
        if of(actions, Attempt):
            d.tick(700_000)
            d.end(rid, 1, latency=700_000)
    assert b.limit.size < before / 2


def test_a_crowded_backend_is_cut_long_before_the_aim() -> None:
    """Servers that are overdriven stay bad for long: twice the best latency is the sign, not the aim."""
    d = Drive(backends=1, may_count=False)
    b = d.gw.context.backends[1]
    for latency in [50_000] * 20 + [200_000] * 30:  # both far under the aim of a second
        rid, actions = d.request(customer=f"c{d.n}")
        if of(actions, Attempt):
            d.now += latency
            d.end(rid, 1, latency=latency)
        if latency == 50_000:
            grown = b.limit.size = max(b.limit.size, 10.0)
    assert b.limit.size < grown / 2


def test_a_backend_that_turns_work_away_rests() -> None:
    """Quick refusals make a full server look idle: without a rest it draws all traffic."""
    d = Drive(backends=2, may_count=False)
    rid, actions = d.request()
    [first] = of(actions, Attempt)
    [again] = of(d.end(rid, first.backend, ending=Ending.FULL), Attempt)
    assert again.backend != first.backend
    for k in range(5):
        _, actions = d.request(customer=f"c{k}")
        assert all(a.backend != first.backend for a in of(actions, Attempt))


def test_an_attempt_that_was_out_of_time_is_no_fault_of_its_backend() -> None:
    d = Drive(backends=1, may_count=False)
    rid, actions = d.request()
    d.end(rid, 1, ending=Ending.MOOT)
    assert not d.gw.context.backends[1].failures


def test_lending_ends_with_a_refusal_for_want_of_room() -> None:
    d = Drive(backends=1)
    while of(d.ask(customer=f"c{d.n}")[1], Attempt):
        pass
    d.now += 100_000
    for token in list(d.gw.attempts.timers):
        d.send(Timer(token))
    assert d.gw.limits.overloaded()
    d.now += 2_000_000
    d.send(Timer(0))
    assert not d.gw.limits.overloaded()


def test_one_of_many_gateways_sends_a_few_at_once_from_the_start() -> None:
    """Limits shared out over 300 gateways lie far under one for each backend and none of them hears a backend
    often enough to raise it: without a limit for all together nearly every tenth try at once was refused."""
    d = Drive(backends=60, may_count=False, fleet=300)
    for k in range(25):
        rid, actions = d.request(customer=f"c{k}")
        [sent] = of(actions, Attempt)
        d.now += 60_000
        d.end(rid, sent.backend, latency=60_000)
    together = [of(d.request(customer=f"t{k}")[1], Attempt) for k in range(3)]
    assert all(together)


def test_a_gateway_that_stood_still_blames_nobody() -> None:
    """After two seconds without a turn all answers look slow, all calls unanswered, all servers silent."""
    d = Drive(backends=4)
    sent = [(rid, of(actions, Attempt)[0]) for rid, actions in (d.ask(customer=f"c{k}") for k in range(3))]
    known, asking = d.gw.health.latency, d.gw.counter.share
    _, asked = d.request(customer="w")
    d.now += 2_000_000  # no tick in between
    d.count(asked, Ending.TIMEOUT)
    for token in list(d.gw.attempts.timers):
        assert not of(d.send(Timer(token)), Cancel)
    for rid, a in sent:
        d.end(rid, a.backend, latency=2_000_000)
    assert (d.gw.health.latency, d.gw.counter.share) == (known, asking)
    assert not any(b.failures or b.latency for b in d.gw.context.backends.values())


def test_a_try_too_old_to_be_answered_in_time_takes_no_call_and_no_work() -> None:
    d = Drive(backends=4)
    for k in range(20):  # first tries wait three seconds; answers take a tenth
        rid, actions = d.ask(customer=f"c{k}")
        d.tick(100_000)
        d.end(rid, of(actions, Attempt)[0].backend)
    _, repeat = d.request(customer="r", patience=2_400_000)  # what is left of four seconds
    assert of(repeat, Refuse) and not of(repeat, Charge) and not of(repeat, Attempt)
    d.now += 1_500_000  # stood still; these came early and late in that time
    _, early = d.request(customer="e", patience=1_600_000)
    _, late = d.request(customer="l", patience=2_800_000)
    assert of(early, Refuse) and not of(early, Charge)
    assert of(late, Charge)


def test_nothing_out_grows_before_the_best_latency_is_known() -> None:
    """At the start all gateways together overdrove the servers, and overdriven ones stay slow for long."""
    d = Drive(backends=40, may_count=False, fleet=200)
    start = d.gw.limits.total.size
    for k in range(10):
        rid, actions = d.request(customer=f"c{k}")
        d.now += 100_000
        d.end(rid, of(actions, Attempt)[0].backend)
    assert d.gw.limits.total.size == start


def test_a_backend_that_errs_at_once_is_left_alone_also_when_it_serves_now_and_then() -> None:
    """Its errors come quicker than any answer, so it looks idle: each attempt would try it first."""
    d = Drive(backends=4)
    tries = {1: 0, 2: 0, 3: 0, 4: 0}
    for n in range(400):
        d.now += 10_000
        rid, actions = d.ask("c%d" % (n % 50))  # noqa: UP031
        attempts = [(a, hop) for hop, a in enumerate(of(actions, Attempt))]
        for attempt, hop in attempts:
            tries[attempt.backend] += 1
            d.now += 1_000
            if attempt.backend == 1 and tries[1] % 3:
                again = d.end(rid, 1, hop, ending=Ending.ERROR, latency=1_000)
                attempts += [(a, hop + 1) for a in of(again, Attempt)]
            else:
                d.end(rid, attempt.backend, hop, latency=40_000)
    assert 2 <= tries[1] < 0.1 * sum(tries.values())


def test_an_error_that_is_the_requests_own_fault_blames_no_backend() -> None:
    """A client's bad requests, each told so by a backend, would have all of them left alone."""
    d = Drive(backends=4)
    for n in range(8):
        rid, actions = d.ask(f"c{n}")
        for attempt in of(actions, Attempt):
            d.end(rid, attempt.backend, ending=Ending.ERROR, latency=1_000, over=True)
    assert all(b.failures == 0 and b.ejected_until == 0 for b in d.gw.context.backends.values())


def test_backends_that_left_are_forgotten_once_nothing_is_out_there() -> None:
    d = Drive(backends=2)
    rid, actions = d.ask()
    [attempt] = of(actions, Attempt)
    d.send(Backends(ListForm.FULL, tuple(Entry(k) for k in range(3, 5))))
    assert set(d.gw.context.backends) == {attempt.backend, 3, 4}  # its end is still to come
    d.end(rid, attempt.backend)
    for k in range(100):
        d.send(Backends(ListForm.DELTA, (Entry(10 + k), Entry(9 + k, state=State.GONE))))
    assert set(d.gw.context.backends) == {3, 4, 109}


def test_odd_deadlines_leave_nothing_behind() -> None:
    d = Drive()
    for k in range(2_000):
        d.request(f"c{k % 5}", patience=k * 1_000_000 % 3_600_000_000)
    assert len(d.gw.admission.wait_counts) <= 66


def test_attempts_stuck_at_silent_backends_take_no_room_from_the_others() -> None:
    """A few lost answers filled the room for all backends together, and half of the requests were refused."""
    d = Drive(backends=5)
    d.gw.health.latency = d.gw.health.baseline = 30_000.0
    d.gw.limits.total.size = 4.0
    for b in d.gw.context.backends.values():
        b.limit.size = 0.8
    for k in (1, 2):
        b = d.gw.context.backends[k]
        b.in_flight[("stuck", k)] = 1.0
        b.in_flight[("stuck too", k)] = 1.0
        b.answered_at = d.now - 900_000  # far longer than a unit takes
    _, actions = d.ask("a")
    [attempt] = of(actions, Attempt)
    assert attempt.backend in (3, 4, 5)


def lost(d: Drive, after: int) -> tuple[str, int]:
    """An attempt that is never answered, at its first check that late."""
    rid, actions = d.ask("a")
    [attempt] = of(actions, Attempt)
    wake = next(w for w in of(actions, Wake) if w.token)
    d.tick(after)
    again = d.send(Timer(wake.token))
    assert not of(again, Cancel)
    return rid, attempt.backend


def test_a_lost_attempt_that_is_too_late_to_move_frees_its_place() -> None:
    """With limits under one, as many gateways have, it would block its backend to the client's deadline."""
    d = Drive(backends=1)
    b = d.gw.context.backends[1]
    d.gw.health.latency = d.gw.health.baseline = b.latency = 30_000.0
    b.latency_at = d.now
    rid, _ = lost(d, 1_500_000)  # past the aim of a second
    assert not b.in_flight and 30_000 < b.latency < 2_000_000
    d.tick(1_100_000)  # it was silent, and was left alone for a while
    assert of(d.ask("b")[1], Attempt)
    b.in_flight.clear()
    known = b.latency
    d.tick(400_000)
    d.end(rid, 1, ending=Ending.TIMEOUT, latency=3_000_000)
    assert b.latency == known  # what it costs was learned when it was found lost
    d.end("r2", 1)
    assert not d.gw.context.pending


def test_one_lost_answer_of_a_backend_that_answers_others_is_tried_elsewhere() -> None:
    d = Drive(backends=2)
    d.gw.health.latency = d.gw.health.baseline = 30_000.0
    rid, actions = d.ask("a")
    [attempt] = of(actions, Attempt)
    b = d.gw.context.backends[attempt.backend]
    wake = next(w for w in of(actions, Wake) if w.token)
    d.tick(600_000)
    b.latency, b.latency_at, b.answered_at = 30_000.0, d.now, d.now - 10_000  # it has just answered another
    actions = d.send(Timer(wake.token))
    assert of(actions, Cancel) == [Cancel(rid, 0)] and b.failures == 0
