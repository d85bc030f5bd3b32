"""The protocol broken on purpose: each a patch of the real code, and bounds within which the checker must find it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from oakvale.controlplane import actions, chunks, replication, start_state
from oakvale.controlplane.backup_requests import AppendRequest, RequestHeader
from oakvale.controlplane.continuations import ChunkStored, NothingFollows
from oakvale.controlplane.leases import Leases
from oakvale.controlplane.replicated_state import Callback, ReplicatedState
from oakvale.controlplane.replication import Replicator
from oakvale.controlplane.start_state import StartState
from oakvale.controlplane.view_change import ElectionMessage, ViewAdopted, ViewManager, ViewOutput
from oakvale.controlplane.views import Ballot, Replica, View, bootstrap_view, unpack_view
from oakvale.dissemination.table import Entry
from oakvale.lab.modelcheck.machine import Machine
from oakvale.lab.modelcheck.model import Bounds

Patch = tuple[Any, str, Callable[..., Any]]  # of what, which name, by what


@dataclass(frozen=True, slots=True)
class Breakage:
    name: str
    why: str
    patches: tuple[Patch, ...]
    bounds: Bounds
    start: str = "settled"
    heals: int = 0  # where the shortest way takes up to a million states: one is found by healing from one state in
    # so many, and shortened

    @contextmanager
    def made(self) -> Iterator[None]:
        """The code is broken so until the end of the `with`."""
        before = [(whose, name, getattr(whose, name)) for whose, name, _ in self.patches]
        try:
            for whose, name, other in self.patches:
                setattr(whose, name, other)
            yield
        finally:
            for whose, name, former in before:
                setattr(whose, name, former)


def _owed_by_primary_alone(
    self: ReplicatedState,
    changes: dict[str, Any],
    owed: set[Replica],
    then: Callback,
    real: Callable[..., list[Entry]] = ReplicatedState.propose,
) -> list[Entry]:
    return real(self, changes, {min(owed)}, then)


def _append_before_sync(self: Replicator, header: RequestHeader, request: AppendRequest, ticket: Any) -> None:
    if not self._in_order(header) or self.view_manager.state.complete != header.view.number:
        return self._out.append(actions.Reply(ticket, False))
    self.replicated_state.apply(request.entries)
    self._write(("rows", replication._encode_rows(request.entries)), NothingFollows())
    self._out.append(actions.Reply(ticket, True))


def _founder_again(
    address: str,
    stored: bytes | None,
    state: bytes | None,
    first: View | None,
    fresh: Callable[[], str],
    real: Callable[..., StartState] = start_state.load_start_state,
) -> StartState:
    addresses = [f"{name}:1" for name in "abc"]
    return real(address, stored, state, bootstrap_view(addresses, 2), fresh)


def _votes_anyway(
    self: ViewManager, view: View, ballot: Ballot, sender: Replica, real: Callable[..., bool] = ViewManager._may_vote
) -> bool:
    return real(self, view, ballot, sender) or self.self_id not in view.witnesses and ballot >= self.state.promised


def _as_its_address(message: Callable[..., None]) -> Callable[..., None]:
    def take(self: ViewManager, now: int, sender: Replica, body: list[Any]) -> None:
        view = self.state.view
        same = [w for w in view.witnesses if w[0] == sender[0]] if view else []
        message(self, now, same[0] if same else sender, body)

    return take


def _forgets_ballots(self: ViewManager, view: View, ballot: Ballot, sender: Replica) -> bool:
    self._learn(view)
    own = self.state.view
    return own is not None and own.number == view.number and self.self_id in own.witnesses


def _own_value(
    self: ViewManager, now: int, sender: Replica, body: list[Any], real: Callable[..., None] = ViewManager._promise
) -> None:
    real(self, now, sender, [body[0], body[1], None])


def _promise_before_disk(
    self: ViewManager, state: Any, after: list[ViewOutput], real: Callable[..., None] = ViewManager._persist
) -> None:
    early = [item for item in after if isinstance(item, ElectionMessage)]
    real(self, state, [item for item in after if not isinstance(item, ElectionMessage)])
    self._out += early


def _complete_at_once(self: ViewManager, view: View, real: Callable[..., None] = ViewManager._learn) -> None:
    own = self.state.view
    real(self, view)
    if self.state.view is not own and self.self_id in view.copies:
        self._persist(replace(self.state, complete=view.number), [ViewAdopted(view)])


def _no_order(self: Replicator, header: RequestHeader) -> bool:
    return self._is_backup_in(header.view, header.sender)


def _refusal_counts(
    self: Replicator,
    number: int,
    answer: Any,
    real: Callable[..., list[actions.Action]] = Replicator.answered,
) -> list[actions.Action]:
    return real(self, number, True if answer is False else answer)


def _voids_nothing(self: ViewManager, now: int, sender: Replica, body: list[Any]) -> None:
    view = unpack_view(body[0])
    self._learn(view)
    if self.state.view == view and self.self_id in view.backups and self.state.complete < view.number:
        self._out.append(ElectionMessage(sender, "voided", [view.number]))


def _some_will_do(manifest: Any, held: Any, real: Callable[..., list[bytes]] = chunks.missing_digests) -> list[bytes]:
    lacks = real(manifest, held)
    return lacks if len(lacks) == len(chunks.chunk_digests(manifest)) else []


def _joined(manifest: Any, held: Any, real: Callable[..., list[Entry]] = chunks.join_chunks) -> list[Entry]:
    """Of what is there."""
    ranges, large, small = manifest
    there = [[row for row in large if row[3] in held], [joined for joined in small if joined in held]]
    return real([ranges, *there], held)


def _lacks_counts(
    self: Replicator,
    backup: Replica,
    view: View,
    up_to: Any,
    answer: Any,
    real: Callable[..., None] = Replicator._sync_answered,
) -> None:
    real(self, backup, view, up_to, True if isinstance(answer, tuple) else answer)


def _staged_counts(
    self: Replicator, number: int, real: Callable[..., list[actions.Action]] = Replicator.written
) -> list[actions.Action]:
    """A piece on its disk, and it calls itself complete."""
    staged, view = isinstance(self._pending_writes[number], ChunkStored), self.view()
    out = real(self, number)
    return [*out, *self.apply_view_outputs(self.view_manager.synced(view.number))] if staged and view else out


def _old_state_leads(self: Replicator, view: View) -> None:
    """A primary serves with what its disk holds, before its backups have answered in this life."""
    if not self.active and self.view() == view:
        self.active = True
        self._out.append(actions.ServingChanged(True))


def _releases_early(self: Replicator, now: int, peer: Replica, view: View) -> bool:
    return view.primary == self.self_id and peer not in view.copies


def _by_arrival(
    self: Machine,
    sender: Replica,
    number: int,
    sent: int,
    life: int,
    incarnation: str,
    real: Callable[..., None] = Machine._lease,
) -> None:
    real(self, sender, number, self.now, life, incarnation)


def _grants_anybody(self: Leases, view: View | None, to: Replica, now: int) -> int:
    return 1 if view is not None else 0  # the founding view, which is asked for


def _looks_at_an_old_clock(self: Leases, view: View, now: int, real: Callable[..., bool] = Leases.holds) -> bool:
    return real(self, view, now - self._lease_us)


def _forgets_grants(
    self: Leases,
    own: Replica,
    silence: int,
    now: int,
    view: View | None,
    served: int,
    real: Callable[..., None] = Leases.__init__,
) -> None:
    real(self, own, silence, now, None, served)


def _two_at_once(
    self: ViewManager,
    now: int,
    view: View,
    backups_synced: bool,
    real: Callable[..., View | None] = ViewManager.proposed_view,
) -> View | None:
    found = real(self, now, view, backups_synced)
    spare = min((s for s in self._spares if s not in view.witnesses), default=None)
    if found is None or spare is None or set(found.copies) == set(view.copies):
        return found
    gone = next(w for w in found.witnesses if w not in found.copies)
    return replace(found, witnesses=tuple(spare if w == gone else w for w in found.witnesses))


QUIET = Bounds(writes=0, kills=0, wipes=0, wakes=0, retries=0)

BREAKAGES = (
    Breakage(
        "primary-alone",
        "the primary acknowledges without its backup's sync",
        ((ReplicatedState, "propose", _owed_by_primary_alone),),
        replace(QUIET, writes=1),
    ),
    Breakage(
        "backup-before-sync",
        "the backup answers before it has synced",
        ((Replicator, "_append", _append_before_sync),),
        replace(QUIET, writes=1),
    ),
    Breakage(
        "founder-again",
        "a disk that was wiped comes back as the seat that it was",
        ((start_state, "load_start_state", _founder_again),),
        replace(QUIET, writes=1, wipes=1),
    ),
    Breakage(
        "stranger-votes",
        "a seat whose disk was wiped votes, and counts as the one before it",
        (
            (ViewManager, "_may_vote", _votes_anyway),
            (ViewManager, "_promise", _as_its_address(ViewManager._promise)),
            (ViewManager, "_accepted", _as_its_address(ViewManager._accepted)),
        ),
        replace(QUIET, wipes=1, wakes=1),
    ),
    Breakage(
        "gap",
        "a backup takes changes that do not follow on what it has",
        ((Replicator, "_is_contiguous", lambda self, before: True),),
        replace(QUIET, writes=2),
    ),
    Breakage(
        "refusal-counts",
        "a primary that was replaced takes its backup's no for a yes",
        ((Replicator, "answered", _refusal_counts),),
        replace(QUIET, writes=1, wakes=1),
    ),
    Breakage(
        "old-life",
        "a backup takes what its primary said in an earlier life, or before something newer",
        ((Replicator, "_in_order", _no_order),),
        replace(QUIET, writes=1, kills=1),
        "cold",
    ),
    Breakage(
        "ballots-forgotten",
        "a witness forgets what it has promised",
        ((ViewManager, "_may_vote", _forgets_ballots),),
        replace(QUIET, wakes=2),
        heals=4,
    ),
    Breakage(
        "own-value",
        "a proposer puts its own view to the vote though another may be decided",
        ((ViewManager, "_promise", _own_value),),
        replace(QUIET, wakes=2),
        heals=4,
    ),
    Breakage(
        "words-before-disk",
        "a witness answers before what it says is on its disk",
        ((ViewManager, "_persist", _promise_before_disk),),
        replace(QUIET, wakes=2, kills=1),
        heals=2,
    ),
    Breakage(
        "complete-at-once",
        "a new copy counts as complete before it has the state",
        ((ViewManager, "_learn", _complete_at_once),),
        replace(QUIET, writes=1, wakes=1),
        heals=4,
    ),
    Breakage(
        "half-snapshot",
        "a backup takes a state of which only some pieces are there",
        ((chunks, "missing_digests", _some_will_do), (chunks, "join_chunks", _joined)),
        replace(QUIET, wakes=1, retries=2),
        "laden",
    ),
    Breakage(
        "lacks-counts",
        "a primary takes what its backup lacks for a yes",
        ((Replicator, "_sync_answered", _lacks_counts),),
        replace(QUIET, writes=1, wakes=1),
        "laden",
    ),
    Breakage(
        "staged-as-held",
        "a backup calls itself complete once it has a piece",
        ((Replicator, "written", _staged_counts),),
        replace(QUIET, wakes=1),
        "laden",
    ),
    Breakage(
        "old-state-leads",
        "a primary serves with what its disk holds before its backups have answered",
        ((Replicator, "_activate", _old_state_leads),),
        replace(QUIET, writes=1, kills=1),
    ),
    Breakage(
        "leaves-alone",
        "a machine that is told to end goes, also with the only complete copy",
        ((Replicator, "may_leave", lambda self, now: True),),
        replace(QUIET, wakes=1, leaves=1),
    ),
    Breakage(
        "released-early",
        "a primary lets one go whose copy is not whole elsewhere yet",
        ((Replicator, "_may_release", _releases_early),),
        replace(QUIET, wakes=1, leaves=1),
    ),
    Breakage(
        "released-by-the-view-before",
        "a primary lets one go because its view before was whole",
        ((Replicator, "_serves_in", lambda self, view: self.active and view.primary == self.self_id),),
        replace(QUIET, wakes=1, leaves=1),
    ),
    Breakage(
        "two-at-once",
        "a view changes its copies and gives a seat to a spare as well",
        ((ViewManager, "proposed_view", _two_at_once),),
        replace(QUIET, wakes=1, spares=1),
    ),
    Breakage(
        "void-unkept",
        "a backup voids a view, and then becomes complete in it",
        ((ViewManager, "_void", _voids_nothing),),
        replace(QUIET, wakes=2),
        heals=128,
    ),
    Breakage(
        "lease-by-arrival",
        "a lease counts from when the answer comes, however late that is",
        ((Machine, "_lease", _by_arrival),),
        replace(QUIET, wakes=1, beats=1, passes=1),
    ),
    Breakage(
        "lease-of-any-view",
        "whoever is asked for a lease grants it, also one that has moved on",
        ((Leases, "grant", _grants_anybody),),
        replace(QUIET, wakes=1, beats=1, passes=1),
    ),
    Breakage(
        "lease-by-old-clock",
        "a primary that stood still looks at the clock of before",
        ((Leases, "holds", _looks_at_an_old_clock),),
        replace(QUIET, wakes=1, beats=1, passes=1),
    ),
    Breakage(
        "grant-not-waited-for",
        "who granted a lease serves in the next view before it has run out",
        ((Leases, "grants_expired", lambda self, now: True),),
        replace(QUIET, wakes=1, beats=1),
    ),
    Breakage(
        "grant-forgotten",
        "who begins anew does not reckon with what it granted before",
        ((Leases, "__init__", _forgets_grants),),
        replace(QUIET, wakes=1, kills=1, beats=1),
        heals=8,
    ),
)
