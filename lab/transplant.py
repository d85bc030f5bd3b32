"""Puts a variant of an experiment into a checkout's sources, so that something else than the laboratory can play it.

    PYTHONPATH=. python lab/transplant.py lab/agreement.toml board-off ../other-checkout

Module constants alone can be moved so; a swap is refused. The checkout has to be one of its own: its files are changed.
"""

from __future__ import annotations

import ast
import sys
from pathlib import Path

from oakvale.lab import files
from oakvale.lab.experiments.spec import Experiment


def transplanted(source: str, name: str, value: object) -> str:
    """The source with the module constant set to the value; raises ValueError where it sets none."""
    for node in ast.parse(source).body:
        if not isinstance(node, (ast.Assign, ast.AnnAssign)) or (old := node.value) is None:
            continue
        targets = node.targets if isinstance(node, ast.Assign) else [node.target]
        if any(isinstance(target, ast.Name) and target.id == name for target in targets):
            lines = source.splitlines(keepends=True)
            line = lines[old.lineno - 1].encode()
            if old.end_lineno != old.lineno:
                raise ValueError(f"{name} stands on several lines")
            lines[old.lineno - 1] = (
                line[: old.col_offset] + repr(value).encode() + line[old.end_col_offset :]
            ).decode()
            return "".join(lines)
    raise ValueError(f"{name} is no constant of the module")


def main(words: list[str]) -> int:
    if len(words) != 3:
        print(__doc__, file=sys.stderr)
        return 2
    path, variant, root = words
    try:
        spec = next((one for one in files.load(path, Experiment).variants if one.name == variant), None)
        if spec is None or spec.swap:
            raise ValueError(f"{path}: variants: {variant!r} is not there, or swaps functions")
        for dotted, value in spec.set.items():
            module, _, name = dotted.rpartition(".")
            file = Path(root, *module.split(".")).with_suffix(".py")
            file.write_text(transplanted(file.read_text(), name, value))
            print(f"{file}: {name} = {value!r}")
    except (files.BadFile, ValueError, OSError) as error:
        print(f"transplant: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
