"""Backends' names, the numbers that the module knows them by, and where each listens now."""

from __future__ import annotations

from typing import Any

from oakvale import interface as i
from oakvale.lifecycle.configuration import Address, parse_address
from oakvale.numbers import decimal, whole
from oakvale.settings import Names

STATES = {"active": i.State.READY, "leaving": i.State.DRAINING, "left": i.State.GONE}


class BackendNames:
    """A backend keeps its number when its address changes or it leaves and comes back."""

    def __init__(self, names: Names) -> None:
        self._names = names
        self._numbers: dict[str, int] = {}
        self._addresses: dict[int, Address] = {}

    def address(self, backend: int) -> Address | None:
        return self._addresses.get(backend)

    def learn(self, rows: list[dict[str, Any]]) -> tuple[tuple[i.Entry, ...], list[int]]:
        """The rows of a list as the module knows them, and the backends whose address is another than before.

        A malformed row raises ValueError, KeyError, TypeError or AttributeError, and nothing is learned."""
        decoded = [self._decode(row) for row in rows]
        moved = []
        for entry, address in decoded:
            if address is not None and self._addresses.get(entry.backend, address) != address:
                moved.append(entry.backend)
            if address is not None:
                self._addresses[entry.backend] = address
        return tuple(entry for entry, _ in decoded), moved

    def _decode(self, row: dict[str, Any]) -> tuple[i.Entry, Address | None]:
        name, state = str(row["name"]), STATES[row["status"]]
        address = parse_address(row.get("address"))
        if address is None and state is not i.State.GONE:
            raise ValueError(f"no address for {name}")
        entry = i.Entry(
            self._numbers.setdefault(name, len(self._numbers) + 1),
            self._names.zones.get(str(row.get("zone")), len(self._names.zones)),
            self._names.kinds.get(str(row.get("type")), len(self._names.kinds)),
            whole(str(row.get("group") or 0)), state,
            decimal(str(row["weight"] if row.get("weight") is not None else 1.0)),
            int(decimal(str(row.get("since_ms") or 0)) * 1000),
        )
        return entry, address
