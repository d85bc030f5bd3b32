"""A gateway's part in drains: it follows the tenant moves in the replicated state, tracks what the moved tenants still
have in flight at the node that they leave, and reports it to the primary.

Without moves it does no work.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from oakvale.base.address import Address
from oakvale.base.loop import Loop
from oakvale.dataplane.request_router import RequestRouter
from oakvale.dataplane.service_driver import RoutedRequest
from oakvale.drains.moves import AvoidedBackends, MoveFollower
from oakvale.lifecycle.eventlog import EventLogger
from oakvale.memory.requests import Answer, ClientRequest
from oakvale.transport.links import Transport

CHECK_INTERVAL_US = 100_000
CHECKS_PER_REPORT = 5

log_event = EventLogger(__name__)


class TrackedRequest:
    """Wraps a request's client to record the final status."""

    def __init__(self, request: ClientRequest) -> None:
        self.request, self._client = request, request.client
        self.reached_node = False  # at least one attempt was sent to the node
        self.status = 0
        request.client = self

    def send_answer(self, answer: Answer) -> None:
        """Records the status and passes the answer on to the client."""
        self.status = answer.status
        self._client.send_answer(answer)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._client, name)

    def outcome(self) -> str | None:
        """How the request ended; None while it, or an attempt that outlived its client, is in progress."""
        if not self.request.finished or self.request.attempts:
            return None
        if not self.status:
            return "client_gone"
        return (
            "served"
            if 200 <= self.status < 300
            else "refused"
            if self.status in (408, 421, 429, 503)
            else "failed"
            if self.status in (502, 504)
            else "answered"
        )


@dataclass(slots=True)
class MoveProgress:
    """Requests of a tenant that were in flight here when it moved."""

    pending: list[TrackedRequest]
    started_at: int
    reached_node: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)


class DrainAgent:
    """Applies moves to a gateway and reports to the primary until each has settled."""

    def __init__(
        self,
        loop: Loop,
        transport: Transport,
        router: RequestRouter,
        node: str,
        incarnation: str,
        primary: Callable[[], Address | None],
        wall_clock_ms: Callable[[], int] | None = None,
    ) -> None:
        self._loop, self._transport, self._router = loop, transport, router
        self._node, self._incarnation, self._primary = node, incarnation, primary
        self._wall_clock_ms = wall_clock_ms or (lambda: loop.net.unix_time() // 1000)
        self._moves = MoveFollower(node, incarnation)
        self._progress: dict[str, MoveProgress] = {}
        self._checking = False
        self._check_count = 0

    def apply_moves(self, entries: list[tuple[str, dict[str, Any]]], is_first_update: bool) -> AvoidedBackends:
        """Takes the current moves; returns the backends that each tenant avoids.

        Must be called before the router gets the snapshot with that result: then only requests that are in flight now
        can still be sent to the node."""
        moves = dict(entries)
        for key in self._moves.update(entries, self._wall_clock_ms(), is_first_update):
            move = moves[key]
            log_event("moves", tenant=move["tenant"], node=move["node"], order=move["order"])
            in_flight = (
                []
                if is_first_update
                else [
                    TrackedRequest(request)
                    for request in self._router.requests.all()
                    if not request.finished and self._may_reach_node(request, move)
                ]
            )
            self._progress[key] = MoveProgress(in_flight, self._loop.now)
            self._update_progress(key, move)
        for key in [key for key in self._progress if key not in self._moves.followed]:
            del self._progress[key]
        self._router.draining = self._moves.gateway_draining
        if self._moves.pending_moves() and not self._checking:
            self._checking, self._check_count = True, 0
            self._loop.at(self._loop.now, self._check)
        return self._moves.avoided_backends

    def _may_reach_node(self, request: ClientRequest, move: dict[str, Any]) -> bool:
        routed: RoutedRequest = request.event
        if (routed.tenant or "") != move["tenant"]:
            return False
        if move["kind"] == "gateway":
            return True
        backend = self._router.snapshot.backends.get(move["node"])
        return (
            backend is None
            or routed.driver.service == backend.service
            and move["node"] not in routed.driver.excluded_backends
        )

    def _update_progress(self, key: str, move: dict[str, Any]) -> int:
        """Records what has ended; returns how many of the tracked requests may still be at the node."""
        progress = self._progress[key]
        pending = []
        for tracked in progress.pending:
            routed: RoutedRequest = tracked.request.event
            at_node = move["kind"] == "gateway" or any(
                routed.driver.backend_id(attempt.backend) == move["node"]
                for attempt in tracked.request.attempts.values()
            )
            if at_node and not tracked.reached_node:
                tracked.reached_node = True
                progress.reached_node += 1
            outcome = tracked.outcome()
            if outcome is None:
                pending.append(tracked)
            elif tracked.reached_node:
                progress.outcomes[outcome] = progress.outcomes.get(outcome, 0) + 1
        progress.pending = pending
        return len(pending)

    def _check(self, _: Any) -> None:
        unsettled = self._moves.pending_moves()
        if not unsettled:
            self._checking = False
            return
        self._loop.at(self._loop.now + CHECK_INTERVAL_US, self._check)
        reports = []
        for key, move in unsettled.items():
            progress = self._progress.get(key)
            pending = self._update_progress(key, move) if progress is not None else 0
            if move["kind"] == "gateway" and progress is not None:
                # new connections arrive until the platform's load balancer has seen two failed health checks
                may_get_connections = self._loop.now - progress.started_at < self._router.limits.stop_accepting
                pending = max(pending, len(self._router.clients.all), int(may_get_connections))
            reports.append(
                [
                    key,
                    key in self._moves.followed,
                    progress.reached_node if progress else 0,
                    pending,
                    progress.outcomes if progress else {},
                ]
            )
        primary = self._primary()
        if self._check_count % CHECKS_PER_REPORT == 0 and reports and primary is not None:
            self._transport.tell(primary, "towed", [self._node, self._incarnation, reports])
        self._check_count += 1
