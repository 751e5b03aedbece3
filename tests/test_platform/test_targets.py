"""The platform's list, engines' reports and orders."""

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

GOOD = {
    "id": "i-1",
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "north",
    "slots": 4,
    "state": "ready",
    "born": 5,
    "models": [{"name": "m", "version": 2, "adapters": []}],
}


def page(*entries, next_page=None):
    body = {"instances": list(entries), "nextToken": next_page}
    return HttpResponse(200, Headers(), json.dumps(body).encode())


def test_reads_a_target():
    read = decode_page(page(GOOD, next_page="p-2"))
    (target,) = read.targets
    assert target.target_id == "i-1" and target.address == "10.0.0.1:80"
    assert target.models == (ModelVersion("m", 2),) and target.born_ms == 5
    assert read.next_page == "p-2" and read.skipped == 0


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
def test_leaves_out_entries_of_other_writers(change):
    read = decode_page(page({**GOOD, **change}, GOOD, 5, None, []))
    assert [t.target_id for t in read.targets] == ["i-1"]
    assert read.skipped == 4


def test_unreadable_bytes_of_one_entry_do_not_hide_the_others():
    body = page({**GOOD, "id": "odd"}, GOOD).body.replace(b'"odd"', b'"\xff\xfe"', 1)
    read = decode_page(HttpResponse(200, Headers(), body))
    assert "i-1" in [t.target_id for t in read.targets]


@pytest.mark.parametrize(
    "response",
    [
        HttpResponse(429),
        HttpResponse(200, Headers(), b"{"),
        HttpResponse(200, Headers(), b"{}"),
        HttpResponse(200, Headers(), b'{"instances":[],"nextToken":5}'),
    ],
)
def test_refuses_what_is_no_page(response):
    with pytest.raises(FieldError):
        decode_page(response)


def test_page_token_is_quoted():
    assert list_request("h", "a b&c").target == "/instances?pageToken=a%20b%26c"


def test_reads_a_report_and_writes_an_order():
    body = {"models": GOOD["models"], "busy": True, "seqNo": 3, "born": 5}
    read = decode_report(HttpResponse(200, Headers(), json.dumps(body).encode()))
    assert read.is_busy and read.orders_taken == 3
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
