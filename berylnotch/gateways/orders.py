"""Orders to engines, fenced by the log index that committed them."""

from __future__ import annotations

import json

from attrs import frozen

from berylnotch.gateways.answers import read_answer
from berylnotch.gateways.engine import EngineAddress, credential_headers
from berylnotch.gateways.errors import OldFenceError
from berylnotch.gateways.http import UpstreamRequest
from berylnotch.streams.actions import Header

#: Path of the orders at an engine.
ORDERS_PATH = "/standin/orders"
_CONFLICT = 409


@frozen
class OrderAnswer:
    """An engine's answer to an order that it took.

    Attributes
    ----------
    fence : int
        Highest fencing number that the engine has seen; 0 if it keeps none.
    version : str
        Weights version that it will load.
    """

    version: str
    fence: int = 0


def build_load_order(
    engine: EngineAddress, fence: int, version: str, timeout_s: float
) -> UpstreamRequest:
    """Build the order to load a weights version."""
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
    """Read the answer to an order.

    Raises
    ------
    OldFenceError
        If the engine has seen a higher fencing number.
    BadAnswerError, BusyError
        If the answer can't be read.
    """
    if status == _CONFLICT:
        raise OldFenceError("engine has seen a higher fencing number")
    return read_answer(OrderAnswer, status, body)
