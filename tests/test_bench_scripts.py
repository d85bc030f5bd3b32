"""The scripts of `bench/`: they recognize an outdated bench, and draw the same days for the same seed."""

from __future__ import annotations

import importlib.util
import sys
import tomllib
from pathlib import Path
from types import ModuleType

import pytest

BENCH_FOLDER = Path(__file__).parent.parent / "bench"


def load_script(name: str) -> ModuleType:
    """Imports a script of `bench/` as a module."""
    spec = importlib.util.spec_from_file_location(name, BENCH_FOLDER / f"{name}.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module


def kinds_output(without: str = "") -> str:
    """Returns the output of `kinds` of the newest bench, with a text removed."""
    newest = load_script("hardening").NEWEST_BENCH_VARIANTS
    lines = [f"{kind}: some; how: {' '.join(variants)}" for kind, variants in newest.items()]
    return "\n".join(line.replace(without, "") if without else line for line in lines)


def test_bench_that_lists_every_kind_is_current() -> None:
    assert load_script("hardening").missing_kinds(kinds_output()) == []


@pytest.mark.parametrize("without, missing", [("give_up: ", "give_up"), ("split ", "core_cut split"), ("gone", "gone")])
def test_older_bench_is_recognized_by_missing_kinds(without: str, missing: str) -> None:
    assert any(missing in entry for entry in load_script("hardening").missing_kinds(kinds_output(without)))


def test_older_bench_runs_only_with_explicit_option(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    bench = tmp_path / "bench"
    bench.write_text("#!/bin/sh\n[ $1 = kinds ] && echo 'srv_crash: some' || touch \"$0.played\"\n")
    bench.chmod(0o755)
    arguments = ["play", "--bench", str(bench), "--out", str(tmp_path / "out"), "--sites", "s.toml", "--days", "d"]
    assert load_script("hardening").main([*arguments, "--seeds", "1"]) == 2
    assert "an older bench" in capsys.readouterr().err and not Path(f"{bench}.played").exists()
    load_script("hardening").main([*arguments, "--seeds", "1", "--older-bench"])
    assert Path(f"{bench}.played").exists()


def test_drawn_days_are_deterministic_and_cover_all_variants() -> None:
    draw = load_script("draw")
    texts = [draw.day_file(seed, True, all_variants=True) for seed in range(40)]
    assert texts == [draw.day_file(seed, True, all_variants=True) for seed in range(40)]
    found = {(one["kind"], one.get("how", "")) for text in texts for one in tomllib.loads(text)["day"][0]["faults"]}
    kinds = {kind for kind, _ in found}
    assert {"give_up", "retry_abuse", "srv_lying_health", "srv_cut", "replace_core", "node_freeze"} <= kinds
    assert any("split" in how for kind, how in found if kind == "core_cut")
    assert any("gone" in how for kind, how in found if kind == "after_ack_kill")
