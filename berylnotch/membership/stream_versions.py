"""Identities under which the software versions of streams are recorded."""

from __future__ import annotations

import binascii
import zlib
from collections.abc import Iterable, Iterator

#: Length of an identity in bytes.
IDENTITY_BYTES = 8

#: Version of an engine or a stream whose software version cannot be told. A stream
#: that began at this version must not go on anywhere.
UNKNOWN_VERSION = ""

#: Longest software version in characters.
MAX_VERSION_CHARS = 64

#: Shortest time in seconds for which versions and records of streams are kept.
MIN_LIFETIME_S = 30.0

#: Time for which they are kept, as a multiple of the longest time-out of a route: a
#: stream may be taken up when its own time is over.
LIFETIME_FACTOR = 2


def stream_lifetime_s(longest_timeout_s: float) -> float:
    """Return the seconds for which a stream lasts over all requests for it.

    Parameters
    ----------
    longest_timeout_s : float
        Longest time-out of all routes, in seconds.
    """
    return max(MIN_LIFETIME_S, LIFETIME_FACTOR * longest_timeout_s)


def stream_identity(organisation: str, service: str, request_id: str) -> bytes:
    """Return the identity of the stream that a request began.

    Callers choose the ids of their requests. The first two bytes depend on the
    organisation and the service only, so that no id of another organisation leads to
    the same identity, except by a rare coincidence of the names. A caller who
    constructs two of its ids with the same identity makes its own streams unknown.
    """
    scope = f"{organisation}\0{service}\0".encode()
    name = request_id.encode()
    return (
        binascii.crc_hqx(scope, 0).to_bytes(2, "big")
        + zlib.crc32(name, zlib.crc32(scope)).to_bytes(4, "big")
        + binascii.crc_hqx(name, 0).to_bytes(2, "big")
    )


def join_identities(identities: Iterable[bytes]) -> bytes:
    """Return identities in the form of messages and commands."""
    return b"".join(identities)


def split_identities(joined: bytes) -> Iterator[bytes]:
    """Yield the identities that `join_identities` joined.

    Raises
    ------
    ValueError
        If the last identity is cut off.
    """
    if len(joined) % IDENTITY_BYTES:
        raise ValueError(f"{len(joined)} bytes are no whole number of identities")
    for start in range(0, len(joined), IDENTITY_BYTES):
        yield joined[start : start + IDENTITY_BYTES]
