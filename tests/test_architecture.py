"""The architecture page names only files that exist, and its image matches the source of the graph."""

import re
from html import unescape
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text()


def test_every_named_file_exists() -> None:
    named = set(re.findall(r"`([a-z_/]+\.py)`", PAGE))
    assert len(named) > 20
    assert not {name for name in named if not (ROOT / "oakvale" / name).exists() and not (ROOT / name).exists()}


def test_each_section_has_at_most_ten_steps() -> None:
    steps_by_section = {
        section.splitlines()[0]: re.findall(r"^(\d+)\. ", section, re.M) for section in PAGE.split("\n## ")[1:]
    }
    assert list(steps_by_section) == [
        "A request",
        "A configuration",
        "A backend's beat",
        "A call of an application",
        "A quota count",
    ]
    assert all(
        steps == [str(n + 1) for n in range(len(steps))] and len(steps) <= 10 for steps in steps_by_section.values()
    )


def test_image_matches_the_graph_source() -> None:
    graph, image = ((ROOT / "docs" / f"architecture.{kind}").read_text() for kind in ("dot", "svg"))
    image = unescape(image)
    words = [word for label in re.findall(r'label="(.*?)"', graph) for word in label.split("\\n")]
    assert words and all(f">{word}</text>" in image for word in words)
    assert image.count('class="edge"') == graph.count("->") - graph.count("style=invis")
