"""Comparison of two fleets: lists the changes that an edit by operators makes."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any

from attrs import frozen

from berylnotch.fleet.model import Fleet, ServiceKind
from berylnotch.fleet.settings import settings_of


class Change(Enum):
    """Kind of change to a section or setting."""

    ADD = "add"
    REMOVE = "remove"
    SET = "set"


@frozen
class PlanLine:
    """One change in a plan.

    Parameters
    ----------
    change : Change
        Kind of change.
    section : str
        Section header without the brackets.
    setting : str
        Changed setting; empty if a whole section is added or removed.
    before, after : str
        Values as they are written in the operators' text.
    affects : str
        Description of the change's effect.
    """

    change: Change
    section: str
    setting: str = ""
    before: str = ""
    after: str = ""
    affects: str = ""

    def __str__(self) -> str:
        if self.change is Change.SET:
            text = f"~ [{self.section}] {self.setting}: {self.before} -> {self.after}"
        else:
            marker = "+" if self.change is Change.ADD else "-"
            text = f"{marker} [{self.section}]"
        return f"{text}  ; {self.affects}" if self.affects else text


_ADDED = {
    "vm": "callers are sent to it once its router runs",
    "organisation": "keys can be given for it",
    "service": "it can be routed to",
    "target": "it gets requests",
    "route": "requests below the prefix are answered",
}

_REMOVED = {
    "vm": "callers are no longer sent to it",
    "organisation": "its keys stop working and its streams end",
    "service": "it is no longer routed to",
    "target": "it gets no new requests; running ones go on",
    "route": "requests below the prefix are refused as not run",
}


def plan(old: Fleet | None, new: Fleet) -> tuple[PlanLine, ...]:
    """Compare two fleets.

    Parameters
    ----------
    old : Fleet or None
        The fleet in force, or None if there is none.
    new : Fleet
        The fleet of the edited text.

    Returns
    -------
    tuple of PlanLine
        The changes, in the order of section kinds; empty if the fleets are equal.
    """
    before = old or Fleet()
    lines = list(_compare_settings("fleet", "fleet", before, new))
    for kind, (old_items, new_items) in _items_by_kind(before, new).items():
        lines.extend(_compare_items(kind, old_items, new_items))
    return tuple(lines)


def find_warnings(new: Fleet) -> tuple[str, ...]:
    """Return warnings about values that are allowed but probably unintended."""
    messages = []
    for service in new.services.values():
        targets = new.targets_of(service.name)
        if not targets:
            messages.append(f"service {service.name} has no target and cannot serve")
        elif len(targets) == 1 and service.kind is ServiceKind.LANGUAGE:
            messages.append(
                f"service {service.name} has one engine; its weights cannot be "
                "changed while it serves"
            )
    for organisation in new.organisations.values():
        if organisation.burst < organisation.rate:
            messages.append(
                f"organisation {organisation.name} has a burst below one second "
                "of its rate"
            )
    return tuple(messages)


def _items_by_kind(old: Fleet, new: Fleet) -> dict[str, tuple[Mapping, Mapping]]:
    return {
        "vm": (old.vms, new.vms),
        "organisation": (old.organisations, new.organisations),
        "service": (old.services, new.services),
        "target": (old.targets, new.targets),
        "route": (_routes_by_prefix(old), _routes_by_prefix(new)),
    }


def _routes_by_prefix(fleet: Fleet) -> dict[str, Any]:
    return {route.prefix: route for route in fleet.routes}


def _compare_items(kind: str, old: Mapping, new: Mapping) -> Iterator[PlanLine]:
    for name in old:
        if name not in new:
            yield PlanLine(Change.REMOVE, f"{kind} {name}", affects=_REMOVED[kind])
    for name, item in new.items():
        if name not in old:
            yield PlanLine(Change.ADD, f"{kind} {name}", affects=_ADDED[kind])
        else:
            yield from _compare_settings(kind, f"{kind} {name}", old[name], item)


def _compare_settings(
    kind: str, section: str, old: Any, new: Any
) -> Iterator[PlanLine]:
    for setting in settings_of(kind).values():
        before = getattr(old, setting.field)
        after = getattr(new, setting.field)
        if before != after:
            yield PlanLine(
                Change.SET,
                section,
                setting.name,
                setting.format_value(before),
                setting.format_value(after),
                setting.affects,
            )
