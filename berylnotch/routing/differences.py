"""Comparison of two versions of a configuration."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any

import attrs
from attrs import frozen

from berylnotch.routing.findings import route_label
from berylnotch.routing.model import FleetConfiguration, Organisation, Split


class Change(Enum):
    """Kind of a difference; the value marks it in the output."""

    ADD = "+"
    REMOVE = "-"
    SET = "~"


@frozen
class Difference:
    """One difference between two configurations.

    Parameters
    ----------
    change : Change
        Kind of difference.
    subject : str
        Part of the configuration.
    field : str
        Changed property; empty if the whole part is added or removed.
    before, after : str
        Values of the property.
    """

    change: Change
    subject: str
    field: str = ""
    before: str = ""
    after: str = ""

    def __str__(self) -> str:
        text = f"{self.change.value} {self.subject}"
        if self.change is not Change.SET:
            return text
        return f"{text}: {self.field}: {self.before} -> {self.after}"


def compare(
    before: FleetConfiguration, after: FleetConfiguration
) -> tuple[Difference, ...]:
    """Return the differences of two configurations, without any key."""
    found = list(_compare_fields("configuration", before, after, ("version",)))
    parts = (
        (
            {(r.host, r.prefix): r for r in before.routes},
            {(r.host, r.prefix): r for r in after.routes},
            route_label,
        ),
        (
            {s.name: s for s in before.services},
            {s.name: s for s in after.services},
            lambda service: f"service {service.name!r}",
        ),
    )
    for old, new, label in parts:
        found.extend(_compare_parts(old, new, label))
    found.extend(_compare_organisations(before, after))
    found.extend(_compare_fields("limits", before.limits, after.limits))
    return tuple(found)


def _compare_organisations(
    before: FleetConfiguration, after: FleetConfiguration
) -> Iterator[Difference]:
    needs_keys = [c.organisations is not None for c in (before, after)]
    if needs_keys[0] != needs_keys[1]:
        texts = ["needed" if needed else "not needed" for needed in needs_keys]
        yield Difference(Change.SET, "configuration", "keys", *texts)
    old = {o.name: o for o in before.organisations or ()}
    new = {o.name: o for o in after.organisations or ()}

    def label(organisation: Organisation) -> str:
        return f"organisation {organisation.name!r}"

    yield from _compare_parts(old, new, label)
    for name in sorted(old.keys() & new.keys()):
        old_keys, new_keys = set(old[name].keys), set(new[name].keys)
        if old_keys != new_keys:
            added, removed = len(new_keys - old_keys), len(old_keys - new_keys)
            yield Difference(
                Change.SET,
                label(new[name]),
                "keys",
                str(len(old_keys)),
                f"{len(new_keys)} ({added} added, {removed} removed)",
            )


def _compare_parts(
    old: Mapping[Any, Any], new: Mapping[Any, Any], label: Any
) -> Iterator[Difference]:
    for key in sorted(old.keys() | new.keys()):
        if key not in new:
            yield Difference(Change.REMOVE, label(old[key]))
        elif key not in old:
            yield Difference(Change.ADD, label(new[key]))
        else:
            yield from _compare_fields(label(new[key]), old[key], new[key])


def _compare_fields(
    subject: str, old: Any, new: Any, names: tuple[str, ...] = ()
) -> Iterator[Difference]:
    """Return the differences of some fields, or of all but secret ones."""
    for field in attrs.fields(type(new)):
        if field.name == "keys" or (names and field.name not in names):
            continue
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            values = _describe(before), _describe(after)
            yield Difference(Change.SET, subject, field.name, *values)


def _describe(value: Any) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, Split):
        return f"{value.service} {value.weight:g}"
    if isinstance(value, tuple):
        return ", ".join(map(_describe, value)) or "none"
    if attrs.has(type(value)):
        fields = attrs.asdict(value, recurse=False)
        return ", ".join(f"{name} {_describe(item)}" for name, item in fields.items())
    return str(value) if value not in (None, "") else "none"
