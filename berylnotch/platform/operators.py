"""Decoding of calls by operators, and encoding of address lists for callers."""

from __future__ import annotations

import json
from collections.abc import Iterable
from enum import Enum
from urllib.parse import parse_qs, unquote

from attrs import frozen

from berylnotch.group.rollouts import RolloutPhase
from berylnotch.membership.listing import ModelVersion
from berylnotch.net.messages import HttpRequest
from berylnotch.platform.fields import (
    FieldError,
    as_object,
    get_integer,
    get_name,
    get_number,
    parse_json,
)


class OperatorCall(Enum):
    """Kind of an operator's call."""

    PUT_CONFIGURATION = "put configuration"
    GET_CONFIGURATION = "get configuration"
    ANNOUNCE_WEIGHTS = "name weights"
    START_ROLLOUT = "start rollout"
    GET_ROLLOUT = "get rollout"
    UNKNOWN = "unknown"


_CALLS = {
    ("PUT", "/config"): OperatorCall.PUT_CONFIGURATION,
    ("GET", "/config"): OperatorCall.GET_CONFIGURATION,
    ("POST", "/version-put"): OperatorCall.ANNOUNCE_WEIGHTS,
    ("POST", "/rollouts"): OperatorCall.START_ROLLOUT,
}

#: Start of the path at which operators read the rollout of a service.
_ROLLOUT_PREFIX = "/rollouts/"

#: Longest duration of a rollout in seconds. Without a limit, an order with a mistyped
#: duration would keep the service from all other rollouts.
MAX_ROLLOUT_S = 86_400.0

_ROLLOUT_STATES = {
    RolloutPhase.OBSERVING: "active",
    RolloutPhase.SHIFTING: "active",
    RolloutPhase.COMPLETED: "completed",
    RolloutPhase.ROLLED_BACK: "rolled_back",
}

#: Path at which callers request addresses of routers.
ADDRESS_PATH = "/resolve"

#: Path of the readiness probe that the platform sends to routers.
READY_PATH = "/readyz"


@frozen
class RolloutOrder:
    """Order to move a service to a software version within ``duration_s`` seconds."""

    service: str
    version: str
    duration_s: float


def decode_call(request: HttpRequest) -> OperatorCall:
    """Return the kind of an operator's call."""
    if request.method == "GET" and request.path.startswith(_ROLLOUT_PREFIX):
        return OperatorCall.GET_ROLLOUT
    return _CALLS.get((request.method, request.path), OperatorCall.UNKNOWN)


def decode_weights_name(request: HttpRequest) -> ModelVersion:
    """Decode the announcement of a version of a model's weights.

    Raises
    ------
    FieldError
        If the body cannot be decoded or the version is not positive.
    """
    values = as_object(parse_json(request.body), "body")
    announced = ModelVersion(get_name(values, "model"), get_integer(values, "version"))
    if announced.version < 1:
        raise FieldError(f"version {announced.version} is not positive")
    return announced


def decode_rollout_order(request: HttpRequest) -> RolloutOrder:
    """Decode the order of a rollout.

    Raises
    ------
    FieldError
        If the body cannot be decoded, or the duration is not positive or over
        `MAX_ROLLOUT_S`.
    """
    values = as_object(parse_json(request.body), "body")
    order = RolloutOrder(
        get_name(values, "service"),
        get_name(values, "to"),
        float(get_number(values, "durationS")),
    )
    if not order.duration_s > 0:
        raise FieldError(f"durationS {order.duration_s:g} is not positive")
    if order.duration_s > MAX_ROLLOUT_S:
        raise FieldError(f"durationS is over {MAX_ROLLOUT_S:g}")
    return order


def decode_rollout_service(request: HttpRequest) -> str:
    """Return the service whose rollout an operator asks for."""
    return unquote(request.path.removeprefix(_ROLLOUT_PREFIX))


def rollout_body(phase: RolloutPhase, version: str) -> bytes:
    """Return the body of a response that describes a rollout."""
    return json.dumps({"state": _ROLLOUT_STATES[phase], "to": version}).encode()


def error_body(reason: str) -> bytes:
    """Return the body of a response that reports an error."""
    return json.dumps({"error": reason}).encode()


def caller_domain(request: HttpRequest) -> str:
    """Return the failure domain that an address request names, or an empty string."""
    return parse_qs(request.query).get("zone", [""])[0]


def address_body(addresses: Iterable[str], ttl_s: float) -> bytes:
    """Return the body of a response that lists addresses."""
    return json.dumps({"addresses": list(addresses), "ttlS": ttl_s}).encode()
