"""Reading and checking a caller's request, before anything is decided."""

from __future__ import annotations

import json
import math
import secrets
from typing import TYPE_CHECKING, Any

from attrs import field, frozen
from werkzeug.exceptions import HTTPException

from berylnotch.server.errors import Refusal

if TYPE_CHECKING:
    from werkzeug import Request

#: Prompt bytes taken for one token.
BYTES_PER_TOKEN = 4
#: Longest idempotency key, in characters.
MAX_IDEMPOTENCY_KEY = 200
_MAX_REQUEST_ID = 100
_SECRET_HEADERS = ("authorization", "x-api-key", "cookie", "proxy-authorization")

#: Paths of a language service below its route's prefix.
CHAT = "/chat/completions"
COMPLETIONS = "/completions"
MODELS = "/models"


@frozen
class CallerRequest:
    """A request as it came, without the caller's key.

    ``headers`` go by name in lower case and hold no credentials.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: dict[str, str] = field(repr=False)
    body: bytes = field(repr=False)
    idempotency_key: str
    last_event_id: str


@frozen
class LanguageCall:
    """What a language request asks for.

    Parameters
    ----------
    model : str
        Model name.
    stream : bool
        Whether the answer shall be streamed.
    prompt : bytes
        Prompt in a canonical form, for prefix hashing.
    prompt_tokens : int
        Estimated tokens of the prompt.
    max_tokens : int
        Most tokens to generate; 0 if the caller set no limit.
    """

    model: str
    stream: bool
    prompt: bytes
    prompt_tokens: int
    max_tokens: int


def read_key(request: Request) -> str:
    """Return the caller's key, or an empty string."""
    kind, _, key = request.headers.get("Authorization", "").partition(" ")
    if kind.lower() == "bearer":
        return key.strip()
    return request.headers.get("X-Api-Key", "").strip()


def read_request(request: Request) -> CallerRequest:
    """Read the whole request.

    Raises
    ------
    Refusal
        If it cannot be read.
    """
    try:
        body = request.get_data(cache=False)
    except HTTPException as error:
        raise Refusal(error.code or 400, "unreadable", str(error)) from error
    idempotency_key = request.headers.get("Idempotency-Key", "").strip()
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY:
        raise Refusal(
            400,
            "invalid_idempotency_key",
            f"Idempotency-Key has at most {MAX_IDEMPOTENCY_KEY} characters",
        )
    return CallerRequest(
        request_id=request_id(request),
        method=request.method,
        path=request.path,
        query=request.query_string.decode("latin-1"),
        headers=_safe_headers(request),
        body=body,
        idempotency_key=idempotency_key,
        last_event_id=request.headers.get("Last-Event-ID", "").strip(),
    )


def read_language_call(body: bytes, is_chat: bool) -> LanguageCall:
    """Read the body of a language request.

    Raises
    ------
    Refusal
        With status 400, if a field is missing or has a wrong type.
    """
    fields = _read_object(body)
    model = _typed(fields, "model", str, "")
    if not model:
        raise _invalid("model", "is missing")
    prompt = _chat_prompt(fields) if is_chat else _plain_prompt(fields)
    limit = _typed(fields, "max_completion_tokens", int, 0)
    limit = limit or _typed(fields, "max_tokens", int, 0)
    if limit < 0:
        raise _invalid("max_tokens", "is negative")
    return LanguageCall(
        model=model,
        stream=_typed(fields, "stream", bool, False),
        prompt=prompt,
        prompt_tokens=max(1, math.ceil(len(prompt) / BYTES_PER_TOKEN)),
        max_tokens=limit,
    )


def _safe_headers(request: Request) -> dict[str, str]:
    fields = {name.lower(): value for name, value in request.headers}
    for name in _SECRET_HEADERS:
        fields.pop(name, None)
    return fields


def request_id(request: Request) -> str:
    """Return the id that the caller chose, if it is usable, or a new one."""
    given = request.headers.get("X-Request-Id", "")
    if given and len(given) <= _MAX_REQUEST_ID and given.isascii():
        if all(char.isalnum() or char in "-_." for char in given):
            return given
    return "req-" + secrets.token_hex(12)


def _read_object(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise Refusal(400, "invalid_json", f"the body is no JSON: {error}") from error
    if not isinstance(fields, dict):
        raise Refusal(400, "invalid_json", "the body is no JSON object")
    return fields


def _typed(fields: dict[str, Any], name: str, kind: type, default: Any) -> Any:
    value = fields.get(name)
    if value is None:
        return default
    # bool is a subclass of int.
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise _invalid(name, f"is no {kind.__name__}")
    return value


def _chat_prompt(fields: dict[str, Any]) -> bytes:
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _invalid("messages", "is no list of messages")
    parts = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _invalid("messages", "has an item without a role")
        parts.append(f"<{message['role']}>{_content(message.get('content'))}")
    return "\n".join(parts).encode("utf-8", "surrogatepass")


def _content(content: Any) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return json.dumps(content, ensure_ascii=False, sort_keys=True)
    raise _invalid("messages", "has a content that is neither text nor a list")


def _plain_prompt(fields: dict[str, Any]) -> bytes:
    prompt = fields.get("prompt")
    if isinstance(prompt, str):
        return prompt.encode("utf-8", "surrogatepass")
    raise _invalid("prompt", "is no text")


def _invalid(name: str, problem: str) -> Refusal:
    return Refusal(400, "invalid_request", f"field {name!r} {problem}")
