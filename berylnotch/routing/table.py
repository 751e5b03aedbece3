"""Lookup of routes, services and organisations in one configuration."""

from __future__ import annotations

from collections import defaultdict

from berylnotch.routing.model import (
    FleetConfiguration,
    Organisation,
    Route,
    Service,
    Split,
)


class RouteTable:
    """Lookup tables of one configuration.

    Parameters
    ----------
    configuration : FleetConfiguration
        Configuration that has passed validation.
    cache_generation : int, default=0
        Number that separates the cache entries that organisations share from those of
        earlier configurations; 0 before the first generation.
    """

    def __init__(
        self, configuration: FleetConfiguration, cache_generation: int = 0
    ) -> None:
        self.configuration = configuration
        self._shared_group = f".{cache_generation}" if cache_generation else ""
        self._by_host: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in configuration.routes:
            self._by_host[route.host][route.prefix] = route
        self._services = {service.name: service for service in configuration.services}
        self._by_key: dict[str, Organisation] = {}
        self._sharing: set[str] = set()
        for organisation in configuration.organisations or ():
            for key in organisation.keys:
                self._by_key[key] = organisation
            if not organisation.is_isolated:
                self._sharing.add(organisation.name)

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.configuration.version

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not open need a key."""
        return self.configuration.organisations is not None

    def service(self, name: str) -> Service | None:
        """Return the service with this name, or None if there is none."""
        return self._services.get(name)

    def organisation(self, key: str) -> Organisation | None:
        """Return the organisation that a key belongs to, or None if it is unknown."""
        return self._by_key.get(key)

    def cache_group(self, organisation: Organisation | None) -> str:
        """Return the name of the group whose requests share cache entries.

        An organisation that this configuration does not list may still have requests of
        an earlier one. It counts as isolated, since it may return as such.

        Parameters
        ----------
        organisation : Organisation or None
            Organisation of a request, also of an earlier configuration; None if no key
            was required.
        """
        if organisation is None or organisation.name in self._sharing:
            return self._shared_group
        return f"/{organisation.name}"

    def route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match of a path, or None.

        The port of ``host`` and the case of its letters do not matter.
        """
        routes = self._by_host.get(host.partition(":")[0].lower())
        if not routes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    @property
    def stores(self) -> tuple[Service, ...]:
        """Services that are KV stores."""
        return tuple(s for s in self.configuration.services if s.store_address)


def pick_service(splits: tuple[Split, ...], draw: float) -> str:
    """Select a service of a route at random, in proportion to the weights.

    Parameters
    ----------
    splits : tuple of Split
        Services and weights; at least one weight is positive.
    draw : float
        Uniformly distributed random number, 0 <= draw < 1.
    """
    position = draw * sum(split.weight for split in splits)
    for split in splits:
        position -= split.weight
        if position < 0:
            return split.service
    return next(split.service for split in reversed(splits) if split.weight > 0)
