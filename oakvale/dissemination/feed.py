"""The feed: receives state updates from a source further up the tree and relays them to subscribers.

Every update message carries a heartbeat of its primary: the view number and a counter. The primary sends heartbeats
several times a second, with or without updates, so a gateway knows how fresh its table is however many relays lie in
between. Without a new heartbeat for `STALE_AFTER_US` it tries the next source. It accepts updates from any sender;
table entries and heartbeats never go back to an older version.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from oakvale.base.address import Address, parse_address
from oakvale.base.loop import Loop
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
    unpack,
)
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.transport.links import Answer, Connection, Transport

HEARTBEAT_INTERVAL_US = 250_000  # between heartbeats of the primary
STALE_AFTER_US = 800_000  # without a new heartbeat, the next source is tried
SUBSCRIBE_TIMEOUT_US = 200_000  # an unreachable source delays updates by this, on top of STALE_AFTER_US
FIRST_UPDATE_TIMEOUT_US = 150_000  # a stale feed whose new source has sent nothing by then asks another one too
MAX_NOTICE_HOPS = 6  # limits the relaying of long-message notices, which could otherwise circulate for ever
RETRY_DELAY_US = 60_000  # between a rejected subscription and the next source
REPAIR_INTERVAL_US = 5_000_000  # between comparisons of table digests
READS_COMPRESSED = "zlib"  # field of a subscription; earlier versions lack it
LARGE_MESSAGE_BYTES = 4 * 1024  # larger messages are compressed, and acknowledged before more is sent
LARGE_MESSAGE_ACK_TIMEOUT_US = 60_000_000  # of a peer that reads nothing but whose machine keeps the connection
FAILED_SOURCE_RETRY_US = 20 * STALE_AFTER_US  # then a failure no longer counts against a source

log_event = EventLogger(__name__)


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

    def __init__(self, table: Table) -> None:
        self._table = table
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
        if packed.compressed is None:
            return conn.send("news", 0, [list(heartbeat), packed.plain, horizon])
        body = [list(heartbeat), packed.compressed if conn in self._read_compressed else packed.plain, horizon]
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


class Feed:
    """The gateway's side: subscribes to one source at a time and relays its updates to subscribers."""

    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        table: Table,
        identity: Callable[[], dict[str, Any]],
        candidate_sources: Callable[[dict[str, int]], list[str]],
        on_changed: Callable[[list[str]], None],
    ) -> None:
        self.loop, self.transport, self.table = loop, transport, table
        self._identity, self._candidate_sources, self._on_changed = identity, candidate_sources, on_changed
        self.publisher = Publisher(table)
        self.heartbeat: Version = NO_VERSION
        self.last_fresh_at = 0  # when the latest new heartbeat arrived
        self._source: Address | None = None
        self._previous_source: Address | None = None  # sends updates until the new source accepts the subscription
        self._requested_at = 0
        self._requests_since_fresh = 0
        self._first_request_at = 0  # of those
        self._failed_at: dict[str, int] = {}
        self._reported_fresh_at = 0  # `last_fresh_at` of the latest stale period that was logged
        self._best_source_checked = False
        transport.handlers["news"] = self._receive_updates
        transport.handlers["subscribe"] = self._serve_subscriber
        transport.handlers["serves"] = self._on_primary_serving
        transport.handlers["leave"] = lambda conn, body, answer: self.publisher.unsubscribe(conn)
        transport.handlers["digests"] = lambda conn, body, answer: self.publisher.send_repair(conn, body, answer)
        loop.at(loop.now, self._tick)
        loop.at(loop.now + REPAIR_INTERVAL_US, self._request_repair)

    def is_fresh(self, within: int = STALE_AFTER_US) -> bool:
        """Whether a new heartbeat arrived less than `within` microseconds ago."""
        return bool(self.last_fresh_at) and self.loop.now - self.last_fresh_at < within

    def _long_message_incoming(self) -> bool:
        """Whether a long message is on its way here; requesting it from another source would only delay it."""
        return self.loop.now - self.transport.long_notice_at < STALE_AFTER_US

    def source(self) -> Address | None:
        """The source of the latest subscription request."""
        return self._source

    def switch_to(self, address: str) -> None:
        """Subscribes to a better source, such as a new primary, at once."""
        parsed = parse_address(address)
        if parsed is not None:
            self._request_updates(parsed)

    def reselect_source(self) -> None:
        """Checks for the best source again: a changed gateway list may have moved this gateway in the tree."""
        self._best_source_checked = False

    # ---- updates from the source

    def _on_primary_serving(self, conn: Connection, body: Any, _: Answer) -> None:
        """A new primary announces itself; a stale gateway subscribes to it without searching further."""
        address = parse_address(str(body))
        if address is not None and not self.is_fresh():
            self.transport.retry_connect(address)
            self._request_updates(address)

    def _tick(self, _: Any) -> None:
        now = self.loop.now
        failed = {a: t for a, t in self._failed_at.items() if now - t < FAILED_SOURCE_RETRY_US}
        if len(failed) < len(self._failed_at):
            self._failed_at, self._best_source_checked = failed, False
        long_message_incoming = self._long_message_incoming()
        if long_message_incoming and self.transport.long_notice_hops < MAX_NOTICE_HOPS:
            self.publisher.forward_long_notice(self.transport.long_notice_hops + 1)
        if not self.is_fresh():
            if now - self._requested_at >= SUBSCRIBE_TIMEOUT_US and not long_message_incoming:
                self._try_next_source(now)
        elif not self._best_source_checked and now - self._requested_at > STALE_AFTER_US:
            self._best_source_checked = True
            best = self._candidate_sources(self._failed_at)
            if best and parse_address(best[0]) != self._source:
                self.switch_to(best[0])
        self.loop.at(now + HEARTBEAT_INTERVAL_US // 2, self._tick)

    def _try_next_source(self, now: int) -> None:
        if self._source is not None:
            self._failed_at[f"{self._source[0]}:{self._source[1]}"] = now
            if self.last_fresh_at != self._reported_fresh_at:  # once per stale period: only its first source went stale
                self._reported_fresh_at = self.last_fresh_at
                log_event("news are stale", source=self._source[0], for_ms=(now - self.last_fresh_at) // 1000)
        candidates = self._candidate_sources(self._failed_at)
        if candidates:
            address = parse_address(candidates[0])
            if address is not None:
                self._request_updates(address)

    def _request_updates(self, address: Address) -> None:
        now = self.loop.now
        if self._source is not None and self._source != address:
            if self._previous_source is None and self.is_fresh():
                self._previous_source = self._source
            elif self._source != self._previous_source:
                self.transport.tell(self._source, "leave", None)
        self._source, self._requested_at = address, now
        if not self._requests_since_fresh:
            self._first_request_at = now
        self._requests_since_fresh += 1
        body = self._identity() | {"high": list(self.table.highest_version), READS_COMPRESSED: True}
        self.transport.ask(
            address,
            "subscribe",
            body,
            SUBSCRIBE_TIMEOUT_US,
            lambda answer: self._on_subscribe_response(address, answer),
        )
        self.loop.at(now + FIRST_UPDATE_TIMEOUT_US, lambda _: self._check_first_update(address, now))

    def _check_first_update(self, address: Address, requested_at: int) -> None:
        """Tries the next source early: a machine that is down or starting drops the first packet of a connection."""
        if (
            self._source == address
            and self._requested_at == requested_at
            and not self.is_fresh()
            and not self._long_message_incoming()
        ):
            self._try_next_source(self.loop.now)

    def _on_subscribe_response(self, address: Address, answer: Any) -> None:
        """Follows a core machine's pointer to the primary, and moves on from a source that cannot serve updates."""
        if self._source != address:
            return
        previous_source, primary = self._previous_source, answer.get("primary") if isinstance(answer, dict) else None
        primary_address = parse_address(primary) if primary else None
        if primary_address is not None and primary_address != address:
            return self._request_updates(primary_address)
        if answer == {} or not self.is_fresh():
            self._previous_source = None
            if previous_source is not None and previous_source != address:
                self.transport.tell(previous_source, "leave", None)
        elif previous_source is not None:
            self._failed_at[f"{address[0]}:{address[1]}"] = self.loop.now
            self._source, self._previous_source = previous_source, None
        if answer != {} and not self.is_fresh():
            self.loop.at(
                self.loop.now + RETRY_DELAY_US,
                lambda _: self._try_next_source(self.loop.now) if not self.is_fresh() else None,
            )

    def _receive_updates(self, conn: Connection, body: Any, answer: Answer) -> None:
        answer(None)
        heartbeat, entries, horizon = (int(body[0][0]), int(body[0][1])), unpack(body[1]), body[2]
        if heartbeat < self.heartbeat and heartbeat[0] < self.heartbeat[0]:
            return  # from a replaced primary
        if horizon is not None:
            log_event(
                "complete table received",
                source=self._source[0] if self._source else "",
                entries=len(entries),
                requests=self._requests_since_fresh,
                after_ms=(self.loop.now - self._first_request_at) // 1000,
            )
            changed = self.table.replace_all(entries, (int(horizon[0]), int(horizon[1])))
        else:
            changed = self.table.put(entries)
        fresh = heartbeat > self.heartbeat
        if fresh:
            self.heartbeat, self.last_fresh_at = heartbeat, self.loop.now
            self._requests_since_fresh = 0
        if fresh or changed:
            keys = set(changed)
            self.publisher.publish(self.heartbeat, [entry for entry in entries if entry[0] in keys])
        if changed:
            self._on_changed(changed)

    def _request_repair(self, _: Any) -> None:
        self.loop.at(self.loop.now + REPAIR_INTERVAL_US, self._request_repair)
        if self._source is not None and self.is_fresh():
            self.transport.ask(self._source, "digests", self.table.digests(), STALE_AFTER_US, self._apply_repair)

    def _apply_repair(self, answer: Any) -> None:
        if answer:
            entries = unpack(answer)
            horizon = next((value for key, _, value in entries if key == HORIZON_KEY), list(NO_VERSION))
            if (int(horizon[0]), int(horizon[1])) < self.table.horizon:
                return  # the source may still hold entries that were deleted and compacted here
            changed = self.table.put(entries)
            if changed:
                log_event("table mended", "warning", entries=len(changed))
                self.publisher.publish(self.heartbeat, [entry for entry in entries if entry[0] in set(changed)])
                self._on_changed(changed)

    # ---- subscribers

    def _serve_subscriber(self, conn: Connection, body: Any, answer: Answer) -> None:
        if not self.is_fresh():
            return answer({"stale": True})
        answer({})
        highest_version = (int(body["high"][0]), int(body["high"][1]))
        self.publisher.subscribe(conn, highest_version, self.heartbeat, bool(body.get(READS_COMPRESSED)))
