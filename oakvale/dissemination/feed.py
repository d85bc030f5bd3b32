"""The feed: takes news from above and hands them to those below.

Every frame of news bears the pulse of the primary that it comes from: its view and a count. Pulses come several
times a second with or without news, so that a gateway knows how fresh its table is, however many relays are
between: with no new pulse for `STALE` it turns to the next source. It never goes back, and takes from anybody.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import cbor2

from oakvale.base.address import Address, parse_address
from oakvale.base.loop import Loop
from oakvale.dissemination.table import HORIZON_KEY, NO_VERSION, Entry, Table, Version, gateway_entries, pack, unpack
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.transport.links import Answer, Connection, Transport

HEARTBEAT_INTERVAL_US = 250_000  # microseconds between two of the primary's pulses
STALE_AFTER_US = 800_000  # without a new one, another source is tried
SUBSCRIBE_TIMEOUT_US = 200_000  # for a source to agree; a dark one holds up what it gives for this beside STALE
FIRST_UPDATE_TIMEOUT_US = (
    150_000  # one that is silent for so long while there are no news need not be the only one that is asked
)
MAX_NOTICE_HOPS = 6  # as far is told that something long is on its way: two that told each other would never end
RETRY_DELAY_US = 60_000  # before another is asked, after one that could not help
REPAIR_INTERVAL_US = 5_000_000  # between two comparisons of digests
LARGE_MESSAGE_BYTES = 4 * 1024  # bytes of a message that is waited for
LARGE_MESSAGE_ACK_TIMEOUT_US = 2_000_000  # without a word that it came
FAILED_SOURCE_RETRY_US = 20 * STALE_AFTER_US  # a source that failed is asked like the others again

log_event = EventLogger(__name__)


class Publisher:
    """Those below, each with its connection. One that has not said that a large message came, or whose connection is
    full, is sent no more until then, and then what the table holds: of a key that changed several times meanwhile, the
    newest alone. Without the word, what is old would wait in the buffers of the connection."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._subscribers: dict[Connection, Version | None] = {}  # None: all was sent; else what is newer was not
        self._unacknowledged: set[Connection] = set()  # a large message is on its way there
        self._heartbeat = NO_VERSION

    def __len__(self) -> int:
        return len(self._subscribers)

    def subscribe(self, conn: Connection, highest_version: Version, heartbeat: Version) -> None:
        if conn not in self._subscribers:
            self._subscribers[conn] = None
            conn.on_close.append(self._forget)
        elif conn.sending_long_frame():
            return  # all of it is on its way there
        self._send_since(conn, highest_version, heartbeat)

    def _send_since(self, conn: Connection, highest_version: Version, heartbeat: Version) -> None:
        self._subscribers[conn] = None
        if highest_version < self._table.horizon or highest_version == NO_VERSION:
            body: list[Any] = [
                list(heartbeat),
                pack(gateway_entries(self._table.since(NO_VERSION))),
                list(self._table.horizon),
            ]
        else:
            body = [list(heartbeat), pack(gateway_entries(self._table.since(highest_version))), None]
        self._send(conn, body, len(cbor2.dumps(body)))

    def _send(self, conn: Connection, body: list[Any], size: int) -> None:
        if size <= LARGE_MESSAGE_BYTES:
            return conn.send("news", 0, body)
        self._unacknowledged.add(conn)
        conn.ask("news", body, LARGE_MESSAGE_ACK_TIMEOUT_US, lambda _: self._acknowledged(conn))

    def _acknowledged(self, conn: Connection) -> None:
        self._unacknowledged.discard(conn)
        self._send_deferred(conn)

    def _forget(self, conn: Connection) -> None:
        self._subscribers.pop(conn, None)

    def unsubscribe(self, conn: Connection) -> None:
        if conn in self._subscribers:
            del self._subscribers[conn]
            conn.on_close.remove(self._forget)

    def publish(self, heartbeat: Version, entries: list[Entry]) -> None:
        """The table holds these entries already."""
        self._heartbeat = heartbeat
        body = [list(heartbeat), pack(gateway_entries(entries)), None]
        size = len(cbor2.dumps(body)) if entries else 0
        for conn in list(self._subscribers):
            all_sent = self._subscribers[conn] is None
            if conn.is_congested() or conn in self._unacknowledged and (entries or not all_sent):
                self._defer(conn, entries)
            elif all_sent:
                self._send(conn, body, size)
            else:
                self._send_deferred(conn)

    def _defer(self, conn: Connection, entries: list[Entry]) -> None:
        """A pulse alone is not missed: there will be another."""
        behind = [(view, sequence - 1) for _, (view, sequence), _ in entries]
        before = self._subscribers[conn]
        self._subscribers[conn] = min([*behind, before] if before is not None else behind, default=None)
        conn.on_writable = self._send_deferred

    def _send_deferred(self, conn: Connection) -> None:
        since = self._subscribers.get(conn)
        if since is not None and conn not in self._unacknowledged:
            self._send_since(conn, since, self._heartbeat)

    def send_repair(self, conn: Connection, digests: list[bytes], answer: Answer) -> None:
        found = self._table.differing_entries(digests)
        horizon = (HORIZON_KEY, self._table.version(HORIZON_KEY), self._table.get(HORIZON_KEY))
        answer(pack([*found, horizon] if found and horizon[2] is not None else found))

    def forward_long_notice(self, hops: int) -> None:
        for conn in list(self._subscribers):
            conn.send_long_notice(hops)

    def close_all(self) -> None:
        for conn in list(self._subscribers):
            conn.end()


class Feed:
    """A gateway's side: the source that it takes news from now, and the relay to those below."""

    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        table: Table,
        identity: Callable[[], dict[str, Any]],
        candidate_sources: Callable[[dict[str, int]], list[str]],
        changed: Callable[[list[str]], None],
    ) -> None:
        self.loop, self.transport, self.table = loop, transport, table
        self._identity, self._candidate_sources, self._on_changed = identity, candidate_sources, changed
        self.publisher = Publisher(table)
        self.heartbeat: Version = NO_VERSION
        self.last_fresh_at = 0  # when the latest new pulse came
        self._source: Address | None = None
        self._previous_source: Address | None = None  # still gives news until the new one has agreed to
        self._requested_at = 0
        self._failed_at: dict[str, int] = {}
        self._reported_fresh_at = 0  # the last pulse of the spell without news that was noted
        self._best_source_checked = False
        transport.handlers["news"] = self._receive_updates
        transport.handlers["subscribe"] = self._serve_subscriber
        transport.handlers["serves"] = self._on_primary_serving
        transport.handlers["leave"] = lambda conn, body, answer: self.publisher.unsubscribe(conn)
        transport.handlers["digests"] = lambda conn, body, answer: self.publisher.send_repair(conn, body, answer)
        loop.at(loop.now, self._tick)
        loop.at(loop.now + REPAIR_INTERVAL_US, self._request_repair)

    def is_fresh(self, within: int = STALE_AFTER_US) -> bool:
        return bool(self.last_fresh_at) and self.loop.now - self.last_fresh_at < within

    def _long_message_incoming(self) -> bool:
        """Something long is on its way here: to ask another for it would only make it longer."""
        return self.loop.now - self.transport.long_notice_at < STALE_AFTER_US

    def source(self) -> Address | None:
        return self._source

    def switch_to(self, address: str) -> None:
        """Somebody knows better: a new primary, say. Its news are asked for at once."""
        parsed = parse_address(address)
        if parsed is not None:
            self._request_updates(parsed)

    def reselect_source(self) -> None:
        """The list of gateways changed: the place in the tree may have too."""
        self._best_source_checked = False

    # ---- from above

    def _on_primary_serving(self, conn: Connection, body: Any, _: Answer) -> None:
        """A primary has begun: who finds it first need not search on."""
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
            if (
                self.last_fresh_at != self._reported_fresh_at
            ):  # once a spell: the others asked in it have not fallen silent
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
        body = self._identity() | {"high": list(self.table.highest_version)}
        self.transport.ask(
            address,
            "subscribe",
            body,
            SUBSCRIBE_TIMEOUT_US,
            lambda answer: self._on_subscribe_response(address, answer),
        )
        self.loop.at(now + FIRST_UPDATE_TIMEOUT_US, lambda _: self._check_first_update(address, now))

    def _check_first_update(self, address: Address, requested_at: int) -> None:
        """A machine that is dark, or just starting, lets the first packet of a connection fall."""
        if (
            self._source == address
            and self._requested_at == requested_at
            and not self.is_fresh()
            and not self._long_message_incoming()
        ):
            self._try_next_source(self.loop.now)

    def _on_subscribe_response(self, address: Address, answer: Any) -> None:
        """A core machine that is not primary names the one that is; who can't help is not waited for."""
        if self._source != address:
            return
        previous_source, named = self._previous_source, answer.get("primary") if isinstance(answer, dict) else None
        other = parse_address(named) if named else None
        if other is not None and other != address:
            return self._request_updates(other)
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
            return  # of a primary that was replaced
        if horizon is not None:
            changed = self.table.replace_all(entries, (int(horizon[0]), int(horizon[1])))
        else:
            changed = self.table.put(entries)
        fresh = heartbeat > self.heartbeat
        if fresh:
            self.heartbeat, self.last_fresh_at = heartbeat, self.loop.now
        if changed:
            self._on_changed(changed)
        if fresh or changed:
            keys = set(changed)
            self.publisher.publish(self.heartbeat, [entry for entry in entries if entry[0] in keys])

    def _request_repair(self, _: Any) -> None:
        self.loop.at(self.loop.now + REPAIR_INTERVAL_US, self._request_repair)
        if self._source is not None and self.is_fresh():
            self.transport.ask(self._source, "digests", self.table.digests(), STALE_AFTER_US, self._apply_repair)

    def _apply_repair(self, answer: Any) -> None:
        if answer:
            entries = unpack(answer)
            horizon = next((value for key, _, value in entries if key == HORIZON_KEY), list(NO_VERSION))
            if (int(horizon[0]), int(horizon[1])) < self.table.horizon:
                return  # behind this one: it may still hold what was forgotten here
            changed = self.table.put(entries)
            if changed:
                log_event("table mended", "warning", entries=len(changed))
                self._on_changed(changed)
                self.publisher.publish(self.heartbeat, [entry for entry in entries if entry[0] in set(changed)])

    # ---- from below

    def _serve_subscriber(self, conn: Connection, body: Any, answer: Answer) -> None:
        if not self.is_fresh():
            return answer({"stale": True})
        answer({})
        self.publisher.subscribe(conn, (int(body["high"][0]), int(body["high"][1])), self.heartbeat)
