"""Reads the operators' file on failover chains (TOML): the hierarchy above the regions, and the usable capacity.

    headroom = 1.0         # share of a location's capacity that may be used while another location is down (default)

    [above]                # a region, or a parent named here -> its parent
    kingston = "jamaica"

The whole file is checked. Raises BadFile, which names the file, the location in it and the field.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from oakvale.config.settings import Settings
from oakvale.config.toml_table import BadFile, read_toml

DEFAULT_HEADROOM = 1.0  # share of a location's capacity


class ChainsFile(BaseModel):
    """The fields of the file."""

    model_config = ConfigDict(extra="forbid", strict=True)

    headroom: Annotated[float, Field(gt=0, le=1)] = DEFAULT_HEADROOM
    above: dict[str, str] = {}


@dataclass(slots=True, frozen=True)
class ChainSettings:
    """Checked contents of the file: the usable share of capacity, and the parent of each region or parent."""

    headroom: float = DEFAULT_HEADROOM
    above: Mapping[str, str] = field(default_factory=dict)


def load(path: str, settings: Settings | None = None) -> ChainSettings:
    """Reads and checks the file; with `settings`, also that its regions exist. Raises BadFile."""
    return read_toml(path, lambda data: decode(data, settings))


def decode(data: dict[str, Any], settings: Settings | None) -> ChainSettings:
    """Checks the parsed TOML; see `load`."""
    try:
        content = ChainsFile.model_validate(data)
    except ValidationError as error:
        first = error.errors()[0]
        raise BadFile(f"{'.'.join(map(str, first['loc']))}: {first['msg']}") from error
    for name in content.above:
        ancestor, seen = name, {name}
        while ancestor in content.above:
            ancestor = content.above[ancestor]
            if ancestor in seen:
                raise BadFile(f"above.{name}: {ancestor} is its own ancestor")
            seen.add(ancestor)
    if settings is not None:
        known_names = {*settings.zones.values(), *content.above.values()}
        for name in content.above:
            if name not in known_names:
                raise BadFile(f"above.{name}: neither a region of the settings nor a parent in this file")
        for name in content.above.values():
            if name in settings.zones:
                raise BadFile(f"above: {name} is a zone")
    return ChainSettings(content.headroom, content.above)
