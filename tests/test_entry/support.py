"""Targets and choices for tests of the request path."""

from berylnotch.entry.choice import Placing
from berylnotch.entry.targets import Target
from berylnotch.membership.ejection import Ejection
from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.membership.settings import MembershipSettings

MODEL = "m"


def make_target(name, version=1, domain="north", slots=64):
    """Return an engine, or a plain target if it has no version."""
    models = () if version is None else (ModelVersion(MODEL, version),)
    number = sum(name.encode()) % 250
    listed = ListedTarget(
        name, "llm", f"10.0.0.{number}:1", domain, slots=slots, models=models
    )
    return Target(listed, Ejection(MembershipSettings(eject_after=2)))


def long_request(**changes):
    """Return the placing of a request with a long shared opening."""
    values = {
        "now": 100.0,
        "model": MODEL,
        "wanted_version": 1,
        "target_latency_s": 1.0,
        "shared_id": "opening",
        "shared_tokens": 13_000,
        "prompt_tokens": 17_000,
        "failure_domain": "north",
    }
    values.update(changes)
    return Placing(**values)


def short_request(**changes):
    """Return the placing of a request with a short prompt."""
    values = {"shared_tokens": 55, "prompt_tokens": 380, "is_urgent": True}
    values.update(changes)
    return long_request(**values)
