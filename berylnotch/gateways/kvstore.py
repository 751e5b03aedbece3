"""The store of kept KV cache, from which engines import prefixes."""

from __future__ import annotations

import json
from collections.abc import Iterable

from attrs import frozen

from berylnotch.gateways.answers import read_answer
from berylnotch.gateways.engine import EngineAddress, credential_headers
from berylnotch.gateways.errors import BadAnswerError
from berylnotch.gateways.http import UpstreamRequest
from berylnotch.streams.actions import Header


@frozen
class KeptPrefix:
    """How much of a chain of prefix hashes the store holds.

    Attributes
    ----------
    pieces : int
        Leading pieces held.
    weights : str
        Weights version that made them.
    """

    pieces: int
    weights: str


def build_lookup(
    store: EngineAddress, chain: Iterable[bytes], timeout_s: float
) -> UpstreamRequest:
    """Build the question how much of a chain the store holds."""
    body = json.dumps({"chain": [prefix.hex() for prefix in chain]})
    headers = (Header("content-type", "application/json"),)
    return UpstreamRequest(
        url=f"http://{store.address}/kv/lookup",
        method="POST",
        headers=headers + credential_headers(store.credential),
        body=body.encode(),
        timeout_s=timeout_s,
    )


def read_lookup(status: int, body: bytes, weights: str, asked: int) -> int:
    """Return the leading pieces that an engine with ``weights`` may import.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Body of the answer.
    weights : str
        Weights version of the engine.
    asked : int
        Length of the chain that was asked for.

    Raises
    ------
    BadAnswerError, BusyError
        If the answer can't be read.
    """
    kept = read_answer(KeptPrefix, status, body)
    if not 0 <= kept.pieces <= asked:
        raise BadAnswerError("store holds more than was asked for")
    return kept.pieces if kept.weights == weights else 0
