"""Odd values in the bodies of language requests."""

import json

import pytest

from berylnotch.server.errors import Refusal
from berylnotch.server.intake import MAX_OUTPUT_TOKENS, read_language_call


def _read(**changes):
    message = {"role": "user", "content": "x"}
    body = json.dumps({"model": "m", "messages": [message], **changes})
    return read_language_call(body.encode(), is_chat=True)


@pytest.mark.parametrize("name", ["max_tokens", "max_completion_tokens"])
def test_limit_of_tokens_is_never_too_large_for_a_float(name):
    assert _read(**{name: 7}).max_tokens == 7
    assert float(_read(**{name: 10**400}).max_tokens) == MAX_OUTPUT_TOKENS


@pytest.mark.parametrize("limit", [-1, True, 1e400, "٣"])
def test_odd_limit_of_tokens_is_refused(limit):
    with pytest.raises(Refusal) as error:
        _read(max_tokens=limit)
    assert error.value.status == 400
