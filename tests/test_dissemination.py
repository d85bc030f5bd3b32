"""Dissemination: the table, the tree, and feeds in simulated time whose relays fail, are partitioned and return."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any, cast

import cbor2
import pytest

from oakvale.base.address import parse_address
from oakvale.dataplane.routes import update_members as updated_members
from oakvale.dissemination.feed import (
    FAILED_SOURCE_RETRY_US,
    FIRST_UPDATE_TIMEOUT_US,
    HEARTBEAT_INTERVAL_US,
    STALE_AFTER_US,
    SUBSCRIBE_TIMEOUT_US,
    Feed,
)
from oakvale.dissemination.publisher import Publisher
from oakvale.dissemination.table import (
    HORIZON_KEY,
    NO_VERSION,
    TOMBSTONES_KEPT,
    BadEntries,
    Entry,
    Table,
    Version,
    pack_compressed,
    unpack,
)
from oakvale.dissemination.tree import (
    FAN_OUT,
    Member,
    Members,
    heartbeat_senders,
    heartbeat_targets,
    next_on_ring,
    ring_order,
    update_sources,
)

MS, SECOND = 1_000, 1_000_000


# ---- the table


def test_entries_only_move_to_newer_versions() -> None:
    table = Table()
    assert table.put([("a", (1, 2), "x"), ("b", (1, 3), "y")]) == ["a", "b"]
    assert table.put([("a", (1, 1), "old"), ("b", (1, 3), "again"), ("c", (2, 1), None)]) == ["c"]
    assert (table.get("a"), table.get("c"), table.version("c"), table.highest_version) == ("x", None, (2, 1), (2, 1))
    assert table.since((1, 2)) == [("b", (1, 3), "y"), ("c", (2, 1), None)]
    assert table.items("") == [("a", "x"), ("b", "y")]


def test_a_complete_table_removes_what_its_sender_lacks_and_nothing_newer() -> None:
    table = Table()
    table.put([("gone", (1, 1), 1), ("kept", (1, 2), 2), ("newer", (1, 9), 3)])
    assert table.replace_all([("kept", (1, 2), 2), ("x", (1, 5), 4)], (1, 3)) == ["gone", "x"]
    assert dict(table.items("")) == {"kept": 2, "newer": 3, "x": 4} and table.horizon == (1, 3)


def test_compacted_deletions_reach_subscribers_that_were_behind() -> None:
    """A subscriber whose table ends below the compaction horizon is sent the complete table."""
    table, behind = Table(), Table()
    table.put([(f"k{n}", (1, n + 1), n) for n in range(3 * TOMBSTONES_KEPT)])
    behind.put(table.since(NO_VERSION))
    table.put([(f"k{n}", (2, n + 1), None) for n in range(3 * TOMBSTONES_KEPT)])
    horizon = table.next_horizon()
    forgotten = table.put([(HORIZON_KEY, (3, 1), list(horizon))])
    assert len(forgotten) == 2 * TOMBSTONES_KEPT + 1 and table.horizon == horizon == (2, 2 * TOMBSTONES_KEPT)
    assert table.next_horizon() == horizon
    sent: list[Any] = []
    conn: Any = type("Below", (), {"on_close": [], "ask": lambda self, kind, body, timeout, then: sent.append(body)})()
    Publisher(table).subscribe(conn, behind.highest_version, (2, 1))
    [(_, entries, horizon, _)] = sent
    behind.replace_all([(key, (view, sequence), value) for key, view, sequence, value in entries], tuple(horizon))
    assert behind.since(NO_VERSION) == table.since(NO_VERSION)


def test_the_compaction_horizon_is_disseminated_as_an_entry() -> None:
    """All tables drop the same tombstones, so their digests stay equal; entries below the horizon do not come back."""
    table_a, table_b = Table(), Table()
    entries: list[Entry] = [("a", (1, 1), 1), ("b", (1, 2), None), ("c", (1, 3), None), (HORIZON_KEY, (1, 4), [1, 2])]
    assert table_a.put(entries) == ["a", "c", HORIZON_KEY] or table_a.version("b") == NO_VERSION
    table_b.put(reversed(entries))
    assert table_a.digests() == table_b.digests() and table_a.horizon == table_b.horizon == (1, 2)
    assert table_a.put([("b", (1, 2), None)]) == [] and table_a.version("b") == NO_VERSION
    table_b.put([("d", (1, 1), 1)])
    assert table_b.put([("d", (1, 2), None)]) and table_b.version("d") == NO_VERSION


def test_a_repair_from_a_source_that_is_behind_restores_no_deleted_entries() -> None:
    """The source still holds an entry that was deleted and compacted here."""
    behind, table, answers = Table(), Table(), list[Any]()
    behind.put([("a", (1, 1), 1), ("b", (1, 2), 1)])
    table.put([("a", (1, 3), None), ("b", (1, 2), 1), (HORIZON_KEY, (1, 4), [1, 3])])
    nothing: Any = type("Nothing", (), {"now": 0, "handlers": {}, "at": lambda *_: None})()
    feed = Feed(nothing, nothing, table, dict, lambda failed: [], lambda keys: None)
    Publisher(behind).send_repair(nothing, table.digests(), answers.append)
    assert answers[0]
    feed._apply_repair(answers[0])
    assert table.version("a") == NO_VERSION and table.get("b") == 1
    Publisher(table).send_repair(nothing, behind.digests(), answers.append)
    assert any(key == HORIZON_KEY for key, *_ in answers[1])


def test_digests_identify_the_differing_ranges_only() -> None:
    rng = random.Random(1)
    table_a, table_b = Table(), Table()
    entries = [(f"k{n}", (1, n + 1), n) for n in range(200)]
    table_a.put(entries)
    table_b.put(entries)
    assert table_a.differing_entries(table_b.digests()) == []
    for key, _, _ in rng.sample(entries, 3):
        table_a.put([(key, (2, rng.randrange(99)), "new")])
    found = table_a.differing_entries(table_b.digests())
    assert 3 <= len(found) < 100
    table_b.put(found)
    assert table_b.digests() == table_a.digests()


# ---- the tree


def members(count: int, zones: int = 3) -> dict[str, Member]:
    return {f"n{k}": Member(f"n{k}", f"10.0.{k % zones}.{k}:7340", f"z{k % zones}", f"l{k}") for k in range(count)}


@pytest.mark.parametrize("count", [1, 2, 7, 60, 150])
def test_every_path_leads_to_the_core(count: int) -> None:
    fleet_members = members(count)
    load: dict[str, int] = {}
    for member in fleet_members.values():
        path = update_sources(fleet_members, member.node, member.zone, ["core"], {})
        assert path[-1] == "core" and member.address not in path and len(path) <= 5
        load[path[0]] = load.get(path[0], 0) + 1
        if path[0] != "core":  # the parent's path is the rest of this one, so there are no cycles
            above = next(m for m in fleet_members.values() if m.address == path[0])
            assert (
                above.zone == member.zone
                and update_sources(fleet_members, above.node, above.zone, ["core"], {}) == path[1:]
            )
            assert update_sources(fleet_members, member.node, member.zone, ["core"], {path[0]: 5})[-1] == path[0]
    assert load["core"] == min(3, count) and max(load.values()) <= max(3, FAN_OUT)


def test_ring_neighbours_and_duty_candidates_change_little() -> None:
    fleet_members = list(members(40).values())
    order = [m.node for m in ring_order(fleet_members)]
    for member in fleet_members:
        found = [m.node for m in heartbeat_targets(fleet_members, member.node, 3)]
        at = order.index(member.node)
        assert found == [order[(at + k) % 40] for k in (1, 2, 3)]
    assert heartbeat_targets(fleet_members, "unknown", 3) == [] and heartbeat_targets(fleet_members[:1], "n0", 3) == []
    for duty in (f"gauge/{k}" for k in range(4)):
        before = next_on_ring(fleet_members, duty, 5)
        assert next_on_ring(reversed(fleet_members), duty, 5) == before and len(before) == 5
        without = next_on_ring([m for m in fleet_members if m != before[2]], duty, 5)
        assert [m for m in before if m != before[2]] == without[:4]


# ---- feeds


class Network:
    def __init__(self, seed: int) -> None:
        self.rng, self.now, self._events, self._order = random.Random(seed), 1_000 * SECOND, list[Any](), 0
        self.ports: dict[Any, ProcessTransport] = {}
        self.partitioned: set[Any] = set()
        self.congested_share = 0.0  # share of the updates that congest their connection for a while

    def at(self, due: int, call: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (due, self._order, call))

    def run(self, span: int) -> None:
        end = self.now + span
        while self._events and self._events[0][0] <= end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end


class ConnectionEnd:
    """One end of a connection."""

    def __init__(self, port: ProcessTransport) -> None:
        self.port, self.alive, self.on_close = port, True, list[Any]()
        self.remote: ConnectionEnd = self
        self.last = 0
        self.waiting: dict[int, Any] = {}
        self.on_writable: Callable[[Any], None] | None = None
        self._room_at = 0

    def send(self, kind: str, number: int, body: Any) -> None:
        net, data = self.port.net, cbor2.dumps(body)
        if kind == "news" and net.congested_share and net.rng.random() < net.congested_share:
            self._room_at = net.now + net.rng.randrange(10, 400) * MS
            net.at(self._room_at, self._room)
        self.last = due = max(self.last + 1, net.now + net.rng.randrange(300, 4_000))

        def arrive() -> None:
            there = self.remote.port
            if not (self.alive and self.remote.alive and there.alive):
                return self.end()
            if (self.port.address in net.partitioned) != (there.address in net.partitioned):
                if net.now - due > 1_500 * MS:
                    return self.end()
                self.last = max(self.last, net.now + 100 * MS)
                return net.at(net.now + 100 * MS, arrive)
            there.take(self.remote, kind, number, cbor2.loads(data))

        net.at(due, arrive)

    def ask(self, kind: str, body: Any, timeout: int, then: Callable[[Any], None]) -> None:
        self.port.ask_on(self, kind, body, timeout, then)

    def sending_long_frame(self) -> bool:
        return False

    def is_congested(self) -> bool:
        return self.port.net.now < self._room_at

    def _room(self) -> None:
        if self.on_writable is not None and self.alive and not self.is_congested():
            call, self.on_writable = self.on_writable, None
            call(self)

    def end(self) -> None:
        for side in (self, self.remote):
            if side.alive:
                side.alive = False
                for call in side.on_close if side.port.alive else []:
                    call(side)


class ProcessTransport:
    """The transport and the event loop of a process."""

    long_notice_at = 0

    def __init__(self, net: Network, address: str) -> None:
        self.net, self.address, self.alive, self.handlers = net, parse_address(address), True, dict[str, Any]()
        self._out: dict[Any, ConnectionEnd] = {}
        self._number = 0
        net.ports[self.address] = self

    @property
    def now(self) -> int:
        return self.net.now

    def at(self, due: int, call: Callable[[Any], None]) -> None:
        self.net.at(due, lambda: call(None) if self.alive else None)

    def link(self, address: Any) -> ConnectionEnd | None:
        end, there = self._out.get(address), self.net.ports.get(address)
        if end is not None and end.alive and end.remote.port.alive:
            return end
        if end is not None:
            end.end()
        if there is None or not there.alive:
            return None
        end = self._out[address] = ConnectionEnd(self)
        end.remote = ConnectionEnd(there)
        end.remote.remote = end
        return end

    def retry_connect(self, address: Any) -> None:
        pass  # connections are established at once here

    def tell(self, address: Any, kind: str, body: Any) -> None:
        end = self.link(address)
        if end is not None:
            end.send(kind, 0, body)

    def ask(self, address: Any, kind: str, body: Any, timeout: int, then: Callable[[Any], None]) -> None:
        end = self.link(address)
        if end is None:
            return self.at(self.now, then)
        self.ask_on(end, kind, body, timeout, then)

    def ask_on(self, end: ConnectionEnd, kind: str, body: Any, timeout: int, then: Callable[[Any], None]) -> None:
        self._number += 1
        number = self._number
        end.waiting[number] = then
        end.send(kind, number, body)
        self.at(self.now + timeout, lambda _: end.waiting.pop(number, lambda _: None)(None))

    def take(self, end: ConnectionEnd, kind: str, number: int, body: Any) -> None:
        if not kind:
            return cast(None, end.waiting.pop(number, lambda _: None)(body))
        if kind in self.handlers:
            self.handlers[kind](end, body, lambda said: end.send("", number, said) if number else None)


class Core:
    """A core machine as gateways see it."""

    def __init__(self, net: Network, address: str, table: Table) -> None:
        self.port, self.address, self.table, self.publisher = (
            ProcessTransport(net, address),
            address,
            table,
            Publisher(table),
        )
        self.view, self.tick, self.primary = 1, 0, ""
        self.port.handlers.update(
            subscribe=self.subscribe,
            leave=lambda conn, body, answer: self.publisher.unsubscribe(conn),
            digests=lambda conn, body, answer: self.publisher.send_repair(conn, body, answer),
        )
        self.send_heartbeat(None)

    def subscribe(self, conn: Any, body: Any, answer: Any) -> None:
        if self.primary != self.address:
            return cast(None, answer({"primary": self.primary}))
        answer({})
        self.publisher.subscribe(conn, (body["high"][0], body["high"][1]), self.next())

    def next(self) -> Version:
        self.tick += 1
        return (self.view, self.tick)

    def send_heartbeat(self, _: Any) -> None:
        if self.primary == self.address:
            self.publisher.publish(self.next(), [])
        self.port.at(self.port.now + HEARTBEAT_INTERVAL_US, self.send_heartbeat)

    def change(self, key: str, value: Any) -> None:
        sequence = self.table.highest_version[1] + 1 if self.table.highest_version[0] == self.view else 1
        entries = [(key, (self.view, sequence), value)]
        self.table.put(entries)
        self.publisher.publish(self.next(), entries)


class Fleet:
    def __init__(self, seed: int, gateways: int) -> None:
        self.net = net = Network(seed)
        self.table = Table()  # the control state, shared by successive primaries
        self.cores = [Core(net, f"10.9.0.{k}:7340", self.table) for k in range(3)]
        self.members = members(gateways)
        self.feeds: dict[str, Feed] = {}
        self.primary_index = 0
        self.elect(0)
        for node in self.members:
            self.start_gateway(node)

    def elect(self, core: int) -> None:
        self.primary_index = core
        for core_machine in self.cores:
            core_machine.publisher.close_all()
            core_machine.primary, core_machine.view = self.cores[core].address, core_machine.view + 1

    def start_gateway(self, node: str) -> None:
        member = self.members[node]
        port, table, seen = ProcessTransport(self.net, member.address), Table(), dict[str, Version]()
        core = [c.address for c in self.cores]

        def changed(keys: list[str]) -> None:
            for key in keys:
                assert table.version(key) >= seen.get(key, NO_VERSION), f"{key} went back to an older version"
                seen[key] = table.version(key)

        self.feeds[node] = Feed(
            cast(Any, port),
            cast(Any, port),
            table,
            dict,
            lambda failed: update_sources(self.members, node, member.zone, core, failed),
            changed,
        )

    def kill(self, node: str) -> None:
        port = cast(ProcessTransport, self.feeds[node].transport)
        port.alive = False
        for transport in self.net.ports.values():  # a process that ends resets its connections
            for end in list(transport._out.values()):
                if end.remote.port is port:
                    end.end()

    def behind(self) -> list[str]:
        return [
            node
            for node, feed in self.feeds.items()
            if not feed.is_fresh() or feed.table.since(NO_VERSION) != self.table.since(NO_VERSION)
        ]


@pytest.mark.parametrize("seed", range(6))
def test_all_tables_converge_to_the_primary_when_relays_fail(seed: int) -> None:
    fleet = Fleet(seed, 12 + 6 * (seed % 3))
    fleet.net.congested_share = 0.05 * (seed % 2)
    net, rng = fleet.net, fleet.net.rng
    net.run(2 * SECOND)
    assert not fleet.behind()
    for step in range(40):
        fleet.cores[fleet.primary_index].change(f"k{rng.randrange(30)}", rng.choice([step, step, None]))
        node = rng.choice(list(fleet.feeds))
        kind = rng.random()
        if kind < 0.15:
            fleet.kill(node)
            net.at(net.now + rng.randrange(50, 3_000) * MS, lambda node=node: fleet.start_gateway(node))  # type: ignore[misc]
        elif kind < 0.3:
            net.partitioned ^= {parse_address(fleet.members[node].address)}
        elif kind < 0.35:
            fleet.elect(rng.randrange(3))
        net.run(rng.randrange(10, 400) * MS)
    net.partitioned.clear()
    net.run(3_100 * MS)  # the gateways killed last have restarted
    net.run(STALE_AFTER_US + 6 * SUBSCRIBE_TIMEOUT_US + 2 * HEARTBEAT_INTERVAL_US)
    assert not fleet.behind()


def test_all_gateways_move_to_their_place_in_the_tree_and_updates_arrive_quickly() -> None:
    """Guards against gateways that stay subscribed to the core, where all of them turn at the start."""
    fleet = Fleet(1, 60)
    fleet.net.run(FAILED_SOURCE_RETRY_US + 3 * SECOND)
    assert not fleet.behind()
    assert all(len(core.publisher) <= 3 for core in fleet.cores)  # the first of each zone
    fleet.cores[0].change("a", 1)
    fleet.net.run(20 * MS)
    assert not fleet.behind()


def test_switching_to_a_failed_source_loses_no_updates() -> None:
    """Guards against leaving the previous source before the new one has accepted the subscription."""
    fleet = Fleet(1, 9)
    fleet.net.run(2 * SECOND)
    feed = fleet.feeds["n4"]
    fleet.kill("n5")
    feed.switch_to(fleet.members["n5"].address)
    fleet.net.run(20 * MS)
    fleet.cores[0].change("a", 1)
    fleet.net.run(20 * MS)
    assert feed.table.get("a") == 1
    fleet.net.run(SECOND)
    assert feed.is_fresh() and feed.source() != parse_address(fleet.members["n5"].address)


def test_an_unreachable_source_does_not_keep_a_gateway_stale() -> None:
    """Guards against waiting for a core machine that is still down when others already serve updates."""
    fleet = Fleet(1, 1)
    fleet.elect(1)
    fleet.net.partitioned.add(parse_address(fleet.cores[0].address))
    fleet.start_gateway("n0")
    fleet.net.run(FIRST_UPDATE_TIMEOUT_US + 20 * MS)
    assert fleet.feeds["n0"].is_fresh()


def test_a_new_primary_attracts_stale_gateways_only() -> None:
    fleet = Fleet(1, 2)
    fleet.net.run(SECOND)
    was = fleet.feeds["n0"].source()
    fleet.feeds["n0"].transport.handlers["serves"](cast(Any, None), fleet.cores[2].address, print)
    assert fleet.feeds["n0"].source() == was
    for core in fleet.cores:
        core.primary = ""
    fleet.net.run(2 * SECOND)
    fleet.elect(2)
    fleet.feeds["n0"].transport.handlers["serves"](cast(Any, None), fleet.cores[2].address, print)
    fleet.net.run(10 * MS)
    assert fleet.feeds["n0"].is_fresh()


def test_a_stale_period_is_logged_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a log line for each source that is tried, which hides the one that stopped responding."""
    logged_sources: list[Any] = []

    def log(event: str, **fields: Any) -> None:
        if event == "news are stale":
            logged_sources.append(fields["source"])

    monkeypatch.setattr("oakvale.dissemination.feed.log_event", log)
    fleet = Fleet(1, 1)
    fleet.net.run(2 * SECOND)
    for core in fleet.cores:
        core.primary = ""
    fleet.net.run(5 * SECOND)
    assert logged_sources == ["10.9.0.0"] and not fleet.feeds["n0"].is_fresh()
    fleet.elect(1)
    fleet.net.run(SECOND)
    assert fleet.feeds["n0"].is_fresh()
    for core in fleet.cores:
        core.primary = ""
    fleet.net.run(2 * SECOND)
    assert logged_sources == ["10.9.0.0", "10.9.0.1"]


def test_updates_of_a_replaced_primary_are_ignored() -> None:
    fleet = Fleet(1, 1)
    fleet.net.run(SECOND)
    feed = fleet.feeds["n0"]
    feed.transport.handlers["news"](
        cast(Any, None), [[feed.heartbeat[0] - 1, 1 << 40], [["a", 1, 99, "x"]], None], print
    )
    assert feed.table.get("a") is None


def test_an_entry_lost_without_detection_is_repaired() -> None:
    fleet = Fleet(1, 9)
    fleet.cores[0].change("a", 1)
    fleet.net.run(2 * SECOND)
    del fleet.feeds["n4"].table._entries["a"]
    fleet.net.run(6 * SECOND)
    assert not fleet.behind()


@pytest.mark.parametrize("ending", [[], [None]], ids=["by an earlier version", "by a relay below one"])
def test_updates_without_a_stamp_count_from_their_arrival(ending: list[Any]) -> None:
    """Otherwise gateways that are upgraded before the core would refuse all keys under `strict-revoke`."""
    fleet = Fleet(1, 1)
    feed = fleet.feeds["n0"]
    fleet.net.run(SECOND)
    feed._receive_updates(cast(Any, None), [[9, 1], [["a", 9, 1, 1]], None, *ending], lambda answer: None)
    assert feed.is_current(0)
    fleet.net.partitioned.update(parse_address(core.address) for core in fleet.cores)
    fleet.net.run(SECOND)
    assert not feed.is_current(900 * MS) and feed.is_current(SECOND)


def test_heartbeat_senders_and_targets_agree() -> None:
    """Each gateway derives both from the ring alone; a mismatch would leave a failed gateway unnoticed."""
    fleet = [Member(f"n{n}", f"10.0.0.{n}:1", "a", "l") for n in range(9)]
    for size in range(1, 10):
        for member in fleet[:size]:
            sends = {m.node for m in fleet[:size] if member in heartbeat_targets(fleet[:size], m.node, 3)}
            assert {m.node for m in heartbeat_senders(fleet[:size], member.node, 3)} == sends


@pytest.mark.parametrize("seed", range(4))
def test_routes_updated_from_changed_keys_match_the_table(seed: int) -> None:
    """Covers replaced, compacted and repaired tables; a missed change would keep a removed gateway in use."""
    rng, table, displayed = random.Random(seed), Table(), Members()
    source_table = Table()
    for sequence in range(1, 400):
        key = f"gate/g{rng.randrange(12)}"
        value = None if rng.random() < 0.3 else {"addr": f"a{sequence}", "az": "z", "life": str(sequence)}
        source_table.put([(key, (1, sequence), value)])
        keys: list[str] = []
        if rng.random() < 0.1:
            horizon = (1, rng.randrange(sequence))
            source_table.put([(HORIZON_KEY, (1, sequence), list(horizon))])
        if rng.random() < 0.05:
            keys = table.replace_all(source_table.since(NO_VERSION), source_table.horizon)
        elif rng.random() < 0.3:
            keys = table.put(source_table.differing_entries(table.digests()))
        elif rng.random() < 0.8:
            keys = table.put(source_table.since(table.highest_version))
        displayed = updated_members(table, keys, displayed)
        assert dict(displayed) == {
            node: Member(node, v["addr"], v["az"], v["life"]) for node, v in table.items("gate/")
        }


@pytest.mark.parametrize("seed", [1, 2])
def test_updates_reach_all_within_a_second_after_a_tenth_of_the_gateways_failed(seed: int) -> None:
    """Guards against long waits for unreachable sources, which add up where two of them are above a gateway."""
    fleet = Fleet(seed, 85)
    fleet.net.run(FAILED_SOURCE_RETRY_US + 2 * SECOND)
    down = fleet.net.rng.sample(sorted(fleet.feeds), 8)
    fleet.net.partitioned |= {parse_address(fleet.members[node].address) for node in down}
    fleet.cores[0].change("a", 1)
    fleet.net.run(SECOND)
    assert [node for node, feed in fleet.feeds.items() if node not in down and feed.table.get("a") != 1] == []


def test_a_subscriber_with_a_congested_connection_gets_only_the_newest_entries() -> None:
    """Guards against a growing backlog of outdated entries on slow links."""
    table, sent, acknowledgements = Table(), list[Any](), list[Any]()
    full = True

    class SlowConnection:
        on_close: list[Any] = []
        on_writable: Callable[[Any], None] | None = None

        def send(self, kind: str, number: int, body: Any) -> None:
            sent.append(([key for key, _, _ in unpack(body[1])], body[2]))

        def ask(self, kind: str, body: Any, timeout: int, then: Callable[[Any], None]) -> None:
            self.send(kind, 1, body)
            acknowledgements.append(then)

        alive = True

        def sending_long_frame(self) -> bool:
            return False

        def is_congested(self) -> bool:
            return full

    slow_connection, publisher = SlowConnection(), Publisher(table)
    conn = cast(Any, slow_connection)

    def put(sequence: int, key: str) -> None:
        entries = [(key, (1, sequence), sequence)]
        table.put(entries)
        publisher.publish((1, sequence), entries)

    table.put([("config", (1, 1), 1)])
    publisher.subscribe(conn, NO_VERSION, (1, 1))
    for sequence in range(2, 50):
        put(sequence, "config" if sequence % 2 else f"backend/{sequence}")
    assert sent == [(["config"], [0, 0])] and slow_connection.on_writable is not None
    full = False
    slow_connection.on_writable(conn)
    assert [sorted(keys) for keys, _ in sent[1:]] == [sorted(["config", *(f"backend/{n}" for n in range(2, 50, 2))])]
    put(50, "config")
    assert sent[2:] == [(["config"], None)]
    full = True
    put(51, "config")
    full = False
    publisher.publish((1, 52), [])  # on_writable was not called; the next heartbeat sends the deferred entries
    assert sent[3:] == [(["config"], None)]
    sent.clear()
    for sequence in range(53, 60):  # nothing is unsent, but a large message is not acknowledged yet
        entries = [("config", (1, sequence), "x" * 8_000)]
        table.put(entries)
        publisher.publish((1, sequence), entries)
    assert len(sent) == len(acknowledgements) == 1
    publisher.publish((1, 60), [])
    acknowledgements[0](None)
    assert sent == [(["config"], None)] * 2 and len(acknowledgements) == 2
    acknowledgements[1](None)
    put(61, "backend/1")
    assert sent[2:] == [(["backend/1"], None)]


def test_a_subscriber_that_returns_is_not_sent_again_what_is_on_its_way() -> None:
    """It left while a large message was in flight; entries that are newer than the message follow it."""
    table, sent, acknowledgements = Table(), list[Any](), list[Any]()

    class Busy:
        alive, on_close = True, list[Any]()

        def ask(self, kind: str, body: Any, timeout: int, then: Callable[[Any], None]) -> None:
            sent.append([key for key, _, _ in unpack(body[1])])
            acknowledgements.append(then)

        def send(self, kind: str, number: int, body: Any) -> None:
            sent.append([key for key, _, _ in unpack(body[1])])

        def is_congested(self) -> bool:
            return bool(acknowledgements)

    publisher, conn = Publisher(table), cast(Any, Busy())
    table.put([("config", (1, 1), "x" * 8_000), ("a", (1, 2), 1)])
    publisher.subscribe(conn, NO_VERSION, (1, 1))
    publisher.unsubscribe(conn)
    table.put([("b", (1, 3), 1)])
    publisher.subscribe(conn, NO_VERSION, (1, 2))
    assert sent == [["config", "a"]]
    acknowledgements.pop()(None)
    assert sent == [["config", "a"], ["b"]]


def test_compressed_entries_are_read_as_they_were_and_cut_ones_refused() -> None:
    entries: list[Entry] = [(f"key-{n}", (1, n + 1), {"text": b"x" * 100}) for n in range(50)]
    packed = pack_compressed(entries, 1_000)
    assert packed.compressed is not None and len(packed.compressed) < 1_000
    assert unpack(packed.compressed) == entries == unpack(packed.plain)
    assert pack_compressed(entries, 100_000).compressed is None
    for damaged in (packed.compressed[:-10], b"x" + packed.compressed):
        with pytest.raises(BadEntries):
            unpack(damaged)


def test_subscribers_get_the_complete_table_of_the_moment_in_the_form_that_they_read() -> None:
    """Guards against a packed table that is kept over a change, and against news that an earlier version can't read."""
    table, sent = Table(), list[Any]()
    publisher = Publisher(table)
    for sequence in range(1, 4):
        table.put([("config", (1, sequence), "x" * 8_000 + str(sequence))])
        for reads_compressed in (True, False, True):
            conn: Any = type("New", (), {"on_close": [], "ask": lambda self, kind, body, *_: sent.append(body[1])})()
            publisher.subscribe(conn, NO_VERSION, (1, sequence), reads_compressed)
    assert [unpack(body)[0][1] for body in sent] == [(1, 1)] * 3 + [(1, 2)] * 3 + [(1, 3)] * 3
    assert [isinstance(body, bytes) for body in sent] == [True, False, True] * 3 and sent[0] is sent[2]


def test_a_relay_that_cannot_apply_an_update_still_passes_it_on() -> None:
    fleet = Fleet(1, 30)
    fleet.net.run(3 * SECOND)
    relay = next(node for node, feed in fleet.feeds.items() if len(feed.publisher) >= FAN_OUT)

    def fail(keys: list[str]) -> None:
        raise ValueError(keys)

    fleet.feeds[relay]._on_changed = fail
    with pytest.raises(ValueError):
        fleet.cores[0].change("a", 1)
        fleet.net.run(SECOND)
    fleet.net.run(SECOND)
    assert [node for node, feed in fleet.feeds.items() if feed.table.get("a") != 1] == []


def test_subscribers_of_a_relay_behind_the_compaction_horizon_lose_what_was_deleted() -> None:
    """The relay is sent the complete table, which lacks the entry and its dropped tombstone alike."""
    fleet = Fleet(1, 1)
    feed, sent = fleet.feeds["n0"], list[Any]()
    feed._on_changed = lambda keys: None
    feed.table.put([("deleted", (1, 1), 1), ("kept", (1, 2), 2)])

    class Subscriber:
        alive, on_close = True, list[Any]()

        def send(self, kind: str, number: int, body: Any) -> None:
            sent.append((unpack(body[1]), body[2]))

        def is_congested(self) -> bool:
            return False

    subscriber = cast(Any, Subscriber())
    feed.publisher.subscribe(subscriber, (1, 2), (1, 1))
    sent.clear()
    feed._receive_updates(cast(Any, None), [[1, 5], [["kept", 1, 2, 2], ["new", 3, 1, 3]], [2, 9]], lambda answer: None)
    assert sent == [([("kept", (1, 2), 2), ("new", (3, 1), 3)], [2, 9])]
    feed._receive_updates(cast(Any, None), [[1, 6], [["new", 3, 2, 4]], None], lambda answer: None)
    assert sent[1:] == [([("new", (3, 2), 4)], None)]
