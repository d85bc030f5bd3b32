"""Decides whether concurrent operations on one object are linearizable (Wing and Gong's search, with memoisation)."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

StateT = TypeVar("StateT", bound=Hashable)
NEVER = 1 << 62  # later than any answer
MAX_SEARCH_STEPS = 400_000


class SearchLimitExceeded(Exception):
    """The search visited too many states, so nothing is decided."""


@dataclass(slots=True, frozen=True)
class Operation(Generic[StateT]):
    """An operation that took effect at one moment between its times; one that returned `NEVER` may have no effect."""

    invoked_at: int
    returned_at: int
    successors: Callable[[StateT], Iterable[StateT]]  # the states that it may lead to; none if it cannot happen


def _candidates(operations: list[Operation[StateT]], done: int) -> list[int]:
    """Operations that may take effect next: those invoked before any other that is left has returned."""
    found: list[int] = []
    earliest_return = NEVER
    for index, operation in enumerate(operations):
        if done >> index & 1:
            continue
        if operation.invoked_at > earliest_return:
            break
        earliest_return = min(earliest_return, operation.returned_at)
        found.append(index)
    return found


def is_linearizable(operations: Iterable[Operation[StateT]], initial: StateT) -> bool:
    """Whether some order of the operations respects their times and the object. Raises SearchLimitExceeded."""
    ordered = sorted(operations, key=lambda operation: operation.invoked_at)
    required = sum(1 << index for index, operation in enumerate(ordered) if operation.returned_at < NEVER)
    stack: list[tuple[int, StateT]] = [(0, initial)]
    visited: set[tuple[int, StateT]] = set(stack)
    while stack:
        done, state = stack.pop()
        if done & required == required:
            return True
        if len(visited) > MAX_SEARCH_STEPS:
            raise SearchLimitExceeded(f"{len(ordered)} operations")
        for index in reversed(_candidates(ordered, done)):
            for successor in ordered[index].successors(state):
                following = (done | 1 << index, successor)
                if following not in visited:
                    visited.add(following)
                    stack.append(following)
    return False
