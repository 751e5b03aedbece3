"""Every refusal and log event in the source is listed on the operators' page.

An operator could not look up a code or event that is missing there.
"""

from __future__ import annotations

import ast
import re
from pathlib import Path

from berylnotch.admission.ticket import RefusalReason
from berylnotch.server.runner import _POISON_CODE
from berylnotch.streams.actions import FinishReason
from berylnotch.streams.outcomes import REFUSAL_STATUSES

ROOT = Path(__file__).parents[2]
SOURCE = ROOT / "berylnotch"
PAGE = (ROOT / "docs" / "operators" / "refusals.md").read_text(encoding="utf-8")
REFUSALS, _, EVENTS = PAGE.partition("## Log events")
EVENT = re.compile(r'"event=([a-z_]+)')


def to_code(value):
    return value.replace("-", "_")


def literal_refusals():
    """Yield code and status of each `Refusal` call with a literal code."""
    for file in sorted((SOURCE / "server").glob("*.py")):
        for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or len(node.args) < 2:
                continue
            if not isinstance(node.func, ast.Name) or node.func.id != "Refusal":
                continue
            status, code = node.args[:2]
            if isinstance(code, ast.Constant):
                status_text = (
                    status.value if isinstance(status, ast.Constant) else "4xx"
                )
                yield code.value, str(status_text)


def source_refusals():
    refusals = set(literal_refusals())
    refusals |= {(to_code(reason.value), "503") for reason in RefusalReason}
    refusals |= {
        (to_code(reason.value), str(status))
        for reason, status in REFUSAL_STATUSES.items()
        if reason is not FinishReason.CALLER_GONE
    }
    return refusals | {(_POISON_CODE, "422")}


def source_events():
    files = [f for f in SOURCE.rglob("*.py") if "standins" not in f.parts]
    return {e for f in files for e in EVENT.findall(f.read_text(encoding="utf-8"))}


def test_page_has_each_refusal_with_its_status():
    page = set(re.findall(r"^\| `([a-z_]+)` \| (\w+) \|", REFUSALS, re.M))
    assert page == source_refusals()


def test_page_has_each_log_event():
    page = re.findall(r"^\| `([a-z_]+)` \|", EVENTS, re.M)
    assert set(page) == source_events()
    assert len(page) == len(set(page))
