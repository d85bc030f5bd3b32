"""The operators' file on chains (TOML): what stands above the regions, and how much of a place may be used.

    headroom = 1.0         # of what a place holds, while another is out; this is the default

    [above]                # a region, or a name from here -> the name above it
    kingston = "jamaica"

Checked whole; raises BadFile, which names file, place and field.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from oakvale.config.settings import Settings
from oakvale.config.toml_table import BadFile, read_toml

HEADROOM = 1.0


class File(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    headroom: Annotated[float, Field(gt=0, le=1)] = HEADROOM
    above: dict[str, str] = {}


@dataclass(slots=True, frozen=True)
class ChainSettings:
    headroom: float = HEADROOM
    above: Mapping[str, str] = field(default_factory=dict)


def load(path: str, settings: Settings | None = None) -> ChainSettings:
    """With the settings, also whether what stands below is there."""
    return read_toml(path, lambda data: decode(data, settings))


def decode(data: dict[str, Any], settings: Settings | None) -> ChainSettings:
    try:
        found = File.model_validate(data)
    except ValidationError as error:
        first = error.errors()[0]
        raise BadFile(f"{'.'.join(map(str, first['loc']))}: {first['msg']}") from error
    for name in found.above:
        at, seen = name, {name}
        while at in found.above:
            at = found.above[at]
            if at in seen:
                raise BadFile(f"above.{name}: {at} stands above itself")
            seen.add(at)
    if settings is not None:
        there = {*settings.zones.values(), *found.above.values()}
        for name in found.above:
            if name not in there:
                raise BadFile(f"above.{name}: no region of the settings, and nothing stands below it")
        for name in found.above.values():
            if name in settings.zones:
                raise BadFile(f"above: {name} is a zone")
    return ChainSettings(found.headroom, found.above)
