"""Generation requests to model engines and the heads of their responses."""

from __future__ import annotations

import json
from collections.abc import Iterable

from attrs import field, frozen

from berylnotch.gateways.errors import ForbiddenRequestError
from berylnotch.gateways.http import (
    REQUEST_ID_HEADER,
    UpstreamRequest,
    read_head,
    reject_key_in_body,
)
from berylnotch.streams.actions import Header
from berylnotch.streams.inputs import ResponseHead

#: Paths of an engine that callers can reach.
GENERATION_PATHS = frozenset(("/v1/chat/completions", "/v1/completions"))
#: Scope of cache entries, which separates the entries of organisations.
CACHE_SCOPE_HEADER = "x-cache-scope"
#: Priority in an engine's queue; the lowest value is served first.
PRIORITY_HEADER = "x-priority"
#: Number of the last event that the caller has; the engine resumes after it.
RESUME_HEADER = "x-resume-after"

#: Largest number of generated tokens that a response may report.
MAX_COMPLETION_TOKENS = 10_000_000

_FORWARDED_HEADERS = frozenset(("content-type", "cache-control", "retry-after"))


@frozen
class EngineAddress:
    """Address and credential of one target.

    Attributes
    ----------
    address : str
        ``IP:PORT``.
    credential : str
        Credential that the target requires; empty if none is required.
    """

    address: str
    credential: str = field(default="", repr=False)


@frozen
class GenerationRequest:
    """Part of a caller's generation request that is sent to an engine.

    Attributes
    ----------
    path : str
        One of `GENERATION_PATHS`.
    body : bytes
        JSON body.
    request_id : str
        Identifier that the engine echoes.
    cache_scope : str
        Opaque scope of the engine's cache entries for the prompt.
    stream : bool
        Whether the response is a stream of events.
    priority : int
        Priority in the engine's queue; the lowest value is served first.
    caller_key : str
        The caller's key, which must not reach the engine.
    """

    path: str
    body: bytes
    request_id: str
    cache_scope: str
    stream: bool = False
    priority: int = 0
    caller_key: str = field(default="", repr=False)


def build_generation(
    engine: EngineAddress,
    request: GenerationRequest,
    timeout_s: float,
    resume_after: int = 0,
) -> UpstreamRequest:
    """Build the request to an engine.

    Raises
    ------
    ForbiddenRequestError
        If the path is not one of `GENERATION_PATHS`, or the body contains the
        caller's key.
    """
    if request.path not in GENERATION_PATHS:
        raise ForbiddenRequestError("path can't be reached by callers")
    reject_key_in_body(request.body, request.caller_key)
    accept = "text/event-stream" if request.stream else "application/json"
    headers = [
        Header("content-type", "application/json"),
        Header("accept", accept),
        Header(REQUEST_ID_HEADER, request.request_id),
        Header(CACHE_SCOPE_HEADER, request.cache_scope),
        Header(PRIORITY_HEADER, str(request.priority)),
    ]
    if resume_after:
        headers.append(Header(RESUME_HEADER, str(resume_after)))
    headers += credential_headers(engine.credential)
    return UpstreamRequest(
        url=f"http://{engine.address}{request.path}",
        method="POST",
        headers=tuple(headers),
        body=request.body,
        timeout_s=timeout_s,
    )


def credential_headers(credential: str) -> tuple[Header, ...]:
    """Return the header with a target's credential; empty without a credential."""
    if not credential:
        return ()
    return (Header("authorization", f"Bearer {credential}"),)


def read_engine_head(lines: Iterable[bytes]) -> ResponseHead:
    """Decode the head of an engine's response; raises `InvalidResponseError`."""
    return read_head(lines, _FORWARDED_HEADERS)


def is_whole_answer(body: bytes) -> bool:
    """Return whether a body is a complete generation, a JSON object with choices."""
    try:
        response = json.loads(body)
    except (ValueError, RecursionError):
        return False
    return isinstance(response, dict) and bool(response.get("choices"))


def completion_tokens(body: bytes) -> int:
    """Return the generated tokens that a response reports, or 0.

    A number out of range is not counted, because it would use up the limit of an
    organisation.
    """
    try:
        tokens = json.loads(body)["usage"]["completion_tokens"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return 0
    is_in_range = type(tokens) is int and 0 <= tokens <= MAX_COMPLETION_TOKENS
    return tokens if is_in_range else 0
