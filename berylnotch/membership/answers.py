"""Choice of the router addresses in an answer to an address request."""

from __future__ import annotations

from collections.abc import Iterable

from berylnotch.placement.mixing import rendezvous_weight

#: Largest number of addresses that the address interface allows in one answer.
MAX_ADDRESSES = 64


def answer_addresses(
    own_address: str, is_ready: bool, other_addresses: Iterable[str]
) -> list[str]:
    """Return the addresses for one answer, sorted.

    If there are more routers than an answer may contain, each router answers with a
    different subset, so that callers are spread over all routers.

    Parameters
    ----------
    own_address : str
        Address of the answering router.
    is_ready : bool
        Whether the answering router accepts callers itself.
    other_addresses : iterable of str
        Addresses of the other routers that accept callers.
    """
    addresses = sorted(
        other_addresses, key=lambda address: rendezvous_weight(address, own_address)
    )
    if is_ready:
        addresses.insert(0, own_address)
    return sorted(addresses[:MAX_ADDRESSES])
