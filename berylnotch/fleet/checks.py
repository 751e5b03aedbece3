"""Checks of the operators' text that involve more than one setting."""

from __future__ import annotations

import difflib
from collections.abc import Iterable, Iterator
from graphlib import CycleError, TopologicalSorter
from typing import Any

from berylnotch.fleet.errors import Problem
from berylnotch.fleet.model import ServiceKind
from berylnotch.fleet.sections import Section

#: Converted settings of all sections, by section kind, section name and model field.
SettingsByKind = dict[str, dict[str, dict[str, Any]]]
#: Sections by kind and name, for the line numbers of problems.
SectionsByName = dict[tuple[str, str], Section]


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return a hint that names the closest known name, or else all known names."""
    known_names = sorted(known)
    matches = difflib.get_close_matches(name, known_names, n=1)
    if matches:
        return f"did you mean {matches[0]!r}?"
    return f"known are {', '.join(known_names)}" if known_names else "none is defined"


def check_relations(
    settings_by_kind: SettingsByKind, sections: SectionsByName
) -> Iterator[Problem]:
    """Yield the problems in the relations between settings and sections.

    Values that could not be converted are absent from ``settings_by_kind`` and are not
    checked.
    """
    yield from _check_failure_domains(settings_by_kind, sections)
    yield from _check_service_names(settings_by_kind, sections)
    yield from _check_service_kinds(settings_by_kind, sections)
    yield from _check_routes(settings_by_kind, sections)
    yield from _check_unique_addresses(settings_by_kind, sections)
    yield from _check_dependency_cycles(settings_by_kind, sections)


def _line_of(sections: SectionsByName, kind: str, name: str, setting: str = "") -> int:
    section = sections[kind, name]
    entry = section.entries.get(setting)
    return entry.line if entry else section.line


def _check_failure_domains(
    settings_by_kind: SettingsByKind, sections: SectionsByName
) -> Iterator[Problem]:
    known = settings_by_kind["fleet"].get("", {}).get("failure_domains")
    if known is None:
        return
    for kind in ("vm", "target"):
        for name, settings in settings_by_kind[kind].items():
            domain = settings.get("failure_domain", known[0])
            if domain not in known:
                line = _line_of(sections, kind, name, "failure-domain")
                hint = suggest_name(domain, known)
                yield Problem(line, f"unknown failure domain {domain!r}; {hint}")


def _check_service_names(
    settings_by_kind: SettingsByKind, sections: SectionsByName
) -> Iterator[Problem]:
    known = settings_by_kind["service"]
    for kind in ("target", "route"):
        for name, settings in settings_by_kind[kind].items():
            service = settings.get("service")
            if service is not None and service not in known:
                line = _line_of(sections, kind, name, "service")
                hint = suggest_name(service, known)
                yield Problem(line, f"unknown service {service!r}; {hint}")
    for name, settings in known.items():
        for setting in ("requires", "optional"):
            for dependency in settings.get(setting, ()):
                line = _line_of(sections, "service", name, setting)
                if dependency not in known:
                    hint = suggest_name(dependency, known)
                    yield Problem(line, f"unknown service {dependency!r}; {hint}")
                elif setting == "optional" and dependency in settings.get(
                    "requires", ()
                ):
                    yield Problem(
                        line, f"{dependency!r} is required as well as optional"
                    )


def _check_service_kinds(
    settings_by_kind: SettingsByKind, sections: SectionsByName
) -> Iterator[Problem]:
    models: dict[str, str] = {}
    for name, settings in settings_by_kind["service"].items():
        kind = settings.get("kind")
        for setting in ("models", "weights"):
            value = settings.get(setting)
            if kind is ServiceKind.LANGUAGE and value is not None and not value:
                line = _line_of(sections, "service", name)
                yield Problem(line, f"a language service needs {setting!r}")
            elif kind not in (None, ServiceKind.LANGUAGE) and value:
                line = _line_of(sections, "service", name, setting)
                message = f"{setting!r} is only for services of kind language"
                yield Problem(line, message)
        for model in settings.get("models", ()):
            if model in models:
                line = _line_of(sections, "service", name, "models")
                message = f"model {model!r} is served by {models[model]!r} already"
                yield Problem(line, message)
            models.setdefault(model, name)


def _check_routes(
    settings_by_kind: SettingsByKind, sections: SectionsByName
) -> Iterator[Problem]:
    for prefix, settings in settings_by_kind["route"].items():
        service = settings_by_kind["service"].get(settings.get("service"), {})
        if service.get("kind") is ServiceKind.KV_STORE:
            line = _line_of(sections, "route", prefix, "service")
            yield Problem(line, "a route cannot lead to a kv-store service")


def _check_unique_addresses(
    settings_by_kind: SettingsByKind, sections: SectionsByName
) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    for kind in ("vm", "target"):
        for name, settings in settings_by_kind[kind].items():
            address = settings.get("address")
            if address is None:
                continue
            if address in owners:
                line = _line_of(sections, kind, name, "address")
                yield Problem(line, f"address {address} belongs to {owners[address]}")
            owners.setdefault(address, f"[{kind} {name}]")


def _check_dependency_cycles(
    settings_by_kind: SettingsByKind, sections: SectionsByName
) -> Iterator[Problem]:
    sorter: TopologicalSorter[str] = TopologicalSorter()
    for name, settings in settings_by_kind["service"].items():
        sorter.add(name, *settings.get("requires", ()), *settings.get("optional", ()))
    try:
        sorter.prepare()
    except CycleError as error:
        # graphlib lists each service after a service that it depends on.
        cycle = tuple(reversed(error.args[1]))[:-1]
        line, start = max(
            (_edge_line(settings_by_kind, sections, cycle, position), position)
            for position in range(len(cycle))
        )
        path = " -> ".join((*cycle[start:], *cycle[: start + 1]))
        yield Problem(line, f"the services depend on each other: {path}")


def _edge_line(
    settings_by_kind: SettingsByKind,
    sections: SectionsByName,
    cycle: tuple[str, ...],
    position: int,
) -> int:
    name = cycle[position]
    dependency = cycle[(position + 1) % len(cycle)]
    is_required = dependency in settings_by_kind["service"][name].get("requires", ())
    return _line_of(
        sections, "service", name, "requires" if is_required else "optional"
    )
