"""Backends' names, the numbers that the module knows them by, and where each listens now."""

from __future__ import annotations

from typing import Any

from oakvale import interface as i
from oakvale.settings import Names

STATES = {"active": i.State.READY, "leaving": i.State.DRAINING, "left": i.State.GONE}


class BackendNames:
    """A backend keeps its number when its address changes or it leaves and comes back."""

    def __init__(self, names: Names) -> None:
        self._names = names
        self._numbers: dict[str, int] = {}
        self.addresses: dict[int, tuple[str, int]] = {}

    def entry(self, row: dict[str, Any]) -> i.Entry:
        """Decodes one row of discovery's list; a malformed one raises ValueError, KeyError or TypeError."""
        name, state = str(row["name"]), STATES[row["status"]]
        host, _, port = str(row.get("address") or "").rpartition(":")
        if state is not i.State.GONE and not (host and port.isdigit()):
            raise ValueError(f"no address for {name}")
        entry = i.Entry(
            self._numbers.get(name, len(self._numbers) + 1),
            self._names.zones.get(str(row.get("zone")), len(self._names.zones)),
            self._names.kinds.get(str(row.get("type")), len(self._names.kinds)),
            int(row.get("group") or 0), state,
            float(row["weight"] if row.get("weight") is not None else 1.0),
            int(float(row.get("since_ms") or 0) * 1000),
        )
        self._numbers[name] = entry.backend
        if host and port.isdigit():
            self.addresses[entry.backend] = (host, int(port))
        return entry
