from __future__ import annotations

import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from berylnotch.gateways.engine import (
    EngineAddress,
    GenerationRequest,
    build_generation,
    completion_tokens,
    is_whole_answer,
    read_engine_head,
)
from berylnotch.gateways.errors import ForbiddenRequestError, InvalidResponseError
from berylnotch.gateways.plain import (
    ALLOWED_HEADERS,
    PlainRequest,
    build_plain,
    read_plain_head,
)
from berylnotch.streams.actions import Header

KEY = "bn-0123456789abcdef"
TARGET = EngineAddress("127.0.0.1:1", "target-credential")


def make_plain(**kwargs):
    values = {
        "method": "POST",
        "path": "/orders",
        "query": "",
        "headers": {},
        "body": b"{}",
        "request_id": "r1",
        "caller_key": KEY,
        "reserved": ("/standin",),
        **kwargs,
    }
    return PlainRequest(**values)


def make_generation(**kwargs):
    values = {
        "path": "/v1/completions",
        "body": b"{}",
        "request_id": "r1",
        "cache_scope": "o1",
        "caller_key": KEY,
        **kwargs,
    }
    return GenerationRequest(**values)


_names = st.sampled_from(
    (
        *ALLOWED_HEADERS,
        "authorization",
        "cookie",
        "forwarded",
        "proxy-authorization",
        "x-api-key",
        "x-forwarded-for",
        "x-organisation",
    )
)
_values = st.sampled_from((KEY, f"Bearer {KEY}", "text/plain", "a%2Db", "b\r\nx: y"))


@given(
    st.dictionaries(_names, _values),
    st.lists(st.sampled_from(("a=1", f"key={KEY}", "key=bn%2D0123456789abcdef"))),
)
def test_no_part_of_a_plain_request_contains_the_key(headers, query):
    request = build_plain(
        TARGET, make_plain(headers=headers, query="&".join(query)), 1.0
    )
    text = repr(request)
    assert KEY not in text
    assert "bn%2D" not in text
    names = {header.name for header in request.headers}
    assert names <= {*ALLOWED_HEADERS, "authorization", "x-request-id"}
    assert Header("authorization", "Bearer target-credential") in request.headers
    assert not any("\r" in h.value or "\n" in h.value for h in request.headers)
    assert request.url.count("a=1") == query.count("a=1")


@pytest.mark.parametrize(
    "changes",
    [
        {"body": KEY.encode()},
        {"path": f"/orders/{KEY}"},
        {"path": "/orders/bn%2D0123456789abcdef"},
        {"path": "/standin/faults"},
        {"path": "//standin/faults"},
        {"path": "/%73tandin/faults"},
        {"path": "/orders/../standin/faults"},
        {"path": "/orders/%2e%2e/standin/faults"},
        {"path": "/a b"},
        {"path": "/a\r\nx: y"},
        {"path": "orders"},
        {"path": "/orders?key=1"},
        {"query": "a b"},
        {"query": "a#b"},
        {"method": "TRACE"},
        {"method": "get it"},
    ],
)
def test_forbidden_plain_requests(changes):
    with pytest.raises(ForbiddenRequestError):
        build_plain(TARGET, make_plain(**changes), 1.0)


def test_engine_request_headers():
    request = build_generation(
        TARGET, make_generation(stream=True, priority=3), 1.0, resume_after=7
    )
    fields = {header.name: header.value for header in request.headers}
    assert fields["authorization"] == "Bearer target-credential"
    assert fields["x-request-id"] == "r1"
    assert fields["x-cache-scope"] == "o1"
    assert fields["x-priority"] == "3"
    assert fields["x-resume-after"] == "7"
    assert fields["accept"] == "text/event-stream"


@pytest.mark.parametrize(
    "changes", [{"path": "/standin/orders"}, {"path": "/v1/completions/"}]
)
def test_other_engine_paths_are_forbidden(changes):
    with pytest.raises(ForbiddenRequestError):
        build_generation(TARGET, make_generation(**changes), 1.0)


def test_key_in_generation_body_is_forbidden():
    with pytest.raises(ForbiddenRequestError):
        build_generation(TARGET, make_generation(body=f'"{KEY}"'.encode()), 1.0)


def test_engine_response_head():
    head = read_engine_head(
        [
            b"HTTP/1.1 503 Service Unavailable\r\n",
            b"Content-Type: Application/JSON; charset=utf-8\r\n",
            b"X-Request-Id: r1\r\n",
            b"X-Weights: v2\r\n",
            b"X-Incarnation: i1\r\n",
            b"X-Not-Run: 1\r\n",
            b"Retry-After: 3\r\n",
            b"\r\n",
        ]
    )
    assert (head.status, head.content_type) == (503, "application/json")
    assert (head.request_id, head.weights, head.incarnation) == ("r1", "v2", "i1")
    assert (head.not_run, head.retry_after_s) == (True, 3.0)
    assert {h.name for h in head.headers} == {"content-type", "retry-after"}


@given(st.lists(st.binary(max_size=40), max_size=4))
def test_arbitrary_head_is_decoded_or_rejected(lines):
    try:
        read_plain_head(lines)
    except InvalidResponseError:
        pass


@given(st.binary(max_size=30))
def test_arbitrary_body_is_no_complete_response(body):
    assume(b"choices" not in body)
    assert not is_whole_answer(body)
    assert completion_tokens(body) == 0


@pytest.mark.parametrize(
    ("body", "whole"),
    [
        (b'{"choices": [{}], "usage": {"completion_tokens": 3}}', True),
        (b'{"choices": []}', False),
        (b'{"choices": [{}]', False),
        (b"[]", False),
        (b"", False),
    ],
)
def test_complete_responses(body, whole):
    assert is_whole_answer(body) is whole
    assert completion_tokens(body) == (3 if whole else 0)
