"""Size and line width of oakvale/policy, and that the deploy file lists its modules."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
POLICY = sorted((ROOT / "oakvale" / "policy").glob("*.py"))


def test_size_and_width() -> None:
    lines = [line for path in POLICY for line in path.read_text().splitlines()]
    assert 0 < sum(1 for line in lines if line.strip()) <= 660
    assert max(map(len, lines)) <= 110


def test_the_deploy_file_names_them() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert [ROOT / name for name in deploy["policy"]] == POLICY
    assert all((ROOT / name).exists() for name in deploy["node"])
