"""The discovery watch: fragmented lines, full lists and changes, silent watches and malformed responses."""

import pytest

from oakvale import interface as i
from oakvale.interface import ListForm, State
from tests.node import MS, Node, StubConnection, chunk, row

WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def accept_watch(node: Node, since: int = 41) -> StubConnection:
    """Discovery's end of the connection on which the gateway watches from version `since`."""
    discovery = node.taken(node.discovery)
    request = node.reads(discovery)
    assert request.startswith(b"GET /catalog/members?follow=1&since=%d HTTP/1.1\r\n" % since)
    return discovery


def backend_lists(node: Node) -> list[i.Backends]:
    """The lists and changes that the policy has received."""
    node.turns()
    return node.script.of(i.Backends)


def catalog_change(index: int, *rows: object, snapshot: bool = False) -> dict[str, object]:
    return {"index": index, "snapshot": snapshot, "endpoints": list(rows)}


def test_the_cached_list_comes_first_and_is_marked_as_cached(node: Node) -> None:
    [cached] = backend_lists(node)
    assert cached.form is ListForm.CACHED
    assert cached.entries == (i.Entry(1, 0, 0, 1, State.READY, 1.0, 0),)


def test_changes_and_full_lists(node: Node) -> None:
    discovery = accept_watch(node)
    discovery.send(
        WATCH_HEAD
        + chunk(
            catalog_change(
                43,
                row("s-1", "127.0.0.1:7070", "leaving", since_ms=1.5),
                row("s-2", "127.0.0.1:7071", zone="room-b", weight=2),
            )
        )
    )
    assert backend_lists(node)[1] == i.Backends(
        ListForm.DELTA, (i.Entry(1, 0, 0, 1, State.DRAINING, 1.0, 1500), i.Entry(2, 1, 0, 1, State.READY, 2.0, 0))
    )
    discovery.send(chunk(catalog_change(44, {"name": "s-1", "status": "left"})))
    assert backend_lists(node)[2].entries[0].state is State.GONE
    discovery.send(chunk(catalog_change(50, row("s-2", "127.0.0.1:7071"), snapshot=True)))
    assert backend_lists(node)[3].form is ListForm.FULL and [e.backend for e in backend_lists(node)[3].entries] == [2]


def test_lines_may_be_split_anywhere_and_share_chunks(node: Node) -> None:
    discovery = accept_watch(node)
    lines = b"".join(chunk(catalog_change(k, row(f"s-{k}", "127.0.0.1:7070")), None) for k in range(42, 46))
    data = WATCH_HEAD + lines
    for k in range(0, len(data), 11):
        discovery.send(data[k : k + 11])
        node.turns(1)
    assert len(backend_lists(node)) == 5
    line_in_two_chunks = chunk(catalog_change(46, row("s-46", "127.0.0.1:7070")))
    body = line_in_two_chunks.partition(b"\r\n")[2][:-2]
    discovery.send(b"5\r\n" + body[:5] + b"\r\n" + b"%x\r\n" % (len(body) - 5) + body[5:] + b"\r\n")
    assert len(backend_lists(node)) == 6 and node.host.discovery.index == 46


def test_a_change_reaches_the_policy_before_requests_of_the_same_turn(node: Node) -> None:
    """Once discovery has sent that a backend drains, the backend gets no new request."""
    discovery = accept_watch(node)
    discovery.send(WATCH_HEAD)
    client = node.client()
    node.until(lambda: node.host.clients.all)
    node.ask(client)
    discovery.send(chunk(catalog_change(42, row("s-1", "127.0.0.1:7070", "leaving"))))
    node.came(i.Request)
    kinds = [type(e) for e in node.script.events]
    assert kinds.index(i.Request) > len(kinds) - 1 - kinds[::-1].index(i.Backends)


def test_empty_lines_keep_a_watch_alive(node: Node) -> None:
    discovery = accept_watch(node)
    discovery.send(WATCH_HEAD)
    for _ in range(10):
        node.pass_time(2_000 * MS)
        discovery.send(chunk(None))
        node.turns()
    assert node.discovery.take() is None and not discovery.ended


def test_a_silent_watch_is_reopened_from_the_last_version_and_the_list_is_kept(node: Node) -> None:
    discovery = accept_watch(node)
    discovery.send(WATCH_HEAD + chunk(catalog_change(60, row("s-2", "127.0.0.1:7071"))))
    assert len(backend_lists(node)) == 2
    node.pass_time(node.host.limits.discovery_silence)
    node.until(lambda: discovery.read() and discovery.ended)
    assert node.discovery.take() is None  # not before a pause
    node.pass_time(node.host.limits.discovery_retry)
    accept_watch(node, since=60)
    assert len(backend_lists(node)) == 2 and node.host.can_serve()


@pytest.mark.parametrize(
    "data",
    [
        b"4\r\nnope\r\n1\r\n\n\r\n",
        b"3\r\n[]\n\r\n",
        b"3\r\n{}\n\r\n",
        chunk({"index": 1, "snapshot": False, "endpoints": [{"name": "x"}]}),
        chunk({"index": 1, "snapshot": False, "endpoints": [row("x", "nowhere")]}),
        chunk({"index": 1, "snapshot": False, "endpoints": [row("x", "127.0.0.1:1", "odd")]}),
        chunk({"index": 1, "snapshot": False, "endpoints": ["x"]}),
        chunk({"index": 1, "snapshot": False, "endpoints": 5}),
        chunk({"index": "x", "snapshot": False, "endpoints": []}),
        b"nonsense\r\n",
        b"0\r\n\r\n",
    ],
)
def test_malformed_lines_are_logged_and_the_watch_is_reopened(
    node: Node, data: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    discovery = accept_watch(node)
    discovery.send(WATCH_HEAD + data)
    node.until(lambda: discovery.read() and discovery.ended)
    assert len(backend_lists(node)) == 1 and "discovery lost" in caplog.text
    node.pass_time(node.host.limits.discovery_retry)
    accept_watch(node)


def test_a_list_with_one_invalid_row_is_ignored_as_a_whole(node: Node) -> None:
    discovery = accept_watch(node)
    before = node.host.backend_names.address(1)
    discovery.send(WATCH_HEAD + chunk(catalog_change(42, row("s-1", "127.0.0.1:9999"), {"name": "x"})))
    node.until(lambda: discovery.read() and discovery.ended)
    assert node.host.backend_names.address(1) == before and node.host.discovery.index == 41


def test_a_line_that_is_too_long_ends_the_watch() -> None:
    node = Node(line=1000)
    discovery = accept_watch(node)
    discovery.send(WATCH_HEAD + b"7d0\r\n" + b"x" * 2000 + b"\r\n")
    node.until(lambda: discovery.read() and discovery.ended)
    node.close()


@pytest.mark.parametrize("status", [b"503 Down", b"301 Away"])
def test_a_response_with_another_status_is_ignored(node: Node, status: bytes) -> None:
    discovery = accept_watch(node)
    discovery.send(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
    node.until(lambda: discovery.read() and discovery.ended)
    assert len(backend_lists(node)) == 1


def test_a_refused_discovery_connection_is_retried_after_a_pause(node: Node) -> None:
    discovery = accept_watch(node)
    discovery.close()
    node.discovery.close()
    for _ in range(3):
        turns = node.loop.turns
        node.pass_time(node.host.limits.discovery_retry)
        assert node.loop.turns - turns == 3
    assert len(backend_lists(node)) == 1


def test_a_lost_discovery_and_its_return_are_logged_once(node: Node, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    for _ in range(4):
        accept_watch(node).close()
        node.turns()
        node.pass_time(node.host.limits.discovery_retry)
    assert [r.message for r in caplog.records] == ["discovery lost"]
    accept_watch(node).send(WATCH_HEAD + chunk({"odd": 1}))  # it responds, but with an invalid line
    node.turns()
    node.pass_time(node.host.limits.discovery_retry)
    assert [r.message for r in caplog.records] == ["discovery lost"]
    accept_watch(node).send(WATCH_HEAD + chunk(None))
    node.turns()
    assert [r.message for r in caplog.records] == ["discovery lost", "discovery back"]


def test_an_empty_change_is_not_an_event(node: Node) -> None:
    discovery = accept_watch(node)
    discovery.send(WATCH_HEAD + chunk(catalog_change(42)))
    assert len(backend_lists(node)) == 1 and node.host.discovery.index == 42


def test_unknown_zones_kinds_and_fields_are_accepted(node: Node) -> None:
    discovery = accept_watch(node)
    unknown = row("s-9", "127.0.0.1:1", zone="attic", type="odd", colour="red")
    discovery.send(WATCH_HEAD + chunk(catalog_change(42, unknown)))
    [entry] = backend_lists(node)[1].entries
    assert (entry.zone, entry.kind) == (2, 1)


def test_the_full_list_is_fetched_once_for_two_requests(node: Node) -> None:
    accept_watch(node)
    node.script.answers[i.Timer] = lambda _: [i.Fetch(), i.Fetch()]
    node.host.dispatch(i.Timer(1))
    fetch = node.taken(node.discovery)
    assert node.reads(fetch).startswith(b"GET /catalog/members HTTP/1.1")
    assert node.discovery.take() is None  # the second Fetch shares the first one's request
    body = b'{"index":70,"snapshot":true,"endpoints":[]}'
    fetch.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    assert backend_lists(node)[1].form is ListForm.FULL
    node.host.dispatch(i.Timer(1))
    node.taken(node.discovery).close()
    assert backend_lists(node)[2].form is ListForm.FAILED


def test_a_lost_watch_is_reported_where_discovery_is_on_request() -> None:
    node = Node(settings={"discovery": "on_request"})
    assert node.discovery.take() is None
    node.script.answers[i.Timer] = lambda _: [i.Watch(True)]
    node.host.dispatch(i.Timer(1))
    discovery = accept_watch(node)
    discovery.send(WATCH_HEAD + chunk(catalog_change(42, row("s-2", "127.0.0.1:1"))))
    assert backend_lists(node)[1].form is ListForm.DELTA
    discovery.close()
    node.until(lambda: backend_lists(node)[-1].form is ListForm.FAILED)
    node.close()


def test_an_invalid_cached_list_is_replaced_by_an_empty_one() -> None:
    node = Node()
    node.script.events.clear()
    node.server.known = {"index": 1, "snapshot": True, "endpoints": [{}]}
    node.server.begin()
    assert backend_lists(node)[0] == i.Backends(ListForm.CACHED, ())
    node.close()
