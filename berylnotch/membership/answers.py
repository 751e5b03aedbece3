"""Which routers of a fleet an address answer names."""

from __future__ import annotations

from collections.abc import Iterable

from berylnotch.placement.mixing import mix

#: Most addresses in one answer, by the users' interface.
MAX_ADDRESSES = 64


def answer_addresses(own: str, is_ready: bool, others: Iterable[str]) -> list[str]:
    """Return the addresses of one answer.

    If there are more routers than an answer may name, each router names a different
    part of them, so that all get callers.

    Parameters
    ----------
    own : str
        Address of the router that answers.
    is_ready : bool
        Whether that router takes callers itself.
    others : iterable of str
        Addresses of the other routers that take callers.
    """
    addresses = sorted(others, key=lambda address: mix(address, own))
    if is_ready:
        addresses.insert(0, own)
    return sorted(addresses[:MAX_ADDRESSES])
