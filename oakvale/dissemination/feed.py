"""The feed: receives state updates from a source further up the tree and relays them to subscribers.

Every update message carries a heartbeat of its primary: the view number and a counter. The primary sends heartbeats
several times a second, with or without updates, so a gateway knows that its source still hears the primary, however
many relays lie in between. Without a new heartbeat for `STALE_AFTER_US` it tries the next source. It accepts updates
from any sender; table entries and heartbeats never go back to an older version.

A heartbeat that arrives says nothing about the age of the table: see `freshness`.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from oakvale.base.address import Address, parse_address
from oakvale.base.loop import Loop
from oakvale.dissemination.freshness import Freshness, Stamp
from oakvale.dissemination.publisher import Publisher
from oakvale.dissemination.table import HORIZON_KEY, NO_VERSION, Table, Version, unpack
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.transport.links import Answer, Connection, Transport

HEARTBEAT_INTERVAL_US = 250_000  # between heartbeats of the primary
STALE_AFTER_US = 800_000  # without a new heartbeat, the next source is tried
SUBSCRIBE_TIMEOUT_US = 200_000  # an unreachable source delays updates by this, on top of STALE_AFTER_US
FIRST_UPDATE_TIMEOUT_US = 150_000  # a stale feed whose new source has sent nothing by then asks another one too
MAX_NOTICE_HOPS = 6  # limits the relaying of long-message notices, which could otherwise circulate for ever
CALIBRATION_TIMEOUT_US = 500_000  # of a question how the clocks relate
CALIBRATION_RETRY_US = 100_000  # then an update that arrives leads to the next question
RETRY_DELAY_US = 60_000  # between a rejected subscription and the next source
REPAIR_INTERVAL_US = 5_000_000  # between comparisons of table digests
LAG_REPAIR_US = 600_000  # entries that heartbeats tell of and that are late by this are asked for by digests
READS_COMPRESSED = "zlib"  # field of a subscription; earlier versions lack it
FAILED_SOURCE_RETRY_US = 20 * STALE_AFTER_US  # then a failure no longer counts against a source

log_event = EventLogger(__name__)


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
        self.freshness = Freshness()
        self.publisher = Publisher(table, lambda: self.freshness.latest)
        self.heartbeat: Version = NO_VERSION
        self.last_fresh_at = 0  # when the latest new heartbeat arrived
        self._calibration_asked_at = loop.now - CALIBRATION_RETRY_US
        self._repair_requested_at = loop.now
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
        transport.handlers["stamp"] = lambda conn, body, answer: answer(self._latest_stamp())
        loop.at(loop.now, self._tick)
        loop.at(loop.now + REPAIR_INTERVAL_US, self._request_repair)

    def is_fresh(self, within: int = STALE_AFTER_US) -> bool:
        """Whether a new heartbeat arrived less than `within` microseconds ago: whether the source is of use."""
        return bool(self.last_fresh_at) and self.loop.now - self.last_fresh_at < within

    def is_current(self, within: int) -> bool:
        """Whether the table holds all that was in force `within` microseconds ago."""
        age = self.freshness.age(self.loop.now)
        return age is not None and age <= within

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
        elif self._lags(now) and not long_message_incoming:
            self._compare_digests()
        elif not self._best_source_checked and now - self._requested_at > STALE_AFTER_US:
            self._best_source_checked = True
            best = self._candidate_sources(self._failed_at)
            if best and parse_address(best[0]) != self._source:
                self.switch_to(best[0])
        self.loop.at(now + HEARTBEAT_INTERVAL_US // 2, self._tick)

    def _lags(self, now: int) -> bool:
        """Whether heartbeats come without the entries that they tell of, which were not asked for lately."""
        return self.freshness.lag(now) > LAG_REPAIR_US and now - self._repair_requested_at > LAG_REPAIR_US

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
        if self.freshness.latest is None:  # a start: the answer is here before the table
            self._calibrate(partial(self.transport.ask, address))
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
        stamp = Stamp.unpack(body[3]) if len(body) > 3 else None  # None if the primary is of an earlier version
        if stamp is not None:
            self.freshness.received(stamp)
        removed: set[str] = set()
        if horizon is not None:
            held = self.table.live_keys()
            changed = self.table.replace_all(entries, (int(horizon[0]), int(horizon[1])))
            removed = held - self.table.live_keys() - {key for key, _, _ in entries}
        else:
            changed = self.table.put(entries)
        fresh = heartbeat > self.heartbeat
        if stamp is not None:
            self.freshness.table_reached(self.table.highest_version)
        elif fresh:
            self.freshness.arrived_unstamped(self.loop.now)
        if horizon is not None:
            self._log_complete_table(len(entries), stamp)
        if fresh:
            self.heartbeat, self.last_fresh_at = heartbeat, self.loop.now
            self._requests_since_fresh = 0
        if (
            self.freshness.needs_calibration(self.loop.now)
            and self.loop.now - self._calibration_asked_at >= CALIBRATION_RETRY_US
        ):
            self._calibrate(conn.ask)
        if removed:  # no tombstone is left to tell subscribers of it
            self.publisher.publish_complete_table(self.heartbeat)
        elif fresh or changed:
            keys = set(changed)
            self.publisher.publish(self.heartbeat, [entry for entry in entries if entry[0] in keys])
        if changed:
            self._on_changed(changed)

    def _log_complete_table(self, entry_count: int, stamp: Stamp | None) -> None:
        age_us = self.freshness.age_of(stamp, self.loop.now) if stamp is not None else None
        log_event(
            "complete table received",
            source=self._source[0] if self._source else "",
            entries=entry_count,
            requests=self._requests_since_fresh,
            after_ms=(self.loop.now - self._first_request_at) // 1000,
            age_ms=age_us // 1000 if age_us is not None else -1,
            lacks="/".join(map(str, self.freshness.missing_version())),
        )

    # ---- how the clocks relate

    def _latest_stamp(self) -> list[Any] | None:
        """The answer to a question for a stamp: the latest one and its age in microseconds; None without either."""
        stamp = self.freshness.latest
        age_us = self.freshness.age_of(stamp, self.loop.clock()) if stamp is not None else None
        return None if stamp is None or age_us is None else [stamp.pack(), age_us]

    def _calibrate(self, ask: Callable[[str, Any, int, Callable[[Any], None]], None]) -> None:
        """Asks a source for a stamp. Its answer relates the primary's clock to the own one."""
        asked_at = self._calibration_asked_at = self.loop.now

        def answered(answer: Any) -> None:
            stamp = Stamp.unpack(answer[0]) if answer is not None else None
            if stamp is not None:
                self.freshness.received(stamp)
                self.freshness.calibrate(asked_at, stamp, int(answer[1]))
                self.freshness.table_reached(self.table.highest_version)

        ask("stamp", None, CALIBRATION_TIMEOUT_US, answered)

    def _request_repair(self, _: Any) -> None:
        self.loop.at(self.loop.now + REPAIR_INTERVAL_US, self._request_repair)
        self._compare_digests()

    def _compare_digests(self) -> None:
        self._repair_requested_at = self.loop.now
        if self._source is not None and self.is_fresh():
            self.transport.ask(self._source, "digests", self.table.digests(), STALE_AFTER_US, self._apply_repair)

    def _apply_repair(self, answer: Any) -> None:
        if answer:
            entries = unpack(answer)
            horizon = next((value for key, _, value in entries if key == HORIZON_KEY), list(NO_VERSION))
            if (int(horizon[0]), int(horizon[1])) < self.table.horizon:
                return  # the source may still hold entries that were deleted and compacted here
            changed = self.table.put(entries)
            self.freshness.table_reached(self.table.highest_version)
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
