"""Days drawn from a seed: a small site of any size and a mix of troubles, such that all rules can be kept.

`fair` says whether a day asks for no more than `tolerance` lets be lost at once: while a disk is wiped, or a machine is
replaced, and for `sync_time` around it, nothing else befalls the core.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from oakvale.lab import days
from oakvale.lab.days import Day, Trouble

Range = tuple[float, float]
SYLLABLES = (
    "al",
    "ber",
    "cor",
    "dun",
    "el",
    "fen",
    "gar",
    "hol",
    "ist",
    "kel",
    "lin",
    "mor",
    "nor",
    "ost",
    "pel",
    "ras",
    "sen",
    "tor",
    "ul",
    "ven",
)


@dataclass(slots=True, frozen=True)
class Way:
    """How a kind of trouble is drawn; a range that is None leaves the field out."""

    for_s: Range | None = None
    share: Range | None = None
    count: tuple[int, int] | None = None
    x: Range | None = None
    gap_s: Range | None = None
    hows: tuple[str, ...] = ("",)
    on: tuple[str, ...] = ("",)  # "service": one of the day's
    planned: bool = False


QUIET = 0.5  # of the days have a fifth of the load: more of them are played, and the control side is as busy
SERVICE = ("service",)
WAYS: dict[str, tuple[Way, ...]] = {
    "hot_tenant": (Way((3, 8), x=(2, 9)),),
    "burst": (Way((2, 6), x=(1.5, 4)),),
    "give_up": (Way((2, 6), share=(0.2, 0.8), x=(20, 400)),),
    "srv_crash": (Way((2, 6), share=(0.1, 0.5), hows=("", "dark", "gone", "dark gone"), on=SERVICE),),
    "srv_slow": (Way((3, 8), share=(0.1, 0.5), x=(2, 8), on=SERVICE),),
    "srv_grey": (
        Way((3, 8), share=(0.1, 0.5), x=(0.05, 0.5), on=SERVICE),
        Way((3, 8), count=(1, 1), x=(3, 20), on=SERVICE),
    ),
    "srv_flap": (Way((3, 8), share=(0.1, 0.4), gap_s=(0.4, 1.5), on=SERVICE),),
    "srv_lying_health": (Way((3, 8), share=(0.1, 0.4), on=SERVICE),),
    "release": (Way(share=(0.3, 1.0), x=(1, 2), gap_s=(0.5, 1.5), on=SERVICE, planned=True),),
    "scale_in": (Way(share=(0.1, 0.4), on=SERVICE, planned=True),),
    "answer_lost": (Way((3, 6), share=(0.3, 0.7), x=(0.01, 0.06), hows=("", "reset"), on=SERVICE),),
    "garble": (Way((3, 6), share=(0.3, 0.7), x=(0.01, 0.05), hows=("", "extra", "extra late"), on=SERVICE),),
    "idle_race": (Way((3, 8), share=(0.3, 1.0), x=(0.3, 2), on=SERVICE),),
    "node_kill": (
        Way(
            (1, 4),
            count=(1, 1),
            hows=(
                "",
                "leader",
                "seed",
                "acked meet",
                "leader meet hard",
                "leader power meet race",
                "meet drain",
                "wipe",
                "acked wipe meet",
            ),
            on=("core",),
        ),
        Way((1, 4), share=(0.1, 0.5), on=("edge",)),
    ),
    "herd_kill": (
        Way((1, 3), share=(0.3, 0.9), hows=("", "power", "meet")),
        Way((0, 3), share=(1.0, 1.0), hows=("", "power", "power meet race"), on=("core",)),
    ),
    "after_ack_kill": (Way((0, 4), hows=("", "kill", "timed", "kill timed", "meet", "kill meet race")),),
    "after_ack_wipe": (Way((1, 4), hows=("", "timed", "meet", "meet hard")),),
    "clock_step": (Way((3, 6), share=(0.2, 0.6), x=(0.2, 6), hows=("ahead", "back")),),
    "core_cut": (
        Way(
            (1, 8),
            count=(1, 1),
            hows=(
                "",
                "leader",
                "leader one-way",
                "leader off",
                "acked meet",
                "leader meet race",
                "leader seeds",
                "leader both",
                "leader meet hard",
                "one-way meet",
            ),
        ),
    ),
    "node_cut": (Way((1, 6), share=(0.1, 0.4)),),
    "zone_cut": (Way((1, 4), count=(1, 1)),),
    "disk_slow": (Way((3, 6), count=(1, 1), x=(5, 40), hows=("", "leader", "acked meet")),),
    "disk_stall": (Way((1, 4), count=(1, 1), hows=("", "leader", "leader meet")),),
    "disk_full": (Way((1, 4), count=(1, 1), hows=("", "leader", "acked meet")),),
    "lossy": (Way((2, 6), share=(0.1, 0.4), x=(0.01, 0.1)),),
    "node_slow": (Way((2, 6), share=(0.1, 0.3), x=(2, 6)),),
    "node_freeze": (
        Way((0.5, 5), count=(1, 1), hows=("leader", "acked meet", "leader meet race", ""), on=("core",)),
        Way((0.5, 4), share=(0.1, 0.4)),
    ),
    "replace_core": (
        Way(
            count=(1, 1),
            x=(0.5, 2),
            hows=("", "planned", "leader", "planned leader", "planned meet", "leader meet", "acked"),
            on=("core",),
        ),
        Way(count=(2, 4), x=(0.3, 1), gap_s=(5.1, 6.5), hows=("", "planned", "leader", "acked meet"), on=("core",)),
    ),
    "reset_conns": (
        Way(share=(0.1, 0.6), x=(0.2, 0.95), hows=("", "leader")),
        Way(count=(1, 1), x=(0.5, 0.99), hows=("leader", "acked"), on=("core",)),
    ),
    "ack_lost": (Way((2, 8), x=(0.3, 0.9), hows=("", "backends")),),
    "order_again": (Way(count=(1, 8), gap_s=(0.2, 1.5), hows=("", "newest")),),
    "config_flood": (Way(count=(20, 150), gap_s=(0.03, 0.2), hows=("timeout", "quota", "idle", "")),),
    "config_change": (Way(hows=("route", "weights", "tenant", "quota", "idle", "timeout"), planned=True),),
    "config_race": (Way(count=(1, 3), gap_s=(0.8, 1.5), hows=("", "number")),),
    "bad_config": (Way(count=(1, 3), gap_s=(0.8, 1.5), hows=("", "same_version", "old_version")),),
    "revoke": (Way(count=(1, 2), gap_s=(1, 2)),),
    "seed_turnover": (Way(),),
    "closing": (Way((1, 2), hows=("power", "kill", "wipe", "power timed")),),
    "restart": (Way(gap_s=(0.5, 1.5), on=("edge", "core"), planned=True),),
    "drain": (Way((2, 5), share=(0.1, 0.4), gap_s=(0.5, 1.5), on=("edge",), planned=True),),
}
CORE = frozenset(
    {
        "node_kill",
        "herd_kill",
        "after_ack_kill",
        "after_ack_wipe",
        "core_cut",
        "node_cut",
        "zone_cut",
        "disk_slow",
        "disk_stall",
        "disk_full",
        "lossy",
        "node_slow",
        "node_freeze",
        "replace_core",
        "clock_step",
        "seed_turnover",
        "restart",
        "closing",
    }
)
# what bears on the control side comes twice as often
CONTROL = CORE | {
    "reset_conns",
    "ack_lost",
    "order_again",
    "config_flood",
    "config_race",
    "bad_config",
    "config_change",
    "release",
    "scale_in",
}

NEXT: tuple[tuple[Any, str], ...] = (
    ("replace_core", ""),
    ("replace_core", "acked"),
    ("node_kill", "leader power"),
    ("node_kill", "acked wipe"),
    ("core_cut", "leader off"),
    ("node_freeze", "leader"),
)


def wipes(trouble: Trouble) -> bool:
    """A disk is lost, or a machine with its disk."""
    return (
        trouble.kind in ("after_ack_wipe", "replace_core")
        or trouble.kind in ("closing", "node_kill")
        and "wipe" in trouble.how
    )


def _end(day: Day, one: Trouble) -> float:
    """When all that it struck is back, in seconds of the day."""
    waits = day.time("ack") / 1e6 if one.kind in ("after_ack_kill", "after_ack_wipe", "closing") else 0.0
    row = ((one.count or 1) - 1) * one.gap_s if one.kind == "replace_core" else 0.0
    return one.at + row + waits + (one.x if one.kind == "replace_core" else one.for_s)


def fair(day: Day) -> bool:
    """Whether no more is lost at once than may be. A change that a trouble waits for comes within `ack` of its time."""
    rest = day.time("sync_time") / 1e6
    struck = [one for one in day.troubles + day.plan if one.kind in CORE and one.on in ("", "core")]

    def span(one: Trouble) -> tuple[float, float]:
        return one.at, _end(day, one)

    for at, one in enumerate(struck):
        if not wipes(one):
            continue
        begin, end = span(one)
        for other in struck[:at] + struck[at + 1 :]:
            its_begin, its_end = span(other)
            if its_begin < end + rest and begin < its_end + rest:
                return False
        if day.tolerance < 1:
            return False
    return sum(one.kind == "closing" for one in struck) <= 1


def drawn(seed: int, like: Day | None = None, kinds: tuple[str, ...] = ()) -> Day:
    """The day of a seed: of the site of `like`, where there is one, with troubles of `kinds` alone, where some are."""
    draw = random.Random(f"day {seed}")
    site = (
        _site(draw)
        if like is None
        else {name: value for name, value in like.model_dump(mode="python").items() if name not in ("troubles", "plan")}
    )
    names = [service["name"] for service in site["services"]]
    wanted = [kind for kind in WAYS if not kinds or kind in kinds]
    weights = [2 if kind in CONTROL else 1 for kind in wanted]
    found: Day | None = None
    while found is None or not found.troubles + found.plan:
        many = draw.randint(1, 8)
        rows = [_trouble(draw, kind, float(site["seconds"]), names) for kind in draw.choices(wanted, weights, k=many)]
        kept: list[tuple[bool, dict[str, Any]]] = []
        # those that take a disk first: what can't be borne beside them gives way, or they would hardly ever come
        for row in sorted(rows, key=lambda one: not wipes(Trouble.model_validate(one[1]))):
            part = [*kept, row]
            day = days.decode(
                site
                | {
                    "name": f"drawn-{seed}",
                    "seed": seed,
                    "troubles": tuple(row for planned, row in part if not planned),
                    "plan": tuple(row for planned, row in part if planned),
                }
            )
            if fair(day):
                kept, found = part, day
    return _then_another(draw, found)


def _then_another(draw: random.Random, day: Day) -> Day:
    """Where a disk is lost, half of the time the next loss comes as soon as it may."""
    rest = day.time("sync_time") / 1e6
    lost = [one for one in day.troubles + day.plan if wipes(one) and one.kind != "closing"]
    if not lost or draw.random() < 0.5:
        return day
    kind, how = draw.choice(NEXT)
    at = _end(day, draw.choice(lost)) + rest + draw.uniform(0.01, 0.6)
    row = Trouble(kind=kind, at=round(at, 2), for_s=round(draw.uniform(1, 4), 2), count=1, how=how, on="core")
    found = day.model_copy(update={"troubles": (*day.troubles, row)})
    return found if at < day.seconds and fair(found) else day


def _trouble(draw: random.Random, kind: str, seconds: float, services: list[str]) -> tuple[bool, dict[str, Any]]:
    way = draw.choice(WAYS[kind])
    part = draw.uniform(0.7, 0.8) if kind == "closing" else draw.uniform(0.05, 0.75)
    row: dict[str, Any] = {"kind": kind, "at": round(part * seconds, 2)}
    for name, span in (("for_s", way.for_s), ("share", way.share), ("x", way.x), ("gap_s", way.gap_s)):
        if span is not None:
            row[name] = round(draw.uniform(*span), 2)
    if way.count is not None:
        row["count"] = draw.randint(*way.count)
    row["how"], on = draw.choice(way.hows), draw.choice(way.on)
    row["on"] = draw.choice(services) if on == "service" else on
    return way.planned, row


def _site(draw: random.Random) -> dict[str, Any]:
    names: list[str] = []
    while len(names) < 16:
        if (new := "".join(draw.sample(SYLLABLES, 2))) not in names:
            names.append(new)
    zones = [names.pop() for _ in range(draw.randint(1, 4))]
    cores = draw.choice((1, 2, 3, 3, 3, 3, 4, 5))
    services: list[dict[str, Any]] = []
    routes: list[dict[str, Any]] = []
    for _ in range(draw.randint(1, 3)):
        name, backends, slots = names.pop(), draw.randint(2, 8), draw.randint(1, 4)
        services.append(
            {
                "name": name,
                "backends": backends,
                "slots": slots,
                "work_spread": round(draw.uniform(0, 0.8), 2),
                "reset_when_full": draw.random() < 0.3,
                "cold_factor": draw.choice((1.0, 2.0)),
            }
        )
        many = draw.randint(1, 2)
        for number in range(many):
            work = round(10 ** draw.uniform(1.0, 2.4), 1)
            load = draw.uniform(0.15, 0.7)  # of what the service can do
            aim = work * draw.uniform(3, 8) + 50
            routes.append(
                {
                    "name": f"{name}-{number}",
                    "service": name,
                    "safe": draw.random() < 0.5,
                    "work_ms": work,
                    "per_s": round(max(0.5, min(25.0, load * backends * slots * 1000 / work / many)), 2),
                    "aim_ms": round(aim),
                    "deadline_ms": round(aim * draw.uniform(4, 7)),
                    "tries": draw.randint(1, 3),
                    "prio": draw.randint(0, 2),
                    "worth": draw.choice((1.0, 2.0)),
                    "public": draw.random() < 0.1,
                }
            )
    if draw.random() < QUIET:
        routes = [route | {"per_s": max(0.5, round(route["per_s"] / 5, 2))} for route in routes]
    whole = sum(route["per_s"] for route in routes)
    tenants, weights = [], [draw.uniform(0.3, 3) for _ in range(draw.randint(1, 6))]
    for number, weight in enumerate(weights):
        rate = whole * weight / sum(weights) * draw.uniform(1.1, 2.0)
        tenants.append(
            {"name": f"tenant-{number}", "keys": draw.randint(1, 3), "weight": round(weight, 2)}
            | (
                {"rate_per_s": round(rate, 1), "burst": round(rate * draw.uniform(1, 3), 1)}
                if draw.random() < 0.8
                else {}
            )
        )
    return {
        "name": "drawn",
        "seconds": draw.choice((12.0, 18.0, 24.0, 32.0)),
        "lead_s": 8.0,
        "zones": zones,
        "edges_per_zone": draw.randint(1, 4),
        "delay_ms": round(draw.uniform(0.2, 5), 2),
        "client_delay_ms": round(draw.uniform(0.5, 10), 1),
        "sync_ms": round(draw.uniform(0.5, 8), 1),
        "cores": cores,
        "tolerance": (cores - 1) // 2,
        "services": services,
        "routes": routes,
        "tenants": tenants,
        "bounds": {"retry-slack": 40.0},
        "bulk": draw.choice((0, 0, 0, 0, 600)),
        "link_mbps": draw.choice((1_000.0, 1_000.0, 100.0)),
    }
