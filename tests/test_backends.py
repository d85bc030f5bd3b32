"""Backends: selection, concurrency limits, ejection, warm-up, drains."""

from oakvale.interface import Attempt, Backends, Cancel, Charge, Ending, Entry, ListForm, Refuse, State, Timer, Wake
from tests.helpers import GatewayHarness, of


def test_slow_answers_reduce_concurrency_limit() -> None:
    """If all backends slow down, less must be sent on, or every answer would be late."""
    harness = GatewayHarness(backends=1, may_count=False)
    backend = harness.gateway.context.backends[1]
    backend.limit.size = before = 10.0
    for k in range(30):
        request_id, actions = harness.request(customer=f"c{k}")
        if of(actions, Attempt):
            harness.tick(700_000)
            harness.end(request_id, 1, latency=700_000)
    assert backend.limit.size < before / 2


def test_overloaded_backend_limit_falls_before_aim_is_missed() -> None:
    """Overloaded backends recover slowly, so limits follow the baseline latency, not only the aim."""
    harness = GatewayHarness(backends=1, may_count=False)
    backend = harness.gateway.context.backends[1]
    for latency in [50_000] * 20 + [200_000] * 30:  # both well below the aim of one second
        request_id, actions = harness.request(customer=f"c{harness.request_count}")
        if of(actions, Attempt):
            harness.now += latency
            harness.end(request_id, 1, latency=latency)
        if latency == 50_000:
            grown = backend.limit.size = max(backend.limit.size, 10.0)
    assert backend.limit.size < grown / 2


def test_rejecting_backend_is_ejected() -> None:
    """Quick refusals make a full backend look idle; without ejection it would draw all traffic."""
    harness = GatewayHarness(backends=2, may_count=False)
    request_id, actions = harness.request()
    [first] = of(actions, Attempt)
    [again] = of(harness.end(request_id, first.backend, ending=Ending.FULL), Attempt)
    assert again.backend != first.backend
    for k in range(5):
        _, actions = harness.request(customer=f"c{k}")
        assert all(a.backend != first.backend for a in of(actions, Attempt))


def test_moot_attempt_is_no_backend_failure() -> None:
    harness = GatewayHarness(backends=1, may_count=False)
    request_id, actions = harness.request()
    harness.end(request_id, 1, ending=Ending.MOOT)
    assert not harness.gateway.context.backends[1].failures


def test_refusal_for_lack_of_capacity_counts_as_overload() -> None:
    harness = GatewayHarness(backends=1)
    while of(harness.ask(customer=f"c{harness.request_count}")[1], Attempt):
        pass
    harness.now += 100_000
    for token in list(harness.gateway.attempts.timers):
        harness.send(Timer(token))
    assert harness.gateway.limits.overloaded()
    harness.now += 2_000_000
    harness.send(Timer(0))
    assert not harness.gateway.limits.overloaded()


def test_large_fleet_gateway_allows_concurrent_requests() -> None:
    """Limits divided over 300 gateways are below one per backend, and few answers raise them: the total limit must
    allow concurrent requests."""
    harness = GatewayHarness(backends=60, may_count=False, fleet=300)
    for k in range(25):
        request_id, actions = harness.request(customer=f"c{k}")
        [sent] = of(actions, Attempt)
        harness.now += 60_000
        harness.end(request_id, sent.backend, latency=60_000)
    concurrent_attempts = [of(harness.request(customer=f"t{k}")[1], Attempt) for k in range(3)]
    assert all(concurrent_attempts)


def test_paused_gateway_learns_nothing_from_late_events() -> None:
    """After a pause of the process, answers look slow, calls unanswered and backends stalled; none must count."""
    harness = GatewayHarness(backends=4)
    sent = [
        (request_id, of(actions, Attempt)[0])
        for request_id, actions in (harness.ask(customer=f"c{k}") for k in range(3))
    ]
    known, call_share = harness.gateway.health.latency, harness.gateway.counter.share
    _, counter_call_actions = harness.request(customer="w")
    harness.now += 2_000_000  # paused: no timer in between
    harness.count(counter_call_actions, Ending.TIMEOUT)
    for token in list(harness.gateway.attempts.timers):
        assert not of(harness.send(Timer(token)), Cancel)
    for request_id, a in sent:
        harness.end(request_id, a.backend, latency=2_000_000)
    assert (harness.gateway.health.latency, harness.gateway.counter.share) == (known, call_share)
    assert not any(backend.failures or backend.latency for backend in harness.gateway.context.backends.values())


def test_request_too_late_to_answer_makes_no_call_or_attempt() -> None:
    harness = GatewayHarness(backends=4)
    for k in range(20):  # first tries wait three seconds, answers take 0.1 s
        request_id, actions = harness.ask(customer=f"c{k}")
        harness.tick(100_000)
        harness.end(request_id, of(actions, Attempt)[0].backend)
    _, repeat = harness.request(customer="r", patience=2_400_000)  # what is left of four seconds
    assert of(repeat, Refuse) and not of(repeat, Charge) and not of(repeat, Attempt)
    harness.now += 1_500_000  # a pause; the requests arrived early and late in it
    _, early = harness.request(customer="e", patience=1_600_000)
    _, late = harness.request(customer="l", patience=2_800_000)
    assert of(early, Refuse) and not of(early, Charge)
    assert of(late, Charge)


def test_total_limit_is_constant_without_baseline() -> None:
    """Without a baseline, all gateways together would overload the backends at the start."""
    harness = GatewayHarness(backends=40, may_count=False, fleet=200)
    start = harness.gateway.limits.total.size
    for k in range(10):
        request_id, actions = harness.request(customer=f"c{k}")
        harness.now += 100_000
        harness.end(request_id, of(actions, Attempt)[0].backend)
    assert harness.gateway.limits.total.size == start


def test_backend_with_quick_errors_gets_few_attempts() -> None:
    """Its errors are quicker than any answer, so it looks idle and would be tried first."""
    harness = GatewayHarness(backends=4)
    tries = {1: 0, 2: 0, 3: 0, 4: 0}
    for index in range(400):
        harness.now += 10_000
        request_id, actions = harness.ask("c%d" % (index % 50))  # noqa: UP031
        attempts = [(a, hop) for hop, a in enumerate(of(actions, Attempt))]
        for attempt, hop in attempts:
            tries[attempt.backend] += 1
            harness.now += 1_000
            if attempt.backend == 1 and tries[1] % 3:
                again = harness.end(request_id, 1, hop, ending=Ending.ERROR, latency=1_000)
                attempts += [(a, hop + 1) for a in of(again, Attempt)]
            else:
                harness.end(request_id, attempt.backend, hop, latency=40_000)
    assert 2 <= tries[1] < 0.1 * sum(tries.values())


def test_final_error_of_request_ejects_no_backend() -> None:
    """Invalid requests of one client must not eject the backends that reject them."""
    harness = GatewayHarness(backends=4)
    for index in range(8):
        request_id, actions = harness.ask(f"c{index}")
        for attempt in of(actions, Attempt):
            harness.end(request_id, attempt.backend, ending=Ending.ERROR, latency=1_000, over=True)
    assert all(
        backend.failures == 0 and backend.ejected_until == 0 for backend in harness.gateway.context.backends.values()
    )


def test_unlisted_backend_is_dropped_after_its_last_attempt() -> None:
    harness = GatewayHarness(backends=2)
    request_id, actions = harness.ask()
    [attempt] = of(actions, Attempt)
    harness.send(Backends(ListForm.FULL, tuple(Entry(k) for k in range(3, 5))))
    assert set(harness.gateway.context.backends) == {attempt.backend, 3, 4}  # its attempt has not ended yet
    harness.end(request_id, attempt.backend)
    for k in range(100):
        harness.send(Backends(ListForm.DELTA, (Entry(10 + k), Entry(9 + k, state=State.GONE))))
    assert set(harness.gateway.context.backends) == {3, 4, 109}


def test_varied_deadlines_use_bounded_memory() -> None:
    harness = GatewayHarness()
    for k in range(2_000):
        harness.request(f"c{k % 5}", patience=k * 1_000_000 % 3_600_000_000)
    assert len(harness.gateway.admission.wait_counts) <= 66


def test_attempts_at_stalled_backends_leave_total_limit_free() -> None:
    """Attempts lost at stalled backends must not use up the total limit."""
    harness = GatewayHarness(backends=5)
    harness.gateway.health.latency = harness.gateway.health.baseline = 30_000.0
    harness.gateway.limits.total.size = 4.0
    for backend in harness.gateway.context.backends.values():
        backend.limit.size = 0.8
    request_id, _ = harness.request("b")
    unanswered = harness.gateway.context.pending.pop(request_id)
    for k in (1, 2):
        backend = harness.gateway.context.backends[k]
        backend.in_flight = {("stuck", k): unanswered, ("stuck too", k): unanswered}
        backend.answered_at = harness.now - 900_000  # much longer than a unit takes
    _, actions = harness.ask("a")
    [attempt] = of(actions, Attempt)
    assert attempt.backend in (3, 4, 5)


def send_lost_attempt(harness: GatewayHarness, after: int) -> tuple[str, int]:
    """Sends an attempt that is never answered and runs its first progress check after `after` microseconds."""
    request_id, actions = harness.ask("a")
    [attempt] = of(actions, Attempt)
    wake = next(w for w in of(actions, Wake) if w.token)
    harness.tick(after)
    again = harness.send(Timer(wake.token))
    assert not of(again, Cancel)
    return request_id, attempt.backend


def test_lost_attempt_too_late_to_retry_frees_its_slot() -> None:
    """With limits below one it would block its backend until the deadline of its client."""
    harness = GatewayHarness(backends=1)
    backend = harness.gateway.context.backends[1]
    harness.gateway.health.latency = harness.gateway.health.baseline = backend.latency = 30_000.0
    backend.latency_at = harness.now
    request_id, _ = send_lost_attempt(harness, 1_500_000)  # past the aim of a second
    assert not backend.in_flight and 30_000 < backend.latency < 2_000_000
    harness.tick(1_100_000)  # past its ejection
    assert of(harness.ask("b")[1], Attempt)
    backend.in_flight.clear()
    known = backend.latency
    harness.tick(400_000)
    harness.end(request_id, 1, ending=Ending.TIMEOUT, latency=3_000_000)
    assert backend.latency == known  # its latency was sampled when it was found lost
    harness.end("r2", 1)
    assert not harness.gateway.context.pending


def test_lost_attempt_at_responding_backend_is_cancelled() -> None:
    harness = GatewayHarness(backends=2)
    harness.gateway.health.latency = harness.gateway.health.baseline = 30_000.0
    request_id, actions = harness.ask("a")
    [attempt] = of(actions, Attempt)
    backend = harness.gateway.context.backends[attempt.backend]
    wake = next(w for w in of(actions, Wake) if w.token)
    harness.tick(600_000)
    backend.latency, backend.latency_at, backend.answered_at = (
        30_000.0,
        harness.now,
        harness.now - 10_000,
    )  # it has just answered another request
    actions = harness.send(Timer(wake.token))
    assert of(actions, Cancel) == [Cancel(request_id, 0)] and backend.failures == 0
