"""What a sluice says of itself."""

from __future__ import annotations

from typing import Any

from oakvale.base.address import format_address
from oakvale.dataplane.gateway import EdgeGateway
from oakvale.transport.status_service import US_PER_MS, count_by_service


def standing(sluice: EdgeGateway) -> dict[str, Any]:
    now, picture, feed, router = sluice.loop.now, sluice.router.picture, sluice.feed, sluice.router
    source, own = feed.source(), picture.members.get(sluice.settings.node)
    return (
        {
            "own": sluice.own,
            "life": sluice.life,
            "ready": sluice.ready(),
            "listed": own is not None and own.incarnation == sluice.life,
            "gen": picture.gen,
            "gateways": ",".join(sorted(picture.members)),
            "source": format_address(source) if source else "",
            "pulse": "/".join(map(str, feed.heartbeat)),
            "news": "/".join(map(str, sluice.table.highest_version)),
            "news_age_ms": (now - feed.last_fresh_at) // US_PER_MS if feed.last_fresh_at else -1,
            "relays": len(feed.publisher),
            "duties": ",".join(sluice.rate_limiter.held_duties()),
            "clients": len(router.clients.all),
            "in_hand": len(router.requests),
            "backend_connections": sluice.shared.backend_connections,
            "idle_connections": sluice.shared.idle.count,
        }
        | router.tally.fields()
        | count_by_service(
            (backend.service, "ready" if backend.ready else "drain") for backend in picture.backends.values()
        )
    )
