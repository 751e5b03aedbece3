"""Requests to targets and the heads of their answers."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from urllib.parse import unquote_plus

from attrs import frozen

from berylnotch.gateways.errors import BadAnswerError, ForbiddenRequestError
from berylnotch.streams.actions import Header
from berylnotch.streams.inputs import ResponseHead

#: Identifier of a request, which the target echoes.
REQUEST_ID_HEADER = "x-request-id"
#: Present in an answer whose target didn't run the request.
NOT_RUN_HEADER = "x-not-run"
#: Identity of an engine's process.
INCARNATION_HEADER = "x-incarnation"
#: Weights version that an engine answers with.
WEIGHTS_HEADER = "x-weights"

_STATUS_LINE = re.compile(rb"HTTP/[0-9.]+ (\d{3})(?: |\r?\n|\Z)")
_CONTROL = re.compile(r"[\x00-\x1f\x7f]")
_SHORTEST_KEY = 8


@frozen
class UpstreamRequest:
    """A request to a target, built anew and never copied from a caller's.

    Attributes
    ----------
    url : str
        Address, path and query.
    method : str
        HTTP method.
    headers : tuple of Header
        All header fields but host and content length.
    body : bytes
        Request body.
    timeout_s : float
        Time until the answer must be complete.
    """

    url: str
    method: str
    headers: tuple[Header, ...]
    body: bytes
    timeout_s: float


def pick_headers(
    headers: Mapping[str, str], allowed: Iterable[str], caller_key: str
) -> tuple[Header, ...]:
    """Return the allowed fields that don't hold the caller's key.

    Parameters
    ----------
    headers : mapping
        The caller's fields by name in lower case.
    allowed : iterable of str
        Names in lower case.
    caller_key : str
        Key that no target may see; empty on an open route.
    """
    picked = []
    for name in allowed:
        value = headers.get(name, "")
        if not value or _CONTROL.search(value) or holds_key(value, caller_key):
            continue
        picked.append(Header(name, value))
    return tuple(picked)


def holds_key(text: str, caller_key: str) -> bool:
    """Whether text holds the caller's key, plainly or percent-encoded."""
    if len(caller_key) < _SHORTEST_KEY:
        return False
    return caller_key in text or caller_key in unquote_plus(text)


def check_body(body: bytes, caller_key: str) -> None:
    """Raise `ForbiddenRequestError` if a body holds the caller's key."""
    if len(caller_key) >= _SHORTEST_KEY and caller_key.encode() in body:
        raise ForbiddenRequestError("the request's body holds the caller's key")


def read_head(lines: Iterable[bytes], visible: frozenset[str]) -> ResponseHead:
    """Read an answer's status line and header fields.

    Parameters
    ----------
    lines : iterable of bytes
        Lines as curl passes them, the status line first.
    visible : frozenset of str
        Names, in lower case, of the fields that a caller may see.

    Raises
    ------
    BadAnswerError
        If the status line is malformed.
    """
    status_line, *rest = list(lines) or [b""]
    match = _STATUS_LINE.match(status_line)
    if match is None:
        raise BadAnswerError("malformed status line")
    fields: dict[str, str] = {}
    for line in rest:
        name, _, value = line.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    shown = tuple(Header(n, v) for n, v in fields.items() if n in visible)
    return ResponseHead(
        status=int(match.group(1)),
        headers=shown,
        content_type=fields.get("content-type", "").partition(";")[0].strip().lower(),
        request_id=fields.get(REQUEST_ID_HEADER, ""),
        weights=fields.get(WEIGHTS_HEADER, ""),
        incarnation=fields.get(INCARNATION_HEADER, ""),
        not_run=fields.get(NOT_RUN_HEADER, "") == "1",
        retry_after_s=_seconds(fields.get("retry-after", "")),
    )


def _seconds(text: str) -> float:
    return float(text) if text.isascii() and text.isdigit() else 0.0
