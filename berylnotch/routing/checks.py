"""Validation of fleet configurations."""

from __future__ import annotations

from berylnotch.routing.errors import InvalidConfigurationError
from berylnotch.routing.model import FleetConfiguration, Route


def check_configuration(configuration: FleetConfiguration) -> None:
    """Check that a configuration is consistent.

    Raises
    ------
    InvalidConfigurationError
        If a rule is violated; the message names the first violation.
    """
    if configuration.version < 1:
        raise InvalidConfigurationError(
            f"version {configuration.version} is not positive"
        )
    _check_services(configuration)
    names_by_place: dict[tuple[str, str], str] = {}
    services = {service.name for service in configuration.services}
    for route in configuration.routes:
        _check_route(route, services)
        place = route.host, route.prefix
        if place in names_by_place:
            raise InvalidConfigurationError(
                f"routes {names_by_place[place]!r} and {route.name!r} share "
                f"{route.host}{route.prefix}"
            )
        names_by_place[place] = route.name
    _check_organisations(configuration)


def _check_services(configuration: FleetConfiguration) -> None:
    names: set[str] = set()
    for service in configuration.services:
        if service.name in names:
            raise InvalidConfigurationError(f"service {service.name!r} is listed twice")
        names.add(service.name)


def _check_route(route: Route, services: set[str]) -> None:
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        raise InvalidConfigurationError(
            f"route {route.name!r}: prefix {route.prefix!r} needs a slash at both ends"
        )
    if route.timeout_s <= 0:
        raise InvalidConfigurationError(f"route {route.name!r}: timeout must exceed 0")
    for split in route.splits:
        if split.service not in services:
            raise InvalidConfigurationError(
                f"route {route.name!r}: unknown service {split.service!r}"
            )
        if split.weight < 0:
            raise InvalidConfigurationError(f"route {route.name!r}: negative weight")
    if sum(split.weight for split in route.splits) <= 0:
        raise InvalidConfigurationError(f"route {route.name!r}: weights add up to 0")


def _check_organisations(configuration: FleetConfiguration) -> None:
    names_by_key: dict[str, str] = {}
    names: set[str] = set()
    for organisation in configuration.organisations or ():
        if organisation.name in names:
            raise InvalidConfigurationError(
                f"organisation {organisation.name!r} is listed twice"
            )
        names.add(organisation.name)
        for key in organisation.keys:
            other = names_by_key.setdefault(key, organisation.name)
            if other != organisation.name:
                raise InvalidConfigurationError(
                    f"organisations {other!r} and {organisation.name!r} share a key"
                )
