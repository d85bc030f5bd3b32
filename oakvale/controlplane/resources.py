"""The resources of the control API, called by backends and operators: one class per resource, one method per verb.

A method replies at once or later through the callback that it is given. A change with an unknown outcome is answered
with a 5xx, never with a 4xx; a replica that is not the primary redirects to the one that is (307).
"""

from __future__ import annotations

import re
from collections.abc import Callable, Generator
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING, Any

import orjson

from oakvale.base.address import format_address, parse_address
from oakvale.base.loop import Loop
from oakvale.config.durations import parse_duration
from oakvale.config.settings import Settings
from oakvale.controlplane.compaction import RETENTION_US
from oakvale.controlplane.core import Core
from oakvale.controlplane.replies import UNCONFIRMED, Reply, ReplyCallback, error_reply
from oakvale.controlplane.views import View
from oakvale.dissemination.table import CONFIG_DIGEST_PREFIX
from oakvale.lifecycle.eventlog import EventLogger

if TYPE_CHECKING:  # imported only with contracts, or on a primary
    from oakvale.config.model import Configuration, ParsedConfiguration

BACKEND_ID = re.compile(r"[!-~]{1,128}")
# key prefix of the remembered digests; key behind it of the highest forgotten number
CONFIG_DIGESTS, HIGHEST_FORGOTTEN = CONFIG_DIGEST_PREFIX, "up-to"
MAX_REMEMBERED_CONFIGS = 1_000  # the highest numbers
MAX_CACHED_CHECKS = 64  # valid texts that need no further check
MAX_QUEUED_CHECKS = 16  # texts that wait for their check; further ones get a 503
MISSED_HEARTBEATS_LIMIT = 4  # a backend that missed this many counts as crashed
MAX_SILENT_SHARE = 0.34  # if more stop responding at once, the network towards this machine is at fault

log_event = EventLogger(__name__)


def _remember(known: dict[int, tuple[str, bytes]], gen: int, digest: bytes) -> dict[str, Any]:
    """Adds a number and its digest to `known` and returns the entries to write. Slots are reused, that of the lowest
    number first, so that no tombstones arise. A new number that is itself the lowest is forgotten at once."""
    slot, changes = str(len(known)), dict[str, Any]()
    if len(known) >= MAX_REMEMBERED_CONFIGS:
        lowest = min(*known, gen)
        changes[CONFIG_DIGESTS + HIGHEST_FORGOTTEN] = lowest
        if lowest == gen:
            return changes
        slot = known.pop(lowest)[0]
    known[gen] = (slot, digest)
    return changes | {CONFIG_DIGESTS + slot: [gen, digest]}


@dataclass(slots=True, frozen=True)
class CheckedConfig:
    """What is remembered of a text that is a valid configuration."""

    gen: int
    digest: bytes  # of its content, whatever its spelling (`config/model.py`)
    routes: int


class ConfigHandler:
    """The operator's configuration: `Replace` and `Read`.

    At most one content is ever confirmed under a number. The change that stores a configuration also writes its number
    and the digest of its content; so does the acknowledgement of an older number that was never stored. Later requests
    under that number are compared with it: the same content is confirmed, another one gets 409. Both replies wait until
    all earlier changes are in force, so that a refusal rests on state that is durable.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._checked: dict[bytes, CheckedConfig] = {}  # by digest of the text; the latest valid ones
        # by digest of the text: texts to be checked, and the callers that wait for each
        self._queue: dict[bytes, tuple[bytes, list[ReplyCallback]]] = {}
        # the running check of the first queued text
        self._check_steps: Generator[None, None, ParsedConfiguration] | None = None

    def replace(self, rest: str, body: bytes, send_reply: ReplyCallback) -> None:
        text_digest = blake2b(body, digest_size=16).digest()
        checked = self._checked.get(text_digest)
        if checked is not None:
            return self._decide(checked, body, send_reply)
        if text_digest in self._queue:
            return self._queue[text_digest][1].append(send_reply)
        if len(self._queue) >= MAX_QUEUED_CHECKS:
            return send_reply(UNCONFIRMED)
        if not self._queue:
            self._schedule_check_step()
        self._queue[text_digest] = (body, [send_reply])

    def _schedule_check_step(self) -> None:
        """Runs one step of one check per turn of the loop: a whole check can take longer than the heartbeat interval,
        and several in a row would make the peers count this machine as down."""
        self._core.loop.at(self._core.loop.now + 1, self._run_check_step)

    def _run_check_step(self, _: Any) -> None:
        from oakvale.config import model  # slow to import; only a primary needs it

        text_digest, (body, callers) = next(iter(self._queue.items()))
        self._check_steps = self._check_steps or model.parse_in_steps(body)
        unfinished = False
        refusal, checked = None, None
        try:
            next(self._check_steps)
            unfinished = True
        except StopIteration as ended:
            checked = self._cache_check(text_digest, *ended.value)
        except model.InvalidConfiguration as error:
            log_event("configuration refused", why=str(error)[:200])
            refusal = error_reply(400, str(error))
        finally:
            if not unfinished:
                self._check_steps = None
                del self._queue[text_digest]
            if self._queue:
                self._schedule_check_step()
        for send_reply in callers if not unfinished else ():
            if checked is not None:
                self._decide(checked, body, send_reply)
            elif refusal is not None:
                send_reply(refusal)

    def _cache_check(self, text_digest: bytes, config: Configuration, digest: bytes) -> CheckedConfig:
        while len(self._checked) >= MAX_CACHED_CHECKS:
            del self._checked[next(iter(self._checked))]
        checked = self._checked[text_digest] = CheckedConfig(config.gen, digest, len(config.routes))
        return checked

    def _decide(self, checked: CheckedConfig, body: bytes, send_reply: ReplyCallback) -> None:
        """Stores, confirms or refuses a valid configuration."""
        current = self._core.replicated_state.latest("config")
        known, forgotten = self._stored_digests()
        changes: dict[str, Any] = {}
        if current is not None and current["gen"] not in known:  # stored by a version that kept no digests
            changes |= _remember(known, current["gen"], self._digest(bytes(current["text"])))

        def reply_if_done(reply: Reply) -> Callable[[bool], None]:
            return lambda done: send_reply(reply if done else UNCONFIRMED)

        if checked.gen in known:
            if known[checked.gen][1] == checked.digest:
                return self._core.confirm(reply_if_done(Reply(200)), after_pending=True)
            log_event("configuration refused", why=f"another content of gen {checked.gen}")
            conflict = error_reply(409, f"gen {checked.gen}: taken with another content, which stays")
            return self._core.confirm(reply_if_done(conflict), after_pending=True)
        if forgotten is not None and checked.gen <= forgotten:
            why = f"gen {checked.gen}: what was taken up to {forgotten} is no longer known"
            return send_reply(Reply(503, orjson.dumps({"error": why}), UNCONFIRMED.headers))
        changes |= _remember(known, checked.gen, checked.digest)
        # entries that gateways receive too come last, so that in idle periods their version equals that of the core
        if current is None or checked.gen > current["gen"]:
            log_event("configuration", gen=checked.gen, routes=checked.routes, bytes=len(body))
            changes["config"] = {"gen": checked.gen, "text": body}
        else:
            changes["confirmed"] = None
        self._core.change(changes, reply_if_done(Reply(200)), after_pending=True)

    def _stored_digests(self) -> tuple[dict[int, tuple[str, bytes]], int | None]:
        """Number -> its slot and digest, including pending changes; and the highest forgotten number."""
        taken = self._core.replicated_state.latest_items(CONFIG_DIGESTS)
        forgotten = taken.pop(HIGHEST_FORGOTTEN, None)
        return {int(gen): (slot, digest) for slot, (gen, digest) in taken.items()}, forgotten

    def _digest(self, body: bytes) -> bytes:
        from oakvale.config import model

        text_digest = blake2b(body, digest_size=16).digest()
        try:
            return (
                self._checked.get(text_digest) or self._cache_check(text_digest, *model.parse_with_digest(body))
            ).digest
        except model.InvalidConfiguration:  # stored under older rules: no text that is valid now has the same content
            return b""

    def read(self, rest: str, body: bytes, send_reply: ReplyCallback) -> None:
        def confirmed(done: bool) -> None:
            config = self._core.replicated_state.table.get("config")
            if not done:
                send_reply(UNCONFIRMED)
            elif config is None:
                send_reply(error_reply(404, "no configuration yet"))
            else:
                send_reply(Reply(200, bytes(config["text"])))

        self._core.confirm(confirmed)


class BackendsHandler:
    """Registration of backends: `Heartbeat` and `Leave`."""

    def __init__(self, core: Core, loop: Loop, settings: Settings) -> None:
        self._core, self._loop, self._heartbeat_interval = core, loop, settings.beat
        self._url = format_address(settings.bind["ctl"]) if "ctl" in settings.bind else ""
        self._last_seen: dict[str, int] = {}
        self._last_call: dict[str, int] = {}  # the number of the latest heartbeat of each
        # returns the entries to write along with a backend's departure
        self.departure_changes: Callable[[str, str], dict[str, Any]] = lambda name, why: {}
        core.on_serving_change.append(self._serving_changed)
        loop.at(loop.now + self._heartbeat_interval, self._sweep)

    def heartbeat(self, name: str, body: bytes, send_reply: ReplyCallback) -> None:
        try:
            report = orjson.loads(body)
            fields = {
                "svc": str(report["svc"]),
                "addr": str(report["addr"]),
                "az": str(report.get("az") or ""),
                "gen": str(report.get("gen") or ""),
                "slots": float(report.get("slots") or 1),
                "state": str(report.get("state") or "ready"),
            }
            call_number = int(report.get("calls") or 0)
            warmup_us = parse_duration(report["warmup_time"]) if report.get("warmup_time") else 0
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
            return send_reply(error_reply(400, f"beat is not understood: {error!r}"[:200]))
        if not BACKEND_ID.fullmatch(name) or parse_address(fields["addr"]) is None:
            return send_reply(error_reply(400, "no id or no address"))
        key = f"backend/{name}"
        listed = self._core.replicated_state.latest(key)
        self._last_seen[name] = self._loop.now
        accepted = Reply(200, orjson.dumps({"beat-url": self._url}))
        late = call_number and call_number <= max(self._last_call.get(name, 0), listed["calls"] if listed else 0)
        removed = (
            listed is None and self._core.replicated_state.table.version(key) != (0, 0) and fields["state"] != "ready"
        )
        if late or removed or self._core.replicated_state.latest(f"left/{name}") is not None:
            return send_reply(accepted)
        self._last_call[name] = call_number
        if listed is not None and all(listed[field] == value for field, value in fields.items()):
            return (
                send_reply(accepted)
                if not self._core.replicated_state.is_pending(key)
                else self._core.when_settled(lambda done: send_reply(accepted if done else UNCONFIRMED))
            )
        changes: dict[str, Any] = {key: fields | {"calls": call_number, "warm": warmup_us}}
        for other, value in self._core.replicated_state.table.items("backend/"):
            if other != name and value["addr"] == fields["addr"]:
                changes[f"backend/{other}"] = None  # a new backend uses its address now
                changes |= self.departure_changes(other, "replaced")
        if listed is not None and listed["state"] == "ready" != fields["state"]:
            changes |= self.departure_changes(name, "drain")
        log_event("backend", backend=name, svc=fields["svc"], state=fields["state"], addr=fields["addr"])
        self._core.change(changes, lambda done: send_reply(accepted if done else UNCONFIRMED))

    def leave(self, name: str, body: bytes, send_reply: ReplyCallback) -> None:
        """Removes a backend and marks it as gone, also one that is not listed: its first heartbeat may still come."""
        self._last_seen.pop(name, None)
        state = self._core.replicated_state
        is_listed = state.latest(f"backend/{name}") is not None
        can_be_listed = BACKEND_ID.fullmatch(name) is not None and state.latest(f"left/{name}") is None
        if not is_listed and not can_be_listed:
            return self._core.confirm(lambda done: send_reply(Reply(200) if done else UNCONFIRMED))
        log_event("backend leaves", backend=name, listed=is_listed)
        changes: dict[str, Any] = {f"left/{name}": 1}
        if is_listed:
            changes |= {f"backend/{name}": None} | self.departure_changes(name, "left")
        self._core.change(changes, lambda done: send_reply(Reply(200) if done else UNCONFIRMED))

    def silent_for(self, span_us: int) -> list[str]:
        """The listed backends without a heartbeat for longer than `span_us`."""
        now = self._loop.now
        return [
            name
            for name, _ in self._core.replicated_state.table.items("backend/")
            if now - self._last_seen.get(name, now) > span_us
        ]

    def _serving_changed(self, serves: bool) -> None:
        """A new primary has received no heartbeats yet, so their absence counts from now."""
        if serves:
            now = self._loop.now
            self._last_seen = {name: now for name, _ in self._core.replicated_state.table.items("backend/")}
            self._last_call.clear()

    def _sweep(self, _: Any) -> None:
        """Removes backends that missed several heartbeats, unless so many did that a network fault towards this machine
        is more likely."""
        now = self._loop.now
        self._loop.at(now + self._heartbeat_interval, self._sweep)
        if not self._core.serving():
            return
        listed = [name for name, _ in self._core.replicated_state.table.items("backend/")]
        for name in set(self._last_call) - set(listed):
            if now - self._last_seen.get(name, 0) > RETENTION_US:
                del self._last_call[name]
                self._last_seen.pop(name, None)
        silent = [
            name
            for name in listed
            if now - self._last_seen.setdefault(name, now) > MISSED_HEARTBEATS_LIMIT * self._heartbeat_interval
        ]
        overdue = [name for name in listed if now - self._last_seen[name] > 2 * self._heartbeat_interval]
        if silent and (
            len(overdue) <= MAX_SILENT_SHARE * len(listed)
            or len(silent) == len(overdue) < len(listed)
            and now - min(self._last_seen[name] for name in silent)
            > 4 * MISSED_HEARTBEATS_LIMIT * self._heartbeat_interval
        ):
            log_event("backends are silent", "warning", backends=",".join(silent))
            changes: dict[str, Any] = {f"backend/{name}": None for name in silent}
            for name in silent:
                changes |= self.departure_changes(name, "silent")
            self._core.change(changes, lambda done: None)


def primary_url(view: View | None, port: int) -> str | None:
    """Host and `ctl` port of the primary of a view."""
    if view is None:
        return None
    address = parse_address(view.primary[0])
    return f"{address[0]}:{port}" if address else None
