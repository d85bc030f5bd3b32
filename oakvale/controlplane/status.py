"""The status report of a core machine."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from oakvale.controlplane.core import Core
from oakvale.transport.status_service import US_PER_MS, count_by_service


def core_status(core: Core, coordination: Mapping[str, int]) -> dict[str, Any]:
    """The fields of the status report: role, view, peers, configuration, disk, counts of coordination, and listed
    backends."""
    now, view, table = core.loop.now, core.view(), core.replicated_state.table
    config, disk_pending_since = table.get("config"), core.storage.oldest_pending_since()
    fields: dict[str, Any] = {
        "own": core.self_id[0],
        "incarnation": core.self_id[1],
        "view": view.number if view else 0,
    }
    if view is not None:
        role = (
            "primary"
            if view.primary == core.self_id
            else "backup"
            if core.self_id in view.backups
            else ("witness" if core.self_id in view.witnesses else "none")
        )
        unresponsive = [peer[0] for peer in view.witnesses if not core.view_manager.alive(peer, now)]
        fields |= {
            "place": role,
            "primary": view.primary[0],
            "backups": ",".join(peer[0] for peer in view.backups),
            "witnesses": ",".join(peer[0] for peer in view.witnesses),
            "silent": ",".join(unresponsive),
        }
    return (
        fields
        | {
            "serving": core.serving(),
            "complete": core.view_manager.state.complete,
            "gen": config["gen"] if config else -1,
            "news": "/".join(map(str, table.highest_gateway_version)),
            "waits": core.replicated_state.has_pending(),
            "disk_waits_ms": 0 if disk_pending_since is None else (now - disk_pending_since) // US_PER_MS,
            "relays": len(core.publisher),
            "complete_tables_sent": core.publisher.complete_tables_sent,
            "gateways": ",".join(sorted(node for node, _ in table.items("gate/"))),
        }
        | {f"coordination.{name}": count for name, count in coordination.items()}
        | count_by_service((str(value["svc"]), str(value["state"])) for _, value in table.items("backend/"))
    )
