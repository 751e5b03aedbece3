"""Construction of HTTP requests to targets, and decoding of response heads."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from urllib.parse import unquote_plus

from attrs import frozen

from berylnotch.gateways.errors import ForbiddenRequestError, InvalidResponseError
from berylnotch.net.messages import Headers
from berylnotch.streams.actions import Header
from berylnotch.streams.inputs import ResponseHead

#: Identifier of a request, which the target repeats in its response.
REQUEST_ID_HEADER = "x-request-id"
#: Set to 1 in a response whose target did not execute the request.
NOT_RUN_HEADER = "x-not-run"
#: Incarnation of an engine: identity of its process.
INCARNATION_HEADER = "x-incarnation"
#: Weights version that an engine used for its response.
WEIGHTS_HEADER = "x-weights"

_STATUS_LINE = re.compile(rb"HTTP/[0-9.]+ (\d{3})(?: |\r?\n|\Z)")
#: Lowest status of a response that is no success.
_MIN_FAILURE_STATUS = 300
#: Digits of the longest time in seconds that a header may state.
MAX_SECONDS_DIGITS = 9

_CONTROL_CHARACTERS = re.compile(r"[\x00-\x1f\x7f]")
#: Length, in characters, below which a key is not searched for in requests.
_MIN_KEY_LENGTH = 8


@frozen
class UpstreamRequest:
    """A request to a target.

    Each header is chosen explicitly; the headers of a caller's request are never
    copied as a whole.

    Attributes
    ----------
    url : str
        Address, path and query.
    method : str
        HTTP method.
    headers : tuple of Header
        All header fields except host and content length.
    body : bytes
        Request body.
    timeout_s : float
        Time in seconds within which the response must be complete.
    """

    url: str
    method: str
    headers: tuple[Header, ...]
    body: bytes
    timeout_s: float


def select_headers(
    headers: Mapping[str, str], allowed: Iterable[str], caller_key: str
) -> tuple[Header, ...]:
    """Return the allowed header fields that do not contain the caller's key.

    Fields with control characters are left out too.

    Parameters
    ----------
    headers : mapping
        Header fields of the caller's request, by name in lower case.
    allowed : iterable of str
        Names of the allowed fields, in lower case.
    caller_key : str
        The caller's key, which must not reach a target; empty on an open route.
    """
    selected = []
    for name in allowed:
        value = headers.get(name, "")
        if (
            not value
            or _CONTROL_CHARACTERS.search(value)
            or contains_key(value, caller_key)
        ):
            continue
        selected.append(Header(name, value))
    return tuple(selected)


def contains_key(text: str, caller_key: str) -> bool:
    """Return whether text contains the caller's key, plain or percent-encoded."""
    if len(caller_key) < _MIN_KEY_LENGTH:
        return False
    return caller_key in text or caller_key in unquote_plus(text)


def reject_key_in_body(body: bytes, caller_key: str) -> None:
    """Raise `ForbiddenRequestError` if a body contains the caller's key."""
    if len(caller_key) >= _MIN_KEY_LENGTH and caller_key.encode() in body:
        raise ForbiddenRequestError("the request's body holds the caller's key")


def read_head(lines: Iterable[bytes], forwarded: frozenset[str]) -> ResponseHead:
    """Decode a response's status line and header fields.

    Parameters
    ----------
    lines : iterable of bytes
        Lines as pycurl passes them, the status line first.
    forwarded : frozenset of str
        Names, in lower case, of the fields that are forwarded to the caller.

    Raises
    ------
    InvalidResponseError
        If the status line is malformed, or if a success has a content encoding. No
        request asks for one, and the caller does not learn of it.
    """
    status_line, *header_lines = list(lines) or [b""]
    match = _STATUS_LINE.match(status_line)
    if match is None:
        raise InvalidResponseError("response has a malformed status line")
    headers = Headers()
    for line in header_lines:
        name, _, value = line.decode("latin-1").partition(":")
        headers.add(name.strip().lower(), value.strip())
    fields = dict(headers)
    status = int(match.group(1))
    if status < _MIN_FAILURE_STATUS and headers.has_content_encoding():
        raise InvalidResponseError("response has a content encoding")
    forwarded_headers = tuple(Header(n, v) for n, v in fields.items() if n in forwarded)
    return ResponseHead(
        status=status,
        headers=forwarded_headers,
        content_type=fields.get("content-type", "").partition(";")[0].strip().lower(),
        # Two ids do not tell which request the response belongs to.
        request_id=headers.joined(REQUEST_ID_HEADER),
        weights=fields.get(WEIGHTS_HEADER, ""),
        incarnation=fields.get(INCARNATION_HEADER, ""),
        not_run=fields.get(NOT_RUN_HEADER, "") == "1",
        retry_after_s=_parse_seconds(fields.get("retry-after", "")),
    )


def _parse_seconds(text: str) -> float:
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_SECONDS_DIGITS
    return float(text) if is_number else 0.0
