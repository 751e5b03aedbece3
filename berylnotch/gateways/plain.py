"""Requests to plain services and the heads of their responses.

The targets of a plain service are neither engines nor KV stores.
"""

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
    contains_key,
    read_head,
    reject_key_in_body,
    select_headers,
)
from berylnotch.streams.actions import Header
from berylnotch.streams.inputs import ResponseHead

#: Header fields of a caller's request that are forwarded to a plain service.
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
_FORWARDED_HEADERS = frozenset(
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
        Percent-encoded path at the service.
    query : str
        Query without the question mark.
    headers : mapping
        Header fields of the caller's request, by name in lower case.
    body : bytes
        Request body.
    request_id : str
        Identifier that the service may repeat in its response.
    caller_key : str
        The caller's key, which must not reach the service.
    reserved : tuple of str
        Path prefixes that callers must not reach.
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

    Query parameters and header fields that contain the caller's key are left out.

    Raises
    ------
    ForbiddenRequestError
        If the method is not allowed, the path or query is malformed, the path is
        reserved, or the path or body contains the caller's key.
    """
    _check_request_line(request)
    reject_key_in_body(request.body, request.caller_key)
    query = _drop_key_parameters(request.query, request.caller_key)
    headers = select_headers(request.headers, ALLOWED_HEADERS, request.caller_key)
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
    """Decode the head of a plain service's response; raises `InvalidResponseError`."""
    return read_head(lines, _FORWARDED_HEADERS)


def _check_request_line(request: PlainRequest) -> None:
    method = request.method
    if not _METHOD.fullmatch(method) or method in _FORBIDDEN_METHODS:
        raise ForbiddenRequestError("method isn't allowed")
    if not _PATH.fullmatch(request.path) or not _QUERY.fullmatch(request.query):
        raise ForbiddenRequestError("malformed path or query")
    path = unquote(request.path)
    segments = path.replace("\\", "/").split("/")
    if ".." in segments or "." in segments:
        raise ForbiddenRequestError("path has relative parts")
    normalized_path = "/" + "/".join(segment for segment in segments if segment)
    for prefix in request.reserved:
        if f"{normalized_path}/".startswith(prefix.rstrip("/") + "/"):
            raise ForbiddenRequestError("path can't be reached by callers")
    if contains_key(request.path, request.caller_key):
        raise ForbiddenRequestError("the request's path holds the caller's key")


def _drop_key_parameters(query: str, caller_key: str) -> str:
    parameters = query.split("&")
    return "&".join(p for p in parameters if not contains_key(p, caller_key))
