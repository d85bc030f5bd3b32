"""Discovery's watch: lines split anywhere, whole lists against changes, dead and bad watches."""

import pytest

from oakvale import interface as i
from oakvale.interface import ListForm, State
from tests.node import MS, Node, StubConnection, chunk, row

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def watch(node: Node, since: int = 41) -> StubConnection:
    discovery = node.taken(node.discovery)
    asked = node.reads(discovery)
    assert asked.startswith(b"GET /catalog/members?follow=1&since=%d HTTP/1.1\r\n" % since)
    return discovery


def lists(node: Node) -> list[i.Backends]:
    node.turns()
    return node.script.of(i.Backends)


def change(index: int, *rows: object, snapshot: bool = False) -> dict[str, object]:
    return {"index": index, "snapshot": snapshot, "endpoints": list(rows)}


def test_the_known_list_comes_first_and_is_told_as_maybe_old(node: Node) -> None:
    [known] = lists(node)
    assert known.form is ListForm.CACHED
    assert known.entries == (i.Entry(1, 0, 0, 1, State.READY, 1.0, 0),)


def test_changes_and_whole_lists(node: Node) -> None:
    discovery = watch(node)
    discovery.send(
        HEAD
        + chunk(
            change(
                43,
                row("s-1", "127.0.0.1:7070", "leaving", since_ms=1.5),
                row("s-2", "127.0.0.1:7071", zone="room-b", weight=2),
            )
        )
    )
    assert lists(node)[1] == i.Backends(
        ListForm.DELTA, (i.Entry(1, 0, 0, 1, State.DRAINING, 1.0, 1500), i.Entry(2, 1, 0, 1, State.READY, 2.0, 0))
    )
    discovery.send(chunk(change(44, {"name": "s-1", "status": "left"})))
    assert lists(node)[2].entries[0].state is State.GONE
    discovery.send(chunk(change(50, row("s-2", "127.0.0.1:7071"), snapshot=True)))
    assert lists(node)[3].form is ListForm.FULL and [e.backend for e in lists(node)[3].entries] == [2]


def test_lines_are_split_anywhere_and_share_chunks(node: Node) -> None:
    discovery = watch(node)
    lines = b"".join(chunk(change(k, row(f"s-{k}", "127.0.0.1:7070")), None) for k in range(42, 46))
    data = HEAD + lines
    for k in range(0, len(data), 11):
        discovery.send(data[k : k + 11])
        node.turns(1)
    assert len(lists(node)) == 5
    two_chunks_one_line = chunk(change(46, row("s-46", "127.0.0.1:7070")))
    body = two_chunks_one_line.partition(b"\r\n")[2][:-2]
    discovery.send(b"5\r\n" + body[:5] + b"\r\n" + b"%x\r\n" % (len(body) - 5) + body[5:] + b"\r\n")
    assert len(lists(node)) == 6 and node.host.discovery.index == 46


def test_a_change_is_given_before_attempts_of_the_same_turn(node: Node) -> None:
    """What was written to this gateway counts as told: a backend that drains gets nothing new."""
    discovery = watch(node)
    discovery.send(HEAD)
    client = node.client()
    node.until(lambda: node.host.clients.all)
    node.ask(client)
    discovery.send(chunk(change(42, row("s-1", "127.0.0.1:7070", "leaving"))))
    node.came(i.Request)
    kinds = [type(e) for e in node.script.events]
    assert kinds.index(i.Request) > len(kinds) - 1 - kinds[::-1].index(i.Backends)


def test_an_empty_line_every_two_seconds_keeps_a_watch(node: Node) -> None:
    discovery = watch(node)
    discovery.send(HEAD)
    for _ in range(10):
        node.pass_time(2_000 * MS)
        discovery.send(chunk(None))
        node.turns()
    assert node.discovery.take() is None and not discovery.ended


def test_a_silent_watch_is_made_anew_from_the_last_version_and_the_list_stays(node: Node) -> None:
    discovery = watch(node)
    discovery.send(HEAD + chunk(change(60, row("s-2", "127.0.0.1:7071"))))
    assert len(lists(node)) == 2
    node.pass_time(node.host.limits.discovery_silence)
    node.until(lambda: discovery.read() and discovery.ended)
    assert node.discovery.take() is None  # not before a pause
    node.pass_time(node.host.limits.discovery_retry)
    watch(node, since=60)
    assert len(lists(node)) == 2 and node.host.can_serve()


@pytest.mark.parametrize(
    "bad",
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
def test_bad_lines_are_logged_and_the_watch_made_anew(node: Node, bad: bytes, caplog: pytest.LogCaptureFixture) -> None:
    discovery = watch(node)
    discovery.send(HEAD + bad)
    node.until(lambda: discovery.read() and discovery.ended)
    assert len(lists(node)) == 1 and "discovery lost" in caplog.text
    node.pass_time(node.host.limits.discovery_retry)
    watch(node)


def test_nothing_is_learned_from_a_list_with_one_bad_row(node: Node) -> None:
    discovery = watch(node)
    before = node.host.backend_names.address(1)
    discovery.send(HEAD + chunk(change(42, row("s-1", "127.0.0.1:9999"), {"name": "x"})))
    node.until(lambda: discovery.read() and discovery.ended)
    assert node.host.backend_names.address(1) == before and node.host.discovery.index == 41


def test_a_line_without_end_is_dropped() -> None:
    node = Node(line=1000)
    discovery = watch(node)
    discovery.send(HEAD + b"7d0\r\n" + b"x" * 2000 + b"\r\n")
    node.until(lambda: discovery.read() and discovery.ended)
    node.close()


@pytest.mark.parametrize("status", [b"503 Down", b"301 Away"])
def test_another_status_is_no_list(node: Node, status: bytes) -> None:
    discovery = watch(node)
    discovery.send(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
    node.until(lambda: discovery.read() and discovery.ended)
    assert len(lists(node)) == 1


def test_a_refused_discovery_is_tried_again_with_a_pause(node: Node) -> None:
    discovery = watch(node)
    discovery.close()
    node.discovery.close()
    for _ in range(3):
        turns = node.loop.turns
        node.pass_time(node.host.limits.discovery_retry)
        assert node.loop.turns - turns == 3
    assert len(lists(node)) == 1


def test_a_lost_discovery_is_said_once_and_so_is_its_return(node: Node, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    for _ in range(4):
        watch(node).close()
        node.turns()
        node.pass_time(node.host.limits.discovery_retry)
    assert [r.message for r in caplog.records] == ["discovery lost"]
    watch(node).send(HEAD + chunk({"odd": 1}))  # it speaks, but not what is understood
    node.turns()
    node.pass_time(node.host.limits.discovery_retry)
    assert [r.message for r in caplog.records] == ["discovery lost"]
    watch(node).send(HEAD + chunk(None))
    node.turns()
    assert [r.message for r in caplog.records] == ["discovery lost", "discovery back"]


def test_an_empty_change_is_no_event(node: Node) -> None:
    discovery = watch(node)
    discovery.send(HEAD + chunk(change(42)))
    assert len(lists(node)) == 1 and node.host.discovery.index == 42


def test_unknown_zones_kinds_and_fields_are_taken(node: Node) -> None:
    discovery = watch(node)
    odd = row("s-9", "127.0.0.1:1", zone="attic", type="odd", colour="red")
    discovery.send(HEAD + chunk(change(42, odd)))
    [entry] = lists(node)[1].entries
    assert (entry.zone, entry.kind) == (2, 1)


def test_the_whole_list_is_fetched_once_when_asked(node: Node) -> None:
    watch(node)
    node.script.answers[i.Timer] = lambda _: [i.Fetch(), i.Fetch()]
    node.host.dispatch(i.Timer(1))
    asked = node.taken(node.discovery)
    assert node.reads(asked).startswith(b"GET /catalog/members HTTP/1.1")
    assert node.discovery.take() is None  # the second is answered by the same
    body = b'{"index":70,"snapshot":true,"endpoints":[]}'
    asked.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    assert lists(node)[1].form is ListForm.FULL
    node.host.dispatch(i.Timer(1))
    node.taken(node.discovery).close()
    assert lists(node)[2].form is ListForm.FAILED


def test_where_discovery_must_be_asked_a_broken_watch_is_told() -> None:
    node = Node(settings={"discovery": "on_request"})
    assert node.discovery.take() is None
    node.script.answers[i.Timer] = lambda _: [i.Watch(True)]
    node.host.dispatch(i.Timer(1))
    discovery = watch(node)
    discovery.send(HEAD + chunk(change(42, row("s-2", "127.0.0.1:1"))))
    assert lists(node)[1].form is ListForm.DELTA
    discovery.close()
    node.until(lambda: lists(node)[-1].form is ListForm.FAILED)
    node.close()


def test_a_known_list_that_is_not_understood_is_logged_and_the_watch_serves() -> None:
    node = Node()
    node.script.events.clear()
    node.server.known = {"index": 1, "snapshot": True, "endpoints": [{}]}
    node.server.begin()
    assert lists(node)[0] == i.Backends(ListForm.CACHED, ())
    node.close()
