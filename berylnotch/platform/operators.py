"""Calls of the platform's operators, and address answers for callers."""

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
    integer,
    parse_json,
    text,
)


class OperatorCall(Enum):
    """What an operator asks for."""

    PUT_CONFIGURATION = "put configuration"
    GET_CONFIGURATION = "get configuration"
    NAME_WEIGHTS = "name weights"
    UNKNOWN = "unknown"


_CALLS = {
    ("PUT", "/config"): OperatorCall.PUT_CONFIGURATION,
    ("GET", "/config"): OperatorCall.GET_CONFIGURATION,
    ("POST", "/version-put"): OperatorCall.NAME_WEIGHTS,
}

#: Path at which callers ask for addresses.
ADDRESS_PATH = "/resolve"

#: Path at which the platform asks whether a router is ready.
READY_PATH = "/readyz"


def decode_call(request: HttpRequest) -> OperatorCall:
    """Return which call a request is."""
    return _CALLS.get((request.method, request.path), OperatorCall.UNKNOWN)


def decode_weights_name(request: HttpRequest) -> ModelVersion:
    """Read which version of a model's weights is named.

    Raises
    ------
    FieldError
        If the body cannot be read.
    """
    values = as_object(parse_json(request.body), "body")
    named = ModelVersion(text(values, "model"), integer(values, "version"))
    if named.version < 1:
        raise FieldError(f"version {named.version} is not positive")
    return named


def error_body(reason: str) -> bytes:
    """Return the body of an answer that reports an error."""
    return json.dumps({"error": reason}).encode()


def caller_domain(request: HttpRequest) -> str:
    """Return the failure domain of a caller that asks for addresses, or empty."""
    return parse_qs(request.query).get("zone", [""])[0]


def address_body(addresses: Iterable[str], ttl_s: float) -> bytes:
    """Return the body of an address answer."""
    return json.dumps({"addresses": list(addresses), "ttlS": ttl_s}).encode()
