"""Writes the constants of an experiment's variant into the sources of a checkout, to run it outside of the laboratory.

    PYTHONPATH=. python lab/transplant.py lab/agreement.toml board-off ../other-checkout

Only variants that set module constants are supported, not those that swap functions. The files of the checkout are
modified, so use a separate one.
"""

from __future__ import annotations

import ast
import sys
from pathlib import Path

from oakvale.lab import files
from oakvale.lab.experiments.spec import Experiment


def with_constant(source: str, name: str, value: object) -> str:
    """Returns the source with the module constant set to the value. Raises ValueError if it has no such constant."""
    for node in ast.parse(source).body:
        if not isinstance(node, (ast.Assign, ast.AnnAssign)) or (value_node := node.value) is None:
            continue
        targets = node.targets if isinstance(node, ast.Assign) else [node.target]
        if any(isinstance(target, ast.Name) and target.id == name for target in targets):
            lines = source.splitlines(keepends=True)
            line = lines[value_node.lineno - 1].encode()
            if value_node.end_lineno != value_node.lineno:
                raise ValueError(f"the value of {name} spans several lines")
            lines[value_node.lineno - 1] = (
                line[: value_node.col_offset] + repr(value).encode() + line[value_node.end_col_offset :]
            ).decode()
            return "".join(lines)
    raise ValueError(f"{name} is not a constant of the module")


def main(arguments: list[str]) -> int:
    if len(arguments) != 3:
        print(__doc__, file=sys.stderr)
        return 2
    path, variant, root = arguments
    try:
        spec = next(
            (candidate for candidate in files.load(path, Experiment).variants if candidate.name == variant), None
        )
        if spec is None or spec.swap:
            raise ValueError(f"{path}: variants: {variant!r} does not exist, or swaps functions")
        for dotted, value in spec.set.items():
            module, _, name = dotted.rpartition(".")
            file = Path(root, *module.split(".")).with_suffix(".py")
            file.write_text(with_constant(file.read_text(), name, value))
            print(f"{file}: {name} = {value!r}")
    except (files.BadFile, ValueError, OSError) as error:
        print(f"transplant: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
