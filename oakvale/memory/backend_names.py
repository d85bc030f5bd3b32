"""Maps backend names to the numbers that the policy uses, and to their current addresses."""

from __future__ import annotations

from typing import Any

from oakvale import interface as i
from oakvale.base.address import Address, parse_address
from oakvale.numbers import parse_decimal, parse_integer
from oakvale.settings import NameIndexes

STATE_BY_STATUS = {"active": i.State.READY, "leaving": i.State.DRAINING, "left": i.State.GONE}


class BackendNames:
    """A backend keeps its number while it is listed, even if its address changes. Backends that have left are removed,
    or the table would grow without bound. Numbers are never reused, since pending attempts may still refer to them."""

    def __init__(self, names: NameIndexes) -> None:
        self._names = names
        self._last_number = 0
        self._numbers: dict[str, int] = {}
        self._addresses: dict[int, Address] = {}
        self._serving: set[int] = set()

    def address(self, backend: int) -> Address | None:
        return self._addresses.get(backend)

    def serves(self, backend: int) -> bool:
        """Whether the backend is active, so that an idle connection to it may be kept."""
        return backend in self._serving

    def update(self, rows: list[dict[str, Any]], complete: bool) -> tuple[tuple[i.Entry, ...], list[int]]:
        """Applies the rows of a list; returns them as policy entries, and the backends whose idle connections must be
        closed: their address changed, they are leaving or have left, or a complete list does not contain them.

        A malformed row raises ValueError, KeyError, TypeError or AttributeError, and nothing is applied."""
        new_numbers: dict[str, int] = {}
        decoded = [self._decode(row, new_numbers) for row in rows]
        self._numbers |= new_numbers
        outdated = []
        for entry, address in decoded:
            if address is not None and self._addresses.get(entry.backend, address) != address:
                outdated.append(entry.backend)
            if address is not None:
                self._addresses[entry.backend] = address
        listed = {entry.backend: entry.state for entry, _ in decoded}
        for name, number in list(self._numbers.items()):
            state = listed.get(number, i.State.GONE if complete else None)
            if state is i.State.READY:
                self._serving.add(number)
            elif state is not None:
                self._serving.discard(number)
                outdated.append(number)
            if state is i.State.GONE:
                del self._numbers[name]
                self._addresses.pop(number, None)
        return tuple(entry for entry, _ in decoded), outdated

    def _number(self, name: str, new_numbers: dict[str, int]) -> int:
        number = self._numbers.get(name) or new_numbers.get(name)
        if number is None:
            self._last_number += 1
            number = new_numbers[name] = self._last_number
        return number

    def _decode(self, row: dict[str, Any], new_numbers: dict[str, int]) -> tuple[i.Entry, Address | None]:
        name, state = str(row["name"]), STATE_BY_STATUS[row["status"]]
        address = parse_address(row.get("address"))
        if address is None and state is not i.State.GONE:
            raise ValueError(f"backend {name} has no address")
        entry = i.Entry(
            self._number(name, new_numbers),
            self._names.zones.get(str(row.get("zone")), len(self._names.zones)),
            self._names.kinds.get(str(row.get("type")), len(self._names.kinds)),
            parse_integer(str(row.get("group") or 0)),
            state,
            parse_decimal(str(row["weight"] if row.get("weight") is not None else 1.0)),
            int(parse_decimal(str(row.get("since_ms") or 0)) * 1000),
        )
        return entry, address
