"""The page on the architecture names files that are there, and its picture is the one that its text describes."""

import re
from html import unescape
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "architecture.md").read_text()


def test_every_file_it_names_is_there() -> None:
    named = set(re.findall(r"`([a-z_/]+\.py)`", PAGE))
    assert len(named) > 20
    assert not {name for name in named if not (ROOT / "oakvale" / name).exists() and not (ROOT / name).exists()}


def test_each_way_has_ten_steps_at_most() -> None:
    ways = {way.splitlines()[0]: re.findall(r"^(\d+)\. ", way, re.M) for way in PAGE.split("\n## ")[1:]}
    assert list(ways) == ["A request", "A configuration", "A backend's beat", "A quota count"]
    assert all(steps == [str(n + 1) for n in range(len(steps))] and len(steps) <= 10 for steps in ways.values())


def test_the_image_shows_what_the_text_says() -> None:
    text, image = ((ROOT / "docs" / f"architecture.{kind}").read_text() for kind in ("dot", "svg"))
    image = unescape(image)
    words = [word for label in re.findall(r'label="(.*?)"', text) for word in label.split("\\n")]
    assert words and all(f">{word}</text>" in image for word in words)
    assert image.count('class="edge"') == text.count("->") - text.count("style=invis")
