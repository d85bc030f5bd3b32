"""`oakvale check`: the summary of a valid file, or an error that names the location."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from tests.helpers import invoke

ROOT = Path(__file__).parent.parent
SETTINGS_FILE = """
[self]
node = "core-a-1"
ip = "10.1.0.33"
az = "a"
voting = true
datadir = "/var/lib/oakvale"
[network]
port-range = [7340, 7355]
seeds = ["10.1.0.33:8783"]
bind = { ctl = "10.1.0.33:8783" }
[terms.bounds]
grace = "6s"
new-field = 3
"""
DEPLOY_FILE = (
    'build = "true"\npackages = ["python3"]\n[roles.sluice]\nrun = "python3 -m oakvale sluice"\non = "edge"\n'
    'share = 1.0\nserves = ["edge"]\n[roles.headworks]\nrun = "python3 -m oakvale headworks"\non = "core"\ncount = 1\n'
    'serves = ["ctl"]\n'
)


def configuration(**changes: Any) -> str:
    """Returns a valid configuration with the given fields replaced."""
    route = ["r", "a.example", "/x/", "safe", "1200ms", 2, "s"]
    return json.dumps(
        {
            "gen": 7,
            "routes": {"cols": ["name", "vhost", "prefix", "type", "deadline", "tries", "svc"], "rows": [route]},
            "svcs": {"cols": ["name"], "rows": [["s"]]},
            "tenants": {"cols": ["name", "apikeys", "rate-per-s"], "rows": [["t", ["k1", "k2"], 5]]},
            **changes,
        }
    )


@pytest.mark.parametrize(
    "kind, text, expected_parts",
    [
        (
            "settings",
            SETTINGS_FILE,
            ["core-a-1 at 10.1.0.33", "fits: headworks", "ctl: 10.1.0.33:8783", "ports 7340 to 7355"],
        ),
        (
            "deploy",
            DEPLOY_FILE,
            [
                "packages: python3; ",
                "sluice on edge: a share of 1 of a zone",
                "headworks on core: 1 of a zone",
                "serves ctl",
            ],
        ),
        ("config", configuration(), ["gen 7", "routes: 1, 1 of them safe", "services: s", "tenants: 1 with 2 keys"]),
    ],
)
def test_valid_file_is_summarized(kind: str, text: str, expected_parts: list[str], tmp_path: Path) -> None:
    (tmp_path / "file").write_text(text)
    result = invoke(["check", kind, str(tmp_path / "file")])
    assert result.exit_code == 0 and result.stderr == ""
    for part in expected_parts:
        assert part in result.stdout


INVALID_FILES = [
    ("settings", SETTINGS_FILE.replace('node = "core-a-1"', ""), "[self] node is missing"),
    ("settings", SETTINGS_FILE.replace('"6s"', '"6"'), "[terms.bounds] grace: not a time"),
    ("settings", SETTINGS_FILE.replace("[7340, 7355]", "[7340]"), "[network] port-range is not two ports"),
    ("settings", SETTINGS_FILE.replace('datadir = "/var/lib/oakvale"', ""), "[self] datadir is missing"),
    ("settings", "[self", "not TOML"),
    ("deploy", DEPLOY_FILE.replace("build", "built"), "build is missing"),
    ("deploy", 'build = "true"', "[roles] holds no role"),
    ("deploy", DEPLOY_FILE.replace("serves", "serve", 1), "[roles.sluice] serve is not known"),
    ("deploy", DEPLOY_FILE.replace("share = 1.0", "share = 1.5"), "[roles.sluice] share is not over 0"),
    ("deploy", DEPLOY_FILE.replace("count = 1", ""), "[roles.headworks] needs one of share and count"),
    ("deploy", DEPLOY_FILE.replace("count = 1", "count = 0"), "[roles.headworks] count is not a whole number"),
    ("deploy", DEPLOY_FILE.replace("python3 -m oakvale sluice", "env python3"), "[roles.sluice] run: 'env' is a shell"),
    ("deploy", DEPLOY_FILE.replace('["ctl"]', '["ctrl"]'), "[roles.headworks] serves is not a list"),
    ("deploy", DEPLOY_FILE.replace('["ctl"]', "[]"), "[roles] no role serves 'ctl'"),
    (
        "deploy",
        DEPLOY_FILE.replace('"core"', '"edge"').replace('["ctl"]', '["ctl", "edge"]'),
        "[roles.headworks] serves 'edge' on edge",
    ),
    ("config", "{", "not JSON"),
    ("config", configuration(svcs={"cols": ["name"], "rows": []}), "routes.r: unknown service 's'"),
    ("config", configuration(tenants={"cols": ["name", "apikeys"], "rows": [["t"]]}), "tenants.rows[0]: not 2 values"),
]


@pytest.mark.parametrize("kind, text, expected_error", INVALID_FILES, ids=range(len(INVALID_FILES)))
def test_error_is_one_line_with_file_location_and_field(
    kind: str, text: str, expected_error: str, tmp_path: Path
) -> None:
    path = tmp_path / "file"
    path.write_text(text)
    result = invoke(["check", kind, str(path)])
    assert result.exit_code == 2 and result.stdout == ""
    assert result.stderr.startswith(f"oakvale: {path}: ") and expected_error in result.stderr
    assert result.stderr.count("\n") == 1


@pytest.mark.parametrize("kind", ["settings", "deploy", "config"])
def test_missing_file_is_rejected(kind: str) -> None:
    result = invoke(["check", kind, "/nowhere/file"])
    assert result.exit_code == 2 and "/nowhere/file: cannot be read" in result.stderr


def test_deploy_file_of_the_system_is_valid() -> None:
    assert invoke(["check", "deploy", str(ROOT / "deploy" / "system.toml")]).exit_code == 0
