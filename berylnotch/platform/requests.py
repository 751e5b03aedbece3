"""Requests of callers, and how they look at a target."""

from __future__ import annotations

from attrs import frozen

from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.placement.chains import PrefixChain, PromptPart, make_prefix_chain
from berylnotch.platform import names


@frozen
class CallerRequest:
    """What the headers of a caller's request say.

    ``deadline_s`` is how long the caller waits, None if it did not say.
    ``output_tokens`` is the most that may be generated, ``chain`` what the prompt
    shares with others. ``resume_after`` is the last event that the caller has, or
    None.
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

    @property
    def tokens(self) -> int:
        """Tokens that the request may cost in all; 0 if it did not say."""
        return self.prompt_tokens + self.output_tokens


@frozen
class TargetHeaders:
    """What this system tells a target about a request.

    ``priority`` is 0 (first) to 9, ``cache_salt`` separates cache entries that may
    not be shared, ``fetch_from`` and ``save_to`` are addresses of engines or
    stores, ``run_origin`` is where the memory of a stopped run is that goes on. None
    and empty values are left out.
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
    """What the headers of a target's answer say.

    ``is_not_run`` tells that the target did not run the request and never will,
    ``is_leaving`` that it takes no new work, and ``retry_after_s`` for how long it
    wants no request; None if it did not say.
    """

    request_id: str
    stamp: str
    is_not_run: bool
    target_id: str
    weights_version: int | None
    is_leaving: bool = False
    retry_after_s: float | None = None


def decode_request(request: HttpRequest) -> CallerRequest:
    """Read the headers of a caller's request; malformed ones count as absent."""
    headers = request.headers
    scheme, _, key = headers.get(names.AUTHORIZATION).partition(" ")
    deadline_ms = _number(headers.get(names.DEADLINE_MS))
    counts = headers.get(names.TOKEN_COUNTS).split(",")
    prompt_tokens = int(_number(counts[0]) or 0)
    return CallerRequest(
        request_id=headers.get(names.REQUEST_ID),
        host=headers.get("Host"),
        key=key.strip() if scheme.lower() == names.KEY_SCHEME.lower() else "",
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        model=headers.get(names.MODEL),
        prompt_tokens=prompt_tokens,
        output_tokens=int(_number(counts[1]) or 0) if len(counts) > 1 else 0,
        chain=make_prefix_chain(_parts(headers.get(names.PROMPT_PARTS)), prompt_tokens),
        resume_after=_whole(headers.get(names.LAST_EVENT_ID)),
    )


def encode_for_target(request: HttpRequest, told: TargetHeaders) -> HttpRequest:
    """Return the request as a target gets it; only the headers change."""
    headers = request.headers.end_to_end()
    dropped = set(names.SYSTEM_HEADERS)
    if told.resume_after is not None:
        dropped.add(names.LAST_EVENT_ID.lower())
    headers = headers.without(dropped)
    headers.add(names.DEADLINE_MS, str(max(1, int(told.deadline_s * 1000))))
    headers.add(names.EXPECT_TARGET, told.target_id)
    _add(headers, names.ORGANISATION, told.organisation)
    _add(headers, names.PRIORITY, told.priority)
    _add(headers, names.EXPECT_WEIGHTS, told.weights_version)
    _add(headers, names.CACHE_SALT, told.cache_salt)
    _add(headers, names.CACHE_FETCH, told.fetch_from)
    _add(headers, names.CACHE_SAVE, told.save_to)
    _add(headers, names.LAST_EVENT_ID, told.resume_after)
    _add(headers, names.RUN_ORIGIN, told.run_origin)
    return HttpRequest(request.method, request.target, headers, request.body)


def decode_answer(status: int, headers: Headers) -> AnswerHead:
    """Read the headers of a target's answer."""
    has_refused = bool(headers.get(names.NOT_RUN)) or status == 421
    return AnswerHead(
        request_id=headers.get(names.REQUEST_ID),
        stamp=headers.get(names.STAMP),
        is_not_run=has_refused,
        target_id=headers.get(names.TARGET_ID),
        weights_version=_whole(headers.get(names.WEIGHTS_VERSION)),
        is_leaving=headers.get(names.LEAVING).strip() == "1",
        retry_after_s=_number(headers.get(names.RETRY_AFTER))
        if status == 503
        else None,
    )


def refusal_headers(request_id: str, retry_after_s: float | None) -> Headers:
    """Return the headers of an answer that this system makes itself."""
    headers = Headers()
    _add(headers, names.REQUEST_ID, request_id)
    if retry_after_s is not None:
        headers.add(names.RETRY_AFTER, f"{retry_after_s:.3f}")
    return headers


def _add(headers: Headers, name: str, value: str | int | None) -> None:
    if value not in ("", None):
        headers.add(name, str(value))


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(","):
        part_id, _, tokens = item.strip().partition(":")
        count = _number(tokens)
        if not part_id or count is None:
            return tuple(parts)
        parts.append(PromptPart(part_id, int(count)))
    return tuple(parts)


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < 1e12 else None


def _whole(text: str) -> int | None:
    text = text.strip()
    return int(text) if text.isdecimal() and len(text) < 16 else None
