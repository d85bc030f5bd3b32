"""What a core machine tells the services that keep state of their own beside the replicated state."""

from __future__ import annotations

from oakvale.controlplane.replicated_state import ReplicatedState
from tests.control_plane_simulation import World
from tests.simulated_processes import MS, SECOND


def test_entries_in_force_are_announced_before_the_caller_learns_of_them() -> None:
    """A watch is answered from these entries, and a caller whose put was confirmed may start a watch at once."""
    world = World(1)
    world.run(2 * SECOND)
    machine = world.serving()
    assert machine is not None and machine.core is not None
    core, seen = machine.core, list[object]()
    core.on_in_force.append(lambda entries: seen.append([(key, value) for key, _, value in entries]))
    core.change({"a": 1, "b": 2}, seen.append)
    core.change({"a": 3}, seen.append)
    assert [(key, value) for key, _, value in core.replicated_state.pending_entries()] == [
        ("a", 1),
        ("b", 2),
        ("a", 3),
    ]
    world.run(100 * MS)
    assert seen == [[("a", 1), ("b", 2)], True, [("a", 3)], True] or seen == [
        [("a", 1), ("b", 2), ("a", 3)],
        True,
        True,
    ]
    assert core.replicated_state.pending_entries() == []


def test_a_replaced_state_is_announced() -> None:
    """A new backup is sent the whole state, which comes into force without any change."""
    world, replaced = World(2), list[str]()
    world.run(2 * SECOND)
    machine = world.serving()
    assert machine is not None and machine.core is not None
    view = machine.core.view()
    assert view is not None
    [backup] = [other for other in world.machines if other.core is not None and other.core.self_id in view.backups]
    [third] = [other for other in world.machines if other not in (machine, backup)]
    assert third.core is not None
    third.core.on_state_replaced.append(lambda: replaced.append(third.address[0]))
    world.down(backup, 20 * SECOND)
    world.run(15 * SECOND)
    assert replaced == [third.address[0]]


def test_any_number_of_callers_wait_for_one_change() -> None:
    """While a disk stalls, all calls that rest on the last pending change wait for it, in their order."""
    state, order, replica, callers = ReplicatedState(), list[int](), ("a:1", "0"), range(1, 5_000)
    state.start(1)
    state.propose({"a": 1}, {replica}, lambda done: order.append(0))
    for number in callers:
        state.when_settled(lambda done, number=number: order.append(number))  # type: ignore[misc]
    state.synced(replica, state.last_version)
    for on_done in state.take_completed():
        on_done(True)
    assert order == [0, *callers]
