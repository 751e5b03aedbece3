"""What an edit of the operators' text changes."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any

from attrs import frozen

from berylnotch.fleet.model import Fleet, ServiceKind
from berylnotch.fleet.settings import settings_of


class Change(Enum):
    """How a section or setting changes."""

    ADD = "add"
    REMOVE = "remove"
    SET = "set"


@frozen
class PlanLine:
    """One line of a plan.

    Parameters
    ----------
    change : Change
        What happens.
    section : str
        Section as its header is written, without brackets.
    setting : str
        Changed setting; empty if the whole section comes or goes.
    before, after : str
        Values as they would be written.
    affects : str
        What the change does.
    """

    change: Change
    section: str
    setting: str = ""
    before: str = ""
    after: str = ""
    affects: str = ""

    def __str__(self) -> str:
        if self.change is Change.SET:
            head = f"~ [{self.section}] {self.setting}: {self.before} -> {self.after}"
        else:
            sign = "+" if self.change is Change.ADD else "-"
            head = f"{sign} [{self.section}]"
        return f"{head}  ; {self.affects}" if self.affects else head


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
        What changes, in the order of sections; empty if nothing does.
    """
    before = old or Fleet()
    lines = list(_compare("fleet", "fleet", before, new))
    for kind, (old_items, new_items) in _sections(before, new).items():
        lines.extend(_compare_kind(kind, old_items, new_items))
    return tuple(lines)


def warnings(new: Fleet) -> tuple[str, ...]:
    """Return what is allowed in a text but probably not meant."""
    found = []
    for service in new.services.values():
        targets = new.targets_of(service.name)
        if not targets:
            found.append(f"service {service.name} has no target and cannot serve")
        elif len(targets) == 1 and service.kind is ServiceKind.LANGUAGE:
            found.append(
                f"service {service.name} has one engine; its weights cannot be "
                "changed while it serves"
            )
    for organisation in new.organisations.values():
        if organisation.burst < organisation.rate:
            found.append(
                f"organisation {organisation.name} has a burst below one second "
                "of its rate"
            )
    return tuple(found)


def _sections(old: Fleet, new: Fleet) -> dict[str, tuple[Mapping, Mapping]]:
    return {
        "vm": (old.vms, new.vms),
        "organisation": (old.organisations, new.organisations),
        "service": (old.services, new.services),
        "target": (old.targets, new.targets),
        "route": (_by_prefix(old), _by_prefix(new)),
    }


def _by_prefix(fleet: Fleet) -> dict[str, Any]:
    return {route.prefix: route for route in fleet.routes}


def _compare_kind(kind: str, old: Mapping, new: Mapping) -> Iterator[PlanLine]:
    for name in old:
        if name not in new:
            yield PlanLine(Change.REMOVE, f"{kind} {name}", affects=_REMOVED[kind])
    for name, item in new.items():
        if name not in old:
            yield PlanLine(Change.ADD, f"{kind} {name}", affects=_ADDED[kind])
        else:
            yield from _compare(kind, f"{kind} {name}", old[name], item)


def _compare(kind: str, section: str, old: Any, new: Any) -> Iterator[PlanLine]:
    for setting in settings_of(kind).values():
        before = getattr(old, setting.field)
        after = getattr(new, setting.field)
        if before != after:
            yield PlanLine(
                Change.SET,
                section,
                setting.name,
                setting.show(before),
                setting.show(after),
                setting.affects,
            )
