"""Generation requests to model engines and the heads of their answers."""

from __future__ import annotations

import json
from collections.abc import Iterable

from attrs import field, frozen

from berylnotch.gateways.errors import ForbiddenRequestError
from berylnotch.gateways.http import (
    REQUEST_ID_HEADER,
    UpstreamRequest,
    check_body,
    read_head,
)
from berylnotch.streams.actions import Header
from berylnotch.streams.inputs import ResponseHead

#: Paths of an engine that callers can reach.
GENERATION_PATHS = frozenset(("/v1/chat/completions", "/v1/completions"))
#: Keeps an organisation's cache entries apart from those of others.
CACHE_SCOPE_HEADER = "x-cache-scope"
#: Lowest goes first in an engine's queue.
PRIORITY_HEADER = "x-priority"
#: Number of the last event that must not be sent again.
RESUME_HEADER = "x-resume-after"

_VISIBLE = frozenset(("content-type", "cache-control", "retry-after"))


@frozen
class EngineAddress:
    """How to reach one engine.

    Attributes
    ----------
    address : str
        ``IP:PORT``.
    credential : str
        The target's own credential; empty if it needs none.
    """

    address: str
    credential: str = field(default="", repr=False)


@frozen
class GenerationRequest:
    """A caller's generation request, as far as an engine sees it.

    Attributes
    ----------
    path : str
        One of `GENERATION_PATHS`.
    body : bytes
        JSON body.
    request_id : str
        Identifier that the engine echoes.
    cache_scope : str
        Opaque name under which the engine caches the prompt.
    stream : bool
        Whether events are asked for.
    priority : int
        Place in the engine's queue, lowest first.
    caller_key : str
        Key that the engine must not see.
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
        If the path isn't one of callers, or the body holds the caller's key.
    """
    if request.path not in GENERATION_PATHS:
        raise ForbiddenRequestError("path can't be reached by callers")
    check_body(request.body, request.caller_key)
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
    """Return the field that carries a target's own credential."""
    if not credential:
        return ()
    return (Header("authorization", f"Bearer {credential}"),)


def read_engine_head(lines: Iterable[bytes]) -> ResponseHead:
    """Read the head of an engine's answer; raises `BadAnswerError`."""
    return read_head(lines, _VISIBLE)


def is_whole_answer(body: bytes) -> bool:
    """Whether a body is a whole generation: valid JSON with a choice."""
    try:
        answer = json.loads(body)
    except ValueError:
        return False
    return isinstance(answer, dict) and bool(answer.get("choices"))


def completion_tokens(body: bytes) -> int:
    """Return the generated tokens that a whole answer counts; 0 if it doesn't."""
    try:
        return int(json.loads(body)["usage"]["completion_tokens"])
    except (ValueError, KeyError, TypeError):
        return 0
