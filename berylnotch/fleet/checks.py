"""Checks of the operators' text that look at more than one setting."""

from __future__ import annotations

import difflib
from collections.abc import Iterable, Iterator
from graphlib import CycleError, TopologicalSorter
from typing import Any

from berylnotch.fleet.errors import Problem
from berylnotch.fleet.model import ServiceKind
from berylnotch.fleet.sections import Section

#: Values of all sections, by kind, name and field.
Parts = dict[str, dict[str, dict[str, Any]]]
#: Sections by kind and name.
Lines = dict[tuple[str, str], Section]


def nearest(word: str, known: Iterable[str]) -> str:
    """Return a hint that names the nearest known word, or all known ones."""
    words = sorted(known)
    close = difflib.get_close_matches(word, words, n=1)
    if close:
        return f"did you mean {close[0]!r}?"
    return f"known are {', '.join(words)}" if words else "none is defined"


def check(parts: Parts, lines: Lines) -> Iterator[Problem]:
    """Yield the problems between sections.

    Values that could not be read are absent from ``parts`` and not checked.
    """
    yield from _check_failure_domains(parts, lines)
    yield from _check_service_names(parts, lines)
    yield from _check_kinds(parts, lines)
    yield from _check_routes(parts, lines)
    yield from _check_unique(parts, lines)
    yield from _check_cycles(parts, lines)


def _line(lines: Lines, kind: str, name: str, setting: str = "") -> int:
    section = lines[kind, name]
    entry = section.entries.get(setting)
    return entry.line if entry else section.line


def _check_failure_domains(parts: Parts, lines: Lines) -> Iterator[Problem]:
    known = parts["fleet"].get("", {}).get("failure_domains")
    if known is None:
        return
    for kind in ("vm", "target"):
        for name, found in parts[kind].items():
            domain = found.get("failure_domain", known[0])
            if domain not in known:
                line = _line(lines, kind, name, "failure-domain")
                hint = nearest(domain, known)
                yield Problem(line, f"unknown failure domain {domain!r}; {hint}")


def _check_service_names(parts: Parts, lines: Lines) -> Iterator[Problem]:
    known = parts["service"]
    for kind in ("target", "route"):
        for name, found in parts[kind].items():
            service = found.get("service")
            if service is not None and service not in known:
                line = _line(lines, kind, name, "service")
                hint = nearest(service, known)
                yield Problem(line, f"unknown service {service!r}; {hint}")
    for name, found in known.items():
        for setting in ("requires", "optional"):
            for other in found.get(setting, ()):
                line = _line(lines, "service", name, setting)
                if other not in known:
                    hint = nearest(other, known)
                    yield Problem(line, f"unknown service {other!r}; {hint}")
                elif setting == "optional" and other in found.get("requires", ()):
                    yield Problem(line, f"{other!r} is required as well as optional")


def _check_kinds(parts: Parts, lines: Lines) -> Iterator[Problem]:
    models: dict[str, str] = {}
    for name, found in parts["service"].items():
        kind = found.get("kind")
        for setting in ("models", "weights"):
            value = found.get(setting)
            if kind is ServiceKind.LANGUAGE and value is not None and not value:
                line = _line(lines, "service", name)
                yield Problem(line, f"a language service needs {setting!r}")
            elif kind not in (None, ServiceKind.LANGUAGE) and value:
                line = _line(lines, "service", name, setting)
                message = f"{setting!r} is only for services of kind language"
                yield Problem(line, message)
        for model in found.get("models", ()):
            if model in models:
                line = _line(lines, "service", name, "models")
                message = f"model {model!r} is served by {models[model]!r} already"
                yield Problem(line, message)
            models.setdefault(model, name)


def _check_routes(parts: Parts, lines: Lines) -> Iterator[Problem]:
    for prefix, found in parts["route"].items():
        service = parts["service"].get(found.get("service"), {})
        if service.get("kind") is ServiceKind.KV_STORE:
            line = _line(lines, "route", prefix, "service")
            yield Problem(line, "a route cannot lead to a kv-store service")


def _check_unique(parts: Parts, lines: Lines) -> Iterator[Problem]:
    seen: dict[str, str] = {}
    for kind in ("vm", "target"):
        for name, found in parts[kind].items():
            address = found.get("address")
            if address is None:
                continue
            if address in seen:
                line = _line(lines, kind, name, "address")
                yield Problem(line, f"address {address} belongs to {seen[address]}")
            seen.setdefault(address, f"[{kind} {name}]")


def _check_cycles(parts: Parts, lines: Lines) -> Iterator[Problem]:
    sorter: TopologicalSorter[str] = TopologicalSorter()
    for name, found in parts["service"].items():
        sorter.add(name, *found.get("requires", ()), *found.get("optional", ()))
    try:
        sorter.prepare()
    except CycleError as error:
        # The path lists each service after one that it depends on.
        cycle = tuple(reversed(error.args[1]))[:-1]
        line, first = max(
            (_edge_line(parts, lines, cycle, position), position)
            for position in range(len(cycle))
        )
        path = " -> ".join((*cycle[first:], *cycle[: first + 1]))
        yield Problem(line, f"the services depend on each other: {path}")


def _edge_line(
    parts: Parts, lines: Lines, cycle: tuple[str, ...], position: int
) -> int:
    name = cycle[position]
    other = cycle[(position + 1) % len(cycle)]
    required = other in parts["service"][name].get("requires", ())
    return _line(lines, "service", name, "requires" if required else "optional")
