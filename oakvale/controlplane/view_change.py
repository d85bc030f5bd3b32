"""View changes: which replica is primary for the control state. Each view is decided by the witnesses of the view
before it.

This module does no I/O and reads no clock. A view names its primary, the backups that hold every acknowledged change of
the view, and the witnesses that vote on its successor. Witnesses store only views and ballots (single-decree Paxos for
each successor, without a log). A machine that has lost its disk gets a new incarnation and so is a new replica: it
cannot break promises of the old one, and it votes only after a view has admitted it.

Safety rests on three rules:

- Each view has one successor: ballots need a majority of the view's witnesses, and each vote is synced to disk before
  it is sent.
- A replica proposes only itself as primary, and only while it is complete, which means that it holds every acknowledged
  change.
- A replica is complete in view n+1 if it was complete in view n and holds a copy in n+1, or once it has synced the
  state sent by the primary of n+1. That primary acknowledges nothing until all backups of n+1 are complete, and every
  later change needs all of them. A backup that has moved on to another view refuses.

A view may be decided long after its primary proposed it and crashed. Then no copy of the view is complete, and none can
become so. Once a single backup has promised that it is not complete and never will be, the view is void: nothing was or
will be acknowledged in it, so the replicas that were complete in the view before are complete in this one too.

Membership changes one step at a time. Until a new copy is complete, the copies of the previous view still hold
everything (voiding the view returns the lead to them), so no other change follows in the meantime, except to replace a
copy that is lost. After that, a spare may take the place of one witness. It can vote at once because the first ballot
carries the view. Where a zone or region may fail as a whole, a complete view is followed by views that spread first the
copies and then the witnesses over more zones or regions, one replica at a time, as long as that is possible.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from oakvale.controlplane.failure_domains import FailureDomains
from oakvale.controlplane.views import (
    NO_BALLOT,
    Ballot,
    DurableState,
    Replica,
    View,
    pack_accepted,
    unpack_accepted,
    unpack_replica,
    unpack_view,
)

CAMPAIGN_TIMEOUT_SILENCES = 4  # how long one campaign may take, in heartbeat timeouts
SUCCESSOR_WAIT_SILENCES = 2  # until a spare that appeared at about the same time may replace a silent witness


# ---- outputs, for the caller to carry out


@dataclass(slots=True, frozen=True)
class PersistState:
    """Sync this state to disk, then call `persisted(number)`."""

    number: int
    state: DurableState


@dataclass(slots=True, frozen=True)
class ElectionMessage:
    """Send this message of the election protocol to a replica."""

    to: Replica
    kind: str
    body: list[Any]


@dataclass(slots=True, frozen=True)
class ViewAdopted:
    """Another view is now in force on this replica."""

    view: View


ViewOutput = PersistState | ElectionMessage | ViewAdopted


@dataclass(slots=True)
class Campaign:
    """A proposer's attempt to get one successor decided."""

    proposed: View
    ballot: Ballot
    started_at: int
    last_sent_at: int  # when messages were last sent to the witnesses
    promises: dict[Replica, tuple[Ballot, View] | None] = field(default_factory=dict)
    accepts: set[Replica] = field(default_factory=set)
    chosen: View | None = None  # the view put to the vote once a majority has promised


class ViewManager:
    """The part of one replica in view changes. Times are microseconds of a monotonic clock that the caller reads."""

    def __init__(
        self,
        self_id: Replica,
        state: DurableState,
        copy_count: int,
        silence_us: int,
        replacement_delay_us: int,
        zone: str = "",
        domains: FailureDomains | None = None,
    ) -> None:
        self.self_id, self.state = self_id, state
        self._domains = domains or FailureDomains()
        self._copy_count, self._silence_us, self._replacement_delay_us = copy_count, silence_us, replacement_delay_us
        self._last_heartbeat: dict[Replica, int] = {}
        self._zones: dict[Replica, str] = {self_id: zone} if zone else {}
        self._spares: dict[Replica, int] = {}  # replicas outside the view -> when first seen
        self._leaving: set[Replica] = set()  # peers that are shutting down
        self._released: set[Replica] = set()  # leaving peers that may stop and get no copy
        self.self_leaving = False  # this replica is shutting down
        self._campaign: Campaign | None = None
        self._round = 0
        self._next_attempt_at = 0
        self._proposing_since = 0
        self._last_number = 0
        self._after_persisted: dict[int, list[ViewOutput]] = {}  # state number -> outputs that wait for its sync
        self._out: list[ViewOutput] = []
        self._started_at: int | None = None
        self._persisted_view = state.view.number if state.view else 0  # the newest view on disk
        self._voided_view = 0  # the newest view led here that a backup has voided

    # ---- events

    def tick(self, now: int, disk_healthy: bool = True, backups_synced: bool = True) -> list[ViewOutput]:
        """To be called several times a second. `disk_healthy` is false while the local disk does not respond;
        `backups_synced` is false while this replica is primary and some backup does not hold the state yet."""
        self._started_at = now if self._started_at is None else self._started_at
        view = self.state.view
        self._forget_stale_peers(now, view)
        if (
            view is not None
            and disk_healthy
            and (now - self._started_at > self._silence_us or self._copy_lost(now, view))
        ):
            self._propose_if_needed(now, view, backups_synced)
        return self._flush()

    def _forget_stale_peers(self, now: int, view: View | None) -> None:
        """Forgets peers that stopped responding long ago, except members of the view."""
        replicas = (*view.copies, *view.witnesses) if view is not None else ()
        for peer in [
            p
            for p, heard_at in self._last_heartbeat.items()
            if p not in replicas and now - heard_at > self._replacement_delay_us
        ]:
            del self._last_heartbeat[peer]
            self._zones.pop(peer, None)
        self._spares = {peer: since for peer, since in self._spares.items() if peer in self._last_heartbeat}
        self._leaving &= {*self._last_heartbeat, *replicas}
        self._released &= {*self._last_heartbeat, *replicas}

    def heartbeat_received(
        self, now: int, peer: Replica, zone: str, view: View | None, leaving: bool = False
    ) -> list[ViewOutput]:
        """Handles a heartbeat, which carries the peer's replica, its view and whether it is shutting down."""
        self._last_heartbeat[peer] = now
        self._zones[peer] = zone
        if leaving:
            self.mark_leaving(peer)
        else:
            self._leaving.discard(peer)
            self._released.discard(peer)
        if view is not None:
            self._learn(view)
        current = self.state.view
        if current is not None and peer not in current.witnesses:
            self._spares.setdefault(peer, now)
        return self._flush()

    def message(self, now: int, sender: Replica, kind: str, body: list[Any]) -> list[ViewOutput]:
        """Handles a message of the election protocol."""
        {
            "prepare": self._prepare,
            "promise": self._promise,
            "accept": self._accept,
            "accepted": self._accepted,
            "decided": self._decided,
            "refused": self._refused,
            "void": self._void,
            "voided": self._voided,
        }[kind](now, sender, body)
        return self._flush()

    def learn(self, view: View) -> list[ViewOutput]:
        """Adopts a decided view that some replica already acts on."""
        self._learn(view)
        return self._flush()

    def persisted(self, number: int) -> list[ViewOutput]:
        """The state with this number, and thus all earlier ones, is on disk."""
        for persisted_number in sorted(n for n in self._after_persisted if n <= number):
            after = self._after_persisted.pop(persisted_number)
            self._persisted_view = max(
                [self._persisted_view, *(item.view.number for item in after if isinstance(item, ViewAdopted))]
            )
            self._out += after
        return self._flush()

    def synced(self, view: int) -> list[ViewOutput]:
        """Everything that the primary of this view sent is on the local disk."""
        number = self.state.view.number if self.state.view else 0
        if number == view and self.state.complete < view and self.state.void != view:
            self._persist(replace(self.state, complete=view), [])
        return self._flush()

    def voided_by_backup(self, view: int) -> None:
        """A backup will never be complete in the view of which this replica is primary, so another view is needed."""
        self._voided_view = max(self._voided_view, view)

    # ---- queries

    def is_primary(self) -> bool:
        """Whether this replica is primary of the view that it knows, and complete in it."""
        view = self.state.view
        return view is not None and view.primary == self.self_id and self.state.complete == view.number

    def alive(self, peer: Replica, now: int) -> bool:
        """Whether the peer has sent a heartbeat recently."""
        return peer == self.self_id or now - self._last_heartbeat.get(peer, -self._silence_us) < self._silence_us

    def is_available(self, peer: Replica, now: int) -> bool:
        """Whether the peer is alive and not shutting down."""
        return self.alive(peer, now) and peer not in self._leaving

    def mark_leaving(self, peer: Replica) -> None:
        """The peer is shutting down; it keeps its duties until other replicas do them."""
        self._leaving.add(peer)

    def release(self, peer: Replica) -> None:
        """This primary has allowed the peer to shut down."""
        self._released.add(peer)

    def is_leaving(self, peer: Replica) -> bool:
        """Whether the peer has announced that it is shutting down."""
        return peer in self._leaving

    def peer_stopped(self, peer: Replica) -> None:
        """The peer stops now and counts as not responding until its next heartbeat."""
        self._last_heartbeat.pop(peer, None)
        self._spares.pop(peer, None)
        self._leaving.add(peer)

    def is_persisted(self, view: View) -> bool:
        """Whether this view is the newest one on disk."""
        return self._persisted_view == view.number

    def majority_reachable(self, now: int) -> bool:
        """Whether most witnesses of the known view are sending heartbeats."""
        view = self.state.view
        return view is not None and sum(self.alive(peer, now) for peer in view.witnesses) >= view.majority

    def too_few_remain(self, now: int, leaving_peer: Replica, view: View) -> bool:
        """Whether fewer machines than copies remain without this one, counting those that do not respond, so that
        nobody can replace it."""
        leaving = {leaving_peer, *self._leaving} | ({self.self_id} if self.self_leaving else set())
        spares = {peer for peer in self._spares if self.is_available(peer, now)}
        return len({*view.witnesses, *spares} - leaving) < self._copy_count

    def _copy_lost(self, now: int, view: View) -> bool:
        """Whether a copy's address responds as another replica, so that the copy's disk is lost, and a majority is up
        to decide on a successor."""
        responding = {spare[0] for spare in self._spares if self.alive(spare, now)}
        return (
            any(peer[0] in responding and not self.alive(peer, now) for peer in view.copies)
            and sum(self.alive(peer, now) for peer in view.witnesses) >= view.majority
        )

    # ---- proposing

    def _propose_if_needed(self, now: int, view: View, backups_synced: bool) -> None:
        """Starts or continues a campaign if this replica should lead another view."""
        campaign = self._campaign
        if campaign is not None and now - campaign.started_at < CAMPAIGN_TIMEOUT_SILENCES * self._silence_us:
            return self._resend(now, view, campaign)
        self._campaign = None
        if now < self._next_attempt_at or self._persisted_view != view.number:
            return  # after a crash it would be back in the view before, and incomplete in the view won here
        if self.state.complete == view.number - 1 and not self.alive(view.primary, now):
            self._next_attempt_at = now + self._silence_us // 2
            self._out += [ElectionMessage(backup, "void", [view.pack()]) for backup in view.backups]
        if self.state.complete != view.number:
            return
        wanted = self.proposed_view(now, view, backups_synced)
        if wanted is None:
            self._proposing_since = 0
            return
        # a copy waits for available copies that precede it: concurrent proposers only delay each other
        before = view.copies[: view.copies.index(self.self_id)] if self.self_id in view.copies else view.copies
        rank = sum(self.is_available(peer, now) for peer in before)
        self._proposing_since = self._proposing_since or now
        if now - self._proposing_since < rank * self._silence_us // 4:
            return
        self._round += 1
        self._next_attempt_at = now + self._silence_us // 2 * (1 + rank)
        ballot = (max(self._round, self.state.promised[0] + 1), self.self_id)
        self._round = ballot[0]
        self._campaign = Campaign(wanted, ballot, now, now)
        # synced first: after a crash the same ballot must not be sent with another view
        packed = [ballot[0], list(ballot[1])]
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

    def _resend(self, now: int, view: View, campaign: Campaign) -> None:
        """Repeats lost messages under the same ballot; a new ballot each time would invalidate the votes of witnesses
        with slow disks."""
        if now - campaign.last_sent_at < self._silence_us or self.self_id not in campaign.promises:
            return
        campaign.last_sent_at = now
        packed = [campaign.ballot[0], list(campaign.ballot[1])]
        for witness in view.witnesses:
            if campaign.chosen is not None and witness not in campaign.accepts:
                self._out.append(ElectionMessage(witness, "accept", [view.pack(), packed, campaign.chosen.pack()]))
            elif campaign.chosen is None and witness not in campaign.promises:
                self._out.append(ElectionMessage(witness, "prepare", [view.pack(), packed]))

    def proposed_view(self, now: int, view: View, backups_synced: bool) -> View | None:
        """The successor that this replica would propose, or None if the current view works or has to become complete
        first."""
        # a replica that is complete without being a copy knows that the view was voided
        voided = self._voided_view == view.number or self.self_id not in view.copies
        is_leading = self.self_id == view.primary
        if (
            not voided
            and not is_leading
            and (self.alive if self.self_leaving else self.is_available)(view.primary, now)
        ):
            return None
        if (
            not voided
            and is_leading
            and not (backups_synced and not self.self_leaving)
            and all(self.is_available(b, now) for b in view.backups)
        ):
            return None  # a copy is being synced, or is taking over from this replica
        witnesses = self._with_replaced_disks(now, view)
        backups = self._backups(now, view, witnesses)
        if backups is None or self.self_id not in witnesses:
            return None  # too few replicas to acknowledge anything in a new view
        if not is_leading and view.primary in backups:
            return None  # it is shutting down, but nobody else can hold its copy
        if (
            is_leading
            and backups_synced
            and not voided
            and witnesses == view.witnesses
            and set(backups) == set(view.backups)
        ):
            backups = self._spread_backups(now, view, backups)
            witnesses = self._next_witnesses(now, view) if set(backups) == set(view.backups) else witnesses
        successor = View(view.number + 1, self.self_id, backups, witnesses)
        unchanged = is_leading and (set(backups), set(witnesses)) == (set(view.backups), set(view.witnesses))
        return None if unchanged and not voided else successor

    def _with_replaced_disks(self, now: int, view: View) -> tuple[Replica, ...]:
        """The witnesses, with one that lost its disk replaced by the replica that now has its address: the old one
        never responds again."""
        for spare in sorted(self._spares):
            for peer in view.witnesses:
                if peer[0] == spare[0] and peer != spare and self.is_available(spare, now):
                    return tuple(spare if w == peer else w for w in view.witnesses)
        return view.witnesses

    def _backups(self, now: int, view: View, witnesses: tuple[Replica, ...]) -> tuple[Replica, ...] | None:
        """Who would hold copies beside this replica: the current backups, then others, preferably in other zones.
        Replicas that are shutting down come last."""
        reachable = [w for w in witnesses if w != self.self_id and self.alive(w, now) and w not in self._released]
        chosen = [b for b in view.backups if b in reachable and self.is_available(b, now)]
        backup_count = min(self._copy_count, len(witnesses)) - 1
        if len(reachable) < backup_count:
            return None
        while len(chosen) < backup_count:
            zones = {self._zones.get(b) for b in (self.self_id, *chosen)}
            chosen.append(
                min(
                    (w for w in reachable if w not in chosen),
                    key=lambda w: (
                        not self.is_available(w, now),
                        self._colocation_cost((self.self_id, *chosen, w)),
                        self._zones.get(w) in zones,
                        w,
                    ),
                )
            )
        return tuple(chosen[:backup_count])

    def _colocation_cost(self, replicas: Iterable[Replica]) -> tuple[int, int]:
        return self._domains.colocation_cost(self._zones.get(one) for one in replicas)

    def _spread_backups(self, now: int, view: View, backups: tuple[Replica, ...]) -> tuple[Replica, ...]:
        """The backups, after moving one out of a zone or region that it shares with another copy, if that one may fail
        as a whole."""
        free = [w for w in view.witnesses if w not in view.copies and self.is_available(w, now)]
        candidates = [tuple(w if b == backup else b for b in backups) for w in sorted(free) for backup in backups]
        return self._less_colocated(backups, candidates, (self.self_id,))

    def _less_colocated(
        self, replicas: tuple[Replica, ...], candidates: Iterable[tuple[Replica, ...]], beside: tuple[Replica, ...] = ()
    ) -> tuple[Replica, ...]:
        """The least colocated of the candidates if it is better than `replicas`. The zone of a replica that never sent
        a heartbeat is unknown; candidates with such a replica are not considered."""
        known = [candidate for candidate in candidates if all(peer in self._zones for peer in (*candidate, *beside))]
        best = min(known, key=lambda candidate: self._colocation_cost((*candidate, *beside)), default=replicas)
        improves = all(peer in self._zones for peer in replicas) and (
            self._colocation_cost((*best, *beside)) < self._colocation_cost((*replicas, *beside))
        )
        return best if improves else replicas

    def _next_witnesses(self, now: int, view: View) -> tuple[Replica, ...]:
        """The witnesses after one change: one is added if there are too few to survive the loss of all copies but one,
        or a spare takes the place of one that is gone, or of one that holds no copy and shares a zone or region with
        others."""
        staying = [w for w in view.witnesses if self.is_available(w, now)]
        zones = {self._zones.get(w) for w in staying}
        spares = [spare for spare in self._spares if self.is_available(spare, now) and spare not in view.witnesses]
        for spare in sorted(
            spares, key=lambda s: (self._colocation_cost((*staying, s)), self._zones.get(s) in zones, s)
        ):
            replaceable = next((w for w in view.witnesses if self._may_be_replaced(now, w, spare)), None)
            if replaceable is not None:
                return tuple(spare if w == replaceable else w for w in view.witnesses)
            if len(view.witnesses) < 2 * self._copy_count - 1:
                return (*view.witnesses, spare)
        return self._less_colocated(
            view.witnesses,
            [
                tuple(spare if w == moved else w for w in view.witnesses)
                for spare in sorted(spares)
                for moved in view.witnesses
                if moved not in view.copies
            ],
        )

    def _may_be_replaced(self, now: int, witness: Replica, spare: Replica) -> bool:
        """Whether the spare may replace this witness: it is shutting down, or has not responded for the replacement
        delay. A shorter time is enough if the spare first appeared around then, as it was probably started as the
        replacement. A spare that was there before leaves the witness time to restart."""
        if witness == self.self_id or self.is_available(witness, now):
            return False
        started_at = self._started_at or 0
        last_heartbeat, spare_since = max(self._last_heartbeat.get(witness, 0), started_at), self._spares[spare]
        successor = (
            spare_since > started_at + SUCCESSOR_WAIT_SILENCES * self._silence_us
            and spare_since > last_heartbeat - self._replacement_delay_us
        )
        return witness in self._leaving or now - last_heartbeat > (
            SUCCESSOR_WAIT_SILENCES * self._silence_us if successor else self._replacement_delay_us
        )

    def _promise(self, now: int, sender: Replica, body: list[Any]) -> None:
        number, ballot, accepted = int(body[0]), (int(body[1][0]), unpack_replica(body[1][1])), body[2]
        campaign, view = self._campaign, self.state.view
        if campaign is None or view is None or view.number != number or campaign.ballot != ballot:
            return
        if sender not in view.witnesses or campaign.chosen is not None:
            return
        campaign.promises[sender] = unpack_accepted(accepted)
        if len(campaign.promises) < view.majority:
            return
        earlier = [promise for promise in campaign.promises.values() if promise is not None]
        campaign.chosen = max(earlier, key=lambda p: p[0])[1] if earlier else campaign.proposed
        for witness in view.witnesses:
            self._out.append(
                ElectionMessage(witness, "accept", [view.pack(), [ballot[0], list(ballot[1])], campaign.chosen.pack()])
            )

    def _accepted(self, now: int, sender: Replica, body: list[Any]) -> None:
        number, ballot = int(body[0]), (int(body[1][0]), unpack_replica(body[1][1]))
        campaign, view = self._campaign, self.state.view
        if campaign is None or view is None or view.number != number or campaign.ballot != ballot:
            return
        if sender not in view.witnesses or campaign.chosen is None:
            return
        campaign.accepts.add(sender)
        if len(campaign.accepts) >= view.majority:
            chosen = campaign.chosen
            self._learn(chosen)
            for peer in sorted({*view.witnesses, *chosen.witnesses} - {self.self_id}):
                self._out.append(ElectionMessage(peer, "decided", [chosen.pack()]))

    def _refused(self, now: int, sender: Replica, body: list[Any]) -> None:
        """A witness knows a newer view, or has promised a higher ballot."""
        if body[0] is not None:
            self._learn(unpack_view(body[0]))
        self._round = max(self._round, int(body[1]))
        if self._campaign is not None and self._campaign.ballot[0] <= int(body[1]):
            self._campaign = None

    # ---- voting as a witness

    def _prepare(self, now: int, sender: Replica, body: list[Any]) -> None:
        view, ballot = unpack_view(body[0]), (int(body[1][0]), unpack_replica(body[1][1]))
        if not self._may_vote(view, ballot, sender):
            return
        packed = pack_accepted(self.state.accepted)
        self._persist(
            replace(self.state, promised=ballot),
            [ElectionMessage(sender, "promise", [view.number, [ballot[0], list(ballot[1])], packed])],
        )

    def _accept(self, now: int, sender: Replica, body: list[Any]) -> None:
        view, ballot, value = unpack_view(body[0]), (int(body[1][0]), unpack_replica(body[1][1])), unpack_view(body[2])
        if not self._may_vote(view, ballot, sender):
            return
        self._persist(
            replace(self.state, promised=ballot, accepted=(ballot, value)),
            [ElectionMessage(sender, "accepted", [view.number, [ballot[0], list(ballot[1])]])],
        )

    def _may_vote(self, view: View, ballot: Ballot, sender: Replica) -> bool:
        """Whether this witness may vote for the ballot. A view that has a proposed successor is decided, so it is
        adopted first."""
        self._learn(view)
        current = self.state.view
        assert current is not None
        if current.number != view.number or ballot < self.state.promised:
            self._out.append(ElectionMessage(sender, "refused", [current.pack(), self.state.promised[0]]))
            return False
        return self.self_id in current.witnesses

    def _void(self, now: int, sender: Replica, body: list[Any]) -> None:
        view = unpack_view(body[0])
        self._learn(view)
        current = self.state.view
        if current == view and self.self_id in view.backups and self.state.complete < view.number:
            self._persist(replace(self.state, void=view.number), [ElectionMessage(sender, "voided", [view.number])])

    def _voided(self, now: int, sender: Replica, body: list[Any]) -> None:
        view = self.state.view
        if (
            view is not None
            and view.number == int(body[0])
            and sender in view.backups
            and self.state.complete == view.number - 1
        ):
            self._persist(replace(self.state, complete=view.number), [])

    def _decided(self, now: int, sender: Replica, body: list[Any]) -> None:
        self._learn(unpack_view(body[0]))

    # ---- persistence

    def _learn(self, view: View) -> None:
        """Adopts a newer decided view. A replica that is complete stays so if it holds a copy in the very next view."""
        current = self.state.view
        if current is not None and view.number <= current.number:
            return
        complete = self.state.complete
        if (
            current is not None
            and complete == current.number
            and view.number == current.number + 1
            and self.self_id in view.copies
        ):
            complete = view.number
        self._campaign = None
        self._proposing_since = 0
        self._spares = {s: t for s, t in self._spares.items() if s not in view.witnesses}
        self._persist(DurableState(view, NO_BALLOT, None, complete, self.state.void), [ViewAdopted(view)])

    def _persist(self, state: DurableState, after: list[ViewOutput]) -> None:
        self.state = state
        self._last_number += 1
        self._after_persisted[self._last_number] = after
        self._out.append(PersistState(self._last_number, state))

    def _flush(self) -> list[ViewOutput]:
        out, self._out = self._out, []
        messages = []
        for item in out:
            if isinstance(item, ElectionMessage) and item.to == self.self_id:
                messages += self.message(0, item.to, item.kind, item.body)  # the proposer votes as a witness too
            else:
                messages.append(item)
        return messages
