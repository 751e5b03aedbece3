"""The fleet as the operators' text describes it."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from attrs import field, frozen


class ServiceKind(Enum):
    """What a service's targets are."""

    LANGUAGE = "language"
    PLAIN = "plain"
    KV_STORE = "kv-store"


@frozen
class Vm:
    """An entry VM that runs a router; ``address`` is ``IP:port``."""

    name: str
    address: str
    failure_domain: str


@frozen
class Service:
    """Targets that answer the same requests.

    Parameters
    ----------
    name : str
        Unique name.
    kind : ServiceKind
        What its targets are.
    models : tuple of str
        Model names that callers use; only for a language service.
    weights : str
        Version of the weights that the engines shall hold.
    requires : tuple of str
        Services without which this one refuses at once.
    optional : tuple of str
        Services without which this one degrades.
    """

    name: str
    kind: ServiceKind
    models: tuple[str, ...] = ()
    weights: str = ""
    requires: tuple[str, ...] = ()
    optional: tuple[str, ...] = ()


@frozen
class Target:
    """A back end of a service.

    ``checks_orders`` tells whether it refuses an order with an old fencing
    number. ``capacity`` is in requests that it runs at once.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    checks_orders: bool = False
    capacity: int = 16


@frozen
class Organisation:
    """A customer; ``rate`` in tokens a second, ``burst`` in tokens."""

    name: str
    rate: int
    burst: int
    share: int = 1


@frozen
class Route:
    """Path prefix and the service that answers below it.

    An ``open`` route needs no key. Methods outside ``idempotent_methods`` run
    at most once.
    """

    prefix: str
    service: str
    open: bool = False
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    timeout_s: float = 30.0

    def matches(self, path: str) -> bool:
        """Tell whether a request path lies at or below the prefix."""
        stem = self.prefix.rstrip("/")
        return path == stem or path.startswith(stem + "/") or self.prefix == "/"


@frozen
class Fleet:
    """Everything that the operators' text says.

    The mappings go by name. ``routes`` are sorted with the longest prefix
    first.
    """

    region: str = ""
    failure_domains: tuple[str, ...] = ()
    vms: Mapping[str, Vm] = field(factory=dict)
    services: Mapping[str, Service] = field(factory=dict)
    targets: Mapping[str, Target] = field(factory=dict)
    organisations: Mapping[str, Organisation] = field(factory=dict)
    routes: tuple[Route, ...] = ()
    address_keep_s: float = 30.0
    weight_loads_per_min: float = 30.0

    def route(self, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``."""
        return next((route for route in self.routes if route.matches(path)), None)

    def targets_of(self, service: str) -> tuple[Target, ...]:
        """Return a service's targets in the order of the text."""
        return tuple(
            target for target in self.targets.values() if target.service == service
        )

    def service_of_model(self, model: str) -> Service | None:
        """Return the language service that serves a model."""
        services = self.services.values()
        return next((service for service in services if model in service.models), None)
