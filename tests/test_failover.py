"""Chains, and load that moves along them: each test a hard case, most in simulated time (`failover_simulation`)."""

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
from oakvale.failover.chains import Chains, Load, pack, plan, unpack
from oakvale.failover.evacuation import HOLD, Evacuation, Flow
from oakvale.failover.failure_detector import FailureDetector
from oakvale.failover.places import hierarchy
from oakvale.failover.spill import Ask, SpillController, Wait, Way
from oakvale.failover.spill_limit import SpillLimit
from oakvale.transport import status_service
from tests.failover_simulation import AIM, DEADLINE, MS, SECOND, WORK, Basin, Request

ZONES = {"a": "r", "b": "r", "c": "r"}
SLOTS = {"a": 3, "b": 3, "c": 3}


def basin(seed: int = 1, load: float = 0.5, **more: float) -> Basin:
    return Basin(seed, ZONES, SLOTS, load, **more)  # type: ignore[arg-type]


def out(world: Basin, name: str) -> list[int]:
    return [at for at, flow in world.turns[name] if flow is Flow.OUT]


def how(world: Basin, since: int = 0) -> Counter[str]:
    return Counter(r.ends[0] for r in world.requests if r.ends and r.came >= since)


# ---- the plan


def test_a_plan_fills_the_nearest_first_never_past_a_limit_and_the_lowest_rank_is_left_over() -> None:
    """Drawn sites against what a plan must be, said plainly: all work is somewhere once, no place is past its limit,
    nobody goes farther or is refused while a nearer place has room, no rank is refused above one that is taken."""
    for seed in range(300):
        rng = random.Random(seed)
        zones = {f"z{n}": f"r{rng.randrange(3)}" for n in range(rng.randrange(1, 6))}
        tree = hierarchy(zones, {"r0": "north", "r1": "north"})
        capacity = {(zone, "s"): rng.choice([0.0, 2.0, 5.5]) for zone in zones}
        loads = [Load(zone, "s", rank, rng.uniform(0, 3)) for zone in zones for rank in (0, 1, 2)]
        made = plan(1, tree, capacity, loads, ["g1", "g2"])
        for failed in [zones for zones in tree.places().values()] + [frozenset(rng.sample(sorted(zones), 1))]:
            chains, limits = made.worked_out(failed, "s"), made.limits.get("s", {})
            used = Counter[str]()
            for chain in chains:
                asked = sum(x.work for x in loads if x.home == chain.home)
                assert sum(s.takes for s in chain.steps) + sum(chain.refused.values()) == pytest.approx(asked)
                used.update({s.parent: s.takes for s in chain.steps})
            room = {zone: limit - used[zone] for zone, limit in limits.items() if zone not in failed}
            assert set(used) <= set(room) and all(left > -1e-9 for left in room.values())
            for chain in chains:
                far = max((tree.distance(chain.home, s.parent) for s in chain.steps), default=-1)
                free = [zone for zone, left in room.items() if left > 1e-6]
                assert not any(tree.distance(chain.home, zone) < far for zone in free)
                assert not (chain.refused and free)
            refused = {rank for chain in chains for rank in chain.refused}
            assert not refused or all(
                rank in refused
                for rank in range(min(refused), 3)
                if any(x.rank == rank and x.work > 1e-9 for x in loads)
            )


def test_parts_of_gateways_and_the_keepers_rest_stay_under_the_limit_over_mixed_versions() -> None:
    """A gateway that goes by an old chain while others have the new: at worst each uses the larger part."""
    tree, roster = hierarchy(ZONES, {}), [f"g{n}" for n in range(4)]
    old = plan(1, tree, {("a", "s"): 10.0}, [], roster[:2])
    new = plan(2, tree, {("a", "s"): 9.0}, [], roster, before=[old])
    limit = new.limits["s"]["a"]
    for away in range(len(new.may) + 1):
        keeper = max(0.0, new.keeper["s"]["a"] - away * new.owed["s"]["a"])
        worst = (
            sorted(
                [
                    max(old.part["s"]["a"] if g in old.roster else 0, new.part["s"]["a"] if g in new.roster else 0)
                    for g in new.may
                ]
            )[-away:]
            if away
            else []
        )
        spare = sum(max(c.spare["s"]["a"] for c in (old, new) if g in c.roster) for g in new.may)
        # two of an old roster hold half each: one of them fits, and of both only so much is over as they were given
        assert keeper + sum(worst) + spare <= limit + (1e-9 if away < 2 else old.limits["s"]["a"] - keeper)
    assert unpack(cbor2.loads(cbor2.dumps(pack(new)))).roster == new.roster


def test_what_an_operator_is_told() -> None:
    loads = [Load(zone, "s", rank, 1.0) for zone in ZONES for rank in (0, 2)]
    made = unpack(pack(plan(3, hierarchy(ZONES, {}), {(zone, "s"): 3.0 for zone in ZONES}, loads, ["g"])))
    assert report.check(made)[0] == "a and b out: s lacks 3.0 of 6.0 slots (50 %)"
    assert report.explain(made, "b", "s")[0] == "b (b) out, s, version 3"
    assert "nothing is left" in report.explain(made, "r", "s")[-1]
    assert any("fails: " in line for line in report.show(made))
    with pytest.raises(report.Unknown, match="there are a, b, c, r"):
        report.explain(made, "x", "s")


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
def test_a_wrong_file_is_told_by_place_and_field(tmp_path: Path, text: str, why: str) -> None:
    file = tmp_path / "chains.toml"
    file.write_text(text)
    with pytest.raises(BadFile, match=why):
        load(str(file))


# ---- what is seen


def test_a_place_that_one_gateway_cannot_see_has_not_failed_and_one_cut_off_says_nothing() -> None:
    sight, usual = FailureDetector(), 100 * MS
    for at in range(0, 3_000, 50):
        now = SECOND + at * MS
        sight.sent("p", "far", "b", now)  # never answered, though q answers it
        sight.served("q", "far", "b", now)
        sight.sent("p", "near", "a", now)
        sight.served("p", "near", "a", now)
        for alone in ("x1", "x2", "x3"):  # nobody answers these
            sight.sent("q", alone, "c", now)
            sight.sent("p", alone, "c", now)
        assert not sight.failed("p", usual, (), now) and not sight.failed("q", usual, (), now)
    for at in range(3_000, 3_700, 50):
        now = SECOND + at * MS
        for gateway, zone in (("far", "b"), ("near", "a")):
            sight.sent("p", gateway, zone, now)
            sight.served("q", gateway, zone, now)
    assert sight.failed("p", usual, (), now)


def test_one_observer_of_another_kind_speaks_for_a_second() -> None:
    sight = FailureDetector()
    for at in range(3):
        sight.sent("p", "g", "a", SECOND + at)
        sight.served("q", "g", "a", SECOND + at + 1)
    assert not sight.failed("p", 100 * MS, (), 2 * SECOND)
    assert sight.failed("p", 100 * MS, ("beats",), 2 * SECOND)


# ---- moving


def test_a_place_goes_dark_and_its_load_settles_within_its_parents_limits() -> None:
    took = []
    for seed in range(10):
        world = basin(seed).run(3)
        world.fail("b")
        at = world.now
        world.run(6).judge()
        took.append(out(world, "b")[0] - at)
        assert how(world, at + 3 * SECOND)["served"] > 0.85 * sum(how(world, at + 3 * SECOND).values())
    assert sorted(took)[5] < 3 * SECOND


def test_the_parent_fails_while_it_takes_over() -> None:
    world = basin(3, 0.25).run(3)
    world.fail("b")
    world.run(2.2)
    world.fail("c")
    world.run(6).judge()
    assert out(world, "b") and out(world, "c")
    late = how(world, world.now - 2 * SECOND - DEADLINE)
    assert late["served"] > 0.75 * sum(late.values())  # what a holds: two failed within one take-over


def test_two_ends_of_a_cut_each_go_on_with_what_they_reach() -> None:
    """b believes that a and c failed, these believe it of b; neither sends everyone away, and all come back."""
    world = basin(4).run(3)
    world.cut("b")
    cut = world.now
    world.run(6)
    near = [r for r in world.requests if r.gateway.zone == "b" and r.came > cut + 3 * SECOND and r.ends]
    assert sum(r.ends == ["served"] for r in near) > 0.6 * len(near) > 10
    assert out(world, "b") and not out(world, "a") and not out(world, "c")
    world.join()
    world.run(8).judge()
    assert world.keeper is not None and not world.keeper.closed("")


def test_beats_tell_of_twice_the_slots_that_are_there() -> None:
    """The limit is twice what the parents hold: crowding is seen, and it is cut to what proves true."""
    world = basin(5, 0.75, said=2.0).run(3)
    world.fail("b")
    world.run(9).judge()
    assert world.keeper is not None
    holds = [world.keeper._weirs[name].hold for name in "ac"]
    assert max(holds) < 0.85
    began = [at for name in "ac" for at in world.places[name].began if at > world.now - 3 * SECOND]
    assert len(began) > 0.8 * 6 * 3 * SECOND / WORK  # and what is there is used
    queued = [len(world.places[name].queue) for name in "ac"]
    assert max(queued) <= 4 * 3


def test_a_place_that_fails_while_it_fills_is_left_out_longer_each_time_and_turns_seldom() -> None:
    """No oscillation: the state turns no oftener than the holds allow, and they double."""
    world = basin(6).run(3)
    for _ in range(4):
        world.fail("b")
        world.run(4)
        world.heal("b")
        for _ in range(400):
            if world.keeper is not None and world.keeper.falls["b"].flow in (Flow.FILLING, Flow.OPEN):
                break
            world.run(0.1)
        world.run(0.3)
    world.judge()
    turns = world.turns["b"]
    came_back = [at for at, flow in turns if flow is Flow.FILLING]
    failures = [next(at for at, flow in turns if flow is Flow.OUT and at > back) for back in came_back[:-1]]
    holds = [next(at for at, flow in turns if flow is Flow.TRIED and at > fell) - fell for fell in failures]
    assert len(holds) >= 2 and all(later > 1.5 * earlier for earlier, later in pairwise(holds))
    assert not out(world, "a") and not out(world, "c")


def test_a_fall_never_opens_without_answers_and_forgives_in_time() -> None:
    fall, flows = Evacuation(), []
    fall.failed(0)
    for now, ends in ((HOLD - 1, None), (HOLD, None), (100 * SECOND, None), (100 * SECOND, False)):
        fall.tick(True, now)
        if ends is not None:
            fall.ended(ends, now)
        flows.append(fall.flow.value)
    assert flows == ["out", "tried", "tried", "out"] and fall.strikes == 1  # nobody answered; then one was lost
    now = 200 * SECOND
    for _ in range(40):
        fall.tick(True, now)
        if fall.flow is not Flow.OUT:
            fall.ended(True, now)
        now += 300 * MS
    assert fall.flow is Flow.OPEN
    fall.tick(True, now + 61 * SECOND)
    assert fall.strikes == 0


def test_the_version_changes_in_the_middle_and_what_is_spent_stays_spent() -> None:
    world = basin(7, 0.7).run(3)
    world.fail("b")
    world.run(2)
    for _ in range(6):
        world.renew()
        world.run(0.5)
    world.judge()
    spill = world.keeper
    assert spill is not None
    older = world.versions[0][1]
    spill.show(older)
    assert spill.chains.version > older.version  # a late, older one changes nothing


def test_the_busiest_tenant_alone_is_more_than_the_parents_hold() -> None:
    """It is refused what is too much; the others are hardly touched."""
    world = basin(8, 1.0, hot=0.8).run(3)
    world.fail("b")
    at = world.now
    world.run(8).judge()

    def served(which: list[Request]) -> float:
        return sum(r.ends == ["served"] for r in which) / len(which)

    later = [r for r in world.requests if r.came > at + 3 * SECOND and r.ends]
    assert served([r for r in later if r.tenant != "hot"]) > 0.9
    assert served([r for r in later if r.tenant == "hot"]) < 0.85


def test_the_lowest_rank_is_refused_first() -> None:
    world = basin(9, 0.9).run(3)
    world.fail("b")
    at = world.now
    world.run(8).judge()
    refused = Counter(r.rank for r in world.requests if r.came > at + 2 * SECOND and r.ends == ["refused"])
    assert refused[2] > 10 and refused[0] * 10 <= refused[2]


def test_unsafe_requests_in_flight_end_at_once_and_begin_no_second_time() -> None:
    world = basin(10, 0.5, unsafe=1.0).run(3)
    world.fail("b")
    failed = world.now
    lost = [r for r in world.requests if r.at == "b" and not r.ends]
    world.run(6).judge()
    world.renew()
    assert lost and all(r.ends == ["502"] and r.runs <= 1 and r.hops == 1 for r in lost if r.came > failed - SECOND)


def test_gateways_without_a_keeper_keep_to_their_parts() -> None:
    """They know of the failure from the last keeper, and nothing of each other."""
    world = basin(11, 0.9).run(3)
    world.fail("b")
    world.run(2.5)
    assert out(world, "b")
    world.keeper = None
    at = world.now
    world.run(1.9)
    let = [x for place in world.places.values() for x in place.let if x[0] > at]
    assert let and all(who != "keeper" for _, _, who in let)
    world.elect()
    world.run(4).judge()


def test_gateways_with_an_old_chain_stay_under_its_limit() -> None:
    """Half of them hold the version before, made for fewer gateways; the keeper reckons with their larger part."""
    world = basin(12, 0.8).run(3)
    world.renew(within=20 * SECOND)
    world.fail("c")
    world.run(3)
    world.cut("a")
    world.keeper_zone = "b"
    world.run(5).judge()
    assert len({g.spill.chains.version for g in world.gateways}) > 1


# ---- the weir


def test_a_weir_lets_no_more_than_its_limit_and_its_queue_in_any_span() -> None:
    for seed in range(50):
        rng, now = random.Random(seed), 0
        weir = SpillLimit(0, limit=rng.uniform(0.5, 20))
        let: list[tuple[int, float]] = []
        for _ in range(400):
            now += int(rng.expovariate(40) * SECOND)
            cost, low = rng.uniform(0.05, 0.4), rng.choice([0.0, 0.5, 1.0])
            if weir.passes(0.5, low, now):
                weir.take(cost)
                let.append((now, cost))
            else:
                assert weir.wait(0.5, low) > 0
        for n, (first, _) in enumerate(let):  # every span, plainly
            total = 0.0
            for at, cost in let[n:]:
                total += cost
                assert total <= weir.limit * ((at - first) / SECOND + 0.5 + 0.1) + 0.4 + 1e-9


def test_a_place_that_fills_gets_its_step_though_others_would_be_chosen_before_it() -> None:
    """Its backends are cold and distrusted: named next to warm ones they got nothing, and it never came back."""
    chains = plan(1, hierarchy(ZONES, {}), {(zone, "s"): 3.0 for zone in ZONES}, [], ["g"])
    spill, ask = (
        SpillController("s", random.Random(1).random, away=lambda may: 0),
        Ask("g", "a", safe=True, cost=0.2, aim=AIM),
    )
    spill.show(chains)
    spill.falls["b"] = Evacuation(Flow.FILLING, since=SECOND)
    ways = Counter(spill.ask(ask, ZONES, WORK, None, SECOND + at * 20 * MS) for at in range(100))
    assert ways[Way(frozenset("b"))] == 100  # nothing was sent there: its step waits
    spill.sent("b", ask, 1, 9 * SECOND, 3 * SECOND)
    spill.sent("b", ask, 2, 9 * SECOND, 3 * SECOND)
    assert spill.ask(ask, ZONES, WORK, None, 3 * SECOND + 100 * MS) == Way(frozenset("ac"))


def test_a_crest_says_nothing_while_all_is_well_and_never_closes_the_last_place() -> None:
    spill = SpillController("s", random.Random(1).random)
    ask = Ask("g", "a", cost=0.1, aim=AIM)
    assert spill.ask(ask, ["a"], WORK, None, SECOND) == Way(None)
    for at in range(40):
        spill.sent("a", ask, at + 1, 90 * SECOND, SECOND + at * 50 * MS)
        assert not isinstance(spill.ask(ask, ["a"], WORK, None, SECOND + at * 50 * MS), Wait)
    assert not spill.closed("") and spill.chains == Chains()


# ---- drawn schedules


@pytest.mark.parametrize("lot", range(20))
def test_drawn_schedules_of_failures(lot: int) -> None:
    """2,000 of them, a hundred in each lot: limits held, nothing doubled, nothing dropped, no oscillation."""
    for seed in range(100 * lot, 100 * lot + 100):
        rng = random.Random(seed)
        names = "abcd"[: rng.choice([2, 3, 3, 4])]
        zones = {name: rng.choice("rs") for name in names}
        world = Basin(
            seed,
            zones,
            {name: rng.choice([1, 2]) for name in names},
            rng.choice([0.3, 0.6, 0.9]),
            gateways=rng.choice([1, 2]),
            said=rng.choice([1.0, 1.0, 2.0]),
            hot=rng.choice([0.0, 0.7]),
        )
        world.run(1)
        for _ in range(rng.randrange(1, 5)):
            name = rng.choice(names)
            kind = rng.choice(["fail", "fail", "fail", "heal", "cut", "join", "renew", "keeper", "no keeper", "missed"])
            if kind == "fail":
                world.fail(name)
            elif kind == "heal":
                world.heal(name)
            elif kind == "cut":
                world.cut(name)
            elif kind == "join":
                world.join()
            elif kind == "renew":
                world.renew()
            elif kind == "keeper":
                world.elect(name)
            elif kind == "no keeper":
                world.keeper = None
            else:
                world.missed = {name: {"beats"}}
            world.run(rng.uniform(0.2, 1.5))
        world.run(1).judge()
        for turns in world.turns.values():
            fell = [at for at, flow in turns if flow is Flow.OUT]
            kept = [later - earlier for earlier, later in pairwise(fell)]
            assert all(span >= SECOND for span in kept)


# ---- the primary's part


class Beats:
    quiet: list[str] = []

    def silent_for(self, span: int) -> list[str]:
        return self.quiet


class Plain:
    """A core that is primary, whose changes are in force at once; loop and mains of its own."""

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


def planning(given: ChainSettings | None) -> tuple[Plain, Beats]:
    core, beats = Plain(), Beats()
    backends = {
        f"backend/{zone}{n}": {"svc": "s", "az": zone, "state": "ready", "slots": 2.0, "calls": 1}
        for zone in ZONES
        for n in range(2)
    }
    core.change(backends | {"gate/g": {"addr": "x:1", "az": "a", "life": "1"}}, None)
    settings = decode({"self": {"node": "n", "ip": "1.1.1.1"}, "network": {"port-range": [1, 9], "azs": ZONES}})
    made: Any = core
    FailoverPlanner(made, beats, made, made, settings, given)  # type: ignore[arg-type]
    return core, beats


def test_the_plan_follows_what_is_measured_in_versions_but_not_every_wave() -> None:
    core, beats = planning(ChainSettings())
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


def test_places_whose_beats_are_all_missed_are_told_unless_it_is_most_of_them() -> None:
    core, beats = planning(ChainSettings())
    beats.quiet = ["b0"]
    core.run(2)
    assert core.replicated_state.table.get("quiet") is None
    beats.quiet = ["b0", "b1"]
    core.run(1)
    assert core.replicated_state.table.get("quiet") == [["s", "b"]]
    beats.quiet = [f"{zone}{n}" for zone in "abc" for n in range(2)]
    core.run(1)
    assert core.replicated_state.table.get("quiet") == []


def test_without_the_file_what_an_earlier_setting_left_is_taken_away_and_nothing_else_is_done() -> None:
    core, _ = planning(None)
    core.run(9)
    assert len(core.changes) == 1 and "flows" not in core.handlers
    core.replicated_state.apply([("chains", (2, 1), {"version": 4})])
    core.on_serving_change[0](True)
    assert core.changes[1:] == [{"chains": None}]


def test_the_command_line_asks_a_process_and_ends_with_3_where_a_failure_cannot_be_held(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    loads = [Load("a", "s", 0, 5.0)]
    held = pack(plan(3, hierarchy(ZONES, {}), {(zone, "s"): 3.0 for zone in ZONES}, loads, ["g"]))
    answers: list[Any] = [held, held, held, None]
    monkeypatch.setattr(status_service, "query_status", lambda address, timeout, kind: {"held": answers.pop(0)})
    ends = []
    for words in (["check"], ["explain", "b", "s"], ["explain", "b", "x"], ["show"]):
        try:
            cli.main(["chain", *words, "--at", "127.0.0.1:7"])
            ends.append(0)
        except SystemExit as end:
            ends.append(int(end.code or 0))
    assert ends == [3, 0, 2, 1]
    told = capsys.readouterr()
    assert "a and b out: s lacks 2.0 of 5.0 slots (40 %)" in told.out and "clients of a: a 3.0, then c 2.0" in told.out
    assert "no service 'x'; there are s" in told.err and "holds no chains" in told.err
