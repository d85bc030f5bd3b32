"""Locks, numbers, keys and watches over HTTP, on core machines with real sockets and state files."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.core_machines import CoreMachines, Response

HOLD = "3000ms"
MAX_NAME_LENGTH = 128
MAX_VALUE_BYTES = 4096


@pytest.fixture
def core(tmp_path: Path) -> Iterator[CoreMachines]:
    machines = CoreMachines(tmp_path)
    try:
        machines.wait_until_serving()
        yield machines
    finally:
        machines.close()


@pytest.fixture
def lone_machine(tmp_path: Path) -> Iterator[CoreMachines]:
    """One of three machines, which alone can serve nothing."""
    machines = CoreMachines(tmp_path, running=1)
    try:
        yield machines
    finally:
        machines.close()


def begin(core: CoreMachines, lock: str, owner: str, hold: str = HOLD) -> Response:
    return core.call("POST", f"/oakvale/Locks.Begin/{lock}", {"owner": owner, "hold": hold})


def put(core: CoreMachines, key: str, value: str, **fields: Any) -> Response:
    return core.call("POST", f"/oakvale/Cells.Replace/{key}", {"val": value, **fields})


def test_accepted_coordination_calls_are_not_answered_404(core: CoreMachines) -> None:
    """Each verb with its example from the description of the protocol."""
    taken = begin(core, "l1f", "a3.7")
    assert taken.status == 200
    lease = {"owner": "a3.7", "fence": taken.fields["fence"]}
    assert core.call("POST", "/oakvale/Locks.Heartbeat/l1f", lease | {"hold": HOLD}).status == 200
    assert core.call("POST", "/oakvale/Locks.Finish/l1f", lease).status == 200
    assert isinstance(core.call("POST", "/oakvale/numbers/n2", {}).fields["val"], int)
    written = put(core, "g1.2d", "5c0e7a21d94b36f8", topic=0)
    assert (written.status, written.fields) == (200, {"rev": 1})
    read = core.call("GET", "/oakvale/Cells.Read/g1.2d")
    assert (read.status, read.fields) == (200, {"val": "5c0e7a21d94b36f8", "rev": 1})
    assert core.call("GET", "/oakvale/watch/g1.?after=0&wait-ms=2000").fields["rev"] == 1


def test_lock_has_one_holder_and_rising_fences(core: CoreMachines) -> None:
    first = begin(core, "l1f", "a3.7").fields["fence"]
    assert begin(core, "l1f", "a3.7").fields["fence"] == first, "the holder receives its fence again"
    assert begin(core, "l1f", "b1.2").status == 409
    lease = {"owner": "a3.7", "fence": first}
    assert core.call("POST", "/oakvale/Locks.Heartbeat/l1f", lease | {"fence": first + 1, "hold": HOLD}).status == 409
    assert core.call("POST", "/oakvale/Locks.Heartbeat/l1f", lease | {"owner": "b1.2", "hold": HOLD}).status == 409
    assert core.call("POST", "/oakvale/Locks.Finish/l1f", {"owner": "b1.2", "fence": first}).status == 200
    assert begin(core, "l1f", "b1.2").status == 409, "who does not hold it cannot give it back"
    assert core.call("POST", "/oakvale/Locks.Finish/l1f", lease).status == 200
    assert core.call("POST", "/oakvale/Locks.Finish/l1f", lease).status == 200
    assert core.call("POST", "/oakvale/Locks.Heartbeat/l1f", lease | {"hold": HOLD}).status == 409
    second = begin(core, "l1f", "b1.2")
    assert second.status == 200 and second.fields["fence"] > first


def test_lock_is_free_once_its_hold_is_over(core: CoreMachines) -> None:
    taken = begin(core, "l1f", "a3.7", "50ms")
    assert taken.status == 200, taken
    first = taken.fields["fence"]
    core.run_for(100)
    assert (
        core.call("POST", "/oakvale/Locks.Heartbeat/l1f", {"owner": "a3.7", "fence": first, "hold": HOLD}).status == 409
    )
    assert begin(core, "l1f", "a3.7").fields["fence"] > first, "the same owner receives a new fence"


def test_numbers_of_one_name_rise(core: CoreMachines) -> None:
    numbers = [core.call("POST", "/oakvale/numbers/n2", {}).fields["val"] for _ in range(5)]
    assert all(earlier < later for earlier, later in zip(numbers, numbers[1:], strict=False))


def test_put_compares_revisions_and_repeats_its_first_answer(core: CoreMachines) -> None:
    assert core.call("GET", "/oakvale/Cells.Read/g1.2d").status == 404
    assert put(core, "g1.2d", "v1", topic=0).fields == {"rev": 1}
    assert put(core, "g1.2e", "v2", topic=0).fields == {"rev": 2}, "the keys of a group share one count"
    assert put(core, "g2.2d", "v3", topic=0).fields == {"rev": 1}
    refused = put(core, "g1.2d", "v4", topic=0)
    assert (refused.status, refused.fields) == (412, {"rev": 1})
    assert put(core, "g1.2d", "v5", topic=1).fields == {"rev": 3}
    again = put(core, "g1.2d", "v1", topic=0)
    assert (again.status, again.fields) == (200, {"rev": 1}), "a put sent again receives its first revision"
    assert core.call("GET", "/oakvale/Cells.Read/g1.2d").fields == {"val": "v5", "rev": 3}
    assert put(core, "g1.2d", "v6").fields == {"rev": 4}, "without `topic` any revision will do"


def test_watch_receives_every_put_above_its_revision(core: CoreMachines) -> None:
    for number in (1, 2, 3):
        put(core, f"g1.k{number}", f"v{number}")
    put(core, "g2.k1", "other")
    seen = core.call("GET", "/oakvale/watch/g1.?after=1&wait-ms=2000").fields
    assert seen == {
        "events": [{"name": "g1.k2", "val": "v2", "rev": 2}, {"name": "g1.k3", "val": "v3", "rev": 3}],
        "rev": 3,
    }
    assert core.call("GET", "/oakvale/watch/g1.?after=0&wait-ms=2000").fields["rev"] == 3
    waiting = core.begin(core.primary(), "GET", "/oakvale/watch/g1.?after=3&wait-ms=4000")
    put(core, "g1.k1", "v4")
    assert core.finish(waiting, 1.0).fields == {"events": [{"name": "g1.k1", "val": "v4", "rev": 4}], "rev": 4}
    idle = core.call("GET", "/oakvale/watch/g1.?after=4&wait-ms=50")
    assert (idle.status, idle.fields) == (200, {"events": [], "rev": 4})


LONG_NAME = "x" * (MAX_NAME_LENGTH + 1)
INVALID_CALLS: list[tuple[str, str, Any, str]] = [
    ("POST", "Locks.Begin/l1f", b"no json", ""),
    ("POST", "Locks.Begin/l1f", [], ""),
    ("POST", "Locks.Begin/l1f", {"hold": HOLD}, "owner"),
    ("POST", "Locks.Begin/l1f", {"owner": "", "hold": HOLD}, "owner"),
    ("POST", "Locks.Begin/l1f", {"owner": 7, "hold": HOLD}, "owner"),
    ("POST", "Locks.Begin/l1f", {"owner": "a3.7"}, "hold"),
    ("POST", "Locks.Begin/l1f", {"owner": "a3.7", "hold": "soon"}, "hold"),
    ("POST", "Locks.Begin/l1f", {"owner": "a3.7", "hold": "-1s"}, "hold"),
    ("POST", "Locks.Begin/", {"owner": "a3.7", "hold": HOLD}, ""),
    ("POST", "Locks.Begin/l/1", {"owner": "a3.7", "hold": HOLD}, ""),
    ("POST", f"Locks.Begin/{LONG_NAME}", {"owner": "a3.7", "hold": HOLD}, ""),
    ("POST", "Locks.Heartbeat/l1f", {"owner": "a3.7", "hold": HOLD}, "fence"),
    ("POST", "Locks.Heartbeat/l1f", {"owner": "a3.7", "fence": "1", "hold": HOLD}, "fence"),
    ("POST", "Locks.Heartbeat/l1f", {"owner": "a3.7", "fence": True, "hold": HOLD}, "fence"),
    ("POST", "Locks.Finish/l1f", {"owner": "a3.7"}, "fence"),
    ("POST", "numbers/", {}, ""),
    ("POST", "numbers/n%202", {}, ""),
    ("POST", "numbers/n2", b"no json", ""),
    ("POST", "Cells.Replace/g1.2d", {"topic": 0}, "val"),
    ("POST", "Cells.Replace/g1.2d", {"val": 5}, "val"),
    ("POST", "Cells.Replace/g1.2d", {"val": "v", "topic": -1}, "topic"),
    ("POST", "Cells.Replace/g1.2d", {"val": "v", "topic": "0"}, "topic"),
    ("POST", "Cells.Replace/g1.2d", {"val": "v", "topic": 1.5}, "topic"),
    ("GET", "Cells.Read/", None, ""),
    ("GET", "watch/g1.?wait-ms=50", None, "after"),
    ("GET", "watch/g1.?after=x&wait-ms=50", None, "after"),
    ("GET", "watch/g1.?after=-1&wait-ms=50", None, "after"),
    ("GET", "watch/g1.?after=1&wait-ms=x", None, "wait-ms"),
    ("GET", "watch/?after=1&wait-ms=50", None, ""),
]


def test_malformed_calls_are_answered_400_naming_the_field(core: CoreMachines) -> None:
    for method, path, body, field in INVALID_CALLS:
        response = core.call(method, f"/oakvale/{path}", body)
        assert response.status == 400, (method, path, body)
        assert field in response.fields["error"], (method, path, body, response.body)


def test_values_above_the_bound_are_answered_413(core: CoreMachines) -> None:
    assert put(core, "g1.2d", "x" * MAX_VALUE_BYTES).status == 200
    assert put(core, "g1.2d", "y" * (MAX_VALUE_BYTES + 1)).status == 413
    assert core.call("GET", "/oakvale/Cells.Read/g1.2d").fields["val"] == "x" * MAX_VALUE_BYTES


def test_wrong_method_is_answered_405_and_unknown_verb_404(core: CoreMachines) -> None:
    wrong = [("GET", verb) for verb in ("Locks.Begin", "Locks.Heartbeat", "Locks.Finish", "numbers", "Cells.Replace")]
    for method, verb in (*wrong, ("POST", "Cells.Read"), ("POST", "watch")):
        assert core.call(method, f"/oakvale/{verb}/x", {} if method == "POST" else None).status == 405, verb
    assert core.call("POST", "/oakvale/Locks.Steal/l1f", {}).status == 404


def test_other_replicas_redirect_with_path_and_query(core: CoreMachines) -> None:
    primary = core.primary()
    other = next(number for number in range(len(core.processes)) if number != primary)
    ip, port = core.addresses[primary]
    for method, path in (
        ("GET", "/oakvale/watch/g1.?after=930&wait-ms=2000"),
        ("GET", "/oakvale/Cells.Read/g1.2d"),
        ("POST", "/oakvale/numbers/n2"),
    ):
        response = core.call(method, path, {} if method == "POST" else None, machine=other)
        assert (response.status, response.headers["location"]) == (307, f"http://{ip}:{port}{path}")


def test_replica_without_a_known_primary_answers_503(lone_machine: CoreMachines) -> None:
    for method, path, body in (
        ("POST", "Locks.Begin/l1f", {"owner": "a3.7", "hold": HOLD}),
        ("POST", "numbers/n2", {}),
        ("GET", "Cells.Read/g1.2d", None),
        ("GET", "watch/g1.?after=1&wait-ms=50", None),
    ):
        assert lone_machine.call(method, f"/oakvale/{path}", body, machine=0).status == 503
