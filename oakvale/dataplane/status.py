"""The status fields that a gateway reports."""

from __future__ import annotations

from typing import Any

from oakvale.base.address import format_address
from oakvale.dataplane.gateway import EdgeGateway
from oakvale.transport.status_service import US_PER_MS, count_by_service


def status_fields(gateway: EdgeGateway) -> dict[str, Any]:
    """The current status; its keys are read by operators' tools."""
    now, snapshot, feed, router = gateway.loop.now, gateway.router.snapshot, gateway.feed, gateway.router
    age_us = feed.freshness.age(now)
    source, member = feed.source(), snapshot.members.get(gateway.settings.node)
    return (
        {
            "own": gateway.self_address,
            "life": gateway.incarnation,
            "ready": gateway.ready(),
            "listed": member is not None and member.incarnation == gateway.incarnation,
            "gen": snapshot.generation,
            "gateways": ",".join(sorted(snapshot.members)),
            "source": format_address(source) if source else "",
            "pulse": "/".join(map(str, feed.heartbeat)),
            "news": "/".join(map(str, gateway.table.highest_version)),
            "news_age_ms": (now - feed.last_fresh_at) // US_PER_MS if feed.last_fresh_at else -1,
            "state_age_ms": age_us // US_PER_MS if age_us is not None else -1,
            "relays": len(feed.publisher),
            "complete_tables_sent": feed.publisher.complete_tables_sent,
            "duties": ",".join(gateway.rate_limiter.held_duties()),
            "clients": len(router.clients.all),
            "in_hand": len(router.requests),
            "backend_connections": gateway.shared.backend_connections,
            "idle_connections": gateway.shared.idle.count,
        }
        | router.tally.fields()
        | count_by_service(
            (backend.service, "ready" if backend.ready else "drain") for backend in snapshot.backends.values()
        )
    )
