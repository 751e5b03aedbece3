"""Parsing and validation of callers' requests."""

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

#: Assumed number of prompt bytes per token, to estimate prompt tokens.
BYTES_PER_TOKEN = 4
#: Largest number of output tokens that a request is taken to allow.
MAX_OUTPUT_TOKENS = 1_000_000_000
#: Longest idempotency key, in characters.
MAX_IDEMPOTENCY_KEY_LENGTH = 200
_MAX_REQUEST_ID_LENGTH = 100
_CREDENTIAL_HEADERS = ("authorization", "x-api-key", "cookie", "proxy-authorization")

#: Paths of a language service below its route's prefix.
CHAT_PATH = "/chat/completions"
COMPLETIONS_PATH = "/completions"
MODELS_PATH = "/models"


@frozen
class CallerRequest:
    """A request as the caller sent it, without the caller's key.

    The names in ``headers`` are in lower case; credentials are removed.
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
    """Parsed body of a language request.

    Parameters
    ----------
    model : str
        Model name.
    stream : bool
        Whether the caller asked for a streamed answer.
    prompt : bytes
        Prompt in a canonical form, for prefix hashing.
    prompt_tokens : int
        Estimated tokens of the prompt.
    max_tokens : int
        Limit of generated tokens; 0 if the caller set no limit.
    """

    model: str
    stream: bool
    prompt: bytes
    prompt_tokens: int
    max_tokens: int


def read_key(request: Request) -> str:
    """Return the caller's key, or an empty string."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() == "bearer":
        return key.strip()
    return request.headers.get("X-Api-Key", "").strip()


def read_request(request: Request) -> CallerRequest:
    """Read the headers and the whole body of a request.

    Raises
    ------
    Refusal
        If the body cannot be read, or the idempotency key is too long.
    """
    try:
        body = request.get_data(cache=False)
    except (HTTPException, ValueError) as error:
        # The server's stream raises ValueError if a chunk is malformed or missing.
        status = getattr(error, "code", None) or 400
        raise Refusal(status, "unreadable", str(error)) from error
    idempotency_key = request.headers.get("Idempotency-Key", "").strip()
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        raise Refusal(
            400,
            "invalid_idempotency_key",
            f"Idempotency-Key has at most {MAX_IDEMPOTENCY_KEY_LENGTH} characters",
        )
    return CallerRequest(
        request_id=request_id(request),
        method=request.method,
        path=request.path,
        query=request.query_string.decode("latin-1"),
        headers=_without_credentials(request),
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
    model = _read_field(fields, "model", str, "")
    if not model:
        raise _invalid("model", "is missing")
    prompt = _chat_prompt(fields) if is_chat else _completion_prompt(fields)
    token_limit = _read_field(fields, "max_completion_tokens", int, 0)
    token_limit = token_limit or _read_field(fields, "max_tokens", int, 0)
    if token_limit < 0:
        raise _invalid("max_tokens", "is negative")
    return LanguageCall(
        model=model,
        stream=_read_field(fields, "stream", bool, False),
        prompt=prompt,
        prompt_tokens=max(1, math.ceil(len(prompt) / BYTES_PER_TOKEN)),
        max_tokens=min(token_limit, MAX_OUTPUT_TOKENS),
    )


def _without_credentials(request: Request) -> dict[str, str]:
    fields = {name.lower(): value for name, value in request.headers}
    for name in _CREDENTIAL_HEADERS:
        fields.pop(name, None)
    return fields


def request_id(request: Request) -> str:
    """Return the caller's request id if it is valid, or a new request id."""
    caller_id = request.headers.get("X-Request-Id", "")
    if caller_id and len(caller_id) <= _MAX_REQUEST_ID_LENGTH and caller_id.isascii():
        if all(char.isalnum() or char in "-_." for char in caller_id):
            return caller_id
    return "req-" + secrets.token_hex(12)


def _read_object(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise Refusal(400, "invalid_json", f"the body is no JSON: {error}") from error
    if not isinstance(fields, dict):
        raise Refusal(400, "invalid_json", "the body is no JSON object")
    return fields


def _read_field(
    fields: dict[str, Any], name: str, expected_type: type, default: Any
) -> Any:
    value = fields.get(name)
    if value is None:
        return default
    # bool is a subclass of int.
    if not isinstance(value, expected_type) or (
        expected_type is int and isinstance(value, bool)
    ):
        raise _invalid(name, f"is no {expected_type.__name__}")
    return value


def _chat_prompt(fields: dict[str, Any]) -> bytes:
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _invalid("messages", "is no list of messages")
    parts = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _invalid("messages", "has an item without a role")
        parts.append(f"<{message['role']}>{_content_text(message.get('content'))}")
    return "\n".join(parts).encode("utf-8", "surrogatepass")


def _content_text(content: Any) -> str:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return json.dumps(content, ensure_ascii=False, sort_keys=True)
    raise _invalid("messages", "has a content that is neither text nor a list")


def _completion_prompt(fields: dict[str, Any]) -> bytes:
    prompt = fields.get("prompt")
    if isinstance(prompt, str):
        return prompt.encode("utf-8", "surrogatepass")
    raise _invalid("prompt", "is no text")


def _invalid(name: str, problem: str) -> Refusal:
    return Refusal(400, "invalid_request", f"field {name!r} {problem}")
