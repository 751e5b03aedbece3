"""Decoding and encoding of the headers of requests and responses."""

from __future__ import annotations

from attrs import frozen

from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.placement.chains import (
    PrefixChain,
    PromptPart,
    make_prefix_chain,
)
from berylnotch.platform import names


@frozen
class CallerRequest:
    """Decoded headers of a caller's request.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    host : str
        Host that the request is addressed to.
    key : str
        The caller's key.
    deadline_s : float or None
        Seconds that the caller waits, None if not stated.
    model : str
        Name of the model.
    prompt_tokens : int
        Tokens of the prompt, 0 if not stated.
    output_tokens : int
        Largest number of tokens that may be generated, 0 if not stated.
    chain : PrefixChain
        Prefixes that the prompt shares with other prompts.
    resume_after : int or None
        Number of the last event that the caller has received, None if not stated.
    part_ids : tuple of str, default=()
        Identities of the prompt's parts that other requests may share, also if the
        parts cannot be used for `chain`. Only the limit on headers bounds them.
    resumes : str, default=""
        Id of the request that brought the first event of the stream that the caller
        resumes, empty if not stated.
    """

    request_id: str
    host: str
    key: str
    deadline_s: float | None
    model: str
    prompt_tokens: int
    output_tokens: int
    chain: PrefixChain
    resume_after: int | None
    part_ids: tuple[str, ...] = ()
    resumes: str = ""

    @property
    def is_resumption(self) -> bool:
        """Whether the caller has received the begin of the stream that it asks for."""
        return bool(self.resumes or self.resume_after)

    @property
    def tokens(self) -> int:
        """Largest number of tokens of prompt and output, 0 if not stated."""
        return self.prompt_tokens + self.output_tokens


@frozen
class TargetHeaders:
    """Headers that this system sets in a request to a target.

    Headers with the value None or an empty value are left out.

    Parameters
    ----------
    deadline_s : float
        Seconds until the request's deadline.
    target_id : str
        Identity that the target must have to execute the request.
    organisation : str, default=""
        Name of the caller's organisation.
    priority : int or None
        Priority at the engine, from 0 (served first) to 9.
    weights_version : int or None
        Weights version that the target must have to execute the request.
    cache_salt : str, default=""
        Salt of the cache keys, so that requests with different salts share no entries.
    fetch_from, save_to : str, default=""
        Addresses of the engine or store from which the engine fetches the prompt's KV
        cache, and of the store to which it saves it.
    resume_after : int or None
        Number of the last event that the caller has received, after which the target
        resumes the stream.
    run_origin : str, default=""
        Location of the KV cache from which a stopped run resumes.
    """

    deadline_s: float
    target_id: str
    organisation: str = ""
    priority: int | None = None
    weights_version: int | None = None
    cache_salt: str = ""
    fetch_from: str = ""
    save_to: str = ""
    resume_after: int | None = None
    run_origin: str = ""


@frozen
class AnswerHead:
    """Decoded headers of a target's response.

    Parameters
    ----------
    request_id : str
        Identifier of the request that the response belongs to.
    stamp : str
        Proof that the target generated the response, empty if missing.
    is_not_run : bool
        Whether the target has not executed the request and never will.
    target_id : str
        Identity of the target.
    weights_version : int or None
        Version of the weights that generated the response.
    is_leaving : bool, default=False
        Whether the target accepts no new work.
    retry_after_s : float or None
        Seconds for which no request may be sent to the target, None if not stated.
    limit_per_s : float or None
        Requests per second that the target accepts from all routers together, None if
        the target has no such limit.
    """

    request_id: str
    stamp: str
    is_not_run: bool
    target_id: str
    weights_version: int | None
    is_leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: float | None = None


def decode_request(request: HttpRequest) -> CallerRequest:
    """Decode the headers of a caller's request; malformed headers are ignored."""
    headers = request.headers
    scheme, _, key = headers.get(names.AUTHORIZATION).partition(" ")
    deadline_ms = _parse_number(headers.get(names.DEADLINE_MS))
    token_counts = headers.get(names.TOKEN_COUNTS).split(",")
    prompt_tokens = int(_parse_number(token_counts[0]) or 0)
    parts = _parse_parts(headers.get(names.PROMPT_PARTS))
    return CallerRequest(
        request_id=headers.get(names.REQUEST_ID),
        host=headers.get("Host"),
        key=key.strip() if scheme.lower() == names.AUTHORIZATION_SCHEME.lower() else "",
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        model=headers.get(names.MODEL),
        prompt_tokens=prompt_tokens,
        output_tokens=int(_parse_number(token_counts[1]) or 0)
        if len(token_counts) > 1
        else 0,
        chain=make_prefix_chain(parts, prompt_tokens),
        resume_after=_parse_integer(headers.get(names.LAST_EVENT_ID)),
        # The last part belongs to the request itself or to its session.
        part_ids=tuple(part.part_id for part in parts[:-1]),
        resumes=headers.get(names.RESUMES).strip(),
    )


def encode_for_target(
    request: HttpRequest, target_headers: TargetHeaders
) -> HttpRequest:
    """Return the request to a target: the caller's request with replaced headers."""
    headers = request.headers.end_to_end()
    # A value that this system does not understand may be one that the target does.
    headers = headers.without({*names.SYSTEM_HEADERS, names.LAST_EVENT_ID.lower()})
    headers.add(names.DEADLINE_MS, str(max(1, int(target_headers.deadline_s * 1000))))
    headers.add(names.EXPECTED_TARGET, target_headers.target_id)
    _add_header(headers, names.ORGANISATION, target_headers.organisation)
    _add_header(headers, names.PRIORITY, target_headers.priority)
    _add_header(headers, names.EXPECTED_WEIGHTS, target_headers.weights_version)
    _add_header(headers, names.CACHE_SALT, target_headers.cache_salt)
    _add_header(headers, names.CACHE_FETCH, target_headers.fetch_from)
    _add_header(headers, names.CACHE_SAVE, target_headers.save_to)
    _add_header(headers, names.LAST_EVENT_ID, target_headers.resume_after)
    _add_header(headers, names.RUN_ORIGIN, target_headers.run_origin)
    return HttpRequest(request.method, request.target, headers, request.body)


def decode_answer(status: int, headers: Headers) -> AnswerHead:
    """Decode the headers of a target's response."""
    has_refused = bool(headers.get(names.NOT_RUN)) or status == 421
    return AnswerHead(
        # Two ids do not tell which request the response belongs to.
        request_id=headers.joined(names.REQUEST_ID),
        stamp=headers.get(names.SERVER_STAMP),
        is_not_run=has_refused,
        target_id=headers.get(names.TARGET_ID),
        weights_version=_parse_integer(headers.get(names.WEIGHTS_VERSION)),
        is_leaving=headers.get(names.LEAVING).strip() == "1",
        retry_after_s=_parse_number(headers.get(names.RETRY_AFTER))
        if status == 503
        else None,
        limit_per_s=_parse_number(headers.get(names.LIMIT)),
    )


def refusal_headers(request_id: str, retry_after_s: float | None) -> Headers:
    """Return the headers of a response by which this system refuses a request."""
    headers = Headers()
    _add_header(headers, names.REQUEST_ID, request_id)
    if retry_after_s is not None:
        headers.add(names.RETRY_AFTER, f"{retry_after_s:.3f}")
    return headers


def _add_header(headers: Headers, name: str, value: str | int | None) -> None:
    if value not in ("", None):
        headers.add(name, str(value))


def _parse_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(","):
        part_id, _, tokens = item.strip().partition(":")
        token_count = _parse_number(tokens)
        if not part_id or token_count is None:
            return tuple(parts)
        parts.append(PromptPart(part_id, int(token_count)))
    return tuple(parts)


def _parse_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e12 else None


def _parse_integer(text: str) -> int | None:
    text = text.strip()
    return int(text) if text.isdecimal() and len(text) < 16 else None
