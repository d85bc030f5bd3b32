"""What backends and operators call: one handler object for each resource, one method for each verb.

A handler answers at once or later, through the reply that it is given. What is not known to be done is answered
with a 5xx, never with a 4xx; who is not primary names the one that is (307).
"""

from __future__ import annotations

import re
from collections.abc import Callable, Generator
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import orjson

from oakvale.base.address import parse_address, spelled
from oakvale.base.loop import Loop
from oakvale.config.durations import micros
from oakvale.config.settings import Settings
from oakvale.controlplane.compaction import LEFT
from oakvale.controlplane.core import Core
from oakvale.controlplane.view_change import View
from oakvale.dissemination.table import CORE_ONLY_PREFIX
from oakvale.lifecycle.eventlog import EventLogger

if TYPE_CHECKING:  # of use only with contracts, or to a primary
    from oakvale.config.model import Configuration, Read
    from oakvale.controlplane.drains import Drains as Hand

JSON = (b"content-type", b"application/json")
ID = re.compile(r"[!-~]{1,128}")
NAME = re.compile(r"[0-9A-Za-z._-]{1,64}")  # of an order
TAKEN, FORGOTTEN = (
    CORE_ONLY_PREFIX,
    "up-to",
)  # of entries on numbers; of that on the highest number that is known no longer
MOST = 1_000  # numbers whose content is remembered, the highest
CHECKED = 64  # texts that need not be checked again
QUEUE = 16  # texts that wait to be checked; beyond, the caller is sent on
LOST_BEATS = 4  # without so many a backend counts as crashed
MASS = 0.34  # where more than this share falls silent at once, it is rather the way to here that broke

log_event = EventLogger(__name__)


@dataclass(slots=True, frozen=True)
class Reply:
    status: int
    body: bytes = b"{}"
    headers: tuple[tuple[bytes, bytes], ...] = ()


Give = Callable[[Reply], None]


def _remember(known: dict[int, tuple[str, bytes]], gen: int, digest: bytes) -> dict[str, Any]:
    """The entries for one more number, which also goes into `known`. Places are used again, that of the lowest number
    first, so that nothing has to be pruned and no graves are left. Where the new number is the lowest, it is forgotten
    at once: nothing more is said of it."""
    place, changes = str(len(known)), dict[str, Any]()
    if len(known) >= MOST:
        lowest = min(*known, gen)
        changes[TAKEN + FORGOTTEN] = lowest
        if lowest == gen:
            return changes
        place = known.pop(lowest)[0]
    known[gen] = (place, digest)
    return changes | {TAKEN + place: [gen, digest]}


def problem(status: int, why: str) -> Reply:
    return Reply(status, orjson.dumps({"error": why}))


UNSURE = Reply(503, orjson.dumps({"error": "not known to be kept"}), ((b"retry-after", b"0.2"),))


@dataclass(slots=True, frozen=True)
class Checked:
    """What is known of a text that was read as a configuration."""

    gen: int
    digest: bytes  # of its content (`config/model.py`)
    routes: int


class Config:
    """The operator's configuration: `Replace` and `Read`.

    At most one content is confirmed under a number. The change that takes a configuration also writes its number and
    the digest of its content; so does the acknowledgement of an older number that was never taken. Whatever comes later
    under that number is compared: the same content is confirmed, another gets 409. Both answers wait for the copies,
    and with them for all that was changed before: what is refused, is refused for something that lasts.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._checked: dict[bytes, Checked] = {}  # by the digest of the text; the latest that were valid
        self._queue: dict[bytes, tuple[bytes, list[Give]]] = {}  # texts to be checked, and who waits for each
        self._steps: Generator[None, None, Read] | None = None  # of the check of the first of them

    def replace(self, rest: str, body: bytes, give: Give) -> None:
        text = blake2b(body, digest_size=16).digest()
        checked = self._checked.get(text)
        if checked is not None:
            return self._judge(checked, body, give)
        if text in self._queue:
            return self._queue[text][1].append(give)
        if len(self._queue) >= QUEUE:
            return give(UNSURE)
        if not self._queue:
            self._soon()
        self._queue[text] = (body, [give])

    def _soon(self) -> None:
        """One step of one check in each turn of the loop: a large one takes longer than a heartbeat, and several in a
        row would have this machine taken for dead."""
        self._core.loop.at(self._core.loop.now + 1, self._check)

    def _check(self, _: Any) -> None:
        from oakvale.config import model  # slow to import; only a primary needs it

        text, (body, gives) = next(iter(self._queue.items()))
        self._steps = self._steps or model.reading(body)
        goes_on = False
        refused, checked = None, None
        try:
            next(self._steps)
            goes_on = True
        except StopIteration as ended:
            checked = self._keep(text, *ended.value)
        except model.Invalid as error:
            log_event("configuration refused", why=str(error)[:200])
            refused = problem(400, str(error))
        finally:
            if not goes_on:
                self._steps = None
                del self._queue[text]
            if self._queue:
                self._soon()
        for give in gives if not goes_on else ():
            if checked is not None:
                self._judge(checked, body, give)
            elif refused is not None:
                give(refused)

    def _keep(self, text: bytes, config: Configuration, digest: bytes) -> Checked:
        while len(self._checked) >= CHECKED:
            del self._checked[next(iter(self._checked))]
        checked = self._checked[text] = Checked(config.gen, digest, len(config.routes))
        return checked

    def _judge(self, order: Checked, body: bytes, give: Give) -> None:
        held = self._core.replicated_state.latest("config")
        known, forgotten = self._taken()
        changes: dict[str, Any] = {}
        if held is not None and held["gen"] not in known:  # from before such digests were kept
            changes |= _remember(known, held["gen"], self._digest(bytes(held["text"])))

        def told(reply: Reply) -> Callable[[bool], None]:
            return lambda done: give(reply if done else UNSURE)

        if order.gen in known:
            if known[order.gen][1] == order.digest:
                return self._core.confirm(told(Reply(200)), behind=True)
            log_event("configuration refused", why=f"another content of gen {order.gen}")
            no = problem(409, f"gen {order.gen}: taken with another content, which stays")
            return self._core.confirm(told(no), behind=True)
        if forgotten is not None and order.gen <= forgotten:
            why = f"gen {order.gen}: what was taken up to {forgotten} is no longer known"
            return give(Reply(503, orjson.dumps({"error": why}), UNSURE.headers))
        changes |= _remember(known, order.gen, order.digest)
        # what gateways are sent as well comes last, so that when all is still they are as far as the core
        if held is None or order.gen > held["gen"]:
            log_event("configuration", gen=order.gen, routes=order.routes, bytes=len(body))
            changes["config"] = {"gen": order.gen, "text": body}
        else:
            changes["confirmed"] = None
        self._core.change(changes, told(Reply(200)), behind=True)

    def _taken(self) -> tuple[dict[int, tuple[str, bytes]], int | None]:
        """Number -> its place and digest, with what waits to come into force; and up to which numbers are forgotten."""
        taken = self._core.replicated_state.latest_items(TAKEN)
        forgotten = taken.pop(FORGOTTEN, None)
        return {int(gen): (place, digest) for place, (gen, digest) in taken.items()}, forgotten

    def _digest(self, body: bytes) -> bytes:
        from oakvale.config import model

        text = blake2b(body, digest_size=16).digest()
        try:
            return (self._checked.get(text) or self._keep(text, *model.read(body))).digest
        except model.Invalid:  # taken when the rules were others: nothing that is valid now is the same
            return b""

    def read(self, rest: str, body: bytes, give: Give) -> None:
        def confirmed(done: bool) -> None:
            held = self._core.replicated_state.table.get("config")
            if not done:
                give(UNSURE)
            elif held is None:
                give(problem(404, "no configuration yet"))
            else:
                give(Reply(200, bytes(held["text"])))

        self._core.confirm(confirmed)


class Backends:
    """Backends' own reports: `Heartbeat` and `Leave`."""

    def __init__(self, core: Core, loop: Loop, settings: Settings) -> None:
        self._core, self._loop, self._beat = core, loop, settings.beat
        self._url = spelled(settings.bind["ctl"]) if "ctl" in settings.bind else ""
        self._seen: dict[str, int] = {}
        self._calls: dict[str, int] = {}
        self.leaves: Callable[[str, str], dict[str, Any]] = lambda name, why: {}  # is written with a backend's leaving
        core.on_change.append(self._turned)
        loop.at(loop.now + self._beat, self._sweep)

    def heartbeat(self, name: str, body: bytes, give: Give) -> None:
        try:
            report = orjson.loads(body)
            said = {
                "svc": str(report["svc"]),
                "addr": str(report["addr"]),
                "az": str(report.get("az") or ""),
                "gen": str(report.get("gen") or ""),
                "slots": float(report.get("slots") or 1),
                "state": str(report.get("state") or "ready"),
            }
            calls = int(report.get("calls") or 0)
            warm = micros(report["warmup_time"]) if report.get("warmup_time") else 0
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
            return give(problem(400, f"beat is not understood: {error!r}"[:200]))
        if not ID.fullmatch(name) or parse_address(said["addr"]) is None:
            return give(problem(400, "no id or no address"))
        key = f"backend/{name}"
        held = self._core.replicated_state.latest(key)
        self._seen[name] = self._loop.now
        yes = Reply(200, orjson.dumps({"beat-url": self._url}))
        late = calls and calls <= max(self._calls.get(name, 0), held["calls"] if held else 0)
        gone = held is None and self._core.replicated_state.table.version(key) != (0, 0) and said["state"] != "ready"
        if late or gone or self._core.replicated_state.latest(f"left/{name}") is not None:
            return give(yes)
        self._calls[name] = calls
        if held is not None and all(held[field] == value for field, value in said.items()):
            return (
                give(yes)
                if not self._core.replicated_state.has_pending()
                else self._core.when_settled(lambda done: give(yes if done else UNSURE))
            )
        changes: dict[str, Any] = {key: said | {"calls": calls, "warm": warm}}
        for other, value in self._core.replicated_state.table.items("backend/"):
            if other != name and value["addr"] == said["addr"]:
                changes[f"backend/{other}"] = None  # its address has another's life now
                changes |= self.leaves(other, "replaced")
        if held is not None and held["state"] == "ready" != said["state"]:
            changes |= self.leaves(name, "drain")
        log_event("backend", backend=name, svc=said["svc"], state=said["state"], addr=said["addr"])
        self._core.change(changes, lambda done: give(yes if done else UNSURE))

    def leave(self, name: str, body: bytes, give: Give) -> None:
        self._seen.pop(name, None)
        if self._core.replicated_state.latest(f"backend/{name}") is None:
            return self._core.confirm(lambda done: give(Reply(200) if done else UNSURE))
        log_event("backend leaves", backend=name)
        self._core.change(
            {f"backend/{name}": None, f"left/{name}": 1} | self.leaves(name, "left"),
            lambda done: give(Reply(200) if done else UNSURE),
        )

    def silent(self, span: int) -> list[str]:
        """Those on the list that have not beaten for so long."""
        now = self._loop.now
        return [
            name
            for name, _ in self._core.replicated_state.table.items("backend/")
            if now - self._seen.get(name, now) > span
        ]

    def _turned(self, serves: bool) -> None:
        """A new primary heard nothing before: silence counts from now."""
        if serves:
            now = self._loop.now
            self._seen = {name: now for name, _ in self._core.replicated_state.table.items("backend/")}
            self._calls.clear()

    def _sweep(self, _: Any) -> None:
        """Those not heard for some beats are taken from the list, unless so many fall silent that it is rather
        the way from them to here that broke."""
        now = self._loop.now
        self._loop.at(now + self._beat, self._sweep)
        if not self._core.serving():
            return
        listed = [name for name, _ in self._core.replicated_state.table.items("backend/")]
        for name in set(self._calls) - set(listed):
            if now - self._seen.get(name, 0) > LEFT:
                del self._calls[name]
                self._seen.pop(name, None)
        silent = [name for name in listed if now - self._seen.setdefault(name, now) > LOST_BEATS * self._beat]
        quiet = [name for name in listed if now - self._seen[name] > 2 * self._beat]
        if silent and (
            len(quiet) <= MASS * len(listed)
            or len(silent) == len(quiet) < len(listed)
            and now - min(self._seen[name] for name in silent) > 4 * LOST_BEATS * self._beat
        ):
            log_event("backends are silent", "warning", backends=",".join(silent))
            changes: dict[str, Any] = {f"backend/{name}": None for name in silent}
            for name in silent:
                changes |= self.leaves(name, "silent")
            self._core.change(changes, lambda done: None)


class Drains:
    """Drain orders: `Order`, `Plan` (an order that is not kept), `Show` and `Cancel`. Off without contracts."""

    def __init__(self, core: Core, drains: Hand) -> None:
        self._core, self._drains = core, drains

    def order(self, name: str, body: bytes, give: Give) -> None:
        """Taken if its plan has no obstacle; sent again unchanged, it is answered as before."""
        self._judge(name, body, give, keep=True)

    def plan(self, name: str, body: bytes, give: Give) -> None:
        self._judge(name, body, give, keep=False)

    def _judge(self, name: str, body: bytes, give: Give, keep: bool) -> None:
        from oakvale.config import contracts  # here, as what they import is needed with contracts alone
        from oakvale.drains import report

        now = self._drains.now()
        if keep and not NAME.fullmatch(name):
            return give(problem(400, "no name of the order: letters, digits, dot, dash, up to 64"))
        try:
            form = contracts.order(contracts.Order, body)
        except contracts.BadOrder as error:
            return give(problem(400, str(error)))
        if self._drains.contracts is None:
            return give(problem(409, "the file of contracts can't be used: see the log"))
        if now is None:
            return give(problem(503, "the clocks of the core machines don't agree on the time yet"))
        given = {"kind": form.kind, "target": form.target, "by": form.by, "why": form.why, "due": form.due_at()}
        held = self._core.replicated_state.latest(f"drain/{name}") if keep else None
        if held is not None:
            if any(held[field] != value for field, value in given.items()):
                return give(problem(409, "another order has this name"))
            return self._core.confirm(lambda done: give(Reply(200) if done else UNSURE))
        if keep and any(key.startswith("drain/") for key in self._core.replicated_state.pending_keys()):
            return give(UNSURE)  # another order is being kept: this one's plan has to know it
        entry, plan = self._drains.entry(given, now)
        told = report.of_plan(plan)
        if not keep:
            return give(Reply(200, orjson.dumps(told)))
        if plan.obstacles:
            return give(Reply(409, orjson.dumps({"error": "; ".join(plan.obstacles), "plan": told})))
        log_event("drain ordered", order=name, kind=form.kind, target=form.target, by=form.by)
        self._core.change(
            {f"drain/{name}": entry}, lambda done: give(Reply(200, orjson.dumps(told)) if done else UNSURE)
        )

    def cancel(self, name: str, body: bytes, give: Give) -> None:
        """What has moved comes back, each tenant in its hours."""
        from oakvale.config import contracts

        try:
            form = contracts.order(contracts.Cancelled, body)
        except contracts.BadOrder as error:
            return give(problem(400, str(error)))
        held = self._core.replicated_state.latest(f"drain/{name}")
        if held is None:
            return give(problem(404, "no such order"))
        if held["cancelled"] or held["state"] == "done":
            return self._core.confirm(lambda done: give(Reply(200) if done else UNSURE))
        log_event("drain cancelled", order=name, by=form.by)
        entry = held | {
            "state": "cancelled",
            "cancelled": True,
            "why_state": f"cancelled by {form.by}: {form.why}",
            "over": held["over"] or self._drains.now() or held["at"],
        }
        self._core.change({f"drain/{name}": entry}, lambda done: give(Reply(200) if done else UNSURE))

    def show(self, name: str, body: bytes, give: Give) -> None:
        def confirmed(done: bool) -> None:
            if not done:
                give(UNSURE)
            elif name and self._core.replicated_state.table.get(f"drain/{name}") is None:
                give(problem(404, "no such order"))
            else:
                give(Reply(200, orjson.dumps(self._drains.told(name))))

        self._core.confirm(confirmed)


def primary_url(view: View | None, port: int) -> str | None:
    if view is None:
        return None
    address = parse_address(view.primary[0])
    return f"{address[0]}:{port}" if address else None
