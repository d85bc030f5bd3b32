"""Backends' names, the numbers that the module knows them by, and where each listens now."""

from __future__ import annotations

from typing import Any

from oakvale import interface as i
from oakvale.base.address import Address, parse_address
from oakvale.numbers import parse_decimal, parse_integer
from oakvale.settings import NameIndexes

STATES = {"active": i.State.READY, "leaving": i.State.DRAINING, "left": i.State.GONE}


class BackendNames:
    """A backend keeps its number while it is listed, also when its address changes. One that left is
    forgotten: over months, there is no end of them. No number is given twice: attempts may still bear it."""

    def __init__(self, names: NameIndexes) -> None:
        self._names = names
        self._last = 0
        self._numbers: dict[str, int] = {}
        self._addresses: dict[int, Address] = {}
        self._serving: set[int] = set()

    def address(self, backend: int) -> Address | None:
        return self._addresses.get(backend)

    def serves(self, backend: int) -> bool:
        """Neither leaving nor left: a connection to it may be kept."""
        return backend in self._serving

    def update(self, rows: list[dict[str, Any]], whole: bool) -> tuple[tuple[i.Entry, ...], list[int]]:
        """The rows of a list as the module knows them, and the backends whose connections of before are of no
        use: their address is another, they leave or have left, or a whole list is without them.

        A malformed row raises ValueError, KeyError, TypeError or AttributeError, and nothing is learned."""
        numbers: dict[str, int] = {}
        decoded = [self._decode(row, numbers) for row in rows]
        self._numbers |= numbers
        freed = []
        for entry, address in decoded:
            if address is not None and self._addresses.get(entry.backend, address) != address:
                freed.append(entry.backend)
            if address is not None:
                self._addresses[entry.backend] = address
        listed = {entry.backend: entry.state for entry, _ in decoded}
        for name, number in list(self._numbers.items()):
            state = listed.get(number, i.State.GONE if whole else None)
            if state is i.State.READY:
                self._serving.add(number)
            elif state is not None:
                self._serving.discard(number)
                freed.append(number)
            if state is i.State.GONE:
                del self._numbers[name]
                self._addresses.pop(number, None)
        return tuple(entry for entry, _ in decoded), freed

    def _number(self, name: str, fresh: dict[str, int]) -> int:
        number = self._numbers.get(name) or fresh.get(name)
        if number is None:
            self._last += 1
            number = fresh[name] = self._last
        return number

    def _decode(self, row: dict[str, Any], fresh: dict[str, int]) -> tuple[i.Entry, Address | None]:
        name, state = str(row["name"]), STATES[row["status"]]
        address = parse_address(row.get("address"))
        if address is None and state is not i.State.GONE:
            raise ValueError(f"no address for {name}")
        entry = i.Entry(
            self._number(name, fresh),
            self._names.zones.get(str(row.get("zone")), len(self._names.zones)),
            self._names.kinds.get(str(row.get("type")), len(self._names.kinds)),
            parse_integer(str(row.get("group") or 0)),
            state,
            parse_decimal(str(row["weight"] if row.get("weight") is not None else 1.0)),
            int(parse_decimal(str(row.get("since_ms") or 0)) * 1000),
        )
        return entry, address
