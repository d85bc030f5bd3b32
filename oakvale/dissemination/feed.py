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
from oakvale.dissemination.table import FLOOR, NOTHING, Entry, Table, Version, pack, public, unpack
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.transport.links import Answer, Connection, Transport

PULSE = 250_000  # microseconds between two of the primary's pulses
STALE = 800_000  # without a new one, another source is tried
TRY = 200_000  # for a source to agree; a dark one holds up what it gives for this beside STALE
UNHEARD = 150_000  # one that is silent for so long while there are no news need not be the only one that is asked
HOPS = 6  # as far is told that something long is on its way: two that told each other would never end
AGAIN = 60_000  # before another is asked, after one that could not help
REPAIR = 5_000_000  # between two comparisons of digests
LARGE = 4 * 1024  # bytes of a message that is waited for
TAKES = 2_000_000  # without a word that it came
FORGIVEN = 20 * STALE  # a source that failed is asked like the others again

log_event = EventLogger(__name__)


class Publisher:
    """Those below, each with its connection. One that has not said that a large message came, or whose connection is
    full, is sent no more until then, and then what the table holds: of a key that changed several times meanwhile, the
    newest alone. Without the word, what is old would wait in the buffers of the connection."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._below: dict[Connection, Version | None] = {}  # None: all was sent; else what is newer was not
        self._takes: set[Connection] = set()  # a large message is on its way there
        self._pulse = NOTHING

    def __len__(self) -> int:
        return len(self._below)

    def subscribe(self, conn: Connection, high: Version, pulse: Version) -> None:
        if conn not in self._below:
            self._below[conn] = None
            conn.on_close.append(self._gone)
        elif conn.busy():
            return  # all of it is on its way there
        self._send_since(conn, high, pulse)

    def _send_since(self, conn: Connection, high: Version, pulse: Version) -> None:
        self._below[conn] = None
        if high < self._table.floor or high == NOTHING:
            body: list[Any] = [list(pulse), pack(public(self._table.since(NOTHING))), list(self._table.floor)]
        else:
            body = [list(pulse), pack(public(self._table.since(high))), None]
        self._send(conn, body, len(cbor2.dumps(body)))

    def _send(self, conn: Connection, body: list[Any], size: int) -> None:
        if size <= LARGE:
            return conn.send("news", 0, body)
        self._takes.add(conn)
        conn.ask("news", body, TAKES, lambda _: self._came(conn))

    def _came(self, conn: Connection) -> None:
        self._takes.discard(conn)
        self._room(conn)

    def _gone(self, conn: Connection) -> None:
        self._below.pop(conn, None)

    def leave(self, conn: Connection) -> None:
        if conn in self._below:
            del self._below[conn]
            conn.on_close.remove(self._gone)

    def publish(self, pulse: Version, entries: list[Entry]) -> None:
        """The table holds these entries already."""
        self._pulse = pulse
        body = [list(pulse), pack(public(entries)), None]
        size = len(cbor2.dumps(body)) if entries else 0
        for conn in list(self._below):
            all_sent = self._below[conn] is None
            if conn.full() or conn in self._takes and (entries or not all_sent):
                self._keep_back(conn, entries)
            elif all_sent:
                self._send(conn, body, size)
            else:
                self._room(conn)

    def _keep_back(self, conn: Connection, entries: list[Entry]) -> None:
        """A pulse alone is not missed: there will be another."""
        behind = [(view, place - 1) for _, (view, place), _ in entries]
        before = self._below[conn]
        self._below[conn] = min([*behind, before] if before is not None else behind, default=None)
        conn.on_room = self._room

    def _room(self, conn: Connection) -> None:
        since = self._below.get(conn)
        if since is not None and conn not in self._takes:
            self._send_since(conn, since, self._pulse)

    def mend(self, conn: Connection, digests: list[bytes], answer: Answer) -> None:
        found = self._table.differing(digests)
        floor = (FLOOR, self._table.version(FLOOR), self._table.get(FLOOR))
        answer(pack([*found, floor] if found and floor[2] is not None else found))

    def remind(self, hops: int) -> None:
        for conn in list(self._below):
            conn.remind(hops)

    def drop(self) -> None:
        for conn in list(self._below):
            conn.end()


class Feed:
    """A gateway's side: the source that it takes news from now, and the relay to those below."""

    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        table: Table,
        own: Callable[[], dict[str, Any]],
        sources: Callable[[dict[str, int]], list[str]],
        changed: Callable[[list[str]], None],
    ) -> None:
        self.loop, self.transport, self.table = loop, transport, table
        self._own, self._sources, self._changed = own, sources, changed
        self.outlet = Publisher(table)
        self.pulse: Version = NOTHING
        self.fresh_at = 0  # when the latest new pulse came
        self._source: Address | None = None
        self._former: Address | None = None  # still gives news until the new one has agreed to
        self._asked_at = 0
        self._failed: dict[str, int] = {}
        self._noted = 0  # the last pulse of the spell without news that was noted
        self._settled = False
        transport.handlers["news"] = self._news
        transport.handlers["subscribe"] = self._subscribe
        transport.handlers["serves"] = self._served
        transport.handlers["leave"] = lambda conn, body, answer: self.outlet.leave(conn)
        transport.handlers["digests"] = lambda conn, body, answer: self.outlet.mend(conn, body, answer)
        loop.at(loop.now, self._tick)
        loop.at(loop.now + REPAIR, self._repair)

    def fresh(self, within: int = STALE) -> bool:
        return bool(self.fresh_at) and self.loop.now - self.fresh_at < within

    def _coming(self) -> bool:
        """Something long is on its way here: to ask another for it would only make it longer."""
        return self.loop.now - self.transport.long_at < STALE

    def source(self) -> Address | None:
        return self._source

    def turn(self, address: str) -> None:
        """Somebody knows better: a new primary, say. Its news are asked for at once."""
        parsed = parse_address(address)
        if parsed is not None:
            self._ask(parsed)

    def reconsider(self) -> None:
        """The list of gateways changed: the place in the tree may have too."""
        self._settled = False

    # ---- from above

    def _served(self, conn: Connection, body: Any, _: Answer) -> None:
        """A primary has begun: who finds it first need not search on."""
        address = parse_address(str(body))
        if address is not None and not self.fresh():
            self.transport.afresh(address)
            self._ask(address)

    def _tick(self, _: Any) -> None:
        now = self.loop.now
        failed = {a: t for a, t in self._failed.items() if now - t < FORGIVEN}
        if len(failed) < len(self._failed):
            self._failed, self._settled = failed, False
        coming = self._coming()
        if coming and self.transport.long_hops < HOPS:
            self.outlet.remind(self.transport.long_hops + 1)
        if not self.fresh():
            if now - self._asked_at >= TRY and not coming:
                self._next(now)
        elif not self._settled and now - self._asked_at > STALE:
            self._settled = True
            best = self._sources(self._failed)
            if best and parse_address(best[0]) != self._source:
                self.turn(best[0])
        self.loop.at(now + PULSE // 2, self._tick)

    def _next(self, now: int) -> None:
        if self._source is not None:
            self._failed[f"{self._source[0]}:{self._source[1]}"] = now
            if self.fresh_at != self._noted:  # once a spell: the others asked in it have not fallen silent
                self._noted = self.fresh_at
                log_event("news are stale", source=self._source[0], for_ms=(now - self.fresh_at) // 1000)
        ways = self._sources(self._failed)
        if ways:
            address = parse_address(ways[0])
            if address is not None:
                self._ask(address)

    def _ask(self, address: Address) -> None:
        now = self.loop.now
        if self._source is not None and self._source != address:
            if self._former is None and self.fresh():
                self._former = self._source
            elif self._source != self._former:
                self.transport.tell(self._source, "leave", None)
        self._source, self._asked_at = address, now
        body = self._own() | {"high": list(self.table.high)}
        self.transport.ask(address, "subscribe", body, TRY, lambda answer: self._subscribed(address, answer))
        self.loop.at(now + UNHEARD, lambda _: self._unheard(address, now))

    def _unheard(self, address: Address, asked_at: int) -> None:
        """A machine that is dark, or just starting, lets the first packet of a connection fall."""
        if self._source == address and self._asked_at == asked_at and not self.fresh() and not self._coming():
            self._next(self.loop.now)

    def _subscribed(self, address: Address, answer: Any) -> None:
        """A core machine that is not primary names the one that is; who can't help is not waited for."""
        if self._source != address:
            return
        former, named = self._former, answer.get("primary") if isinstance(answer, dict) else None
        other = parse_address(named) if named else None
        if other is not None and other != address:
            return self._ask(other)
        if answer == {} or not self.fresh():
            self._former = None
            if former is not None and former != address:
                self.transport.tell(former, "leave", None)
        elif former is not None:
            self._failed[f"{address[0]}:{address[1]}"] = self.loop.now
            self._source, self._former = former, None
        if answer != {} and not self.fresh():
            self.loop.at(self.loop.now + AGAIN, lambda _: self._next(self.loop.now) if not self.fresh() else None)

    def _news(self, conn: Connection, body: Any, answer: Answer) -> None:
        answer(None)
        pulse, entries, floor = (int(body[0][0]), int(body[0][1])), unpack(body[1]), body[2]
        if pulse < self.pulse and pulse[0] < self.pulse[0]:
            return  # of a primary that was replaced
        if floor is not None:
            changed = self.table.whole(entries, (int(floor[0]), int(floor[1])))
        else:
            changed = self.table.put(entries)
        fresh = pulse > self.pulse
        if fresh:
            self.pulse, self.fresh_at = pulse, self.loop.now
        if changed:
            self._changed(changed)
        if fresh or changed:
            keys = set(changed)
            self.outlet.publish(self.pulse, [entry for entry in entries if entry[0] in keys])

    def _repair(self, _: Any) -> None:
        self.loop.at(self.loop.now + REPAIR, self._repair)
        if self._source is not None and self.fresh():
            self.transport.ask(self._source, "digests", self.table.digests(), STALE, self._mended)

    def _mended(self, answer: Any) -> None:
        if answer:
            entries = unpack(answer)
            floor = next((value for key, _, value in entries if key == FLOOR), list(NOTHING))
            if (int(floor[0]), int(floor[1])) < self.table.floor:
                return  # behind this one: it may still hold what was forgotten here
            changed = self.table.put(entries)
            if changed:
                log_event("table mended", "warning", entries=len(changed))
                self._changed(changed)
                self.outlet.publish(self.pulse, [entry for entry in entries if entry[0] in set(changed)])

    # ---- from below

    def _subscribe(self, conn: Connection, body: Any, answer: Answer) -> None:
        if not self.fresh():
            return answer({"stale": True})
        answer({})
        self.outlet.subscribe(conn, (int(body["high"][0]), int(body["high"][1])), self.pulse)
