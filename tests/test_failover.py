"""Failover chains and the spill controller, mostly in simulated time (`failover_simulation`)."""

from __future__ import annotations

import random
from collections import Counter
from itertools import pairwise
from pathlib import Path
from typing import Any

import cbor2
import pytest

from oakvale import cli
from oakvale.config.chains import ChainSettings, load
from oakvale.config.settings import decode
from oakvale.config.toml_table import BadFile
from oakvale.controlplane.failover_planning import FailoverPlanner
from oakvale.controlplane.replicated_state import ReplicatedState
from oakvale.failover import report
from oakvale.failover.chains import Chains, Load, pack, plan_chains, unpack
from oakvale.failover.evacuation import MIN_EVACUATION_US, Evacuation, EvacuationState
from oakvale.failover.failure_detector import FailureDetector
from oakvale.failover.places import build_hierarchy
from oakvale.failover.spill import AllowedZones, SpillController, SpillRejection, SpillRequest
from oakvale.failover.spill_limit import SpillLimit
from oakvale.transport import status_service
from tests.failover_simulation import DEADLINE, MS, SECOND, TARGET, WORK, FailoverSimulation, Request

ZONES = {"a": "r", "b": "r", "c": "r"}
SLOTS = {"a": 3, "b": 3, "c": 3}


def simulation(seed: int = 1, load: float = 0.5, **more: float) -> FailoverSimulation:
    return FailoverSimulation(seed, ZONES, SLOTS, load, **more)  # type: ignore[arg-type]


def evacuated_at(sim: FailoverSimulation, name: str) -> list[int]:
    return [at for at, state in sim.state_changes[name] if state is EvacuationState.EVACUATED]


def results(sim: FailoverSimulation, since: int = 0) -> Counter[str]:
    return Counter(r.results[0] for r in sim.requests if r.results and r.arrived_at >= since)


# ---- the plan


def test_a_plan_fills_the_nearest_zones_first_within_limits_and_refuses_the_lowest_rank() -> None:
    """Random sites: all work is placed or refused once, no zone exceeds its limit, no load goes farther or is refused
    while a nearer zone has free slots, and no rank is refused while a lower one is served."""
    for seed in range(300):
        rng = random.Random(seed)
        zones = {f"z{n}": f"r{rng.randrange(3)}" for n in range(rng.randrange(1, 6))}
        tree = build_hierarchy(zones, {"r0": "north", "r1": "north"})
        capacity = {(zone, "s"): rng.choice([0.0, 2.0, 5.5]) for zone in zones}
        loads = [Load(zone, "s", rank, rng.uniform(0, 3)) for zone in zones for rank in (0, 1, 2)]
        plan = plan_chains(1, tree, capacity, loads, ["g1", "g2"])
        for failed in [zones for zones in tree.locations().values()] + [frozenset(rng.sample(sorted(zones), 1))]:
            chains, limits = plan.chains_for(failed, "s"), plan.limits.get("s", {})
            used = Counter[str]()
            for chain in chains:
                asked = sum(x.work for x in loads if x.home == chain.home)
                assert sum(s.slots for s in chain.steps) + sum(chain.refused_slots.values()) == pytest.approx(asked)
                used.update({s.zone: s.slots for s in chain.steps})
            room = {zone: limit - used[zone] for zone, limit in limits.items() if zone not in failed}
            assert set(used) <= set(room) and all(left > -1e-9 for left in room.values())
            for chain in chains:
                far = max((tree.distance(chain.home, s.zone) for s in chain.steps), default=-1)
                free = [zone for zone, left in room.items() if left > 1e-6]
                assert not any(tree.distance(chain.home, zone) < far for zone in free)
                assert not (chain.refused_slots and free)
            refused = {rank for chain in chains for rank in chain.refused_slots}
            assert not refused or all(
                rank in refused
                for rank in range(min(refused), 3)
                if any(x.rank == rank and x.work > 1e-9 for x in loads)
            )


def test_shares_of_gateways_and_holder_stay_within_the_limit_with_mixed_versions() -> None:
    """Gateways use different versions; each may use the larger of its two shares."""
    tree, roster = build_hierarchy(ZONES, {}), [f"g{n}" for n in range(4)]
    old = plan_chains(1, tree, {("a", "s"): 10.0}, [], roster[:2])
    new = plan_chains(2, tree, {("a", "s"): 9.0}, [], roster, before=[old])
    limit = new.limits["s"]["a"]
    for isolated in range(len(new.possible_roster) + 1):
        holder_share = max(0.0, new.holder_share["s"]["a"] - isolated * new.max_autonomous_share["s"]["a"])
        worst = (
            sorted(
                [
                    max(
                        old.autonomous_share["s"]["a"] if g in old.roster else 0,
                        new.autonomous_share["s"]["a"] if g in new.roster else 0,
                    )
                    for g in new.possible_roster
                ]
            )[-isolated:]
            if isolated
            else []
        )
        reserved = sum(
            max(c.reserved_share["s"]["a"] for c in (old, new) if g in c.roster) for g in new.possible_roster
        )
        # the two gateways of the old roster have half of the old limit each: one is covered, both only partly
        assert holder_share + sum(worst) + reserved <= limit + (
            1e-9 if isolated < 2 else old.limits["s"]["a"] - holder_share
        )
    assert unpack(cbor2.loads(cbor2.dumps(pack(new)))).roster == new.roster


def test_report_of_the_command_line() -> None:
    loads = [Load(zone, "s", rank, 1.0) for zone in ZONES for rank in (0, 2)]
    plan = unpack(pack(plan_chains(3, build_hierarchy(ZONES, {}), {(zone, "s"): 3.0 for zone in ZONES}, loads, ["g"])))
    assert report.check(plan)[0] == "a and b out: s lacks 3.0 of 6.0 slots (50 %)"
    assert report.explain(plan, "b", "s")[0] == "b (b) out, s, version 3"
    assert "nothing is left" in report.explain(plan, "r", "s")[-1]
    assert any("fails: " in line for line in report.show(plan))
    with pytest.raises(report.UnknownName, match="there are a, b, c, r"):
        report.explain(plan, "x", "s")


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("headroom = 1.5", "headroom: Input should be less than or equal to 1"),
        ("over = 1", "over: Extra inputs"),
        ('[above]\nr = "s"\ns = "r"', "is its own ancestor"),
        ("[above", "not TOML"),
        ('headroom = "x"', "headroom: "),
    ],
)
def test_errors_of_the_chains_file_name_the_field(tmp_path: Path, text: str, why: str) -> None:
    file = tmp_path / "chains.toml"
    file.write_text(text)
    with pytest.raises(BadFile, match=why):
        load(str(file))


# ---- failure detection


def test_a_location_that_one_gateway_cannot_reach_has_not_failed_and_isolated_gateways_do_not_count() -> None:
    detector, usual = FailureDetector(), 100 * MS
    for at in range(0, 3_000, 50):
        now = SECOND + at * MS
        detector.record_sent("p", "far", "b", now)  # gets responses only from q
        detector.record_answer("q", "far", "b", now)
        detector.record_sent("p", "near", "a", now)
        detector.record_answer("p", "near", "a", now)
        for alone in ("x1", "x2", "x3"):  # get no response from any location
            detector.record_sent("q", alone, "c", now)
            detector.record_sent("p", alone, "c", now)
        assert not detector.has_failed("p", usual, (), now) and not detector.has_failed("q", usual, (), now)
    for at in range(3_000, 3_700, 50):
        now = SECOND + at * MS
        for gateway, zone in (("far", "b"), ("near", "a")):
            detector.record_sent("p", gateway, zone, now)
            detector.record_answer("q", gateway, zone, now)
    assert detector.has_failed("p", usual, (), now)


def test_an_observer_of_another_kind_counts_as_the_second_one() -> None:
    detector = FailureDetector()
    for at in range(3):
        detector.record_sent("p", "g", "a", SECOND + at)
        detector.record_answer("q", "g", "a", SECOND + at + 1)
    assert not detector.has_failed("p", 100 * MS, (), 2 * SECOND)
    assert detector.has_failed("p", 100 * MS, ("beats",), 2 * SECOND)


# ---- load that moves


def test_the_load_of_a_failed_location_moves_within_the_limits_of_the_others() -> None:
    detection_times = []
    for seed in range(10):
        sim = simulation(seed).run(3)
        sim.fail("b")
        at = sim.now
        sim.run(6).check()
        detection_times.append(evacuated_at(sim, "b")[0] - at)
        assert results(sim, at + 3 * SECOND)["served"] > 0.85 * sum(results(sim, at + 3 * SECOND).values())
    assert sorted(detection_times)[5] < 3 * SECOND


def test_a_second_location_fails_while_it_takes_over() -> None:
    sim = simulation(3, 0.25).run(3)
    sim.fail("b")
    sim.run(2.2)
    sim.fail("c")
    sim.run(6).check()
    assert evacuated_at(sim, "b") and evacuated_at(sim, "c")
    late = results(sim, sim.now - 2 * SECOND - DEADLINE)
    assert late["served"] > 0.75 * sum(late.values())  # only a is left


def test_both_sides_of_a_network_partition_continue_with_what_they_reach() -> None:
    """Each side considers the other failed; neither refuses everything, and all locations return."""
    sim = simulation(4).run(3)
    sim.disconnect("b")
    disconnected_at = sim.now
    sim.run(6)
    near = [
        r for r in sim.requests if r.gateway.zone == "b" and r.arrived_at > disconnected_at + 3 * SECOND and r.results
    ]
    assert sum(r.results == ["served"] for r in near) > 0.6 * len(near) > 10
    assert evacuated_at(sim, "b") and not evacuated_at(sim, "a") and not evacuated_at(sim, "c")
    sim.reconnect()
    sim.run(8).check()
    assert sim.holder is not None and not sim.holder.closed_zones("")


def test_an_announced_capacity_of_twice_the_real_one_is_corrected() -> None:
    """The limits are twice too high: the overload is detected and the limits are lowered."""
    sim = simulation(5, 0.75, announced=2.0).run(3)
    sim.fail("b")
    sim.run(9).check()
    assert sim.holder is not None
    factors = [sim.holder._limiters[name].capacity_factor for name in "ac"]
    assert max(factors) < 0.85
    began = [at for name in "ac" for at in sim.locations[name].started_at if at > sim.now - 3 * SECOND]
    assert len(began) > 0.8 * 6 * 3 * SECOND / WORK  # the real capacity is used
    queued = [len(sim.locations[name].queue) for name in "ac"]
    assert max(queued) <= 4 * 3


def test_a_location_that_fails_while_ramping_up_stays_out_longer_each_time() -> None:
    """Guards against oscillation: the evacuation times double."""
    sim = simulation(6).run(3)
    for _ in range(4):
        sim.fail("b")
        sim.run(4)
        sim.heal("b")
        for _ in range(400):
            if sim.holder is not None and sim.holder.evacuations["b"].state in (
                EvacuationState.RAMPING_UP,
                EvacuationState.IN_SERVICE,
            ):
                break
            sim.run(0.1)
        sim.run(0.3)
    sim.check()
    changes = sim.state_changes["b"]
    came_back = [at for at, state in changes if state is EvacuationState.RAMPING_UP]
    failures = [
        next(at for at, state in changes if state is EvacuationState.EVACUATED and at > back) for back in came_back[:-1]
    ]
    durations = [
        next(at for at, state in changes if state is EvacuationState.PROBING and at > failed_at) - failed_at
        for failed_at in failures
    ]
    assert len(durations) >= 2 and all(later > 1.5 * earlier for earlier, later in pairwise(durations))
    assert not evacuated_at(sim, "a") and not evacuated_at(sim, "c")


def test_an_evacuation_ends_only_after_responses_and_forgives_failures_in_time() -> None:
    evacuation, states = Evacuation(), []
    evacuation.record_failure(0)
    for now, succeeded in (
        (MIN_EVACUATION_US - 1, None),
        (MIN_EVACUATION_US, None),
        (100 * SECOND, None),
        (100 * SECOND, False),
    ):
        evacuation.tick(True, now)
        if succeeded is not None:
            evacuation.record_result(succeeded, now)
        states.append(evacuation.state.value)
    assert states == ["out", "tried", "tried", "out"] and evacuation.recent_failures == 1  # no response, then a failure
    now = 200 * SECOND
    for _ in range(40):
        evacuation.tick(True, now)
        if evacuation.state is not EvacuationState.EVACUATED:
            evacuation.record_result(True, now)
        now += 300 * MS
    assert evacuation.state is EvacuationState.IN_SERVICE
    evacuation.tick(True, now + 61 * SECOND)
    assert evacuation.recent_failures == 0


def test_a_new_plan_version_during_an_evacuation_keeps_the_limits() -> None:
    sim = simulation(7, 0.7).run(3)
    sim.fail("b")
    sim.run(2)
    for _ in range(6):
        sim.publish_plan()
        sim.run(0.5)
    sim.check()
    spill = sim.holder
    assert spill is not None
    older = sim.versions[0][1]
    spill.set_chains(older)
    assert spill.chains.version > older.version  # a late, older version is ignored


def test_the_busiest_tenant_is_refused_before_others() -> None:
    """Its excess is refused; other tenants are hardly affected."""
    sim = simulation(8, 1.0, hot=0.8).run(3)
    sim.fail("b")
    at = sim.now
    sim.run(8).check()

    def served(which: list[Request]) -> float:
        return sum(r.results == ["served"] for r in which) / len(which)

    later = [r for r in sim.requests if r.arrived_at > at + 3 * SECOND and r.results]
    assert served([r for r in later if r.tenant != "hot"]) > 0.9
    assert served([r for r in later if r.tenant == "hot"]) < 0.85


def test_the_lowest_rank_is_refused_first() -> None:
    sim = simulation(9, 0.9).run(3)
    sim.fail("b")
    at = sim.now
    sim.run(8).check()
    refused = Counter(r.rank for r in sim.requests if r.arrived_at > at + 2 * SECOND and r.results == ["refused"])
    assert refused[2] > 10 and refused[0] * 10 <= refused[2]


def test_unsafe_requests_in_flight_fail_at_once_and_are_not_repeated() -> None:
    sim = simulation(10, 0.5, unsafe=1.0).run(3)
    sim.fail("b")
    failed = sim.now
    lost = [r for r in sim.requests if r.at == "b" and not r.results]
    sim.run(6).check()
    sim.publish_plan()
    assert lost and all(
        r.results == ["502"] and r.starts <= 1 and r.hops == 1 for r in lost if r.arrived_at > failed - SECOND
    )


def test_gateways_without_a_board_holder_stay_within_their_shares() -> None:
    """They know of the failure from the last holder, and nothing of each other."""
    sim = simulation(11, 0.9).run(3)
    sim.fail("b")
    sim.run(2.5)
    assert evacuated_at(sim, "b")
    sim.holder = None
    at = sim.now
    sim.run(1.9)
    admitted = [x for location in sim.locations.values() for x in location.admitted if x[0] > at]
    assert admitted and all(who != "holder" for _, _, who in admitted)
    sim.elect()
    sim.run(4).check()


def test_gateways_with_an_old_plan_version_stay_within_the_limit() -> None:
    """Some use the previous version; the holder counts them with their larger share."""
    sim = simulation(12, 0.8).run(3)
    sim.publish_plan(within=20 * SECOND)
    sim.fail("c")
    sim.run(3)
    sim.disconnect("a")
    sim.holder_zone = "b"
    sim.run(5).check()
    assert len({g.spill.chains.version for g in sim.gateways}) > 1


# ---- limits


def test_a_limiter_admits_no_more_than_its_limit_and_queue_in_any_interval() -> None:
    for seed in range(50):
        rng, now = random.Random(seed), 0
        limiter = SpillLimit(0, limit=rng.uniform(0.5, 20))
        admitted: list[tuple[int, float]] = []
        for _ in range(400):
            now += int(rng.expovariate(40) * SECOND)
            cost, rank_position = rng.uniform(0.05, 0.4), rng.choice([0.0, 0.5, 1.0])
            if limiter.admits(0.5, rank_position, now):
                limiter.consume(cost)
                admitted.append((now, cost))
            else:
                assert limiter.wait_us(0.5, rank_position) > 0
        for n, (first, _) in enumerate(admitted):  # every interval
            total = 0.0
            for at, cost in admitted[n:]:
                total += cost
                assert total <= limiter.limit * ((at - first) / SECOND + 0.5 + 0.1) + 0.4 + 1e-9


def test_a_location_that_ramps_up_gets_its_share_before_others() -> None:
    """Next to warm locations it would otherwise get no load and never return."""
    chains = plan_chains(1, build_hierarchy(ZONES, {}), {(zone, "s"): 3.0 for zone in ZONES}, [], ["g"])
    spill, request = (
        SpillController("s", random.Random(1).random, unreachable_shares=lambda may: 0),
        SpillRequest("g", "a", safe=True, cost=0.2, target_us=TARGET),
    )
    spill.set_chains(chains)
    spill.evacuations["b"] = Evacuation(EvacuationState.RAMPING_UP, state_since=SECOND)
    decisions = Counter(spill.admit(request, ZONES, WORK, None, SECOND + at * 20 * MS) for at in range(100))
    assert decisions[AllowedZones(frozenset("b"))] == 100  # nothing was sent there yet
    spill.record_sent("b", request, 1, 9 * SECOND, 3 * SECOND)
    spill.record_sent("b", request, 2, 9 * SECOND, 3 * SECOND)
    assert spill.admit(request, ZONES, WORK, None, 3 * SECOND + 100 * MS) == AllowedZones(frozenset("ac"))


def test_without_failures_all_zones_are_allowed_and_the_last_location_is_never_closed() -> None:
    spill = SpillController("s", random.Random(1).random)
    request = SpillRequest("g", "a", cost=0.1, target_us=TARGET)
    assert spill.admit(request, ["a"], WORK, None, SECOND) == AllowedZones(None)
    for at in range(40):
        spill.record_sent("a", request, at + 1, 90 * SECOND, SECOND + at * 50 * MS)
        assert not isinstance(spill.admit(request, ["a"], WORK, None, SECOND + at * 50 * MS), SpillRejection)
    assert not spill.closed_zones("") and spill.chains == Chains()


# ---- random schedules


@pytest.mark.parametrize("block", range(20))
def test_random_schedules_of_failures(block: int) -> None:
    """Limits hold, no unsafe request starts twice, no request is lost, and states do not oscillate."""
    for seed in range(100 * block, 100 * block + 100):
        rng = random.Random(seed)
        names = "abcd"[: rng.choice([2, 3, 3, 4])]
        zones = {name: rng.choice("rs") for name in names}
        sim = FailoverSimulation(
            seed,
            zones,
            {name: rng.choice([1, 2]) for name in names},
            rng.choice([0.3, 0.6, 0.9]),
            gateways=rng.choice([1, 2]),
            announced=rng.choice([1.0, 1.0, 2.0]),
            hot=rng.choice([0.0, 0.7]),
        )
        sim.run(1)
        for _ in range(rng.randrange(1, 5)):
            name = rng.choice(names)
            kind = rng.choice(["fail", "fail", "fail", "heal", "cut", "join", "renew", "holder", "no holder", "missed"])
            if kind == "fail":
                sim.fail(name)
            elif kind == "heal":
                sim.heal(name)
            elif kind == "cut":
                sim.disconnect(name)
            elif kind == "join":
                sim.reconnect()
            elif kind == "renew":
                sim.publish_plan()
            elif kind == "holder":
                sim.elect(name)
            elif kind == "no holder":
                sim.holder = None
            else:
                sim.missing_observers = {name: {"beats"}}
            sim.run(rng.uniform(0.2, 1.5))
        sim.run(1).check()
        for changes in sim.state_changes.values():
            evacuations = [at for at, state in changes if state is EvacuationState.EVACUATED]
            intervals = [later - earlier for earlier, later in pairwise(evacuations)]
            assert all(interval >= SECOND for interval in intervals)


# ---- planning on the primary


class FakeHeartbeats:
    quiet: list[str] = []

    def silent_for(self, span: int) -> list[str]:
        return self.quiet


class FakeCore:
    """A primary whose changes take effect at once; also its own event loop and transport."""

    def __init__(self) -> None:
        self.now, self.replicated_state, self.handlers, self.loop = 0, ReplicatedState(), dict[str, Any](), self
        self.on_serving_change: list[Any] = []
        self.due: list[tuple[int, Any]] = []
        self.changes: list[dict[str, Any]] = []

    def at(self, due: int, call: Any) -> None:
        self.due.append((due, call))

    def serving(self) -> bool:
        return True

    def change(self, changes: dict[str, Any], then: Any) -> None:
        self.changes.append(changes)
        self.replicated_state.start(1)
        self.replicated_state.propose(changes, set(), then)
        self.replicated_state.synced(("x", "y"), (9, 9))

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            self.now += SECOND
            due, self.due = self.due, []
            for _, call in due:
                call(None)


def planning(given: ChainSettings | None) -> tuple[FakeCore, FakeHeartbeats]:
    core, heartbeats = FakeCore(), FakeHeartbeats()
    backends = {
        f"backend/{zone}{n}": {"svc": "s", "az": zone, "state": "ready", "slots": 2.0, "calls": 1}
        for zone in ZONES
        for n in range(2)
    }
    core.change(backends | {"gate/g": {"addr": "x:1", "az": "a", "life": "1"}}, None)
    settings = decode({"self": {"node": "n", "ip": "1.1.1.1"}, "network": {"port-range": [1, 9], "azs": ZONES}})
    fake: Any = core
    FailoverPlanner(fake, heartbeats, fake, fake, settings, given)  # type: ignore[arg-type]
    return core, heartbeats


def test_the_plan_follows_significant_changes_of_measured_capacity_only() -> None:
    core, heartbeats = planning(ChainSettings())
    core.run(6)
    first = core.replicated_state.table.get("chains")
    assert first["version"] == 1 and first["limits"]["s"] == {zone: 4.0 for zone in "abc"}
    for _ in range(10):
        core.handlers["flows"](None, ["s", {"a": 4.2, "b": 2.0, "c": 4.0}, [["a", 0, 1.5], ["b", 2, 1.2]]], None)
        core.run(2)
    second = core.replicated_state.table.get("chains")
    assert second["version"] == 2 and second["limits"]["s"]["b"] == 2.0
    core.handlers["flows"](None, ["s", {"a": 4.6, "b": 2.0, "c": 4.0}, [["a", 0, 1.9], ["b", 2, 1.0]]], None)
    core.run(10)
    assert core.replicated_state.table.get("chains")["version"] == 2


def test_locations_without_any_heartbeat_are_published_unless_they_are_the_majority() -> None:
    core, heartbeats = planning(ChainSettings())
    heartbeats.quiet = ["b0"]
    core.run(2)
    assert core.replicated_state.table.get("quiet") is None
    heartbeats.quiet = ["b0", "b1"]
    core.run(1)
    assert core.replicated_state.table.get("quiet") == [["s", "b"]]
    heartbeats.quiet = [f"{zone}{n}" for zone in "abc" for n in range(2)]
    core.run(1)
    assert core.replicated_state.table.get("quiet") == []


def test_without_a_chains_file_only_leftovers_of_an_earlier_one_are_deleted() -> None:
    core, _ = planning(None)
    core.run(9)
    assert len(core.changes) == 1 and "flows" not in core.handlers
    core.replicated_state.apply([("chains", (2, 1), {"version": 4})])
    core.on_serving_change[0](True)
    assert core.changes[1:] == [{"chains": None}]


def test_chain_commands_query_a_process_and_check_exits_with_3_for_uncovered_failures(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    loads = [Load("a", "s", 0, 5.0)]
    held = pack(plan_chains(3, build_hierarchy(ZONES, {}), {(zone, "s"): 3.0 for zone in ZONES}, loads, ["g"]))
    answers: list[Any] = [held, held, held, None]
    monkeypatch.setattr(status_service, "query_status", lambda address, timeout, kind: {"held": answers.pop(0)})
    exit_codes = []
    for words in (["check"], ["explain", "b", "s"], ["explain", "b", "x"], ["show"]):
        try:
            cli.main(["chain", *words, "--at", "127.0.0.1:7"])
            exit_codes.append(0)
        except SystemExit as end:
            exit_codes.append(int(end.code or 0))
    assert exit_codes == [3, 0, 2, 1]
    output = capsys.readouterr()
    assert (
        "a and b out: s lacks 2.0 of 5.0 slots (40 %)" in output.out and "clients of a: a 3.0, then c 2.0" in output.out
    )
    assert "no service 'x'; there are s" in output.err and "holds no chains" in output.err
