"""Who is primary: views of the control state, one after the other, each decided by the witnesses of the one before.

No I/O and no clock. A view names its primary, the backups that hold all that was ever acknowledged in it, and
the witnesses that decide on its successor. They keep nothing but views and ballots (single-decree Paxos for each
successor; no log). A machine that lost its disk has another incarnation, hence is another seat: what it once
promised can't be broken by it, and it votes again only after a view has admitted it.

Safety, in three steps:
- one successor for each view: ballots of a majority of the view's witnesses, synced before each answer;
- a seat proposes only itself as primary, and only when it is complete: it holds all that was acknowledged;
- a seat is complete in view n+1 if it was complete in n and is a copy in n+1, or once it has synced the state
  that n+1's primary sent. That primary acknowledges nothing before all backups of n+1 are complete, and each
  later change needs all of them; a backup that has moved on to another view refuses.

A view may be decided long after its primary proposed it and died: then no copy of it is complete, nor ever will
be. One backup's word that it is not complete and won't be voids the view: nothing was or will be acknowledged in
it, so who was complete in the view before is complete in this one.

Members change one step at a time. While a view's new copy is not whole, the copies of the view before still hold all
(a void gives them the lead back), so no other change follows until it is, but to replace a copy that is lost. Then
one witness may give its seat to a spare; a newcomer votes at once, as it is told the view with the first ballot.
Where a zone or a region may be lost at once, a view that is whole is followed by one whose copies, then whose
witnesses, stand in more of them, one seat at a time, until that can't be had.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from oakvale.controlplane.failure_domains import FailureDomains

Replica = tuple[str, str]  # where it is spoken to ("10.1.0.33:7340"), and its incarnation
Ballot = tuple[int, Replica]

BOOTSTRAP_INCARNATION = "founder"  # the incarnation of the seats that a new system starts with
NO_BALLOT: Ballot = (0, ("", ""))
CAMPAIGN_TIMEOUT_SILENCES = 4  # times the silence, for one attempt at a successor
SUCCESSOR_WAIT_SILENCES = (
    2  # times the silence, until a witness gives its seat to a spare that came when it fell silent
)


@dataclass(slots=True, frozen=True)
class View:
    number: int
    primary: Replica
    backups: tuple[Replica, ...]
    witnesses: tuple[Replica, ...]

    @property
    def copies(self) -> tuple[Replica, ...]:
        return (self.primary, *self.backups)

    @property
    def majority(self) -> int:
        return len(self.witnesses) // 2 + 1

    def pack(self) -> list[Any]:
        return [self.number, list(self.primary), [list(s) for s in self.backups], [list(s) for s in self.witnesses]]


def unpack_view(data: Any) -> View:
    number, primary, backups, witnesses = data
    return View(
        int(number), unpack_replica(primary), tuple(map(unpack_replica, backups)), tuple(map(unpack_replica, witnesses))
    )


def unpack_replica(data: Any) -> Replica:
    address, incarnation = data
    return str(address), str(incarnation)


def bootstrap_view(seeds: Iterable[str], copies: int) -> View:
    """The first view, which all seats work out alike from the seeds of the first start."""
    seats = tuple((address, BOOTSTRAP_INCARNATION) for address in sorted(set(seeds)))
    return View(1, seats[0], seats[1:copies], seats)


def bootstrap_state(view: View, own: Replica) -> DurableState:
    """What a founder begins with, and again as long as it has kept nothing newer: its copies lack nothing."""
    return DurableState(view, complete=view.number if own in view.copies else 0)


@dataclass(slots=True, frozen=True)
class DurableState:
    """What a seat keeps on disk, synced before it speaks of it."""

    view: View | None = None
    promised: Ballot = NO_BALLOT  # for the successor of `view`
    accepted: tuple[Ballot, View] | None = None
    complete: int = 0  # the newest view in which this seat holds all that was acknowledged
    void: int = 0  # the newest view that it refuses to become complete in

    def pack(self) -> list[Any]:
        accepted = _packed(self.accepted)
        return [
            self.view.pack() if self.view else None,
            [self.promised[0], list(self.promised[1])],
            accepted,
            self.complete,
            self.void,
        ]


def unpack_durable_state(data: Any) -> DurableState:
    view, promised, accepted, complete, void = data
    return DurableState(
        unpack_view(view) if view else None,
        (int(promised[0]), unpack_replica(promised[1])),
        _unpacked(accepted),
        int(complete),
        int(void),
    )


def _packed(accepted: tuple[Ballot, View] | None) -> list[Any] | None:
    return [[accepted[0][0], list(accepted[0][1])], accepted[1].pack()] if accepted else None


def _unpacked(data: Any) -> tuple[Ballot, View] | None:
    return ((int(data[0][0]), unpack_replica(data[0][1])), unpack_view(data[1])) if data else None


# ---- what comes out


@dataclass(slots=True, frozen=True)
class PersistState:
    """Sync this, then call `kept(number)`."""

    number: int
    state: DurableState


@dataclass(slots=True, frozen=True)
class ElectionMessage:
    to: Replica
    kind: str
    body: list[Any]


@dataclass(slots=True, frozen=True)
class ViewAdopted:
    """Another view is in force here."""

    view: View


ViewOutput = PersistState | ElectionMessage | ViewAdopted


@dataclass(slots=True)
class Campaign:
    """A proposer's attempt to have one successor decided."""

    value: View
    ballot: Ballot
    started_at: int
    last_sent_at: int  # when it was put to the witnesses last
    promises: dict[Replica, tuple[Ballot, View] | None] = field(default_factory=dict)
    accepts: set[Replica] = field(default_factory=set)
    chosen: View | None = None  # the value put to the vote, once a majority has promised


class ViewManager:
    """One seat's part. Times are microseconds of a steady clock that only the caller reads."""

    def __init__(
        self,
        own: Replica,
        state: DurableState,
        copies: int,
        silence: int,
        patience: int,
        zone: str = "",
        domains: FailureDomains | None = None,
    ) -> None:
        self.self_id, self.state = own, state
        self._domains = domains or FailureDomains()
        self._copies, self._silence, self._patience = copies, silence, patience
        self._last_heartbeat: dict[Replica, int] = {}
        self._zones: dict[Replica, str] = {own: zone} if zone else {}
        self._spares: dict[Replica, int] = {}  # seats that ask to be let in, and since when they are heard
        self._leaving: set[Replica] = set()  # those that said that they end, until they are heard of as before
        self._released: set[Replica] = set()  # of those, whom this primary has let go: they hold no copy any more
        self.self_leaving = False  # this seat is told to end
        self._campaign: Campaign | None = None
        self._round = 0
        self._next_attempt_at = 0
        self._proposing_since = 0
        self._last_number = 0
        self._after_persisted: dict[int, list[ViewOutput]] = {}  # said once the numbered state is synced
        self._out: list[ViewOutput] = []
        self._started_at: int | None = None
        self._persisted_view = state.view.number if state.view else 0  # the newest view that is on disk
        self._voided_view = 0  # a view of its own that a backup has voided

    # ---- what it is told

    def tick(self, now: int, healthy: bool = True, whole: bool = True) -> list[ViewOutput]:
        """Several times a second. `healthy` is false while this seat's own disk does not answer, `whole` while it leads
        and not all of its backups hold the state."""
        self._started_at = now if self._started_at is None else self._started_at
        view = self.state.view
        self._forget(now, view)
        if view is not None and healthy and (now - self._started_at > self._silence or self._copy_lost(now, view)):
            self._propose_if_needed(now, view, whole)
        return self._flush()

    def _forget(self, now: int, view: View | None) -> None:
        """Seats that are gone, but for those of the view."""
        seats = (*view.copies, *view.witnesses) if view is not None else ()
        for peer in [p for p, at in self._last_heartbeat.items() if p not in seats and now - at > self._patience]:
            del self._last_heartbeat[peer]
            self._zones.pop(peer, None)
        self._spares = {peer: since for peer, since in self._spares.items() if peer in self._last_heartbeat}
        self._leaving &= {*self._last_heartbeat, *seats}
        self._released &= {*self._last_heartbeat, *seats}

    def heartbeat_received(
        self, now: int, peer: Replica, zone: str, view: View | None, leaves: bool = False
    ) -> list[ViewOutput]:
        """A peer's heartbeat, which names its seat and the view that it knows, and whether it is told to end."""
        self._last_heartbeat[peer] = now
        self._zones[peer] = zone
        if leaves:
            self.mark_leaving(peer)
        else:
            self._leaving.discard(peer)
            self._released.discard(peer)
        if view is not None:
            self._learn(view)
        known = self.state.view
        if known is not None and peer not in known.witnesses:
            self._spares.setdefault(peer, now)
        return self._flush()

    def message(self, now: int, sender: Replica, kind: str, body: list[Any]) -> list[ViewOutput]:
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
        """A decided view, from whoever acts in it."""
        self._learn(view)
        return self._flush()

    def persisted(self, number: int) -> list[ViewOutput]:
        """The state of this number, hence all before it, is on disk."""
        for known in sorted(n for n in self._after_persisted if n <= number):
            after = self._after_persisted.pop(known)
            self._persisted_view = max(
                [self._persisted_view, *(item.view.number for item in after if isinstance(item, ViewAdopted))]
            )
            self._out += after
        return self._flush()

    def synced(self, view: int) -> list[ViewOutput]:
        """All that the primary of this view sent is on disk here."""
        number = self.state.view.number if self.state.view else 0
        if number == view and self.state.complete < view and self.state.void != view:
            self._keep(replace(self.state, complete=view), [])
        return self._flush()

    def voided_by_backup(self, view: int) -> None:
        """A backup will never be complete in this seat's view: it needs another."""
        self._voided_view = max(self._voided_view, view)

    # ---- what it knows

    def is_primary(self) -> bool:
        view = self.state.view
        return view is not None and view.primary == self.self_id and self.state.complete == view.number

    def alive(self, peer: Replica, now: int) -> bool:
        return peer == self.self_id or now - self._last_heartbeat.get(peer, -self._silence) < self._silence

    def is_available(self, peer: Replica, now: int) -> bool:
        """Up, and not told to end."""
        return self.alive(peer, now) and peer not in self._leaving

    def mark_leaving(self, peer: Replica) -> None:
        """It is told to end. It serves on until others have taken over."""
        self._leaving.add(peer)

    def release(self, peer: Replica) -> None:
        self._released.add(peer)

    def is_leaving(self, peer: Replica) -> bool:
        return peer in self._leaving

    def peer_stopped(self, peer: Replica) -> None:
        """It ends now; until it is heard again it counts as silent."""
        self._last_heartbeat.pop(peer, None)
        self._spares.pop(peer, None)
        self._leaving.add(peer)

    def is_persisted(self, view: View) -> bool:
        return self._persisted_view == view.number

    def majority_reachable(self, now: int) -> bool:
        """Most witnesses of the view that is known here are heard."""
        view = self.state.view
        return view is not None and sum(self.alive(peer, now) for peer in view.witnesses) >= view.majority

    def too_few_remain(self, now: int, leaver: Replica, view: View) -> bool:
        """Without this one there are fewer machines than copies, up or down: nobody can take its place."""
        left = {leaver, *self._leaving} | ({self.self_id} if self.self_leaving else set())
        spares = {peer for peer in self._spares if self.is_available(peer, now)}
        return len({*view.witnesses, *spares} - left) < self._copies

    def _copy_lost(self, now: int, view: View) -> bool:
        """A copy's address speaks as another seat, so its disk is gone; and enough are up to decide on that."""
        speak = {spare[0] for spare in self._spares if self.alive(spare, now)}
        return (
            any(peer[0] in speak and not self.alive(peer, now) for peer in view.copies)
            and sum(self.alive(peer, now) for peer in view.witnesses) >= view.majority
        )

    # ---- proposing

    def _propose_if_needed(self, now: int, view: View, whole: bool) -> None:
        campaign = self._campaign
        if campaign is not None and now - campaign.started_at < CAMPAIGN_TIMEOUT_SILENCES * self._silence:
            return self._resend(now, view, campaign)
        self._campaign = None
        if now < self._next_attempt_at or self._persisted_view != view.number:
            return  # not on disk: after a crash it'd be back in the view before, and not complete in one it won here
        if self.state.complete == view.number - 1 and not self.alive(view.primary, now):
            self._next_attempt_at = now + self._silence // 2
            self._out += [ElectionMessage(backup, "void", [view.pack()]) for backup in view.backups]
        if self.state.complete != view.number:
            return
        wanted = self.proposed_view(now, view, whole)
        if wanted is None:
            self._proposing_since = 0
            return
        # copies of a rank wait for those before them that are up: two proposers at once only delay each other
        before = view.copies[: view.copies.index(self.self_id)] if self.self_id in view.copies else view.copies
        rank = sum(self.is_available(peer, now) for peer in before)
        self._proposing_since = self._proposing_since or now
        if now - self._proposing_since < rank * self._silence // 4:
            return
        self._round += 1
        self._next_attempt_at = now + self._silence // 2 * (1 + rank)
        ballot = (max(self._round, self.state.promised[0] + 1), self.self_id)
        self._round = ballot[0]
        self._campaign = Campaign(wanted, ballot, now, now)
        # its own promise comes to disk first: after a crash the same ballot must not go out with another value
        packed = [ballot[0], list(ballot[1])]
        self._keep(
            replace(self.state, promised=ballot),
            [
                *(
                    ElectionMessage(witness, "prepare", [view.pack(), packed])
                    for witness in view.witnesses
                    if witness != self.self_id
                ),
                ElectionMessage(self.self_id, "promise", [view.number, packed, _packed(self.state.accepted)]),
            ],
        )

    def _resend(self, now: int, view: View, campaign: Campaign) -> None:
        """Words get lost, and disks may be slow: a new ballot each time would overtake its own answers."""
        if now - campaign.last_sent_at < self._silence or self.self_id not in campaign.promises:
            return
        campaign.last_sent_at = now
        packed = [campaign.ballot[0], list(campaign.ballot[1])]
        for witness in view.witnesses:
            if campaign.chosen is not None and witness not in campaign.accepts:
                self._out.append(ElectionMessage(witness, "accept", [view.pack(), packed, campaign.chosen.pack()]))
            elif campaign.chosen is None and witness not in campaign.promises:
                self._out.append(ElectionMessage(witness, "prepare", [view.pack(), packed]))

    def proposed_view(self, now: int, view: View, whole: bool) -> View | None:
        """The successor that this seat would have; None where the view in force serves, or has to be whole first."""
        void = self._voided_view == view.number or self.self_id not in view.copies  # complete, no copy: it was voided
        leads = self.self_id == view.primary
        if not void and not leads and (self.alive if self.self_leaving else self.is_available)(view.primary, now):
            return None
        if (
            not void
            and leads
            and not (whole and not self.self_leaving)
            and all(self.is_available(b, now) for b in view.backups)
        ):
            return None  # a copy is on its way, or takes over from this seat
        witnesses = self._with_replaced_disks(now, view)
        backups = self._backups(now, view, witnesses)
        if backups is None or self.self_id not in witnesses:
            return None  # too few for two copies: nothing may be acknowledged, so nothing changes
        if not leads and view.primary in backups:
            return None  # it leaves, but there is nobody else
        if leads and whole and not void and witnesses == view.witnesses and set(backups) == set(view.backups):
            backups = self._spread_backups(now, view, backups)
            witnesses = self._next_witnesses(now, view) if set(backups) == set(view.backups) else witnesses
        found = View(view.number + 1, self.self_id, backups, witnesses)
        same = leads and (set(backups), set(witnesses)) == (set(view.backups), set(view.witnesses))
        return None if same and not void else found

    def _with_replaced_disks(self, now: int, view: View) -> tuple[Replica, ...]:
        """The witnesses, with one whose disk was lost as the seat that its address has now: it will never speak as the
        old one again."""
        for spare in sorted(self._spares):
            for peer in view.witnesses:
                if peer[0] == spare[0] and peer != spare and self.is_available(spare, now):
                    return tuple(spare if w == peer else w for w in view.witnesses)
        return view.witnesses

    def _backups(self, now: int, view: View, witnesses: tuple[Replica, ...]) -> tuple[Replica, ...] | None:
        """Who would hold copies beside this seat: those that do, then others, best in other zones. One that leaves
        only if there is nobody else."""
        up = [w for w in witnesses if w != self.self_id and self.alive(w, now) and w not in self._released]
        taken = [b for b in view.backups if b in up and self.is_available(b, now)]
        need = min(self._copies, len(witnesses)) - 1
        if len(up) < need:
            return None
        while len(taken) < need:
            zones = {self._zones.get(b) for b in (self.self_id, *taken)}
            taken.append(
                min(
                    (w for w in up if w not in taken),
                    key=lambda w: (
                        not self.is_available(w, now),
                        self._colocation_cost((self.self_id, *taken, w)),
                        self._zones.get(w) in zones,
                        w,
                    ),
                )
            )
        return tuple(taken[:need])

    def _colocation_cost(self, seats: Iterable[Replica]) -> tuple[int, int]:
        return self._domains.colocation_cost(self._zones.get(one) for one in seats)

    def _spread_backups(self, now: int, view: View, backups: tuple[Replica, ...]) -> tuple[Replica, ...]:
        """The backups, with a witness in the place of one that shares its zone, or region, with another copy, where
        such a place may be lost at once."""
        free = [w for w in view.witnesses if w not in view.copies and self.is_available(w, now)]
        others = [tuple(w if b == backup else b for b in backups) for w in sorted(free) for backup in backups]
        return self._less_colocated(backups, others, (self.self_id,))

    def _less_colocated(
        self, seats: tuple[Replica, ...], others: Iterable[tuple[Replica, ...]], beside: tuple[Replica, ...] = ()
    ) -> tuple[Replica, ...]:
        """The most even of the others if it is more even than `seats`. Who was never heard may stand anywhere."""
        known = [one for one in others if all(peer in self._zones for peer in (*one, *beside))]
        best = min(known, key=lambda one: self._colocation_cost((*one, *beside)), default=seats)
        even = all(peer in self._zones for peer in seats) and (
            self._colocation_cost((*best, *beside)) < self._colocation_cost((*seats, *beside))
        )
        return best if even else seats

    def _next_witnesses(self, now: int, view: View) -> tuple[Replica, ...]:
        """The witnesses, with one more where seeds were fewer than it takes to lose all copies but one, or with a spare
        in the place of one that is gone, or of one that holds no copy and stands where others do."""
        staying = [w for w in view.witnesses if self.is_available(w, now)]
        zones = {self._zones.get(w) for w in staying}
        spares = [spare for spare in self._spares if self.is_available(spare, now) and spare not in view.witnesses]
        for spare in sorted(
            spares, key=lambda s: (self._colocation_cost((*staying, s)), self._zones.get(s) in zones, s)
        ):
            gone = next((w for w in view.witnesses if self._may_be_replaced(now, w, spare)), None)
            if gone is not None:
                return tuple(spare if w == gone else w for w in view.witnesses)
            if len(view.witnesses) < 2 * self._copies - 1:
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
        """It said that it ends, or is silent: for long, or for a short while if the spare came at about that time,
        which was brought as its successor then. One that was there all along waits for it to come back."""
        if witness == self.self_id or self.is_available(witness, now):
            return False
        born = self._started_at or 0
        last, came = max(self._last_heartbeat.get(witness, 0), born), self._spares[spare]
        successor = came > born + SUCCESSOR_WAIT_SILENCES * self._silence and came > last - self._patience
        return witness in self._leaving or now - last > (
            SUCCESSOR_WAIT_SILENCES * self._silence if successor else self._patience
        )

    def _promise(self, now: int, sender: Replica, body: list[Any]) -> None:
        number, ballot, accepted = int(body[0]), (int(body[1][0]), unpack_replica(body[1][1])), body[2]
        campaign, view = self._campaign, self.state.view
        if campaign is None or view is None or view.number != number or campaign.ballot != ballot:
            return
        if sender not in view.witnesses or campaign.chosen is not None:
            return
        campaign.promises[sender] = _unpacked(accepted)
        if len(campaign.promises) < view.majority:
            return
        earlier = [promise for promise in campaign.promises.values() if promise is not None]
        campaign.chosen = max(earlier, key=lambda p: p[0])[1] if earlier else campaign.value
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

    # ---- witnessing

    def _prepare(self, now: int, sender: Replica, body: list[Any]) -> None:
        view, ballot = unpack_view(body[0]), (int(body[1][0]), unpack_replica(body[1][1]))
        if not self._may_vote(view, ballot, sender):
            return
        packed = _packed(self.state.accepted)
        self._keep(
            replace(self.state, promised=ballot),
            [ElectionMessage(sender, "promise", [view.number, [ballot[0], list(ballot[1])], packed])],
        )

    def _accept(self, now: int, sender: Replica, body: list[Any]) -> None:
        view, ballot, value = unpack_view(body[0]), (int(body[1][0]), unpack_replica(body[1][1])), unpack_view(body[2])
        if not self._may_vote(view, ballot, sender):
            return
        self._keep(
            replace(self.state, promised=ballot, accepted=(ballot, value)),
            [ElectionMessage(sender, "accepted", [view.number, [ballot[0], list(ballot[1])]])],
        )

    def _may_vote(self, view: View, ballot: Ballot, sender: Replica) -> bool:
        """A view that somebody proposes to succeed is decided: whoever lags adopts it first."""
        self._learn(view)
        own = self.state.view
        assert own is not None
        if own.number != view.number or ballot < self.state.promised:
            self._out.append(ElectionMessage(sender, "refused", [own.pack(), self.state.promised[0]]))
            return False
        return self.self_id in own.witnesses

    def _void(self, now: int, sender: Replica, body: list[Any]) -> None:
        view = unpack_view(body[0])
        self._learn(view)
        own = self.state.view
        if own == view and self.self_id in view.backups and self.state.complete < view.number:
            self._keep(replace(self.state, void=view.number), [ElectionMessage(sender, "voided", [view.number])])

    def _voided(self, now: int, sender: Replica, body: list[Any]) -> None:
        view = self.state.view
        if (
            view is not None
            and view.number == int(body[0])
            and sender in view.backups
            and self.state.complete == view.number - 1
        ):
            self._keep(replace(self.state, complete=view.number), [])

    def _decided(self, now: int, sender: Replica, body: list[Any]) -> None:
        self._learn(unpack_view(body[0]))

    # ---- keeping

    def _learn(self, view: View) -> None:
        """Adopts a decided view that is newer. Complete stays what was, if it is a copy in the very next."""
        own = self.state.view
        if own is not None and view.number <= own.number:
            return
        complete = self.state.complete
        if own is not None and complete == own.number and view.number == own.number + 1 and self.self_id in view.copies:
            complete = view.number
        self._campaign = None
        self._proposing_since = 0
        self._spares = {s: t for s, t in self._spares.items() if s not in view.witnesses}
        self._keep(DurableState(view, NO_BALLOT, None, complete, self.state.void), [ViewAdopted(view)])

    def _keep(self, state: DurableState, after: list[ViewOutput]) -> None:
        self.state = state
        self._last_number += 1
        self._after_persisted[self._last_number] = after
        self._out.append(PersistState(self._last_number, state))

    def _flush(self) -> list[ViewOutput]:
        out, self._out = self._out, []
        said = []
        for item in out:
            if isinstance(item, ElectionMessage) and item.to == self.self_id:
                said += self.message(0, item.to, item.kind, item.body)  # it is one of the witnesses too
            else:
                said.append(item)
        return said
