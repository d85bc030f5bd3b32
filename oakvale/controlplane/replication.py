"""Replication of the control state between a primary and its backups.

This module does no I/O and reads no clock. It is given the events and the contents of the disk, and returns actions to
be carried out in order: writes, requests, messages and replies. It combines `view_change` (who is primary) with
`replicated_state` (which changes are in force). What has to follow a write or a reply is stored here as data, so that a
whole replica can be copied and compared (`oakvale/lab/modelcheck` does).

A state is sent to a backup as a manifest of its chunks. The backup answers with the digests of the chunks that it does
not have. These are sent, a few at a time, and the backup stores them on disk beside its rows. Once none is missing, the
backup replaces its state in a single write; until then no chunk takes effect. As chunks are named by a digest of their
contents, a chunk that arrived before a connection broke, a process ended or the primary changed is not sent again.
"""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Iterable
from typing import Any

import cbor2

from oakvale.controlplane import chunks
from oakvale.controlplane.actions import (
    Action,
    ChangeResult,
    Reply,
    RetryLater,
    SendMessage,
    SendRequest,
    ServingChanged,
    StateReplaced,
    StateUpdates,
    SteppedDown,
    ViewInstalled,
    Write,
)
from oakvale.controlplane.backup_requests import (
    AppendRequest,
    BackupRequest,
    ChunkRequest,
    OfferRequest,
    RequestHeader,
    SyncRequest,
    decode_append,
    decode_chunk,
    decode_header,
    decode_offer,
    decode_sync,
)
from oakvale.controlplane.chunks import ChunkedState
from oakvale.controlplane.continuations import (
    AfterAnswer,
    AfterWrite,
    AppendSent,
    ChunkSent,
    ChunkStored,
    NothingFollows,
    OfferSent,
    OwnRowsSynced,
    ProcessBegun,
    RowsAppended,
    StateComplete,
    StateStored,
    SyncSent,
    ViewStateStored,
)
from oakvale.controlplane.failure_domains import FailureDomains
from oakvale.controlplane.replicated_state import Callback, ReplicatedState
from oakvale.controlplane.start_state import StartState
from oakvale.controlplane.transfers import BASE_TIMEOUT_US, StagedChange, Transfer, transfer_timeout_us
from oakvale.controlplane.view_change import ElectionMessage, PersistState, ViewManager, ViewOutput
from oakvale.controlplane.views import Replica, View
from oakvale.dissemination.table import NO_VERSION, Entry, Version

MAX_CHUNKS_IN_FLIGHT = 2  # to one backup; on a slow link, heartbeats queue behind them


class Replicator:
    """One replica, for one run of its process."""

    def __init__(
        self,
        start: StartState,
        rows: Iterable[tuple[str, bytes]],
        copy_count: int,
        silence_us: int,
        replacement_delay_us: int,
        staged: Iterable[tuple[bytes, bytes]] = (),
        zone: str = "",
        domains: FailureDomains | None = None,
    ) -> None:
        self.self_id, self.start_number = start.self_id, start.start_number
        self.view_manager = ViewManager(
            start.self_id, start.durable, copy_count, silence_us, replacement_delay_us, zone, domains
        )
        self.replicated_state = ReplicatedState()  # replaced when a primary sends its state
        self.active = False
        self._released_in_view = 0  # the newest view whose primary allowed this replica to stop
        self._last_request_number = 0  # to backups, in this run
        self._newest_request = (0, 0, 0)  # as a backup: its `RequestHeader.order`
        self._synced_backups: set[Replica] = set()  # those that have synced the state in this view
        self._caught_up: set[Replica] = set()  # backups that hold the state and accept changes
        self._transfers: dict[Replica, Transfer] = {}
        self._staged_changes: deque[StagedChange] = deque()
        self._received_chunks = dict(staged)  # chunks of a state or change that is still incomplete
        self._expected_digests: set[bytes] = set()
        self._last_write_number = 0
        self._pending_writes: dict[int, AfterWrite] = {}  # by write number
        self._requests: dict[int, AfterAnswer] = {}  # by request number
        self._out: list[Action] = []
        self.replicated_state.apply(
            [
                (key, (version[0], version[1]), value)
                for key, version, value in ((key, *cbor2.loads(data)) for key, data in rows)
            ]
        )
        self._write(("fact", ("self", start.stored)), ProcessBegun(start.durable.view))
        self._delete_forgotten_rows()

    def view(self) -> View | None:
        """The newest view known here."""
        return self.view_manager.state.view

    def flush(self) -> list[Action]:
        """Returns the actions that are due, and clears the list."""
        out, self._out = self._out, []
        return out

    # ---- events

    def change(self, changes: dict[str, Any], on_done: Callback, behind: bool = False) -> list[Action]:
        """Makes a change. `on_done` is called with True once it is in force and its state updates are being published.
        Small changes overtake one whose chunks are still being sent, unless they touch the same keys or `behind` is
        set, which keeps a change after all those requested before it."""
        view = self.view()
        if not self.active or view is None or view.primary != self.self_id:
            self._out.append(ChangeResult(on_done, False))
            return self.flush()
        staged_keys = {key for staged in self._staged_changes for key in staged.changes}
        if self._caught_up and (
            behind
            and self._staged_changes
            or staged_keys & set(changes)
            or chunks.encoded_size(changes) > chunks.MAX_INLINE_BYTES
        ):
            self._staged_changes.append(StagedChange(changes, on_done))
            self.replicated_state.staged_changes.append(changes)
            if len(self._staged_changes) == 1:
                self._stage_next_change()
        else:
            self._propose(view, changes, on_done)
        return self.flush()

    def apply_view_outputs(self, out: list[ViewOutput]) -> list[Action]:
        """Carries out what the view manager returned."""
        self._apply_view_outputs(out)
        return self.flush()

    def tick(self, now: int, disk_healthy: bool = True) -> list[Action]:
        """To be called several times a second; see `ViewManager.tick`."""
        self._apply_view_outputs(self.view_manager.tick(now, disk_healthy, self.active))
        return self.flush()

    def peer_leaving(self, now: int, peer: Replica) -> list[Action]:
        """A peer has just announced that it is shutting down; it repeats this until it stops."""
        self._apply_view_outputs(self.view_manager.tick(now, backups_synced=self.active))
        view = self.view()
        if view is not None and self._may_release(now, peer, view):
            self.view_manager.release(peer)
            self._out.append(SendMessage(peer, "released", [view.number]))
        return self.flush()

    def _may_release(self, now: int, peer: Replica, view: View) -> bool:
        """As primary: whether the peer's stop makes nothing worse, or nobody can take its place."""
        view_manager = self.view_manager
        if not self._serves_in(view):
            return False
        if view_manager.too_few_remain(now, peer, view):
            return True
        return (
            peer not in view.copies
            and all(view_manager.is_available(b, now) for b in view.backups)
            and view_manager.proposed_view(now, view, True) is None
        )

    def _serves_in(self, view: View) -> bool:
        """Whether this replica serves in exactly this view. While a view is not on disk, `active` still belongs to the
        one before."""
        return self.active and view.primary == self.self_id and self.view_manager.is_persisted(view)

    def released(self, view: int) -> None:
        """The primary of this view has allowed this replica to stop."""
        self._released_in_view = max(self._released_in_view, view)

    def leave(self) -> None:
        """This replica is shutting down."""
        self.view_manager.self_leaving = True

    def may_leave(self, now: int) -> bool:
        """Whether this replica, which is shutting down, can stop without reducing the number of complete copies or the
        majority more than unavoidable. It has to wait while it holds the only complete copy, and until a view that
        has no copy on it is complete."""
        view, view_manager = self.view(), self.view_manager
        if view is None or self.self_id not in view.witnesses and view_manager.state.complete < view.number - 1:
            return True  # no member of the view, and holds nothing that the view before it needs
        if not view_manager.too_few_remain(now, self.self_id, view):
            return self._released_in_view == view.number and self.self_id not in view.copies
        if self.self_id == view.primary:
            return self._serves_in(view)
        copies_complete = self.self_id not in view.copies or view_manager.state.complete == view.number
        return copies_complete and (view_manager.alive(view.primary, now) or view_manager.is_leaving(view.primary))

    def written(self, number: int) -> list[Action]:
        """The write with this number is on disk."""
        match self._pending_writes.pop(number):
            case ProcessBegun(stored_view):
                if stored_view is not None:  # the identity is on disk, so stored votes may be used
                    self._enter_view(stored_view)
            case OwnRowsSynced(up_to):
                self._synced(self.self_id, up_to)
            case ViewStateStored(state_number):
                self._apply_view_outputs(self.view_manager.persisted(state_number))
            case RowsAppended(view, sender, ticket):
                self._out.append(Reply(ticket, self._is_backup_in(view, sender)))
            case ChunkStored(ticket):
                self._out.append(Reply(ticket, True))
            case StateStored(view, sender, ticket):
                self._apply_view_outputs(self.view_manager.synced(view.number))
                last_sync = str(view.number).encode()
                self._write(("fact", ("last-sync", last_sync)), StateComplete(view, sender, ticket))
            case StateComplete(view, sender, ticket):
                self._reply_to_sync(view, sender, ticket)
        return self.flush()

    def _reply_to_sync(self, view: View, sender: Replica, ticket: Any) -> None:
        """Tells the primary whether this replica has the whole state of its view, or that the view is void."""
        state = self.view_manager.state
        complete = self._is_backup_in(view, sender) and state.complete == view.number
        self._out.append(Reply(ticket, "void" if state.void == view.number else complete))

    def answered(self, number: int, answer: Any) -> list[Action]:
        """Handles the answer to a request; None means that there was none."""
        match self._requests.pop(number):
            case AppendSent(backup, view, up_to):
                self._append_answered(backup, view, up_to, answer)
            case SyncSent(backup, view, up_to):
                self._sync_answered(backup, view, up_to, answer)
            case OfferSent(backup, view):
                self._offer_answered(backup, view, answer)
            case ChunkSent(backup, view, digest):
                self._chunk_answered(backup, view, digest, answer)
        return self.flush()

    def retry_sync(self, backup: Replica, view: View) -> list[Action]:
        """Sends the state again to a backup that refused it or did not answer."""
        self._send_state(backup, view)
        return self.flush()

    # ---- as primary

    def _append_answered(self, backup: Replica, view: View, up_to: Version, answer: Any) -> None:
        if self.view() != view:
            return
        if answer is True:
            self._synced(backup, up_to)
        else:
            self._caught_up.discard(backup)
            self._send_state(backup, view)

    def _propose(
        self, view: View, changes: dict[str, Any], on_done: Callback, chunked: ChunkedState | None = None
    ) -> None:
        """Proposes a change. `chunked` has the chunks of its large values, which the backups already hold."""
        before = self.replicated_state.last_version
        entries = self.replicated_state.propose(changes, {self.self_id, *view.backups}, on_done)
        up_to = entries[-1][1]
        self._write(("rows", _encode_rows(entries)), OwnRowsSynced(up_to))
        large = [
            row[:1] + list(version) + row[3:]
            for row in (chunked.large if chunked else [])
            for key, version, _ in entries
            if key == row[0]
        ]
        small = [entry for entry in entries if entry[0] not in {row[0] for row in large}]
        for backup in view.backups:
            if backup in self._caught_up:
                self._request(AppendSent(backup, view, up_to), AppendRequest(before, small, large), BASE_TIMEOUT_US)

    def _retry_later(self, backup: Replica, view: View) -> None:
        """The backup did not accept a request; the whole state is sent to it after a delay."""
        self._transfers.pop(backup, None)
        self._caught_up.discard(backup)
        self._out.append(RetryLater(backup, view))
        self._backup_staged(backup)

    def _send_state(self, backup: Replica, view: View) -> None:
        """Sends a backup that is new, or has missed a change, the whole state except for what it already holds."""
        if self.view() != view or backup in self._transfers and self._transfers[backup].is_full_state:
            return
        transfer = self._transfers[backup] = Transfer(ChunkedState(0), NO_VERSION)
        self._backup_staged(backup)
        self._send_sync(backup, view, transfer, now=True)

    def _send_sync(self, backup: Replica, view: View, transfer: Transfer, now: bool = False) -> None:
        """Offers the current state if little of it is missing on the backup. Otherwise it offers the state as of the
        last count of missing chunks, and later changes follow in another round."""
        entries = self.replicated_state.all_entries()
        chunked = chunks.split_state(entries)
        size = sum(len(chunk) for digest, chunk in chunked.chunks.items() if digest not in transfer.held)
        if now or size <= chunks.MAX_INLINE_BYTES:
            transfer.chunked, transfer.up_to = chunked, max((version for _, version, _ in entries), default=NO_VERSION)
            self._caught_up.add(backup)  # later changes follow on the same connection
        missing = [chunk for digest, chunk in transfer.chunked.chunks.items() if digest not in transfer.held]
        inline = missing if sum(map(len, missing)) <= chunks.MAX_INLINE_BYTES else []
        transfer.held.update(map(chunks.chunk_digest, inline))
        manifest = transfer.chunked.manifest()
        size = sum(map(len, inline)) + len(transfer.chunked.chunks) * chunks.DIGEST_BYTES
        request = SyncRequest(manifest, inline)
        self._request(SyncSent(backup, view, transfer.up_to), request, transfer_timeout_us(size))

    def _sync_answered(self, backup: Replica, view: View, up_to: Version, answer: Any) -> None:
        transfer = self._transfers.get(backup)
        if self.view() != view or transfer is None:
            return
        if isinstance(answer, (list, tuple)) and answer:
            self._caught_up.discard(backup)
            return self._send_missing(backup, view, transfer, answer)
        if answer is True:
            del self._transfers[backup]
            self._synced_backups.add(backup)
            self._synced(backup, up_to)
            self._activate(view)
            if backup not in self._caught_up:  # a change sent after the state was refused or lost
                self._send_state(backup, view)
        else:
            if answer == "void":
                self.view_manager.voided_by_backup(view.number)
            self._retry_later(backup, view)

    def _send_missing(self, backup: Replica, view: View, transfer: Transfer, answer: Iterable[Any]) -> None:
        missing = {bytes(digest) for digest in answer}
        transfer.held = set(transfer.chunked.chunks) - missing
        transfer.unsent = [digest for digest in transfer.chunked.chunks if digest in missing]
        if missing and not transfer.unsent:
            return self._retry_later(backup, view)
        self._send_chunks(backup, view, transfer)

    def _send_chunks(self, backup: Replica, view: View, transfer: Transfer) -> None:
        while transfer.unsent and len(transfer.in_flight) < MAX_CHUNKS_IN_FLIGHT:
            digest = transfer.unsent.pop(0)
            transfer.in_flight.add(digest)
            packed = zlib.compress(transfer.chunked.chunks[digest], 1)
            timeout = transfer_timeout_us(len(packed))
            self._request(ChunkSent(backup, view, digest), ChunkRequest(packed), timeout)
        if transfer.in_flight:
            return
        if transfer.is_full_state:
            self._send_sync(backup, view, transfer)
        else:
            del self._transfers[backup]
            self._backup_staged(backup)

    def _chunk_answered(self, backup: Replica, view: View, digest: bytes, answer: Any) -> None:
        transfer = self._transfers.get(backup)
        if self.view() != view or transfer is None or digest not in transfer.in_flight:
            return
        transfer.in_flight.discard(digest)
        if answer is not True:
            return self._retry_later(backup, view)
        transfer.held.add(digest)
        self._send_chunks(backup, view, transfer)

    # ---- as primary: changes that are too large for one message

    def _stage_next_change(self) -> None:
        """Sends the chunks of the first staged change to the backups; other changes go on in the meantime."""
        view = self.view()
        assert view is not None
        while self._staged_changes:
            staged = self._staged_changes[0]
            chunked = chunks.split_change([(key, NO_VERSION, value) for key, value in staged.changes.items()])
            staged.waiting_for = {
                backup for backup in view.backups if backup in self._caught_up and backup not in self._transfers
            }
            if staged.waiting_for:
                for backup in sorted(staged.waiting_for):
                    self._transfers[backup] = Transfer(chunked, NO_VERSION, is_full_state=False)
                    timeout = transfer_timeout_us(len(chunked.chunks) * chunks.DIGEST_BYTES)
                    self._request(OfferSent(backup, view), OfferRequest(chunked.manifest()), timeout)
                return
            self._staged_changes.popleft()
            self.replicated_state.staged_changes.pop(0)
            self._propose(view, staged.changes, staged.on_done, chunked)

    def _offer_answered(self, backup: Replica, view: View, answer: Any) -> None:
        transfer = self._transfers.get(backup)
        if self.view() != view or transfer is None or transfer.is_full_state:
            return
        if isinstance(answer, (list, tuple)):
            self._send_missing(backup, view, transfer, answer)
        else:
            self._retry_later(backup, view)

    def _backup_staged(self, backup: Replica) -> None:
        """The backup holds the chunks of the first staged change, or will receive them with the state."""
        if not self._staged_changes or backup not in self._staged_changes[0].waiting_for:
            return
        self._staged_changes[0].waiting_for.discard(backup)
        if not self._staged_changes[0].waiting_for:
            staged, view = self._staged_changes.popleft(), self.view()
            assert view is not None
            self.replicated_state.staged_changes.pop(0)
            chunked = chunks.split_change([(key, NO_VERSION, value) for key, value in staged.changes.items()])
            self._propose(view, staged.changes, staged.on_done, chunked)
            self._stage_next_change()

    def _activate(self, view: View) -> None:
        if self.active or self.view() != view or not set(view.backups) <= self._synced_backups:
            return
        self.active = True
        self._out.append(ServingChanged(True))

    def _synced(self, replica: Replica, up_to: Version) -> None:
        in_force = self.replicated_state.synced(replica, up_to)
        if in_force:
            self._out.append(StateUpdates(in_force))
            self._delete_forgotten_rows()
        self._out += [ChangeResult(on_done, True) for on_done in self.replicated_state.take_completed()]

    def _delete_forgotten_rows(self) -> None:
        """Deletes rows of forgotten keys from disk, after the write of the compaction horizon that they were forgotten
        for."""
        forgotten, self.replicated_state.forgotten_keys = self.replicated_state.forgotten_keys, []
        if forgotten:
            self._write(("gone", forgotten), NothingFollows())

    # ---- as backup

    def append(self, body: Any, ticket: Any) -> list[Action]:
        """Handles a request to append changes."""
        self._append(decode_header(body), decode_append(body), ticket)
        return self.flush()

    def sync(self, body: Any, ticket: Any) -> list[Action]:
        """Handles a request to replace the whole state."""
        self._sync(decode_header(body), decode_sync(body), ticket)
        return self.flush()

    def _append(self, header: RequestHeader, request: AppendRequest, ticket: Any) -> None:
        if not self._in_order(header) or self.view_manager.state.complete != header.view.number:
            return self._out.append(Reply(ticket, False))
        large = [1, request.large, []]
        if not self._is_contiguous(request.before) or chunks.missing_digests(large, self._received_chunks):
            return self._out.append(Reply(ticket, False))
        joined = chunks.join_chunks(large, self._received_chunks)
        entries = sorted(request.entries + joined, key=lambda entry: entry[1])
        self.replicated_state.apply(entries)
        self._write(("rows", _encode_rows(entries)), RowsAppended(header.view, header.sender, ticket))
        if request.large:
            self._discard_chunks(set())
        self._delete_forgotten_rows()

    def _is_contiguous(self, before: Version) -> bool:
        """Whether no earlier change is missing here: accepting this one would acknowledge those before it as well."""
        return self.replicated_state.table.highest_version == before

    def _sync(self, header: RequestHeader, request: SyncRequest, ticket: Any) -> None:
        manifest = request.manifest
        self._apply_view_outputs(self.view_manager.learn(header.view))
        if not self._in_order(header):
            return self._out.append(Reply(ticket, False))
        available = self._received_chunks | {chunks.chunk_digest(chunk): chunk for chunk in request.inline}
        missing = chunks.missing_digests(manifest, available)
        if missing and manifest[0]:
            available |= chunks.split_state(self.replicated_state.all_entries(), int(manifest[0])).chunks
            missing = chunks.missing_digests(manifest, available)
        if missing:
            return self._request_missing(manifest, missing, ticket)
        entries = chunks.join_chunks(manifest, available)
        self._step_down()
        self.replicated_state = ReplicatedState()
        self.replicated_state.table.put(entries)
        self._received_chunks, self._expected_digests = {}, set()
        self._out.append(StateReplaced())
        self._write(("whole", _encode_rows(entries)), StateStored(header.view, header.sender, ticket))

    def _request_missing(self, manifest: Any, missing: list[bytes], ticket: Any) -> None:
        """Answers with the missing digests, and discards received chunks that are not in the manifest."""
        self._expected_digests = set(missing)
        self._discard_chunks(set(chunks.chunk_digests(manifest)))
        self._out.append(Reply(ticket, missing))

    def _discard_chunks(self, keep: set[bytes]) -> None:
        unused = [digest for digest in self._received_chunks if digest not in keep]
        if unused:
            for digest in unused:
                del self._received_chunks[digest]
            self._write(("unstage", unused), NothingFollows())

    def offer(self, body: Any, ticket: Any) -> list[Action]:
        """Handles the manifest of a staged change."""
        header, manifest = decode_header(body), decode_offer(body).manifest
        if not self._in_order(header):
            self._out.append(Reply(ticket, False))
        else:
            self._request_missing(manifest, chunks.missing_digests(manifest, self._received_chunks), ticket)
        return self.flush()

    def piece(self, body: Any, ticket: Any) -> list[Action]:
        """Handles a chunk. Its order and the primary's run do not matter, as its digest identifies it."""
        header, request = decode_header(body), decode_chunk(body)
        data = zlib.decompressobj().decompress(request.compressed, chunks.MAX_CHUNK_BYTES)
        digest = chunks.chunk_digest(data)
        if not self._is_backup_in(header.view, header.sender) or digest not in self._expected_digests:
            self._out.append(Reply(ticket, False))
        else:
            self._received_chunks[digest] = data
            self._write(("stage", [(digest, data)]), ChunkStored(ticket))
        return self.flush()

    def _is_backup_in(self, view: View, sender: Replica) -> bool:
        current = self.view()
        return (
            current is not None
            and current.number == view.number
            and sender == view.primary
            and self.self_id in view.backups
        )

    def _in_order(self, header: RequestHeader) -> bool:
        """Whether the request is newer than all before it. An abandoned connection may deliver late, and an older state
        would undo changes that this replica has acknowledged."""
        if not self._is_backup_in(header.view, header.sender) or header.order <= self._newest_request:
            return False
        self._newest_request = header.order
        return True

    # ---- views

    def _apply_view_outputs(self, out: list[ViewOutput]) -> None:
        for item in out:
            if isinstance(item, PersistState):
                self._write(("fact", ("state", cbor2.dumps(item.state.pack()))), ViewStateStored(item.number))
            elif isinstance(item, ElectionMessage):
                self._out.append(SendMessage(item.to, item.kind, item.body))
            else:
                self._enter_view(item.view)

    def _enter_view(self, view: View) -> None:
        current = self.view()
        if current is not None and current.number > view.number:
            return  # a newer view is already in force
        was_active = self.active
        self.active = False
        self._caught_up, self._transfers, self._synced_backups = set(), {}, set()
        self._out.append(ViewInstalled(view))
        self._drop_staged_changes()
        if self.self_id not in view.backups:
            self._expected_digests = set()
            self._discard_chunks(set())
        if self.view_manager.is_primary():
            self.replicated_state.start(view.number)
            self.replicated_state.reassign_pending(set(view.backups), self.self_id)
            for backup in view.backups:
                self._send_state(backup, view)
            self._activate(view)
        else:
            self._step_down()
        if was_active and not self.active:
            self._out.append(ServingChanged(False))

    def _step_down(self) -> None:
        self._drop_staged_changes()
        self._out += [ChangeResult(on_done, False) for on_done in self.replicated_state.abandon()]
        self._out.append(SteppedDown())

    def _drop_staged_changes(self) -> None:
        """Reports staged changes that were not proposed yet as not done."""
        dropped, self._staged_changes = self._staged_changes, deque()
        self.replicated_state.staged_changes = []
        self._out += [ChangeResult(staged.on_done, False) for staged in dropped]

    # ---- numbered actions

    def _write(self, what: tuple[str, Any], continuation: AfterWrite) -> None:
        self._last_write_number += 1
        self._pending_writes[self._last_write_number] = continuation
        self._out.append(Write(self._last_write_number, what))

    def _request(self, continuation: AfterAnswer, request: BackupRequest, timeout: int) -> None:
        """Sends a request to a backup, which replies within `timeout` microseconds or counts as silent."""
        self._last_request_number += 1
        number = self._last_request_number
        self._requests[number] = continuation
        header = RequestHeader(continuation.view, self.self_id, self.start_number, number)
        body = [*header.encode(), *request.encode()]
        self._out.append(SendRequest(number, continuation.backup, continuation.kind, body, timeout))


def _encode_rows(entries: list[Entry]) -> list[tuple[str, bytes]]:
    return [(key, cbor2.dumps([list(version), value])) for key, version, value in entries]
