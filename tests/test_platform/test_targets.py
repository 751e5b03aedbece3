"""Decoding of the target list and of engines' reports; encoding of orders."""

import json

import pytest

from berylnotch.membership.listing import ModelVersion
from berylnotch.net.messages import Headers, HttpResponse
from berylnotch.platform.fields import FieldError
from berylnotch.platform.targets import (
    WeightsOrder,
    decode_page,
    decode_report,
    list_request,
    order_request,
)

VALID_ENTRY = {
    "id": "i-1",
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "north",
    "slots": 4,
    "state": "ready",
    "born": 5,
    "models": [{"name": "m", "version": 2, "adapters": []}],
}


def make_page(*entries, next_page=None):
    body = {"instances": list(entries), "nextToken": next_page}
    return HttpResponse(200, Headers(), json.dumps(body).encode())


def test_decodes_target():
    decoded = decode_page(make_page(VALID_ENTRY, next_page="p-2"))
    (target,) = decoded.targets
    assert target.target_id == "i-1" and target.address == "10.0.0.1:80"
    assert target.models == (ModelVersion("m", 2),) and target.born_ms == 5
    assert decoded.next_page == "p-2" and decoded.skipped == 0


@pytest.mark.parametrize(
    "change",
    [
        {"id": None},
        {"id": 7},
        {"service": None},
        {"address": "somewhere"},
        {"address": None},
        {"state": "resting"},
        {"state": 1},
        {"models": "m"},
        {"models": [{"name": "m"}]},
        {"born": "early"},
        {"slots": "many"},
    ],
)
def test_skips_unusable_entries(change):
    decoded = decode_page(
        make_page({**VALID_ENTRY, **change}, VALID_ENTRY, 5, None, [])
    )
    assert [t.target_id for t in decoded.targets] == ["i-1"]
    assert decoded.skipped == 4


def test_invalid_utf8_in_one_entry_does_not_hide_the_others():
    body = make_page({**VALID_ENTRY, "id": "odd"}, VALID_ENTRY).body.replace(
        b'"odd"', b'"\xff\xfe"', 1
    )
    decoded = decode_page(HttpResponse(200, Headers(), body))
    assert "i-1" in [t.target_id for t in decoded.targets]


@pytest.mark.parametrize(
    ("listed", "decoded"),
    [
        ("v1", "v1"),
        ("", ""),
        (None, ""),
        (2, ""),
        (["v1"], ""),
        ("v" * 64, "v" * 64),
        ("v" * 65, ""),
        ("v\n1", ""),
        ("v\ud800", ""),
    ],
)
def test_engine_with_an_odd_software_version_still_serves(listed, decoded):
    (target,) = decode_page(make_page({**VALID_ENTRY, "version": listed})).targets
    assert target.software_version == decoded


@pytest.mark.parametrize(
    "response",
    [
        HttpResponse(429),
        HttpResponse(200, Headers(), b"{"),
        HttpResponse(200, Headers(), b"{}"),
        HttpResponse(200, Headers(), b'{"instances":[],"nextToken":5}'),
    ],
)
def test_rejects_malformed_page(response):
    with pytest.raises(FieldError):
        decode_page(response)


def test_page_token_is_quoted():
    assert list_request("h", "a b&c").target == "/instances?pageToken=a%20b%26c"


def test_decodes_report_and_encodes_order():
    body = {"models": VALID_ENTRY["models"], "busy": True, "seqNo": 3, "born": 5}
    decoded = decode_report(HttpResponse(200, Headers(), json.dumps(body).encode()))
    assert decoded.is_busy and decoded.orders_taken == 3
    order = WeightsOrder("m", 4, "core-1", 9, "i-1", 3)
    sent = order_request("h", order)
    assert json.loads(sent.body) == {
        "op": "version",
        "model": "m",
        "version": 4,
        "method": "wait",
        "holder": "core-1",
        "fence": 9,
        "expectedRev": 3,
    }
    assert sent.headers.get("Berylnotch-Expect-Instance") == "i-1"
