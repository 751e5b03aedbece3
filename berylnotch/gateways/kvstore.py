"""Lookups in the KV store, from which engines import cached prefixes."""

from __future__ import annotations

import json
from collections.abc import Iterable

from attrs import frozen

from berylnotch.gateways.answers import decode_response
from berylnotch.gateways.engine import EngineAddress, credential_headers
from berylnotch.gateways.errors import InvalidResponseError
from berylnotch.gateways.http import UpstreamRequest
from berylnotch.streams.actions import Header


@frozen
class StoredPrefix:
    """Leading part of a chain of prefix hashes that the store holds.

    Attributes
    ----------
    pieces : int
        Number of leading prefixes of the chain that the store holds.
    weights : str
        Weights version that computed the stored prefixes.
    """

    pieces: int
    weights: str


def build_lookup(
    store: EngineAddress, chain: Iterable[bytes], timeout_s: float
) -> UpstreamRequest:
    """Build the request for the part of a chain that the store holds."""
    body = json.dumps({"chain": [prefix.hex() for prefix in chain]})
    headers = (Header("content-type", "application/json"),)
    return UpstreamRequest(
        url=f"http://{store.address}/kv/lookup",
        method="POST",
        headers=headers + credential_headers(store.credential),
        body=body.encode(),
        timeout_s=timeout_s,
    )


def read_lookup(status: int, body: bytes, weights: str, chain_length: int) -> int:
    """Return how many leading prefixes an engine with ``weights`` can import.

    The result is 0 if another weights version computed the stored prefixes.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    body : bytes
        Body of the response.
    weights : str
        Weights version of the engine.
    chain_length : int
        Length of the chain in the request.

    Raises
    ------
    InvalidResponseError, BusyError
        If the response cannot be decoded.
    """
    stored = decode_response(StoredPrefix, status, body)
    if not 0 <= stored.pieces <= chain_length:
        raise InvalidResponseError("KV store reports more prefixes than were requested")
    return stored.pieces if stored.weights == weights else 0
