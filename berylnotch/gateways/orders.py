"""Orders to engines.

The fencing token of an order is the index of the order's entry in the replicated log.
"""

from __future__ import annotations

import json

from attrs import frozen

from berylnotch.gateways.answers import decode_response
from berylnotch.gateways.engine import EngineAddress, credential_headers
from berylnotch.gateways.errors import StaleFencingTokenError
from berylnotch.gateways.http import UpstreamRequest
from berylnotch.streams.actions import Header

#: Path at which an engine accepts orders.
ORDERS_PATH = "/standin/orders"
_CONFLICT = 409


@frozen
class OrderAnswer:
    """An engine's response to an order that it accepted.

    Attributes
    ----------
    fence : int
        Highest fencing token that the engine has seen; 0 if the engine stores none.
    version : str
        Weights version that the engine will load.
    """

    version: str
    fence: int = 0


def build_load_order(
    engine: EngineAddress, fence: int, version: str, timeout_s: float
) -> UpstreamRequest:
    """Build the request that orders an engine to load a weights version."""
    order = {"kind": "load", "fence": fence, "version": version}
    headers = (Header("content-type", "application/json"),)
    return UpstreamRequest(
        url=f"http://{engine.address}{ORDERS_PATH}",
        method="POST",
        headers=headers + credential_headers(engine.credential),
        body=json.dumps(order).encode(),
        timeout_s=timeout_s,
    )


def read_order_answer(status: int, body: bytes) -> OrderAnswer:
    """Decode the response to an order.

    Raises
    ------
    StaleFencingTokenError
        If the engine has seen a higher fencing token.
    InvalidResponseError, BusyError
        If the response cannot be decoded.
    """
    if status == _CONFLICT:
        raise StaleFencingTokenError("engine has seen a higher fencing number")
    return decode_response(OrderAnswer, status, body)
