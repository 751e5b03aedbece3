from __future__ import annotations

from pathlib import Path

from berylnotch.fleet.plan import find_warnings, plan
from berylnotch.fleet.reference import reference
from berylnotch.fleet.text import parse
from tests.test_control.helpers import TEXT

ROOT = Path(__file__).parents[2]


def test_plan_lists_what_changes(snapshot):
    edited = TEXT.replace("share = 4", "share = 5").replace("howrah", "durgapur")
    edited = edited.replace("entry-1", "entry-2").replace("[route /v1]", "[route /v2]")
    edited = edited.replace("checks-orders = yes", "checks-orders = no")
    lines = plan(parse(TEXT), parse(edited))
    assert "\n".join(map(str, lines)) == snapshot
    assert plan(parse(TEXT), parse(TEXT)) == ()


def test_warnings():
    text = TEXT.replace("burst = 300 tokens", "burst = 50 tokens")
    text += "[service spare]\nkind = plain\n"
    assert find_warnings(parse(text)) == (
        "service spare has no target and cannot serve",
        "organisation clerks has a burst below one second of its rate",
    )


def test_operators_page_shows_the_table():
    page = (ROOT / "docs" / "operators" / "text.md").read_text()
    assert reference() in page
