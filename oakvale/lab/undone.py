"""Fixes taken out: what stood there before, for variants to swap in. The laboratory has to find again with each of them
what the users' bench had found, and not without it (docs/incidents/system.md, docs/results.md)."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from oakvale.base.address import parse_address
from oakvale.controlplane.replicated_state import ReplicatedState
from oakvale.controlplane.resources import UNCONFIRMED, CheckedConfig, ConfigHandler, Reply, ReplyCallback
from oakvale.controlplane.view_change import LASTS, Campaign, Say, Seat, View, ViewManager, _packed
from oakvale.dissemination.feed import Feed, log_event
from oakvale.policy.limits import Limits


def copy_lost(self: ViewManager, now: int, view: View) -> bool:
    """A copy that came back without its disk was not told from one that is silent: inc-5ca6 and four more."""
    return False


def consider(self: ViewManager, now: int, view: View, whole: bool) -> None:
    """As `Succession._consider`, but copies waited for those before them, dead ones too: inc-5ca6 and four more."""
    campaign = self._campaign
    if campaign is not None and now - campaign.began < LASTS * self._silence:
        return self._say_again(now, view, campaign)
    self._campaign = None
    if now < self._next_try or self._stored != view.number:
        return
    if self.state.complete == view.number - 1 and not self.alive(view.primary, now):
        self._next_try = now + self._silence // 2
        self._out += [Say(backup, "void", [view.pack()]) for backup in view.backups]
    if self.state.complete != view.number:
        return
    wanted = self.wanted(now, view, whole)
    if wanted is None:
        self._wanted_since = 0
        return
    rank = view.copies.index(self.own) if self.own in view.copies else len(view.copies)
    self._wanted_since = self._wanted_since or now
    if now - self._wanted_since < rank * self._silence // 4:
        return
    self._round += 1
    self._next_try = now + self._silence // 2 * (1 + rank)
    ballot: tuple[int, Seat] = (max(self._round, self.state.promised[0] + 1), self.own)
    self._round = ballot[0]
    self._campaign = Campaign(wanted, ballot, now, now)
    packed: list[Any] = [ballot[0], list(ballot[1])]
    self._keep(
        replace(self.state, promised=ballot),
        [
            *(Say(witness, "prepare", [view.pack(), packed]) for witness in view.witnesses if witness != self.own),
            Say(self.own, "promise", [view.number, packed, _packed(self.state.accepted)]),
        ],
    )


def next_source(self: Feed, now: int) -> None:
    """As `Feed._next`, but each source asked in a spell without news was noted as fallen silent: 236 to 306 lines a day
    on the same five days."""
    if self._source is not None:
        self._failed[f"{self._source[0]}:{self._source[1]}"] = now
        if self.fresh_at:
            log_event("news are stale", source=self._source[0], for_ms=(now - self.fresh_at) // 1000)
    ways = self._sources(self._failed)
    if ways and (address := parse_address(ways[0])) is not None:
        self._ask(address)


def leaving(self: ViewManager, peer: Seat) -> None:
    """A primary that was told to end did not say so, or nobody listened: its backup found out by its end."""


def any_below(self: ConfigHandler, order: CheckedConfig, body: bytes, give: ReplyCallback) -> None:
    """As `ConfigHandler._decide`, but whatever is not above the number held was confirmed: two contents under one
    number."""
    held = self._core.replicated_state.latest("config")

    def told(done: bool) -> None:
        give(Reply(200) if done else UNCONFIRMED)

    if held is not None and order.gen <= held["gen"]:
        return self._core.confirm(told)
    self._core.change({"config": {"gen": order.gen, "text": body}}, told)


def taken_in_memory(self: ConfigHandler) -> Any:
    """As `ConfigHandler._stored_digests`, with the next: what was taken is known to the process that took it, until it
    ends."""
    return self.__dict__.setdefault("_memory", {}), None


def remember_in_memory(known: dict[int, tuple[str, bytes]], gen: int, digest: bytes) -> dict[str, Any]:
    known[gen] = ("", digest)
    return {}


def latest_items(self: ReplicatedState, prefix: str) -> dict[str, Any]:
    """As `Ledger.latest_items`, but what is made once its pieces are with the backups was left out: of two orders under
    one number that came in one another's wake, both were confirmed (drawn day 14003)."""
    found = dict(self.table.items(prefix))
    for pending in self._pending:
        found |= {key[len(prefix) :]: value for key, _, value in pending.entries if key.startswith(prefix)}
    return {name: value for name, value in found.items() if value is not None}


def finish(self: Limits, request_id: str) -> None:
    """As `Limits.finish`, but what was out went on for clients that had left: incident GONE."""
    pending = self.context.pending.get(request_id)
    if pending is not None:
        pending.finished = True
        if not pending.in_flight and not pending.pending_calls:
            del self.context.pending[request_id]
