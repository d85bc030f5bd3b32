"""What a headworks says of itself."""

from __future__ import annotations

from typing import Any

from oakvale.controlplane.core import Core
from oakvale.transport.status_service import US_PER_MS, count_by_service


def standing(core: Core) -> dict[str, Any]:
    now, view, table = core.loop.now, core.view(), core.replicated_state.table
    held, since = table.get("config"), core.storage.oldest_pending_since()
    fields: dict[str, Any] = {"own": core.own[0], "incarnation": core.own[1], "view": view.number if view else 0}
    if view is not None:
        place = (
            "primary"
            if view.primary == core.own
            else "backup"
            if core.own in view.backups
            else ("witness" if core.own in view.witnesses else "none")
        )
        silent = [peer[0] for peer in view.witnesses if not core.view_manager.alive(peer, now)]
        fields |= {
            "place": place,
            "primary": view.primary[0],
            "backups": ",".join(peer[0] for peer in view.backups),
            "witnesses": ",".join(peer[0] for peer in view.witnesses),
            "silent": ",".join(silent),
        }
    return (
        fields
        | {
            "serving": core.serving(),
            "complete": core.view_manager.state.complete,
            "gen": held["gen"] if held else -1,
            "news": "/".join(map(str, table.highest_version)),
            "waits": core.replicated_state.has_pending(),
            "disk_waits_ms": 0 if since is None else (now - since) // US_PER_MS,
            "relays": len(core.outlet),
            "gateways": ",".join(sorted(node for node, _ in table.items("gate/"))),
        }
        | count_by_service((str(value["svc"]), str(value["state"])) for _, value in table.items("backend/"))
    )
