"""The primary's side and the backup's in the control state: what is sent to be copied, taken, refused, and in force.

No I/O and no clock: it is told what came and what is on disk, and says what to write, ask, answer and tell, in this
order. It joins `succession` (who is primary) and `ledger` (what is in force). What follows a write or an answer is
kept here as data, so that a seat can be copied and compared whole (`oakvale/lab/modelcheck` does).

A state goes to a backup as a list of the pieces that it is made of. The backup says which of them it lacks; these are
sent, few at a time, and kept on its disk beside its rows. When none is lacking it takes the whole, in one write. Until
then nothing of them counts. A piece is named by what it holds: what came before a connection broke, or a process ended,
or another became primary, is not sent again.
"""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import cbor2

from oakvale.controlplane import chunks
from oakvale.controlplane.chunks import ChunkedState
from oakvale.controlplane.failure_domains import FailureDomains
from oakvale.controlplane.replicated_state import Callback, ReplicatedState
from oakvale.controlplane.view_change import (
    BOOTSTRAP_INCARNATION,
    DurableState,
    ElectionMessage,
    PersistState,
    Replica,
    View,
    ViewManager,
    ViewOutput,
    bootstrap_state,
    unpack_durable_state,
    unpack_replica,
    unpack_view,
)
from oakvale.dissemination.table import NOTHING, Entry, Version, pack
from oakvale.dissemination.table import unpack as unpack_entries

BASE_TIMEOUT_US = 1_000_000  # microseconds for a backup to sync
TIMEOUT_PER_BYTE_US = 16  # microseconds more for each byte of a question: half a megabit in a second
MAX_CHUNKS_IN_FLIGHT = 2  # pieces on their way to a backup: what is said meanwhile waits behind them on a thin link

# ---- what comes out, to be done in order


@dataclass(slots=True, frozen=True)
class Write:
    """Sync this, then call `written(number)`."""

    number: int
    what: tuple[str, Any]  # as the cistern takes it


@dataclass(slots=True, frozen=True)
class SendRequest:
    """Ask this, then call `answered(number, answer)`; None where there was no answer in `timeout` microseconds."""

    number: int
    to: Replica
    kind: str
    body: list[Any]
    timeout: int


@dataclass(slots=True, frozen=True)
class SendMessage:
    to: Replica
    kind: str
    body: list[Any]


@dataclass(slots=True, frozen=True)
class Reply:
    """The answer to the question that came with this ticket."""

    ticket: Any
    answer: Any


@dataclass(slots=True, frozen=True)
class RetryLater:
    """Call `again(backup, view)` after a while."""

    backup: Replica
    view: View


@dataclass(slots=True, frozen=True)
class ChangeResult:
    """The author of a change hears of it."""

    then: Callback
    done: bool


@dataclass(slots=True, frozen=True)
class StateUpdates:
    """These came into force."""

    entries: list[Entry]


@dataclass(slots=True, frozen=True)
class ViewInstalled:
    """Another view is in force here."""

    view: View


@dataclass(slots=True, frozen=True)
class ServingChanged:
    """This seat begins or ends to serve."""

    serves: bool


@dataclass(slots=True, frozen=True)
class SteppedDown:
    """Nobody gets news from here any more."""


@dataclass(slots=True, frozen=True)
class StateReplaced:
    """The table is another."""


Action = (
    Write
    | SendRequest
    | SendMessage
    | Reply
    | RetryLater
    | ChangeResult
    | StateUpdates
    | ViewInstalled
    | ServingChanged
    | SteppedDown
    | StateReplaced
)


@dataclass(slots=True, frozen=True)
class StartState:
    """Who a seat is at one start, from what its disk holds."""

    self_id: Replica
    start_number: int  # each start is another; what an earlier one said may still be on its way
    durable: DurableState
    stored: bytes  # to be synced under "self" before it acts


def load_start_state(
    address: str, stored: bytes | None, state: bytes | None, first: View | None, fresh: Callable[[], str]
) -> StartState:
    """`stored` and `state` are the facts "self" and "state"; `first` is the founding view where this is a founder
    that begins, `fresh` gives an incarnation that never was."""
    begins: list[Any] | None = None
    if stored is not None:
        incarnation, life, begins = cbor2.loads(stored)
    elif first is not None:
        incarnation, life, begins = BOOTSTRAP_INCARNATION, 0, first.pack()
    else:
        incarnation, life = fresh(), 0
    own = (address, incarnation)
    durable = bootstrap_state(unpack_view(begins), own) if begins else DurableState()
    if state:
        durable = unpack_durable_state(cbor2.loads(state))
    return StartState(own, life + 1, durable, cbor2.dumps([incarnation, life + 1, begins]))


@dataclass(slots=True)
class Transfer:
    """What a backup is being sent: a state, or (`whole` is false) the pieces of a change that is to come."""

    cut: ChunkedState
    up_to: Version
    whole: bool = True
    known: set[bytes] = field(default_factory=set)  # pieces that it has said it holds
    left: list[bytes] = field(default_factory=list)
    out: set[bytes] = field(default_factory=set)  # asked, and not answered yet


@dataclass(slots=True)
class StagedChange:
    """A change too large for one message: it becomes one once the backups hold its pieces."""

    changes: dict[str, Any]
    then: Callback
    waits: set[Replica] = field(default_factory=set)


class Replicator:
    """One seat, from one start to its end."""

    def __init__(
        self,
        began: StartState,
        rows: Iterable[tuple[str, bytes]],
        copies: int,
        silence: int,
        patience: int,
        staged: Iterable[tuple[bytes, bytes]] = (),
        zone: str = "",
        domains: FailureDomains | None = None,
    ) -> None:
        self.self_id, self.start_number = began.self_id, began.start_number
        self.view_manager = ViewManager(began.self_id, began.durable, copies, silence, patience, zone, domains)
        self.replicated_state = ReplicatedState()  # another one once a primary has sent its state
        self.active = False
        self._released = 0  # the view whose primary said that this seat, which leaves, may go
        self._said = 0  # to backups in this life
        self._newest = (0, 0, 0)  # as a backup: view, life and number of the latest that the primary said
        self._held: set[Replica] = set()  # backups that have synced the state in this view
        self._clean: set[Replica] = set()  # backups that hold the state and take changes
        self._sending: dict[Replica, Transfer] = {}
        self._planned: deque[StagedChange] = deque()
        self._staged = dict(staged)  # pieces that a primary has sent, of what is not whole yet
        self._wanted: set[bytes] = set()
        self._numbers = 0
        self._writes: dict[int, tuple[Any, ...]] = {}  # what follows each write
        self._asks: dict[int, tuple[Any, ...]] = {}  # what each question that is out was about
        self._out: list[Action] = []
        self.replicated_state.apply(
            [
                (key, (version[0], version[1]), value)
                for key, version, value in ((key, *cbor2.loads(data)) for key, data in rows)
            ]
        )
        self._write(("fact", ("self", began.stored)), ("begin", began.durable.view))
        self._clear()

    def view(self) -> View | None:
        return self.view_manager.state.view

    def flush(self) -> list[Action]:
        out, self._out = self._out, []
        return out

    # ---- what it is told

    def change(self, changes: dict[str, Any], then: Callback, behind: bool = False) -> list[Action]:
        """Makes a change; `then` hears True once it is in force and the news of it are on their way. Changes overtake
        one whose pieces are still on their way to the backups, unless they touch what it does, or are to come `behind`
        all that was asked for before."""
        view = self.view()
        if not self.active or view is None or view.primary != self.self_id:
            self._out.append(ChangeResult(then, False))
            return self.flush()
        taken = {key for planned in self._planned for key in planned.changes}
        if self._clean and (
            behind and self._planned or taken & set(changes) or chunks.encoded_size(changes) > chunks.MAX_INLINE_BYTES
        ):
            self._planned.append(StagedChange(changes, then))
            self.replicated_state.staged_changes.append(changes)
            if len(self._planned) == 1:
                self._stage()
        else:
            self._propose(view, changes, then)
        return self.flush()

    def apply_view_outputs(self, out: list[ViewOutput]) -> list[Action]:
        """What the succession says."""
        self._carry(out)
        return self.flush()

    def tick(self, now: int, healthy: bool = True) -> list[Action]:
        """Several times a second; see `Succession.tick`."""
        self._carry(self.view_manager.tick(now, healthy, self.active))
        return self.flush()

    def peer_leaving(self, now: int, peer: Replica) -> list[Action]:
        """A peer that was just heard says that it is told to end, again and again until it goes."""
        self._carry(self.view_manager.tick(now, whole=self.active))
        view = self.view()
        if view is not None and self._releases(now, peer, view):
            self.view_manager.release(peer)
            self._out.append(SendMessage(peer, "released", [view.number]))
        return self.flush()

    def _releases(self, now: int, peer: Replica, view: View) -> bool:
        """As primary: nothing gets worse by a peer's end, or nobody can take its place."""
        view_manager = self.view_manager
        if not self._serves(view):
            return False
        if view_manager.too_few_remain(now, peer, view):
            return True
        return (
            peer not in view.copies
            and all(view_manager.is_available(b, now) for b in view.backups)
            and view_manager.proposed_view(now, view, True) is None
        )

    def _serves(self, view: View) -> bool:
        """In this very view: what is active just before another came to disk was active in the one before."""
        return self.active and view.primary == self.self_id and self.view_manager.is_persisted(view)

    def released(self, view: int) -> None:
        self._released = max(self._released, view)

    def leave(self) -> None:
        """This seat is told to end."""
        self.view_manager.self_leaving = True

    def may_leave(self, now: int) -> bool:
        """Whether this seat, which is told to end, leaves as many complete copies and as large a majority as can be
        without it: not while it is the only complete copy, nor before a view without it among the copies is whole."""
        view, view_manager = self.view(), self.view_manager
        if view is None or self.self_id not in view.witnesses and view_manager.state.complete < view.number - 1:
            return True  # it has no part in the view, nor in the one before it
        if not view_manager.too_few_remain(now, self.self_id, view):
            return self._released == view.number and self.self_id not in view.copies
        if self.self_id == view.primary:
            return self._serves(view)
        whole = self.self_id not in view.copies or view_manager.state.complete == view.number
        return whole and (view_manager.alive(view.primary, now) or view_manager.is_leaving(view.primary))

    def written(self, number: int) -> list[Action]:
        kind, *about = self._writes.pop(number)
        if kind == "begin":
            if about[0] is not None:  # who this is lasts: it may act on what it kept
                self._moved(about[0])
        elif kind == "synced":
            self._synced(self.self_id, about[0])
        elif kind == "kept":
            self._carry(self.view_manager.persisted(about[0]))
        elif kind == "append":
            view, sender, ticket = about
            self._out.append(Reply(ticket, self._follows(view, sender)))
        elif kind == "piece":
            self._out.append(Reply(about[0], True))
        elif kind == "sync":
            self._carry(self.view_manager.synced(about[0].number))
            self._write(("fact", ("last-sync", str(about[0].number).encode())), ("complete", *about))
        elif kind == "complete":
            view, sender, ticket = about
            state = self.view_manager.state
            complete = self._follows(view, sender) and state.complete == view.number
            self._out.append(Reply(ticket, "void" if state.void == view.number else complete))
        return self.flush()

    def answered(self, number: int, answer: Any) -> list[Action]:
        """None: there was no answer."""
        kind, backup, view, up_to = self._asks.pop(number)
        if kind == "append":
            self._append_answered(backup, view, up_to, answer)
        elif kind == "sync":
            self._sync_answered(backup, view, up_to, answer)
        elif kind == "offer":
            self._offer_answered(backup, view, answer)
        else:
            self._piece_answered(backup, view, up_to, answer)
        return self.flush()

    def retry_sync(self, backup: Replica, view: View) -> list[Action]:
        self._send_all(backup, view)
        return self.flush()

    # ---- as primary

    def _append_answered(self, backup: Replica, view: View, up_to: Version, answer: Any) -> None:
        if self.view() != view:
            return
        if answer is True:
            self._synced(backup, up_to)
        else:
            self._clean.discard(backup)
            self._send_all(backup, view)

    def _propose(self, view: View, changes: dict[str, Any], then: Callback, cut: ChunkedState | None = None) -> None:
        """`cut`: the pieces of its large values, which the backups hold."""
        before = self.replicated_state.last_version
        entries = self.replicated_state.propose(changes, {self.self_id, *view.backups}, then)
        up_to = entries[-1][1]
        self._write(("rows", _rows(entries)), ("synced", up_to))
        large = [
            row[:1] + list(version) + row[3:]
            for row in (cut.large if cut else [])
            for key, version, _ in entries
            if key == row[0]
        ]
        small = [entry for entry in entries if entry[0] not in {row[0] for row in large}]
        for backup in view.backups:
            if backup in self._clean:
                self._ask(
                    backup,
                    "append",
                    [list(before), pack(small), large],
                    ("append", backup, view, up_to),
                    BASE_TIMEOUT_US,
                )

    def _failed(self, backup: Replica, view: View) -> None:
        """It did not take something: it is sent the state, after a while."""
        self._sending.pop(backup, None)
        self._clean.discard(backup)
        self._out.append(RetryLater(backup, view))
        self._staged_by(backup)

    def _send_all(self, backup: Replica, view: View) -> None:
        """The whole state, but for what it says that it has, until it has arrived: to a new backup, or one that missed
        something."""
        if self.view() != view or backup in self._sending and self._sending[backup].whole:
            return
        transfer = self._sending[backup] = Transfer(ChunkedState(0), NOTHING)
        self._staged_by(backup)
        self._offer(backup, view, transfer, now=True)

    def _offer(self, backup: Replica, view: View, transfer: Transfer, now: bool = False) -> None:
        """The state as it is now, where little of it is lacking; else as it was when its pieces were counted, and what
        came since goes in another round."""
        entries = self.replicated_state.all_entries()
        made = chunks.split_state(entries)
        size = sum(len(piece) for name, piece in made.chunks.items() if name not in transfer.known)
        if now or size <= chunks.MAX_INLINE_BYTES:
            transfer.cut, transfer.up_to = made, max((version for _, version, _ in entries), default=NOTHING)
            self._clean.add(backup)  # what is changed from here on follows on the same connection
        lacking = [piece for name, piece in transfer.cut.chunks.items() if name not in transfer.known]
        inline = lacking if sum(map(len, lacking)) <= chunks.MAX_INLINE_BYTES else []
        transfer.known.update(map(chunks.chunk_digest, inline))
        manifest = transfer.cut.manifest()
        size = sum(map(len, inline)) + len(transfer.cut.chunks) * chunks.DIGEST_BYTES
        self._ask(
            backup,
            "sync",
            [manifest, inline],
            ("sync", backup, view, transfer.up_to),
            2 * BASE_TIMEOUT_US + TIMEOUT_PER_BYTE_US * size,
        )

    def _sync_answered(self, backup: Replica, view: View, up_to: Version, answer: Any) -> None:
        transfer = self._sending.get(backup)
        if self.view() != view or transfer is None:
            return
        if isinstance(answer, (list, tuple)) and answer:
            self._clean.discard(backup)
            return self._lacked(backup, view, transfer, answer)
        if answer is True:
            del self._sending[backup]
            self._held.add(backup)
            self._synced(backup, up_to)
            self._activate(view)
            if backup not in self._clean:  # a change behind the state did not arrive
                self._send_all(backup, view)
        else:
            if answer == "void":
                self.view_manager.voided_by_backup(view.number)
            self._failed(backup, view)

    def _lacked(self, backup: Replica, view: View, transfer: Transfer, answer: Iterable[Any]) -> None:
        lacks = {bytes(name) for name in answer}
        transfer.known = set(transfer.cut.chunks) - lacks
        transfer.left = [name for name in transfer.cut.chunks if name in lacks]
        if lacks and not transfer.left:
            return self._failed(backup, view)
        self._send_pieces(backup, view, transfer)

    def _send_pieces(self, backup: Replica, view: View, transfer: Transfer) -> None:
        while transfer.left and len(transfer.out) < MAX_CHUNKS_IN_FLIGHT:
            name = transfer.left.pop(0)
            transfer.out.add(name)
            packed = zlib.compress(transfer.cut.chunks[name], 1)
            self._ask(
                backup,
                "piece",
                [packed],
                ("piece", backup, view, name),
                2 * BASE_TIMEOUT_US + TIMEOUT_PER_BYTE_US * len(packed),
            )
        if transfer.out:
            return
        if transfer.whole:
            self._offer(backup, view, transfer)
        else:
            del self._sending[backup]
            self._staged_by(backup)

    def _piece_answered(self, backup: Replica, view: View, name: bytes, answer: Any) -> None:
        transfer = self._sending.get(backup)
        if self.view() != view or transfer is None or name not in transfer.out:
            return
        transfer.out.discard(name)
        if answer is not True:
            return self._failed(backup, view)
        transfer.known.add(name)
        self._send_pieces(backup, view, transfer)

    # ---- as primary, changes that are too large for one message

    def _stage(self) -> None:
        """Their pieces go to the backups, the first change's first; other changes go on meanwhile."""
        view = self.view()
        assert view is not None
        while self._planned:
            planned = self._planned[0]
            cut = chunks.split_change([(key, NOTHING, value) for key, value in planned.changes.items()])
            planned.waits = {backup for backup in view.backups if backup in self._clean and backup not in self._sending}
            if planned.waits:
                for backup in sorted(planned.waits):
                    self._sending[backup] = Transfer(cut, NOTHING, whole=False)
                    self._ask(
                        backup,
                        "offer",
                        [cut.manifest()],
                        ("offer", backup, view, NOTHING),
                        2 * BASE_TIMEOUT_US + TIMEOUT_PER_BYTE_US * len(cut.chunks) * chunks.DIGEST_BYTES,
                    )
                return
            self._planned.popleft()
            self.replicated_state.staged_changes.pop(0)
            self._propose(view, planned.changes, planned.then, cut)

    def _offer_answered(self, backup: Replica, view: View, answer: Any) -> None:
        transfer = self._sending.get(backup)
        if self.view() != view or transfer is None or transfer.whole:
            return
        if isinstance(answer, (list, tuple)):
            self._lacked(backup, view, transfer, answer)
        else:
            self._failed(backup, view)

    def _staged_by(self, backup: Replica) -> None:
        """It holds the pieces of the change that is next, or will get it with the state."""
        if not self._planned or backup not in self._planned[0].waits:
            return
        self._planned[0].waits.discard(backup)
        if not self._planned[0].waits:
            planned, view = self._planned.popleft(), self.view()
            assert view is not None
            self.replicated_state.staged_changes.pop(0)
            cut = chunks.split_change([(key, NOTHING, value) for key, value in planned.changes.items()])
            self._propose(view, planned.changes, planned.then, cut)
            self._stage()

    def _activate(self, view: View) -> None:
        if self.active or self.view() != view or not set(view.backups) <= self._held:
            return
        self.active = True
        self._out.append(ServingChanged(True))

    def _synced(self, who: Replica, up_to: Version) -> None:
        came = self.replicated_state.synced(who, up_to)
        if came:
            self._out.append(StateUpdates(came))
            self._clear()
        self._out += [ChangeResult(then, True) for then in self.replicated_state.take_completed()]

    def _clear(self) -> None:
        """What the table has forgotten goes from the disk, behind the floor that it was forgotten for."""
        gone, self.replicated_state.forgotten_keys = self.replicated_state.forgotten_keys, []
        if gone:
            self._write(("gone", gone), ("gone",))

    # ---- as backup

    def append(self, body: Any, ticket: Any) -> list[Action]:
        self._append(body, ticket)
        return self.flush()

    def sync(self, body: Any, ticket: Any) -> list[Action]:
        self._sync(body, ticket)
        return self.flush()

    def _append(self, body: Any, ticket: Any) -> None:
        view, sender, large = unpack_view(body[0]), unpack_replica(body[1]), [1, body[5], []]
        if not self._in_order(view, sender, body[2]) or self.view_manager.state.complete != view.number:
            return self._out.append(Reply(ticket, False))
        if not self._follows_on((int(body[3][0]), int(body[3][1]))) or chunks.missing_digests(large, self._staged):
            return self._out.append(Reply(ticket, False))
        entries = sorted(unpack_entries(body[4]) + chunks.join_chunks(large, self._staged), key=lambda entry: entry[1])
        self.replicated_state.apply(entries)
        self._write(("rows", _rows(entries)), ("append", view, sender, ticket))
        if body[5]:
            self._unstage(set())
        self._clear()

    def _follows_on(self, before: Version) -> bool:
        """Something before it did not arrive otherwise: an answer would vouch for that too."""
        return self.replicated_state.table.high == before

    def _sync(self, body: Any, ticket: Any) -> None:
        view, sender, manifest = unpack_view(body[0]), unpack_replica(body[1]), body[3]
        self._carry(self.view_manager.learn(view))
        if not self._in_order(view, sender, body[2]):
            return self._out.append(Reply(ticket, False))
        held = self._staged | {chunks.chunk_digest(piece): bytes(piece) for piece in body[4]}
        lacks = chunks.missing_digests(manifest, held)
        if lacks and manifest[0]:
            held |= chunks.split_state(self.replicated_state.all_entries(), int(manifest[0])).chunks
            lacks = chunks.missing_digests(manifest, held)
        if lacks:
            return self._want(manifest, lacks, ticket)
        entries = chunks.join_chunks(manifest, held)
        self._resign()
        self.replicated_state = ReplicatedState()
        self.replicated_state.table.put(entries)
        self._staged, self._wanted = {}, set()
        self._out.append(StateReplaced())
        self._write(("whole", _rows(entries)), ("sync", view, sender, ticket))

    def _want(self, manifest: Any, lacks: list[bytes], ticket: Any) -> None:
        """Says what it lacks; of what came before, only what is of use now stays."""
        self._wanted = set(lacks)
        self._unstage(set(chunks.chunk_digests(manifest)))
        self._out.append(Reply(ticket, lacks))

    def _unstage(self, but: set[bytes]) -> None:
        gone = [name for name in self._staged if name not in but]
        if gone:
            for name in gone:
                del self._staged[name]
            self._write(("unstage", gone), ("gone",))

    def offer(self, body: Any, ticket: Any) -> list[Action]:
        """Pieces of a change that will come."""
        view, sender, manifest = unpack_view(body[0]), unpack_replica(body[1]), body[3]
        if not self._in_order(view, sender, body[2]):
            self._out.append(Reply(ticket, False))
        else:
            self._want(manifest, chunks.missing_digests(manifest, self._staged), ticket)
        return self.flush()

    def piece(self, body: Any, ticket: Any) -> list[Action]:
        """In whatever order, and of whatever life of its primary: it is what it is named."""
        view, sender = unpack_view(body[0]), unpack_replica(body[1])
        data = zlib.decompressobj().decompress(body[3], chunks.MAX_CHUNK_BYTES)
        name = chunks.chunk_digest(data)
        if not self._follows(view, sender) or name not in self._wanted:
            self._out.append(Reply(ticket, False))
        else:
            self._staged[name] = data
            self._write(("stage", [(name, data)]), ("piece", ticket))
        return self.flush()

    def _follows(self, view: View, sender: Replica) -> bool:
        own = self.view()
        return own is not None and own.number == view.number and sender == view.primary and self.self_id in view.backups

    def _in_order(self, view: View, sender: Replica, order: Any) -> bool:
        """A connection that was given up may deliver late: an older state would undo what this seat vouched for."""
        number = (view.number, int(order[0]), int(order[1]))
        if not self._follows(view, sender) or number <= self._newest:
            return False
        self._newest = number
        return True

    # ---- views

    def _carry(self, out: list[ViewOutput]) -> None:
        for item in out:
            if isinstance(item, PersistState):
                self._write(("fact", ("state", cbor2.dumps(item.state.pack()))), ("kept", item.number))
            elif isinstance(item, ElectionMessage):
                self._out.append(SendMessage(item.to, item.kind, item.body))
            else:
                self._moved(item.view)

    def _moved(self, view: View) -> None:
        current = self.view()
        if current is not None and current.number > view.number:
            return  # already past it
        was = self.active
        self.active = False
        self._clean, self._sending, self._held = set(), {}, set()
        self._out.append(ViewInstalled(view))
        self._forgo()
        if self.self_id not in view.backups:
            self._wanted = set()
            self._unstage(set())
        if self.view_manager.is_primary():
            self.replicated_state.start(view.number)
            self.replicated_state.reassign_pending(set(view.backups), self.self_id)
            for backup in view.backups:
                self._send_all(backup, view)
            self._activate(view)
        else:
            self._resign()
        if was and not self.active:
            self._out.append(ServingChanged(False))

    def _resign(self) -> None:
        self._forgo()
        self._out += [ChangeResult(then, False) for then in self.replicated_state.abandon()]
        self._out.append(SteppedDown())

    def _forgo(self) -> None:
        """Changes that were not made yet."""
        gone, self._planned = self._planned, deque()
        self.replicated_state.staged_changes = []
        self._out += [ChangeResult(planned.then, False) for planned in gone]

    # ---- numbers

    def _write(self, what: tuple[str, Any], follows: tuple[Any, ...]) -> None:
        self._numbers += 1
        self._writes[self._numbers] = follows
        self._out.append(Write(self._numbers, what))

    def _ask(self, backup: Replica, kind: str, body: list[Any], about: tuple[Any, ...], timeout: int) -> None:
        view = about[2]
        self._said += 1
        self._asks[self._said] = about
        self._out.append(
            SendRequest(
                self._said,
                backup,
                kind,
                [view.pack(), list(self.self_id), [self.start_number, self._said], *body],
                timeout,
            )
        )


def _rows(entries: list[Entry]) -> list[tuple[str, bytes]]:
    return [(key, cbor2.dumps([list(version), value])) for key, version, value in entries]
