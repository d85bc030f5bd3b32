"""Sends state updates to subscribers: on the primary, and on each gateway that relays them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from oakvale.dissemination.freshness import Stamp
from oakvale.dissemination.table import (
    HORIZON_KEY,
    NO_VERSION,
    Entry,
    PackedEntries,
    Table,
    Version,
    gateway_entries,
    pack,
    pack_compressed,
)
from oakvale.transport.links import Answer, Connection

LARGE_MESSAGE_BYTES = 4 * 1024  # larger messages are compressed, and acknowledged before more is sent
LARGE_MESSAGE_ACK_TIMEOUT_US = 60_000_000  # of a peer that reads nothing but whose machine keeps the connection


def _pack_news(entries: list[Entry]) -> PackedEntries:
    """The entries for gateways as sent in a `news` message."""
    return pack_compressed(gateway_entries(entries), LARGE_MESSAGE_BYTES)


def _oldest_before(entries: list[Entry]) -> Version:
    """The newest version that is older than all of the entries."""
    return min(((view, sequence - 1) for _, (view, sequence), _ in entries), default=NO_VERSION)


@dataclass(slots=True, frozen=True)
class LargeMessage:
    """A large message in flight: a subscriber whose table reaches `since` will reach `up_to` with it."""

    since: Version
    up_to: Version


class Publisher:
    """Sends state updates to subscribers.

    A subscriber whose connection is congested, or that has not acknowledged a large message, gets nothing more until it
    has caught up. It then gets the current table entries, so of a key that changed several times only the newest value.
    The acknowledgement keeps outdated entries from queueing in the connection's buffers.
    """

    def __init__(self, table: Table, stamp: Callable[[], Stamp | None] = lambda: None) -> None:
        """`stamp` makes the primary's stamp of now, or gives the latest one that a relay received."""
        self._table, self._stamp = table, stamp
        self._subscribers: dict[
            Connection, Version | None
        ] = {}  # None if all was sent, else entries newer than this are deferred
        # Kept when its subscriber leaves: one that comes back on the same connection is not sent the same again.
        self._in_flight: dict[Connection, LargeMessage] = {}
        self._heartbeat = NO_VERSION
        self._read_compressed: set[Connection] = set()
        self._packed_table = PackedEntries([], None)
        self._packed_revision = -1  # of the table, when it was packed
        self.complete_tables_sent = 0

    def __len__(self) -> int:
        return len(self._subscribers)

    def subscribe(
        self, conn: Connection, highest_version: Version, heartbeat: Version, reads_compressed: bool = False
    ) -> None:
        """Adds a subscriber whose table reaches `highest_version` and sends it all newer entries."""
        if conn not in self._subscribers:
            self._subscribers[conn] = None
            conn.on_close.append(self._forget)
            if reads_compressed:
                self._read_compressed.add(conn)
            conn.max_unsplit_bytes = LARGE_MESSAGE_BYTES  # whole ones would delay the heartbeats of all subscribers
        in_flight = self._in_flight.get(conn)
        if in_flight is not None and highest_version >= in_flight.since:
            self._subscribers[conn] = max(highest_version, in_flight.up_to)
        else:
            self._send_since(conn, highest_version, heartbeat)

    def _send_since(self, conn: Connection, highest_version: Version, heartbeat: Version) -> None:
        self._subscribers[conn] = None
        if highest_version < self._table.horizon or highest_version == NO_VERSION:
            self.complete_tables_sent += 1
            return self._send(conn, heartbeat, self._complete_table(), list(self._table.horizon), highest_version)
        self._send(conn, heartbeat, _pack_news(self._table.since(highest_version)), None, highest_version)

    def _complete_table(self) -> PackedEntries:
        """All entries; packed once for the subscribers that ask for them between two changes."""
        if self._packed_revision != self._table.gateway_revision:
            self._packed_table = _pack_news(self._table.since(NO_VERSION))
            self._packed_revision = self._table.gateway_revision
        return self._packed_table

    def _send(
        self, conn: Connection, heartbeat: Version, packed: PackedEntries, horizon: list[int] | None, since: Version
    ) -> None:
        stamp = self._stamp()
        stamped = stamp.pack() if stamp is not None else None
        if packed.compressed is None:
            return conn.send("news", 0, [list(heartbeat), packed.plain, horizon, stamped])
        entries = packed.compressed if conn in self._read_compressed else packed.plain
        body = [list(heartbeat), entries, horizon, stamped]
        message = LargeMessage(since, self._table.highest_version)
        self._in_flight[conn] = message
        conn.ask("news", body, LARGE_MESSAGE_ACK_TIMEOUT_US, lambda _: self._acknowledged(conn, message))

    def _acknowledged(self, conn: Connection, message: LargeMessage) -> None:
        if self._in_flight.get(conn) is message:
            del self._in_flight[conn]
            self._send_deferred(conn)

    def _forget(self, conn: Connection) -> None:
        self._subscribers.pop(conn, None)
        self._read_compressed.discard(conn)

    def unsubscribe(self, conn: Connection) -> None:
        """Removes a subscriber; its connection stays open."""
        if conn in self._subscribers:
            del self._subscribers[conn]
            self._read_compressed.discard(conn)
            conn.on_close.remove(self._forget)

    def publish(self, heartbeat: Version, entries: list[Entry]) -> None:
        """Sends entries that gateways hold, and that the table already holds, with a heartbeat to all subscribers."""
        self._heartbeat = heartbeat
        packed = _pack_news(entries)
        since = _oldest_before(entries)
        for conn in list(self._subscribers):
            all_sent = self._subscribers[conn] is None
            if conn.is_congested() or conn in self._in_flight and (entries or not all_sent):
                self._defer(conn, entries)
            elif all_sent:
                self._send(conn, heartbeat, packed, None, since)
            else:
                self._send_deferred(conn)

    def publish_complete_table(self, heartbeat: Version) -> None:
        """Sends the complete table to all subscribers: it lacks entries that they may hold."""
        self._heartbeat = heartbeat
        for conn in list(self._subscribers):
            self._subscribers[conn] = NO_VERSION
            if conn.is_congested() or conn in self._in_flight:
                conn.on_writable = self._send_deferred
            else:
                self._send_deferred(conn)

    def _defer(self, conn: Connection, entries: list[Entry]) -> None:
        """Records which entries the subscriber still needs. A skipped heartbeat needs none: another follows."""
        deferred = self._subscribers[conn]
        if entries:
            before = _oldest_before(entries)
            self._subscribers[conn] = before if deferred is None else min(before, deferred)
        conn.on_writable = self._send_deferred

    def _send_deferred(self, conn: Connection) -> None:
        since = self._subscribers.get(conn)
        if since is not None and conn.alive and conn not in self._in_flight:
            self._send_since(conn, since, self._heartbeat)

    def send_repair(self, conn: Connection, digests: list[bytes], answer: Answer) -> None:
        """Answers with the entries of all key ranges whose digest differs, and the compaction horizon."""
        found = self._table.differing_entries(digests)
        horizon = (HORIZON_KEY, self._table.version(HORIZON_KEY), self._table.get(HORIZON_KEY))
        answer(pack([*found, horizon] if found and horizon[2] is not None else found))

    def forward_long_notice(self, hops: int) -> None:
        """Tells subscribers that a long message is on its way, so that they do not request it elsewhere."""
        for conn in list(self._subscribers):
            conn.send_long_notice(hops)

    def close_all(self) -> None:
        """Ends the connections of all subscribers."""
        for conn in list(self._subscribers):
            conn.end()
