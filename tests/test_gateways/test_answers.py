from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.errors import GatewayError
from berylnotch.gateways.cache_events import CacheEventKind, read_cache_events
from berylnotch.gateways.errors import (
    BusyError,
    InvalidResponseError,
    StaleFencingTokenError,
)
from berylnotch.gateways.kvstore import read_lookup
from berylnotch.gateways.load import TargetLoad, read_load, to_report
from berylnotch.gateways.orders import OrderAnswer, read_order_answer
from berylnotch.gateways.vmlist import VmState, read_vms
from berylnotch.gateways.weights import read_versions

READERS = [
    read_cache_events,
    read_load,
    read_order_answer,
    read_versions,
    read_vms,
    lambda status, body: read_lookup(status, body, "v1", 4),
]
_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(("vms", "events", "versions", "name", "pieces", "last")),
            inner,
            max_size=3,
        )
    ),
    max_leaves=6,
)


@pytest.mark.parametrize("read", READERS)
@given(value=_json, status=st.sampled_from((200, 200, 404, 409, 429, 503)))
def test_arbitrary_json_is_decoded_or_raises_a_gateway_error(read, value, status):
    try:
        read(status, json.dumps(value).encode())
    except GatewayError:
        return
    assert status == 200


@pytest.mark.parametrize("read", READERS)
@pytest.mark.parametrize("body", [b"", b"{", b"\xff", b"[" * 100_000])
def test_malformed_json_is_rejected(read, body):
    with pytest.raises(InvalidResponseError):
        read(200, body)


def test_load_report_is_dated_by_request_time_and_age():
    body = b'{"incarnation": "i", "queue_wait_s": 2, "age_s": 0.5, "name": "E1"}'
    load = read_load(200, body)
    assert load == TargetLoad(incarnation="i", queue_wait_s=2.0, age_s=0.5)
    report = to_report(load, requested_at=10.0)
    assert (report.measured_at, report.queue_wait_s) == (9.5, 2.0)


def test_cache_events_may_have_gaps_but_must_be_ordered():
    events = [
        {"sequence": 1, "kind": "stored", "block": "0a"},
        {"sequence": 3, "kind": "removed", "block": "0b"},
    ]
    answer = {"incarnation": "i", "weights": "v1", "last": 3, "events": events}
    decoded = read_cache_events(200, json.dumps(answer).encode())
    assert [e.kind for e in decoded.events] == [
        CacheEventKind.STORED,
        CacheEventKind.REMOVED,
    ]
    assert decoded.events[1].block == b"\x0b"
    answer["events"] = events[::-1]
    with pytest.raises(InvalidResponseError):
        read_cache_events(200, json.dumps(answer).encode())


def test_order_answers():
    answer = read_order_answer(200, b'{"version": "v2", "fence": 7}')
    assert answer == OrderAnswer("v2", 7)
    with pytest.raises(StaleFencingTokenError):
        read_order_answer(409, b"{}")


def test_vm_list():
    body = b'{"vms": [{"name": "a", "address": "10.0.0.1", "state": "leaving"}]}'
    assert read_vms(200, body).vms[0].state is VmState.LEAVING


def test_weight_store_rate_limit():
    with pytest.raises(BusyError):
        read_versions(429, b"")
    versions = read_versions(200, b'{"versions": [{"version": "v1"}]}')
    assert versions.has_version("v1")
    assert not versions.has_version("v2")


@pytest.mark.parametrize(("weights", "pieces"), [("v1", 3), ("v0", 0)])
def test_stored_cache_of_other_weights_is_not_imported(weights, pieces):
    body = json.dumps({"pieces": 3, "weights": weights}).encode()
    assert read_lookup(200, body, "v1", 4) == pieces
    with pytest.raises(InvalidResponseError):
        read_lookup(200, body, "v1", 2)
