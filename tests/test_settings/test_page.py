"""The documentation of the settings agrees with the tables in the code."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from berylnotch.cmd.config import TABLE as TOOL
from berylnotch.settings.controller import TABLE as CONTROLLER
from berylnotch.settings.router import TABLE as ROUTER

PAGE = Path(__file__).parents[2] / "docs" / "operators" / "install.md"
SETTINGS = [pytest.param(s, id=f"{s.section}-{s.name}") for s in CONTROLLER + ROUTER]
ROW = re.compile(r"^\| `([a-z-]+)` \| (.+) \| (.+) \| (.+) \|$", re.M)


def rows(section):
    """Return the table rows below a section's heading on the page, by setting name."""
    _, _, rest = PAGE.read_text(encoding="utf-8").partition(f"### `[{section}]`")
    part = rest.partition("\n#")[0]
    return {found[0]: found[1:] for found in ROW.findall(part)}


def default_cell(default):
    if default is None:
        return "required"
    return f"`{default}`" if default else "none"


@pytest.mark.parametrize("setting", SETTINGS)
def test_setting_is_on_the_page(setting):
    expected = (setting.allowed, default_cell(setting.default), setting.affects)
    assert rows(setting.section)[setting.name] == expected


@pytest.mark.parametrize("table", [CONTROLLER, ROUTER, TOOL])
def test_page_has_no_other_setting(table):
    section = table[0].section
    assert set(rows(section)) == {setting.name for setting in table}


@pytest.mark.parametrize("setting", TOOL, ids=lambda setting: setting.name)
def test_setting_of_the_tool_is_on_the_page(setting):
    expected = (setting.allowed, default_cell(setting.default), setting.affects)
    assert rows(setting.section)[setting.name] == expected
