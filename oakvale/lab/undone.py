"""Fixes taken out: what stood there before, for variants to swap in. The laboratory has to find again with each of them
what the users' bench had found, and not without it (docs/incidents/system.md, docs/results.md)."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from oakvale.base.address import parse_address
from oakvale.controlplane.replicated_state import ReplicatedState
from oakvale.controlplane.resources import UNCONFIRMED, CheckedConfig, ConfigHandler, Reply, ReplyCallback
from oakvale.controlplane.view_change import CAMPAIGN_TIMEOUT_SILENCES, Campaign, ElectionMessage, ViewManager
from oakvale.controlplane.views import Replica, View, pack_accepted
from oakvale.dissemination.feed import Feed, log_event
from oakvale.policy.limits import Limits


def copy_lost(self: ViewManager, now: int, view: View) -> bool:
    """A copy that came back without its disk was not told from one that is silent: inc-5ca6 and four more."""
    return False


def propose_if_needed(self: ViewManager, now: int, view: View, backups_synced: bool) -> None:
    """As `ViewManager._propose_if_needed`, but copies waited for all before them, dead ones too: inc-5ca6, 4 more."""
    campaign = self._campaign
    if campaign is not None and now - campaign.started_at < CAMPAIGN_TIMEOUT_SILENCES * self._silence_us:
        return self._resend(now, view, campaign)
    self._campaign = None
    if now < self._next_attempt_at or self._persisted_view != view.number:
        return
    if self.state.complete == view.number - 1 and not self.alive(view.primary, now):
        self._next_attempt_at = now + self._silence_us // 2
        self._out += [ElectionMessage(backup, "void", [view.pack()]) for backup in view.backups]
    if self.state.complete != view.number:
        return
    wanted = self.proposed_view(now, view, backups_synced)
    if wanted is None:
        self._proposing_since = 0
        return
    rank = view.copies.index(self.self_id) if self.self_id in view.copies else len(view.copies)
    self._proposing_since = self._proposing_since or now
    if now - self._proposing_since < rank * self._silence_us // 4:
        return
    self._round += 1
    self._next_attempt_at = now + self._silence_us // 2 * (1 + rank)
    ballot: tuple[int, Replica] = (max(self._round, self.state.promised[0] + 1), self.self_id)
    self._round = ballot[0]
    self._campaign = Campaign(wanted, ballot, now, now)
    packed: list[Any] = [ballot[0], list(ballot[1])]
    self._persist(
        replace(self.state, promised=ballot),
        [
            *(
                ElectionMessage(witness, "prepare", [view.pack(), packed])
                for witness in view.witnesses
                if witness != self.self_id
            ),
            ElectionMessage(self.self_id, "promise", [view.number, packed, pack_accepted(self.state.accepted)]),
        ],
    )


def next_source(self: Feed, now: int) -> None:
    """As `Feed._try_next_source`, but each source asked in a spell without news was noted as fallen silent: 236 to
    306 lines a day on the same five days."""
    if self._source is not None:
        self._failed_at[f"{self._source[0]}:{self._source[1]}"] = now
        if self.last_fresh_at:
            log_event("news are stale", source=self._source[0], for_ms=(now - self.last_fresh_at) // 1000)
    ways = self._candidate_sources(self._failed_at)
    if ways and (address := parse_address(ways[0])) is not None:
        self._request_updates(address)


def mark_leaving(self: ViewManager, peer: Replica) -> None:
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
    """As `ReplicatedState.latest_items`, but what is made once its pieces are with the backups was left out: of two
    orders under one number that came in one another's wake, both were confirmed (drawn day 14003)."""
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
