"""What a sluice says of itself."""

from __future__ import annotations

from typing import Any

from oakvale.base.address import spelled
from oakvale.dataplane.gateway import EdgeGateway
from oakvale.transport.status_service import MS, by_service


def standing(sluice: EdgeGateway) -> dict[str, Any]:
    now, picture, feed, router = sluice.loop.now, sluice.router.picture, sluice.feed, sluice.router
    source, own = feed.source(), picture.members.get(sluice.settings.node)
    return (
        {
            "own": sluice.own,
            "life": sluice.life,
            "ready": sluice.ready(),
            "listed": own is not None and own.life == sluice.life,
            "gen": picture.gen,
            "gateways": ",".join(sorted(picture.members)),
            "source": spelled(source) if source else "",
            "pulse": "/".join(map(str, feed.pulse)),
            "news": "/".join(map(str, sluice.table.high)),
            "news_age_ms": (now - feed.fresh_at) // MS if feed.fresh_at else -1,
            "relays": len(feed.outlet),
            "duties": ",".join(sluice.rate_limiter.held_duties()),
            "clients": len(router.clients.all),
            "in_hand": len(router.requests),
            "backend_connections": sluice.shared.backend_connections,
            "idle_connections": sluice.shared.idle.count,
        }
        | router.tally.fields()
        | by_service((backend.service, "ready" if backend.ready else "drain") for backend in picture.backends.values())
    )
