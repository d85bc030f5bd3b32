"""A call to the coordination resources, as it came over HTTP, and how it is answered."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from oakvale.memory.requests import Answer

SendAnswer = Callable[[Answer], None]


@dataclass(slots=True, eq=False)
class ControlCall:
    """One call; `on_abandoned` callbacks run if its caller leaves before it is answered."""

    name: str  # the path behind the verb
    query: str
    body: bytes
    on_abandoned: list[Callable[[], None]] = field(default_factory=list)


CallHandler = Callable[[ControlCall, SendAnswer], None]
