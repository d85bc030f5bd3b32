"""The configurations that operators send: the first of a day, changes, and invalid ones. Names are drawn anew for each
day. Decisions alone; `now` is when an operator makes one up."""

from __future__ import annotations

import copy
import json
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from oakvale.lab.days import Day

MS, SECOND = 1_000, 1_000_000
COLUMNS = ("name", "vhost", "prefix", "type", "deadline", "target_time", "prio", "split", "tries", "public", "svc")
CHANGES = ("route", "weights", "timeout", "tenant", "quota", "idle")
PLACED = ("same_version", "old_version")  # valid, under a number that has its content or lies below the newest
SPOILS = ("cut_short", "unknown_service", "same_place", "no_attempts", "aim_over", "no_columns")
ADDED = 2  # routes, with each change of that kind
MOST_ADDED = 4  # beyond which older ones go
KEEPS_ON = 1_500 * MS  # clients use a key so long after they could know that it is gone
FIRST_GEN = (1, 20)
STEP = (1, 9)  # versions increase by uneven steps

Row = dict[str, Any]
Probe = tuple[str, str, str | None]  # host, path, key


@dataclass(frozen=True, slots=True)
class Order:
    gen: int
    text: bytes
    valid: bool
    probes: tuple[Probe, ...] = ()  # what shows it in force
    keys: tuple[tuple[str, tuple[str, ...]], ...] = ()  # tenants and theirs
    why: str = ""


@dataclass
class State:
    routes: list[Row]
    tenants: list[Row]
    added: list[str] = field(default_factory=list)  # routes, the oldest first


def name(rng: Random, start: str = "") -> str:
    syllables = "".join(rng.choice("bdfghjklmnprstvz") + rng.choice("aeiou") for _ in range(3))
    return f"{start}{syllables}{rng.randrange(1000)}"


class Books:
    def __init__(self, day: Day, rng: Random) -> None:
        self._rng = rng
        self.services = {service.name: name(rng) for service in day.services}
        self.tenants = {tenant.name: name(rng) for tenant in day.tenants}
        self.places: dict[str, tuple[str, str]] = {}
        self.work: dict[tuple[str, str], int] = {}  # host and prefix -> microseconds
        hosts = [f"{name(rng)}.example" for _ in range(max(1, len(day.routes) // 2))]
        self._hosts = hosts
        routes = []
        for route in day.routes:
            place = self.places[route.name] = (rng.choice(hosts), self._prefix())
            self.work[place] = round(route.work_ms * MS)
            split = [{"svc": self.services[s], "wt": weight} for s, weight in route.split.items()]
            routes.append(
                {
                    "name": name(rng, "r-"),
                    "vhost": place[0],
                    "prefix": place[1],
                    "prio": route.prio,
                    "tries": route.tries,
                    "type": "safe" if route.safe else "unsafe",
                    "deadline": f"{route.deadline_ms:g}ms",
                    "target_time": f"{route.aim_ms:g}ms",
                    "split": split or None,
                    "public": route.public,
                    "svc": None if split else self.services[route.service],
                }
            )
        tenants: list[Row] = [
            {
                "name": self.tenants[tenant.name],
                "apikeys": [self._key() for _ in range(tenant.keys)],
                "prio": tenant.prio,
                "rate-per-s": tenant.rate_per_s or None,
                "burst": tenant.burst or None,
            }
            for tenant in day.tenants
        ]
        for n in range(day.bulk):
            if tenants:
                tenants.append(
                    {"name": name(rng), "apikeys": [self._key()], "prio": 0, "rate-per-s": None, "burst": None}
                )
            if n % 3 == 0:
                routes.append(
                    routes[n % len(day.routes)]
                    | {
                        "name": name(rng, "r-"),
                        "vhost": rng.choice(hosts),
                        "prefix": f"{self._prefix()}{n}/",
                        "type": "safe",
                        "public": True,
                    }
                )
        self._state = State(routes, tenants)
        self._guarded = bool(day.tenants)
        self.gen = rng.randrange(*FIRST_GEN)
        self._numbers = {self.gen}
        # for each tenant its keys, from when and until when clients have them
        self._keys = {t["name"]: [(key, -1 << 62, 1 << 62) for key in t["apikeys"]] for t in tenants}

    def _prefix(self) -> str:
        return "".join(f"/{name(self._rng)}" for _ in range(self._rng.choice((1, 1, 2)))) + "/"

    def _key(self) -> str:
        return "".join(self._rng.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=20))

    # ---- what clients know

    def place(self, route: str) -> tuple[str, str]:
        return self.places[route]

    def key(self, tenant: str, now: int, rng: Random) -> str | None:
        keys = [key for key, since, until in self._keys[tenant] if since <= now < until]
        return rng.choice(keys) if keys else None

    def worked(self, host: str, path: str) -> int:
        """Microseconds of work, by the longest prefix."""
        found = max((prefix for at, prefix in self.work if at == host and path.startswith(prefix)), key=len, default="")
        return self.work.get((host, found), 20 * MS)

    # ---- orders

    def first(self) -> Order:
        return self._order(self._state, self.gen, "first")

    def _order(self, state: State, gen: int, why: str, probes: tuple[Probe, ...] = ()) -> Order:
        keys = tuple((tenant["name"], tuple(tenant["apikeys"])) for tenant in state.tenants)
        return Order(gen, self._text(state, gen), True, probes, keys, why)

    def _next(self) -> int:
        self.gen += self._rng.randrange(*STEP)
        self._numbers.add(self.gen)
        return self.gen

    def _text(self, state: State, gen: int) -> bytes:
        rows = [[row[column] for column in COLUMNS] for row in state.routes]
        table: Row = {
            "gen": gen,
            "routes": {"cols": COLUMNS, "rows": rows},
            "svcs": {
                "cols": ["name", "hcheck", "max-conns", "proto", "tls"],
                "rows": [[service, "/healthz", 130, "h1", False] for service in self.services.values()],
            },
            "limits": {"hdr-bytes": 16384, "body-bytes": 1 << 26, "hdr": "3000ms", "idle": "15000ms"},
        }
        if self._guarded:
            columns = ("name", "apikeys", "prio", "rate-per-s", "burst")
            table["tenants"] = {"cols": columns, "rows": [[t[column] for column in columns] for t in state.tenants]}
        return json.dumps(table, separators=(",", ":")).encode()

    def change(self, how: str = "", base: State | None = None) -> Order:
        """A valid next version, by one of CHANGES ("": drawn)."""
        state = copy.deepcopy(base or self._state)
        fits = [kind for kind in CHANGES if self._fits(kind, state)]
        kind = how if how in fits else self._rng.choice(fits)
        probes: list[Probe] = getattr(self, f"_{kind}")(state)
        self._state = state
        gen = self._next()
        return self._order(state, gen, kind, tuple(probes))

    def _fits(self, kind: str, state: State) -> bool:
        if kind in ("route", "weights"):
            return len(self.services) > 1
        if kind == "quota":
            return any(t["rate-per-s"] for t in state.tenants)
        return kind != "tenant" or bool(state.tenants)

    def race(self, one_number: bool = False) -> tuple[Order, Order]:
        """Two changes of the same version; `one_number`: both bear the same one, and at most one can be taken."""
        base = self._state
        one, other = self.change("", base), self.change("", base)
        if one_number:
            one = replace(one, gen=other.gen, text=one.text.replace(b'"gen":%d' % one.gen, b'"gen":%d' % other.gen, 1))
        return one, other

    def placed(self, how: str) -> Order:
        """A valid one under the newest number, or under one below it that no other has."""
        was, gen = self._state, self.gen
        order = self.change("timeout")
        self._state, self.gen = was, gen
        free = [n for n in range(max(1, gen - STEP[1]), gen) if n not in self._numbers]
        under = self._rng.choice(free) if "old" in how and free else gen
        self._numbers.add(under)
        return replace(order, gen=under, text=order.text.replace(b'"gen":%d' % order.gen, b'"gen":%d' % under, 1))

    def revoke(self) -> Order:
        """A key is taken away, from a tenant that has another."""
        state = copy.deepcopy(self._state)
        rich = [t for t in state.tenants if len(t["apikeys"]) > 1]
        if not rich:
            return self.change("tenant")
        tenant = self._rng.choice(rich)
        gone = tenant["apikeys"].pop(self._rng.randrange(len(tenant["apikeys"])))
        self._state = state
        gen = self._next()
        host, prefix = self._some_guarded(state)
        return self._order(state, gen, "revoke", ((host, f"{prefix}probe", gone),))

    def _some_guarded(self, state: State) -> tuple[str, str]:
        row = self._rng.choice([r for r in state.routes if not r["public"]] or state.routes)
        return row["vhost"], row["prefix"]

    def taken(self, order: Order, now: int, apply: int) -> None:
        """It was acknowledged, and is the newest that was: clients learn of its keys."""
        for tenant, held in order.keys:
            known = {key: (since, until) for key, since, until in self._keys[tenant]}
            for key in held:
                known.setdefault(key, (now + 2 * apply, 1 << 62))
            self._keys[tenant] = [
                (key, since, until if key in held else min(until, now + KEEPS_ON))
                for key, (since, until) in known.items()
            ]

    def _original(self, state: State) -> list[Row]:
        return [row for row in state.routes if row["name"] not in state.added]

    def _route(self, state: State) -> list[Probe]:
        row = self._rng.choice(self._original(state))
        others = [s for s in self.services.values() if s != row["svc"]]
        row["svc"], row["split"] = self._rng.choice(others), None
        return self._probe(row)

    def _weights(self, state: State) -> list[Probe]:
        row = self._rng.choice(self._original(state))
        one, other = self._rng.sample(list(self.services.values()), 2)
        most = self._rng.choice((50, 75, 90))
        row["svc"], row["split"] = None, [{"svc": one, "wt": most}, {"svc": other, "wt": 100 - most}]
        return []

    def _timeout(self, state: State) -> list[Probe]:
        row = self._rng.choice(self._original(state))
        row["deadline"] = f"{float(row['deadline'].removesuffix('ms')) * self._rng.uniform(1, 1.3):.0f}ms"
        return []

    def _tenant(self, state: State) -> list[Probe]:
        tenant = self._rng.choice(state.tenants)
        key = self._key()
        tenant["apikeys"].append(key)
        host, prefix = self._some_guarded(state)
        return [(host, f"{prefix}probe", key)]

    def _quota(self, state: State) -> list[Probe]:
        tenant = self._rng.choice([t for t in state.tenants if t["rate-per-s"]])
        x = self._rng.choice((0.7, 0.8, 1.3, 1.6))
        tenant["rate-per-s"], tenant["burst"] = tenant["rate-per-s"] * x, (tenant["burst"] or 0) * x
        return []

    def _idle(self, state: State) -> list[Probe]:
        """Routes come, older ones that were added go."""
        probes: list[Probe] = []
        while len(state.added) + ADDED > MOST_ADDED:
            gone = state.added.pop(0)
            row = next(r for r in state.routes if r["name"] == gone)
            state.routes.remove(row)
            probes += self._probe(row)
        for _ in range(ADDED):
            like = self._rng.choice(self._original(state))
            # public: a tenant that is at its limit would hide from the probes what is in force
            row = like | {
                "name": name(self._rng, "r-"),
                "vhost": self._rng.choice(self._hosts),
                "prefix": self._prefix(),
                "type": "safe",
                "public": True,
            }
            state.routes.append(row)
            state.added.append(row["name"])
            self.work[row["vhost"], row["prefix"]] = 20 * MS
            probes += self._probe(row)
        probes.append((self._rng.choice(self._hosts), self._prefix() + "never", self._any_key(state)))
        return probes

    def _any_key(self, state: State) -> str | None:
        return self._rng.choice(state.tenants)["apikeys"][0] if state.tenants else None

    def _probe(self, row: Row) -> list[Probe]:
        """Without a key where none is asked for: whether such requests are their tenant's is left open by the pages."""
        key = None if row["public"] else self._any_key(self._state)
        return [(row["vhost"], f"{row['prefix']}probe", key)] if row["type"] == "safe" else []

    def spoil(self, how: str = "", hows: Sequence[str] = SPOILS) -> Order:
        """An invalid next version."""
        kind = how if how in hows else self._rng.choice(hows)
        state = copy.deepcopy(self._state)
        gen = self._next()
        row = self._rng.choice(state.routes)
        if kind == "unknown_service":
            row["svc"], row["split"] = name(self._rng), None
        elif kind == "same_place":
            state.routes.append(row | {"name": name(self._rng, "r-")})
        elif kind == "no_attempts":
            row["tries"] = 0
        elif kind == "aim_over":
            deadline = float(row["deadline"].removesuffix("ms"))
            row["target_time"] = f"{deadline + 60_000:g}ms"
        text = self._text(state, gen)
        if kind == "cut_short":
            text = text[: self._rng.randrange(1, len(text) - 1)]
        elif kind == "no_columns":
            text = text.replace(b'"cols"', b'"columns"', 1)
        return Order(gen, text, False, why=kind)
