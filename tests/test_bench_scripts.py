"""The scripts of `bench/`: which bench it is, and that drawn days are the same for the same seed."""

from __future__ import annotations

import importlib.util
import sys
import tomllib
from pathlib import Path
from types import ModuleType

import pytest

FOLDER = Path(__file__).parent.parent / "bench"


def script(name: str) -> ModuleType:
    spec = importlib.util.spec_from_file_location(name, FOLDER / f"{name}.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module


def listed(without: str = "") -> str:
    newest = script("hardening").NEWEST_LISTS
    lines = [f"{kind}: some; how: {' '.join(words)}" for kind, words in newest.items()]
    return "\n".join(line.replace(without, "") if without else line for line in lines)


def test_a_bench_that_lists_all_is_no_older_one() -> None:
    assert script("hardening").missing_kinds(listed()) == []


@pytest.mark.parametrize("without, missing", [("give_up: ", "give_up"), ("split ", "core_cut split"), ("gone", "gone")])
def test_an_older_bench_is_told_by_what_it_does_not_list(without: str, missing: str) -> None:
    assert any(missing in one for one in script("hardening").missing_kinds(listed(without)))


def test_nothing_is_played_on_an_older_bench_unless_told_to(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    bench = tmp_path / "bench"
    bench.write_text("#!/bin/sh\n[ $1 = kinds ] && echo 'srv_crash: some' || touch \"$0.played\"\n")
    bench.chmod(0o755)
    words = ["play", "--bench", str(bench), "--out", str(tmp_path / "out"), "--sites", "s.toml", "--days", "d"]
    assert script("hardening").main([*words, "--seeds", "1"]) == 2
    assert "an older bench" in capsys.readouterr().err and not Path(f"{bench}.played").exists()
    script("hardening").main([*words, "--seeds", "1", "--older-bench"])
    assert Path(f"{bench}.played").exists()


def test_drawn_days_are_the_same_for_a_seed_and_bring_all_variants() -> None:
    draw = script("draw")
    texts = [draw.day(seed, True, all_variants=True) for seed in range(40)]
    assert texts == [draw.day(seed, True, all_variants=True) for seed in range(40)]
    found = {(one["kind"], one.get("how", "")) for text in texts for one in tomllib.loads(text)["day"][0]["faults"]}
    kinds = {kind for kind, _ in found}
    assert {"give_up", "retry_abuse", "srv_lying_health", "srv_cut", "replace_core", "node_freeze"} <= kinds
    assert any("split" in how for kind, how in found if kind == "core_cut")
    assert any("gone" in how for kind, how in found if kind == "after_ack_kill")
