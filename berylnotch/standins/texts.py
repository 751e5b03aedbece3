"""Configuration texts for small fleets on loopback."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

#: Failure domains of the small fleets.
DOMAINS = ("kolkata-a", "kolkata-b", "howrah", "durgapur")


@frozen
class SmallFleet:
    """Content of the configuration text of a small fleet.

    ``routers``, ``engines`` and ``plain`` (targets of the plain service) hold pairs of
    name and address.
    """

    routers: tuple[tuple[str, str], ...]
    engines: tuple[tuple[str, str], ...]
    plain: tuple[tuple[str, str], ...]
    rate: int = 20_000
    burst: int = 60_000
    organisations: tuple[str, ...] = ("importer-desk", "label-clerks")
    address_keep: str = "1 s"
    timeout: str = "30 s"
    extra: str = ""


def small_fleet_text(fleet: SmallFleet) -> str:
    """Return a configuration text with one language service and one plain service."""
    sections = [
        "[fleet]\nregion = bengal-east\n"
        f"failure-domains = {', '.join(DOMAINS)}\n"
        f"address-keep = {fleet.address_keep}\n"
    ]
    sections += _sections("vm", fleet.routers, "")
    sections += [
        f"[organisation {name}]\nrate = {fleet.rate} tokens/s\n"
        f"burst = {fleet.burst} tokens\nshare = 1\n"
        for name in fleet.organisations
    ]
    sections.append(
        "[service sake-llm]\nkind = language\nmodels = sake-1\nweights = v1\n"
    )
    sections.append("[service order-desk]\nkind = plain\n")
    sections += _sections("target", fleet.engines, "service = sake-llm\n")
    sections += _sections("target", fleet.plain, "service = order-desk\n")
    for prefix, service in (
        ("/v1", "sake-llm"),
        ("/orders", "order-desk"),
        ("/stock", "order-desk"),
    ):
        sections.append(
            f"[route {prefix}]\nservice = {service}\ntimeout = {fleet.timeout}\n"
        )
    sections.append(fleet.extra)
    return "\n".join(sections)


def _sections(kind: str, items: Iterable[tuple[str, str]], settings: str) -> list[str]:
    return [
        f"[{kind} {name}]\n{settings}address = {address}\n"
        f"failure-domain = {DOMAINS[position % len(DOMAINS)]}\n"
        for position, (name, address) in enumerate(items)
    ]
