"""An experiment's file: variants x days x seeds. The first variant is what the others are compared with."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from oakvale.config.toml_table import BadFile
from oakvale.lab import days, files
from oakvale.lab.days import Day
from oakvale.lab.experiments import variants
from oakvale.lab.experiments.variants import Spec


class Tried(Spec):
    """A variant in an experiment; `days`: those of the experiment's files that it is played on (none: all)."""

    days: list[str] = []


class Experiment(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,39}$")]
    why: str = ""
    days: Annotated[list[str], Field(min_length=1)]  # files, from this one's folder
    seeds: Annotated[int, Field(ge=1, le=1_000)] = 8
    first_seed: Annotated[int, Field(ge=0)] = 1
    confidence: Annotated[float, Field(gt=0.5, lt=1)] = 0.95
    least: Annotated[float, Field(ge=0)] = 0.0  # a difference of the score under it is noise however sure it is
    variants: Annotated[list[Tried], Field(min_length=1)]

    @model_validator(mode="after")
    def _names(self) -> Self:
        for part, names in (("variants", [one.name for one in self.variants]), ("days", self.days)):
            if twice := sorted({name for name in names if names.count(name) > 1}):
                raise ValueError(f"{part}: {twice[0]!r} is there twice")
        for one in self.variants:
            if odd := [name for name in one.days if name not in self.days]:
                raise ValueError(f"variants.{one.name}.days: {odd[0]!r} is none of the experiment's days")
        if self.variants[0].days:
            raise ValueError(f"variants.{self.variants[0].name}.days: the first variant is played on all days")
        return self

    def seeds_drawn(self) -> list[int]:
        return list(range(self.first_seed, self.first_seed + self.seeds))

    def jobs(self, played: list[Day]) -> list[tuple[Day, int, Spec]]:
        """All runs, seed by seed, so that what an interrupt leaves has pairs."""
        return [
            (day, seed, one)
            for seed in self.seeds_drawn()
            for name, day in zip(self.days, played, strict=True)
            for one in self.variants
            if not one.days or name in one.days
        ]


def load(path: str | Path) -> tuple[Experiment, list[Day]]:
    """The experiment and its days, with all names looked up; raises BadFile or BadDay."""
    found = files.load(path, Experiment)
    for one in found.variants:
        try:
            variants.patches(one)
        except variants.BadVariant as error:
            where = str(error) if str(error).startswith("variants.") else f"variants.{one.name}: {error}"
            raise BadFile(f"{path}: {where}") from error
    played = [days.load(Path(path).parent / name) for name in found.days]
    names = [day.name for day in played]
    if twice := sorted({name for name in names if names.count(name) > 1}):
        raise BadFile(f"{path}: days: two are named {twice[0]!r}")
    return found, played
