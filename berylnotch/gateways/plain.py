"""Requests to plain services and the heads of their answers."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from urllib.parse import unquote

from attrs import field, frozen

from berylnotch.gateways.engine import EngineAddress, credential_headers
from berylnotch.gateways.errors import ForbiddenRequestError
from berylnotch.gateways.http import (
    REQUEST_ID_HEADER,
    UpstreamRequest,
    check_body,
    holds_key,
    pick_headers,
    read_head,
)
from berylnotch.streams.actions import Header
from berylnotch.streams.inputs import ResponseHead

#: Fields of a caller's request that a plain service sees.
ALLOWED_HEADERS = (
    "accept",
    "accept-language",
    "content-language",
    "content-type",
    "idempotency-key",
    "if-match",
    "if-modified-since",
    "if-none-match",
    "if-unmodified-since",
    "range",
)
_VISIBLE = frozenset(
    (
        "accept-ranges",
        "allow",
        "cache-control",
        "content-disposition",
        "content-language",
        "content-range",
        "content-type",
        "etag",
        "expires",
        "last-modified",
        "location",
        "retry-after",
        "vary",
    )
)
_METHOD = re.compile(r"[A-Z]{1,16}")
_PATH = re.compile(r"/[!-\"$->@-~]*")
_QUERY = re.compile(r"[!-\"$-~]*")
_FORBIDDEN_METHODS = frozenset(("CONNECT", "TRACE"))

PlainAddress = EngineAddress


@frozen
class PlainRequest:
    """A caller's request to a plain service.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path as the service knows it, percent-encoded.
    query : str
        Query without the question mark.
    headers : mapping
        The caller's fields by name in lower case.
    body : bytes
        Request body.
    request_id : str
        Identifier that the service may echo.
    caller_key : str
        Key that the service must not see.
    reserved : tuple of str
        Path prefixes that callers can't reach.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str] = field(repr=False)
    body: bytes = field(repr=False)
    request_id: str
    caller_key: str = field(default="", repr=False)
    reserved: tuple[str, ...] = ()


def build_plain(
    target: PlainAddress, request: PlainRequest, timeout_s: float
) -> UpstreamRequest:
    """Build the request to a plain service.

    Raises
    ------
    ForbiddenRequestError
        If method, path or query are malformed, the path is reserved, or path or
        body hold the caller's key.
    """
    _check_line(request)
    check_body(request.body, request.caller_key)
    query = _without_key(request.query, request.caller_key)
    headers = pick_headers(request.headers, ALLOWED_HEADERS, request.caller_key)
    headers += (Header(REQUEST_ID_HEADER, request.request_id),)
    headers += credential_headers(target.credential)
    suffix = f"?{query}" if query else ""
    return UpstreamRequest(
        url=f"http://{target.address}{request.path}{suffix}",
        method=request.method,
        headers=headers,
        body=request.body,
        timeout_s=timeout_s,
    )


def read_plain_head(lines: Iterable[bytes]) -> ResponseHead:
    """Read the head of a plain service's answer; raises `BadAnswerError`."""
    return read_head(lines, _VISIBLE)


def _check_line(request: PlainRequest) -> None:
    method = request.method
    if not _METHOD.fullmatch(method) or method in _FORBIDDEN_METHODS:
        raise ForbiddenRequestError("method isn't allowed")
    if not _PATH.fullmatch(request.path) or not _QUERY.fullmatch(request.query):
        raise ForbiddenRequestError("malformed path or query")
    path = unquote(request.path)
    parts = path.replace("\\", "/").split("/")
    if ".." in parts or "." in parts:
        raise ForbiddenRequestError("path has relative parts")
    folded = "/" + "/".join(part for part in parts if part)
    for prefix in request.reserved:
        if f"{folded}/".startswith(prefix.rstrip("/") + "/"):
            raise ForbiddenRequestError("path can't be reached by callers")
    if holds_key(request.path, request.caller_key):
        raise ForbiddenRequestError("the request's path holds the caller's key")


def _without_key(query: str, caller_key: str) -> str:
    parts = query.split("&")
    return "&".join(part for part in parts if not holds_key(part, caller_key))
