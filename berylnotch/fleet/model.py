"""Model of the fleet that the operators' text describes."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from attrs import field, frozen


class ServiceKind(Enum):
    """Kind of a service's targets; plain ones are neither engines nor KV stores."""

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
    """A group of interchangeable targets that answer the same requests.

    Parameters
    ----------
    name : str
        Unique name.
    kind : ServiceKind
        Kind of its targets.
    models : tuple of str
        Model names that callers use; only for a language service.
    weights : str
        Version of the weights that the engines are ordered to load; only for a language
        service.
    requires : tuple of str
        Services that this one depends on: while one of them cannot serve, requests are
        refused at once.
    optional : tuple of str
        Services that this one uses but can run without, in degraded form.
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

    ``checks_orders`` tells whether the target itself refuses an order to load weights
    that has an outdated fencing token. ``capacity`` is the number of requests that the
    target runs concurrently.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    checks_orders: bool = False
    capacity: int = 16


@frozen
class Organisation:
    """A customer; ``rate`` is in tokens per second, ``burst`` in tokens."""

    name: str
    rate: int
    burst: int
    share: int = 1


@frozen
class Route:
    """A path prefix and the service that answers requests at or below it.

    An ``open`` route needs no key. Requests with methods outside
    ``idempotent_methods`` run at most once. ``timeout_s`` is in seconds.
    """

    prefix: str
    service: str
    open: bool = False
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    timeout_s: float = 30.0

    def matches(self, path: str) -> bool:
        """Return whether a request path is the prefix or lies below it."""
        stem = self.prefix.rstrip("/")
        return path == stem or path.startswith(stem + "/") or self.prefix == "/"


@frozen
class Fleet:
    """The complete content of the operators' text.

    The keys of the mappings are names. ``routes`` are sorted with the longest prefix
    first, so that the first match is the most specific route.
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
        """Return the most specific route that matches ``path``, if any."""
        return next((route for route in self.routes if route.matches(path)), None)

    def targets_of(self, service: str) -> tuple[Target, ...]:
        """Return a service's targets in the order of the text."""
        return tuple(
            target for target in self.targets.values() if target.service == service
        )

    def service_of_model(self, model: str) -> Service | None:
        """Return the language service that serves a model, if any."""
        services = self.services.values()
        return next((service for service in services if model in service.models), None)
