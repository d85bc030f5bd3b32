"""Request classes of a service: the terms of its routes by which the service's policy decides.

A class is known by its terms, not by a route's name: names need not be unique, and a route's terms change.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from oakvale import interface as i
from oakvale.dataplane.routes import Route


def class_of(route: Route) -> i.RequestClass:
    """The terms by which requests of a route are decided."""
    return i.RequestClass(
        aim=route.target_us,
        deadline=route.deadline_us,
        tries=route.max_attempts,
        effect=i.Effect.SAFE if route.safe else i.Effect.UNSAFE,
    )


def classes_by_service(routes: Iterable[Route]) -> dict[str, frozenset[i.RequestClass]]:
    """The classes that a configuration's routes have at each service."""
    classes: dict[str, set[i.RequestClass]] = {}
    for route in routes:
        request_class = class_of(route)
        for service, _ in route.weighted_services:
            classes.setdefault(service, set()).add(request_class)
    return {service: frozenset(found) for service, found in classes.items()}


class RequestClasses:
    """Numbers the classes of one service as requests need them; numbers hold until the next configuration."""

    def __init__(self) -> None:
        self._numbers: dict[i.RequestClass, int] = {}
        self._configured: frozenset[i.RequestClass] = frozenset()

    @property
    def numbered(self) -> tuple[i.RequestClass, ...]:
        """The classes, each at the place of its number."""
        return tuple(self._numbers)

    def configure(self, configured: frozenset[i.RequestClass]) -> bool:
        """Takes the classes of a new configuration and drops the others; returns whether numbers have changed."""
        self._configured = configured
        kept = [request_class for request_class in self._numbers if request_class in configured]
        changed = len(kept) != len(self._numbers)
        self._numbers = {request_class: number for number, request_class in enumerate(kept)}
        return changed

    def number(self, route: Route) -> tuple[int, bool]:
        """The number of a route's class, and whether it is new. The class of a request that was received by an earlier
        configuration is marked as retired: it decides that request, and nothing about others."""
        request_class = class_of(route)
        if request_class not in self._configured:
            request_class = replace(request_class, retired=True)
        known = self._numbers.get(request_class)
        if known is not None:
            return known, False
        self._numbers[request_class] = len(self._numbers)
        return self._numbers[request_class], True
