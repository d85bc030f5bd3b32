"""Rules broken on purpose in the system's own code, which runs in the simulated world: the judge finds each of them,
from what clients, backends and the operator saw alone. The same days without the change break nothing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache
from typing import Any

import pytest

from oakvale.config import model
from oakvale.controlplane.core import Core
from oakvale.controlplane.replies import UNCONFIRMED, Reply, ReplyCallback
from oakvale.controlplane.resources import BackendsHandler, ConfigHandler
from oakvale.dataplane import routes
from oakvale.dataplane.backend_protocol import SystemDialect
from oakvale.dataplane.gateway import EdgeGateway, ReadinessOwner
from oakvale.dataplane.request_router import RequestRouter
from oakvale.dataplane.service_driver import ServiceDriver, retry_later_answer
from oakvale.dissemination.table import Table
from oakvale.lab import undone
from oakvale.lab.days import Day, decode
from oakvale.lab.judge.verdict import judge
from oakvale.lab.play import Variant, play
from oakvale.ratelimit.service import RateLimiter
from oakvale.wire.clients import plain_answer

MS, SECOND = 1_000, 1_000_000
SITE: dict[str, Any] = {
    "seconds": 7,
    "lead_s": 5,
    "zones": ["a", "b"],
    "edges_per_zone": 1,
    "bounds": {"retry-slack": 10},
    "services": [{"name": "one", "backends": 4}, {"name": "two", "backends": 4}],
    "tenants": [
        {"name": "big", "keys": 2, "rate_per_s": 30, "burst": 15, "weight": 2},
        {"name": "small", "keys": 2, "rate_per_s": 15, "burst": 15},
    ],
    "routes": [
        {"name": "look", "service": "one", "per_s": 18, "work_ms": 40, "aim_ms": 400, "deadline_ms": 2000},
        {
            "name": "book",
            "service": "two",
            "safe": False,
            "per_s": 8,
            "work_ms": 60,
            "aim_ms": 400,
            "deadline_ms": 2500,
        },
    ],
}


def day(
    *troubles: tuple[str, float, dict[str, Any]],
    plan: tuple[tuple[str, float, dict[str, Any]], ...] = (),
    **changes: Any,
) -> Day:
    def rows(given: tuple[tuple[str, float, dict[str, Any]], ...]) -> list[dict[str, Any]]:
        return [{"kind": kind, "at": at, **more} for kind, at, more in given]

    return decode(SITE | {"name": "broken", "troubles": rows(troubles), "plan": rows(plan)} | changes)


LOST_BY_RESET = ("answer_lost", 1.0, {"for_s": 6, "share": 1.0, "x": 0.2, "how": "reset", "on": "two"})
MOST_LOST_BY_RESET = ("answer_lost", 1.0, {"for_s": 6, "share": 1.0, "x": 0.6, "how": "reset", "on": "two"})
READS_LOST = ("answer_lost", 1.0, {"for_s": 6, "share": 1.0, "x": 0.3, "how": "reset", "on": "one"})
MOVES = ("config_change", 2.0, {"count": 3, "gap_s": 1, "how": "route"})


@dataclass
class Break:
    rule: str
    day: Day
    patches: dict[str, Any] = field(default_factory=dict)


# ---- what stands in for the real code


def may_have_run_is_refused(driver: ServiceDriver, request: Any, action: Any) -> Any:
    return retry_later_answer(503, SECOND // 2, b"try again\n")


def all_pass(rate_limiter: RateLimiter, tenant: str, again: bool, then: Callable[..., None], *_: Any) -> None:
    then(True, 0, True)


def all_ready(table: Table, *_: Any) -> dict[str, routes.Backend]:
    return {
        name: routes.Backend(name, v["svc"], v["addr"], v["az"], float(v["slots"]), True, 0)
        for name, v in table.items("backend/")
    }


def first_configuration_stays(sluice: EdgeGateway, keys: list[str], real: Any = EdgeGateway._on_state_update) -> None:
    held = sluice.router.snapshot.generation >= 0 and "edge-a" in sluice.settings.node
    real(sluice, [key for key in keys if key != "config"] if held else keys)


def older_picture_comes_back(router: RequestRouter, snapshot: Any, real: Any = RequestRouter.apply_snapshot) -> None:
    was = router.snapshot
    real(router, snapshot)
    if snapshot.generation != was.generation >= 0:
        router.loop.at(router.loop.now + 400 * MS, lambda _: real(router, was))
        router.loop.at(router.loop.now + 1_400 * MS, lambda _: real(router, snapshot))


def another_tenant(dialect: SystemDialect, attempt: Any, left: int, real: Any = SystemDialect.headers) -> Any:
    return [(name, b"somebody" if name == b"tenant" else value) for name, value in real(dialect, attempt, left)]


def now_and_then_404(
    router: RequestRouter, client: Any, incoming: Any, came: int, real: Any = RequestRouter.open
) -> Any:
    return plain_answer(404, "none") if router.loop.net.rng.random() < 0.08 else real(router, client, incoming, came)


def one_lane_for_all(router: RequestRouter, service: str, real: Any = RequestRouter._driver) -> ServiceDriver:
    drivers = router._drivers
    return drivers[min(drivers)] if drivers and router.loop.net.rng.random() < 0.05 else real(router, service)


def acknowledged_before_it_is_kept(
    core: Core, changes: Any, then: Callable[[bool], None], after_pending: bool = False, real: Any = Core.change
) -> None:
    if "config" not in changes or core.replicated_state.table.get("config") is None:
        real(core, changes, then, after_pending)
    else:
        then(True)
        core.loop.at(core.loop.now + 20 * MS, lambda _: real(core, changes, lambda done: None, after_pending))


def another_content_is_confirmed(
    config: ConfigHandler, order: Any, body: bytes, give: ReplyCallback, real: Any = ConfigHandler._decide
) -> None:
    """Any number that is not above the one held gets a yes, whatever content it comes with."""
    held = config._core.replicated_state.latest("config")
    if held is not None and order.gen <= held["gen"]:
        return config._core.confirm(lambda done: give(Reply(200) if done else UNCONFIRMED))
    real(config, order, body, give)


def sent_again_is_refused(
    config: ConfigHandler, rest: str, body: bytes, give: ReplyCallback, real: Any = ConfigHandler.replace
) -> None:
    held = config._core.replicated_state.latest("config")
    if held is not None and model.parse(body).gen <= held["gen"]:
        return give(Reply(409))
    real(config, rest, body, give)


def read_unconfirmed(config: ConfigHandler, rest: str, body: bytes, give: ReplyCallback) -> None:
    held = config._core.replicated_state.table.get("config")
    give(Reply(200, bytes(held["text"])) if held is not None else UNCONFIRMED)


def leaving_is_not_heard(
    backends: BackendsHandler, name: str, body: bytes, give: ReplyCallback, real: Any = BackendsHandler.heartbeat
) -> None:
    if b'"drain"' in body:
        give(UNCONFIRMED)
    else:
        real(backends, name, body, give)


def unsafe_ones_are_turned_away(
    router: RequestRouter, client: Any, incoming: Any, came: int, real: Any = RequestRouter.open
) -> Any:
    return plain_answer(503, "no") if incoming.method == b"POST" else real(router, client, incoming, came)


def never_ready(owner: ReadinessOwner, client: Any, incoming: Any, came: int) -> Any:
    return plain_answer(503, "not ready")


BREAKS: dict[str, Break] = {
    "an order sent again is refused": Break(
        "CONFIG",
        day(("ack_lost", 1.0, {"for_s": 5, "x": 0.7}), ("config_change", 2.0, {"count": 3, "how": "timeout"})),
        {"oakvale.controlplane.resources.ConfigHandler.replace": sent_again_is_refused},
    ),
    "a second content is confirmed": Break(
        "CONFIG",
        day(("config_race", 2.0, {"how": "number"})),
        {"oakvale.controlplane.resources.ConfigHandler._decide": another_content_is_confirmed},
    ),
    "what is cut off is read": Break(
        "CONFIG",
        day(("core_cut", 2.0, {"for_s": 5, "how": "leader meet"}), ("config_change", 4.0, {"how": "timeout"})),
        {
            "oakvale.controlplane.resources.ConfigHandler.read": read_unconfirmed,
            "oakvale.controlplane.core.Core.serving": lambda core: core.active,
        },
    ),
    "leaving is not heard": Break(
        "ACKS",
        day(("scale_in", 1.0, {"share": 0.5, "on": "one"}), seconds=9),
        {"oakvale.controlplane.resources.BackendsHandler.heartbeat": leaving_is_not_heard},
    ),
    "a kind is starved": Break(
        "STARVED", day(), {"oakvale.dataplane.request_router.RequestRouter.open": unsafe_ones_are_turned_away}
    ),
    "gateways are never ready": Break("DUTY", day(), {"oakvale.dataplane.gateway.ReadinessOwner.open": never_ready}),
    "what may have run is sent again": Break(
        "TWICE", day(MOST_LOST_BY_RESET), {"oakvale.policy.attempts.Attempts.repeatable": lambda attempts, held: True}
    ),
    "what may have run is refused": Break(
        "REFUSED",
        day(LOST_BY_RESET),
        {"oakvale.dataplane.service_driver.ServiceDriver.final_answer": may_have_run_is_refused},
    ),
    "nothing is counted": Break(
        "QUOTA",
        day(("hot_tenant", 1.0, {"for_s": 6, "x": 4})),
        {"oakvale.ratelimit.service.RateLimiter.count_request": all_pass},
    ),
    "further attempts are free": Break(
        "BUDGET",
        day(READS_LOST, bounds={"retry-slack": 2, "retry-ratio": 0.02}),
        {
            "oakvale.retry_budget.FleetRetryBudget.try_spend": lambda budget, spent, ending, now: True,
            "oakvale.retry_budget.FleetRetryBudget.can_retry": lambda budget, now: True,
        },
    ),
    "who drains is used": Break(
        "DRAIN",
        day(("scale_in", 1.0, {"share": 0.5, "on": "one"}), seconds=12),
        {"oakvale.dataplane.gateway.update_backends": all_ready},
    ),
    "a configuration does not come": Break(
        "CONFIG", day(MOVES), {"oakvale.dataplane.gateway.EdgeGateway._on_state_update": first_configuration_stays}
    ),
    "a configuration goes back": Break(
        "CONFIG",
        day(MOVES),
        {"oakvale.dataplane.request_router.RequestRouter.apply_snapshot": older_picture_comes_back},
    ),
    "an invalid one is taken": Break(
        "CONFIG",
        day(("bad_config", 2.0, {"how": "unknown_service"})),
        {"oakvale.config.model.check_consistency": lambda config: None},
    ),
    "any answer is believed": Break(
        "MIXED",
        day(("garble", 1.0, {"for_s": 6, "share": 1.0, "x": 0.6, "how": "extra late"})),
        {"oakvale.dataplane.backend_protocol.SystemDialect.matches_attempt": lambda *_: True},
    ),
    "another tenant is named": Break(
        "UNASKED", day(), {"oakvale.dataplane.backend_protocol.SystemDialect.headers": another_tenant}
    ),
    "known routes are denied": Break(
        "DENIED", day(), {"oakvale.dataplane.request_router.RequestRouter.open": now_and_then_404}
    ),
    "services are confused": Break(
        "ROUTE", day(), {"oakvale.dataplane.request_router.RequestRouter._driver": one_lane_for_all}
    ),
    "work goes on for clients that left": Break(
        "GONE",
        day(
            ("give_up", 1.0, {"for_s": 5, "share": 0.7, "x": 60}),
            routes=[route | {"work_ms": 700, "per_s": 6} for route in SITE["routes"]],
        ),
        {"oakvale.policy.limits.Limits.finish": undone.finish},
    ),
    "a SIGTERM ends all at once": Break(
        "LOST",
        day(
            plan=(("restart", 2.0, {"on": "edge", "share": 1.0}),),
            routes=[route | {"work_ms": 200} for route in SITE["routes"]],
        ),
        {"oakvale.dataplane.process.Process.stop": lambda process: process.gateway.loop.stop()},
    ),
    "who ends goes on calling itself ready": Break(
        "DRAIN",
        day(
            plan=(("restart", 2.0, {"on": "edge", "share": 1.0}),),
            seconds=9,
            routes=[
                route | {"work_ms": 4_500, "aim_ms": 5_000, "deadline_ms": 9_000, "per_s": 1}
                for route in SITE["routes"]
            ],
        ),
        {"oakvale.dataplane.gateway.EdgeGateway.ready": lambda sluice: sluice.router.snapshot.generation >= 0},
    ),
    "acknowledged before it is kept": Break(
        "CONFIG",
        day(("after_ack_wipe", 2.0, {"for_s": 1}), seconds=12),
        {"oakvale.controlplane.core.Core.change": acknowledged_before_it_is_kept},
    ),
}


@cache
def broken_without(told: str) -> list[str]:
    """The rules that a day breaks with the code as it is; days are played once."""
    found = next(one.day for one in BREAKS.values() if one.day.model_dump_json() == told)
    return [broken.rule for broken in judge(play(found, 1)).broken]


@pytest.mark.parametrize("name", BREAKS)
def test_a_rule_broken_in_the_code_is_found(name: str) -> None:
    one = BREAKS[name]
    found = {broken.rule for broken in judge(play(one.day, 1, Variant(name, one.patches))).broken}
    assert one.rule in found
    assert broken_without(one.day.model_dump_json()) == []
