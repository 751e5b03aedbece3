"""The documentation of a fleet's settings names exactly those that the code reads."""

import re
from pathlib import Path

from berylnotch.settings import fleet

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "operators" / "fleet.md").read_text(encoding="utf-8")
SOURCE = Path(fleet.__file__).read_text(encoding="utf-8")
TEMPLATES = [ROOT / "deploy" / f"{role}.ini" for role in ("router", "controller")]

#: A quoted setting name in the source of the settings reader.
READ = re.compile(r'"([a-z]+(?:-[a-z]+)+|name|ip|listen|ready|directory|seeds|data)"')


def _named_on_the_page():
    rows = re.findall(r"^\| `([a-z-]+)` \|", PAGE, re.M)
    assert len(rows) == len(set(rows))
    return set(rows) | {"order-lease-ms", "weights-ms"}


def test_the_page_names_just_the_settings_that_are_read():
    assert _named_on_the_page() == set(READ.findall(SOURCE))


def test_templates_hold_no_other_settings():
    for template in TEMPLATES:
        text = template.read_text(encoding="utf-8")
        names = set(re.findall(r"^([a-z-]+) =", text, re.M))
        assert names <= _named_on_the_page()
