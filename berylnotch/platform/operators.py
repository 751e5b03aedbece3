"""Decoding of calls by operators, and encoding of address lists for callers."""

from __future__ import annotations

import json
from collections.abc import Iterable
from enum import Enum
from urllib.parse import parse_qs

from berylnotch.membership.listing import ModelVersion
from berylnotch.net.messages import HttpRequest
from berylnotch.platform.fields import (
    FieldError,
    as_object,
    get_integer,
    get_name,
    parse_json,
)


class OperatorCall(Enum):
    """Kind of an operator's call."""

    PUT_CONFIGURATION = "put configuration"
    GET_CONFIGURATION = "get configuration"
    ANNOUNCE_WEIGHTS = "name weights"
    UNKNOWN = "unknown"


_CALLS = {
    ("PUT", "/config"): OperatorCall.PUT_CONFIGURATION,
    ("GET", "/config"): OperatorCall.GET_CONFIGURATION,
    ("POST", "/version-put"): OperatorCall.ANNOUNCE_WEIGHTS,
}

#: Path at which callers request addresses of routers.
ADDRESS_PATH = "/resolve"

#: Path of the readiness probe that the platform sends to routers.
READY_PATH = "/readyz"


def decode_call(request: HttpRequest) -> OperatorCall:
    """Return the kind of an operator's call."""
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


def error_body(reason: str) -> bytes:
    """Return the body of a response that reports an error."""
    return json.dumps({"error": reason}).encode()


def caller_domain(request: HttpRequest) -> str:
    """Return the failure domain that an address request names, or an empty string."""
    return parse_qs(request.query).get("zone", [""])[0]


def address_body(addresses: Iterable[str], ttl_s: float) -> bytes:
    """Return the body of a response that lists addresses."""
    return json.dumps({"addresses": list(addresses), "ttlS": ttl_s}).encode()
