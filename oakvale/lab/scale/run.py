"""One run at one size: the steps, and what is measured in each. A row is handed on as soon as its step is over, so
that an unfinished run leaves what it has."""

from __future__ import annotations

import os
import platform
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from oakvale.lab.scale.control import Silent, quantile
from oakvale.lab.scale.gateways import list_digest
from oakvale.lab.scale.machines import LOST, Machines, Unfinished
from oakvale.lab.scale.sizes import BEAT, Size, configuration

LOOK = 0.1  # seconds between two looks at what all know
REPLACED = 0.02  # of backends that are released anew
CALLS = 4.0  # calls to the counter a second of each gateway, while they are made
Row = dict[str, Any]
Tell = Callable[[Row], None]


class Run:
    def __init__(
        self,
        size: Size,
        tell: Tell,
        span: float = 15.0,
        patience: float = 60.0,
        limit: float = 240.0,
        beat: float = BEAT,
        at_once: bool = True,
        show: Callable[[str], None] = lambda text: None,
    ) -> None:
        """`span` of a steady part, `patience` with each wait, `limit` of the whole and `beat` in seconds. `at_once`:
        gateways are first begun all together."""
        self._at_once = at_once
        self.beat = beat
        self._last: dict[str, Any] | None = None
        self.reached: set[str] = set()  # steps that came to their end
        self.size, self._tell, self._span, self._patience, self._show = size, tell, span, patience, show
        self.machines = Machines(size, beat)
        self._due = time.monotonic() + limit
        self._gen = 0

    def play(self) -> bool:
        """Whether all steps came to their end."""
        steps = (
            self.start,
            self.backends,
            self.gateways,
            self.slowly,
            self.steady,
            self.calls,
            self.change,
            self.changes,
            self.replaced,
            self.tenth,
            self.tenth_back,
            self.primary,
            self.primary_back,
            self.zone,
            self.zone_back,
        )
        whole = True
        try:
            for step in steps:
                name = step.__name__
                self._show(name)
                if time.monotonic() > self._due:
                    self._row(name, {"failed": "not run: the time for this size was over"})
                    whole = False
                    continue
                began = time.monotonic()
                try:
                    found = step()
                    if found:
                        self._row(name, found | {"took_s": round(time.monotonic() - began, 2)})
                        self.reached.add(name)
                except (Unfinished, Silent) as error:
                    whole = False
                    self._row(
                        name, {"failed": str(error), "took_s": round(time.monotonic() - began, 2)} | self._so_far()
                    )
                    if step in (self.start, self.backends, self.slowly):
                        break  # nothing can be measured on what did not start
        finally:
            self.machines.stop()
        return whole

    def _so_far(self) -> Row:
        """What a step cost that came to no end."""
        try:
            return self._cost(self._last) if self._last is not None else {}
        except (Unfinished, Silent, OSError):
            return {}

    def _row(self, step: str, found: Row) -> None:
        ended = self.machines.ended()
        self._tell(
            {
                "step": step,
                **self.size.told(),
                **found,
                **({"ended": ended} if ended else {}),
                "load": round(os.getloadavg()[0], 1),
                "cores": os.cpu_count(),
                "beat_s": self.beat,
                "python": platform.python_version(),
            }
        )

    # ---- what is measured

    def _wait(self, so: Callable[[], str], what: str, patience: float = 0.0, pause: float = LOOK) -> float:
        """Milliseconds until `so` has nothing to say against it. Raises Unfinished with what it said last."""
        began = time.monotonic()
        while True:
            why = so()
            if not why:
                return round((time.monotonic() - began) * 1e3, 1)
            if time.monotonic() - began > (patience or self._patience) or time.monotonic() > self._due:
                raise Unfinished(f"{what}: not in {time.monotonic() - began:.0f} s: {why}")
            time.sleep(pause)

    def _serves(self, but: str = "") -> str:
        serving = [one for one in self.machines.standing().values() if one["serving"]]
        return "" if serving else "no primary"

    def _primary(self) -> str:
        for name, one in self.machines.standing().items():
            if one["serving"]:
                return name
        raise Unfinished("no primary")

    def _beaten(self) -> str:
        known = sum(self.machines.ask(name, "look")["known"] for name in self.machines.beaters)
        return "" if known >= self.size.backends else f"{known} of {self.size.backends} backends heard lately"

    def _whole(self, lists: bool = True) -> str:
        """Every gateway has fresh news, the newest configuration, and all that live on its list, and no other; it
        knows all backends, those that left not. `lists`: as long as few live, the dead stay on the list, as nobody is
        there to miss them."""
        machines = self.machines
        lives: dict[str, str] = {}
        for name in machines.up(machines.workers):
            lives |= machines.ask(name, "lives")
        odd: list[str] = []
        for name in machines.up(machines.real):
            one = machines.ask(name, "status")
            lives[one["node"]] = one["life"]
            listed = len(one["gateways"].split(","))
            if not 0 <= one["news_age_ms"] < 800 or one["gen"] != self._gen:
                odd.append(f"{name}: gen {one['gen']}, {listed} gateways, news of {one['news_age_ms']} ms ago")
        digest = list_digest(lives)
        for name in machines.up(machines.workers):
            one = machines.ask(name, "look")
            many = one["gateways"]
            good = {
                "fresh": one["fresh"],
                "list": one["lists"].get(digest, 0),
                "gen": one["gens"].get(self._gen, 0),
                "backends": one["backends"].get(self.size.backends, 0),
            }
            if not lists:
                del good["list"]
            if min(good.values()) < many:
                odd.append(f"{name}: of {many}: " + ", ".join(f"{what} {n}" for what, n in good.items()))
        return f"{len(odd)} processes: {odd[0]}" if odd else ""

    def _mark(self) -> dict[str, Any]:
        machines = self.machines
        for name in machines.up([*machines.workers, *machines.beaters]):
            machines.ask(name, "mark")
        self._last = {"at": time.monotonic(), "used": machines.used(), "status": self._sent()}
        return self._last

    def _sent(self) -> dict[str, dict[str, Any]]:
        machines = self.machines
        return machines.standing() | {name: machines.ask(name, "status") for name in machines.up(machines.real)}

    def _cost(self, mark: dict[str, Any]) -> Row:
        """Since the mark, for each role: one core for 1 s is 100 % of a second. Bytes are those that the links sent."""
        machines, seconds = self.machines, time.monotonic() - mark["at"]
        used, status = machines.used(), self._sent()
        roles: dict[str, Row] = {}

        def cpu(name: str) -> float:
            before: float = mark["used"].get(name, {"cpu_s": 0.0})["cpu_s"]
            return used[name]["cpu_s"] - before

        spans = {name: machines.ask(name, "span") for name in machines.up(machines.workers)}
        for name, one in status.items():
            if name not in used:
                continue
            before = mark["status"].get(name, {})  # it may have begun since
            sent = {kind[5:]: count - before.get(kind, 0) for kind, count in one.items() if kind.startswith("sent.")}
            place = one.get("place") or "sluice"
            role = roles.setdefault("idle core" if place == "none" else place, {"machines": 0})
            role["machines"] += 1
            figures = {
                "cpu_percent": cpu(name) / seconds * 100,
                "mb": used[name]["mb"],
                "most_mb": used[name]["most_mb"],
                "fds": used[name]["fds"],
                "sent_bytes_s": sum(sent.values()) / seconds,
            }
            for figure, value in figures.items():  # of several in a role: the dearest
                role[figure] = max(role.get(figure, 0), round(value, 2))
            by_kind = role.setdefault("sent_by_kind", {})
            for kind, count in sent.items():
                if count:
                    by_kind[kind] = max(by_kind.get(kind, 0), round(count / seconds, 1))
        hollow = sum(sum(r["gateways"] for r in one["roles"].values()) for one in spans.values())
        if hollow:
            come = sum((Counter(one["come"]) for one in spans.values()), Counter())
            out = sum((Counter(one["out"]) for one in spans.values()), Counter())
            roles["hollow"] = {
                "machines": hollow,
                "cpu_percent": round(sum(map(cpu, spans)) / hollow / seconds * 100, 3),
                "mb": round(sum(used[name]["mb"] for name in spans) / hollow, 1),
                "fds": round(sum(used[name]["fds"] for name in spans) / hollow, 1),
                "come_bytes_s": round(sum(one["bytes_in"] for one in spans.values()) / hollow / seconds, 1),
                "frames_out_s": round(out.total() / hollow / seconds, 2),
                "frames_in_s": round(come.total() / hollow / seconds, 2),
                "in_by_kind_s": {kind or "answers": round(n / hollow / seconds, 3) for kind, n in come.most_common(12)},
            }
        for place in ("plain", "relay", "counter"):
            parts = [one["roles"][place] for one in spans.values() if place in one["roles"]]
            if parts:
                many = sum(part["gateways"] for part in parts)
                sent = sum((Counter(part["sent"]) for part in parts), Counter())
                roles[place] = {
                    "machines": many,
                    "sent_bytes_s": round(sent.total() / many / seconds, 1),
                    "most_bytes_s": round(max(part["most"] for part in parts) / seconds, 1),
                    "links": max(part["links"] for part in parts),
                    "below": max(part["below"] for part in parts),
                    "sent_by_kind": {kind: round(n / many / seconds, 1) for kind, n in sent.most_common(12)},
                }
        beats: Counter[str] = Counter()
        slow = {"p50_ms": 0.0, "p99_ms": 0.0}  # of the process of backends that waited longest
        for name in machines.up(machines.beaters):
            one = machines.ask(name, "look")
            for verb, (good, bad) in one["counts"].items():
                beats[verb] += good
                beats[f"{verb} failed"] += bad
            slow = {figure: max(worst, one[figure]) for figure, worst in slow.items()}
        waits = [wait for one in spans.values() for wait in one["waits"]]
        found: Row = {
            "seconds": round(seconds, 2),
            "roles": roles,
            "beats": {"counts": dict(beats), **slow},
            "all_mb": round(sum(one["mb"] for one in used.values())),
            "processes": len(used),
        }
        if waits:
            found["calls"] = {
                "counted": sum(one["counted"] for one in spans.values()),
                "uncounted": sum(one["uncounted"] for one in spans.values()),
                "p50_ms": quantile(waits, 0.5),
                "p99_ms": quantile(waits, 0.99),
            }
        return found

    # ---- the steps

    def start(self) -> Row:
        """Core machines alone, then the first configuration."""
        self.machines.start(self.machines.core)
        self.machines.listens(self.machines.core, self._patience)
        serving = self._wait(self._serves, "a primary")
        self._gen, body = 1, configuration(self.size, 1)
        return {"serving_ms": serving, "config_bytes": len(body), "ack_ms": round(self.machines.order(body, 30), 1)}

    def backends(self) -> Row:
        """All backends begin within one beat; no gateway is there yet."""
        mark = self._mark()
        self.machines.start(self.machines.beaters)
        self.machines.listens(self.machines.beaters, self._patience)
        known = self._wait(self._beaten, "all backends heard", pause=0.25)
        return {"known_ms": known} | self._cost(mark)

    def gateways(self) -> Row:
        """All gateways begin at once."""
        if not self._at_once:
            return {}
        return self._begin([*self.machines.real, *self.machines.workers])

    def slowly(self) -> Row:
        """Where they could not begin at once: one process of them after the other."""
        if "gateways" in self.reached:
            return {}
        names = [*self.machines.real, *self.machines.workers]
        self.machines.kill(self.machines.up(names))
        self._wait(self._serves, "a primary")
        mark, began = self._mark(), time.monotonic()
        for name in names:
            self.machines.start([name])
            self.machines.listens([name], self._patience)
            self._wait(lambda: self._whole(lists=False), f"news at {name}")
        self._wait(self._whole, "all known to all")
        return {"whole_ms": round((time.monotonic() - began) * 1e3, 1)} | self._cost(mark)

    def _begin(self, names: list[str]) -> Row:
        mark, began = self._mark(), time.monotonic()
        self.machines.start(names)
        self.machines.listens(names, self._patience)
        up = round((time.monotonic() - began) * 1e3, 1)
        self._wait(self._whole, "all known to all")
        return {"processes_ms": up, "whole_ms": round((time.monotonic() - began) * 1e3, 1)} | self._cost(mark)

    def steady(self) -> Row:
        time.sleep(min(2 * self.beat, self._span))  # what the start left comes to rest
        mark = self._mark()
        time.sleep(self._span)
        return self._cost(mark)

    def calls(self) -> Row:
        """Every gateway asks the counter at a steady rate."""
        workers = self.machines.up(self.machines.workers)
        for name in workers:
            self.machines.ask(name, "rate", CALLS * self.machines.ask(name, "look")["gateways"])
        self._wait(
            lambda: ""
            if sum(self.machines.ask(name, "span")["counted"] for name in workers) > 10
            else "few calls were counted",
            "counters are found",
        )
        mark = self._mark()
        time.sleep(self._span / 2)
        found = self._cost(mark)
        for name in workers:
            self.machines.ask(name, "rate", 0)
        return found

    def _spread(self, began: float, gen: int) -> Row:
        came = [
            (at - began) * 1e3
            for name in self.machines.up(self.machines.workers)
            for at in self.machines.ask(name, "learned", gen)
        ]
        return {
            "reached": len(came),
            "p50_ms": quantile(came, 0.5),
            "p99_ms": quantile(came, 0.99),
            "last_ms": quantile(came, 1.0),
        }

    def change(self) -> Row:
        mark, body = self._mark(), configuration(self.size, self._gen + 1)
        self._gen += 1
        began = time.monotonic()
        acked = self.machines.order(body, 30)
        real = {"real_ms": self._real(began)}
        self._wait(self._whole, "all known to all")
        whole = round((time.monotonic() - began) * 1e3, 1)
        return {"ack_ms": round(acked, 1), "whole_ms": whole, **real, **self._spread(began, self._gen)} | self._cost(
            mark
        )

    def _real(self, began: float) -> list[float]:
        """When each real gateway decides by the newest configuration."""
        found = []
        for name in self.machines.up(self.machines.real):
            self._wait(
                lambda name=name: ""  # type: ignore[misc]
                if self.machines.ask(name, "status")["gen"] == self._gen
                else "it has an older one",
                f"{name} knows it",
                pause=0.02,
            )
            found.append(round((time.monotonic() - began) * 1e3, 1))
        return found

    def changes(self) -> Row:
        """Ten in a row, each sent when the one before was acknowledged."""
        bodies = [configuration(self.size, self._gen + n + 1) for n in range(10)]
        mark, began, acked = self._mark(), time.monotonic(), []
        for body in bodies:
            acked.append(self.machines.order(body, 30))
            self._gen += 1
        self._wait(self._whole, "all known to all")
        return {
            "ack_p50_ms": quantile(acked, 0.5),
            "ack_last_ms": quantile(acked, 1.0),
            "whole_ms": round((time.monotonic() - began) * 1e3, 1),
            **self._spread(began, self._gen),
        } | self._cost(mark)

    def replaced(self) -> Row:
        """A part of the backends is released anew: drain, leave, begin."""
        beaters = self.machines.beaters
        each = max(1, round(REPLACED * self.size.backends / len(beaters)))
        mark = self._mark()
        for name in beaters:
            self.machines.ask(name, "replace", each)

        def done() -> str:
            counts: Counter[str] = Counter()
            for name in beaters:
                for verb, (good, bad) in self.machines.ask(name, "look")["counts"].items():
                    counts[verb] += good + bad
            left = counts["Leave drain"]
            return "" if left >= each * len(beaters) else f"{left} of {each * len(beaters)} have left"

        left = self._wait(done, "all have left")
        whole = self._wait(self._whole, "all known to all")
        return {"replaced": each * len(beaters), "left_ms": left, "whole_ms": round(left + whole, 1)} | self._cost(mark)

    def _killed(self, names: list[str]) -> Row:
        mark = self._mark()
        self.machines.kill(self.machines.up(names))
        return {"whole_ms": self._wait(self._whole, "all known to all")} | self._cost(mark)

    def _back(self, names: list[str]) -> Row:
        return self._begin([name for name in names if name not in self.machines.up(names)])

    def tenth(self) -> Row:
        return self._killed(self.machines.groups["tenth"])

    def tenth_back(self) -> Row:
        return self._back(self.machines.groups["tenth"])

    def primary(self) -> Row:
        """The primary is killed: another serves, a change is acknowledged, all have fresh news, backends are heard."""
        body = configuration(self.size, self._gen + 1)
        mark, old = self._mark(), self._primary()
        began = time.monotonic()
        self.machines.kill([old])
        serving = self._wait(self._serves, "a new primary", pause=0.02)
        self.machines.order(body, 30)
        self._gen += 1
        acked = round((time.monotonic() - began) * 1e3, 1)
        self._wait(self._whole, "all known to all")
        whole = round((time.monotonic() - began) * 1e3, 1)
        self._wait(self._beaten, "all backends heard")
        heard = round((time.monotonic() - began) * 1e3, 1)
        time.sleep(self._span / 3)  # beats find the new primary
        return {"serving_ms": serving, "ack_ms": acked, "whole_ms": whole, "heard_ms": heard} | self._cost(mark)

    def primary_back(self) -> Row:
        return self._back(self.machines.core)

    def zone(self) -> Row:
        """A zone is killed with its gateways and its core machine."""
        names = self.machines.groups[f"zone {LOST}"]
        return {"with_primary": self._primary() in names} | self._killed(names)

    def zone_back(self) -> Row:
        return self._back(self.machines.groups[f"zone {LOST}"])
