"""A stored answer is sent only if the key can be verified when the answer is found.

The key may be withdrawn while a claim is being proposed. A router that was suspended
meanwhile sent the answer when it resumed, before it had confirmed its view.
"""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from berylnotch.control.commands import ClaimRecord, ClaimState, Result, Status
from berylnotch.server.claims import ClaimClient
from berylnotch.server.errors import Refusal
from berylnotch.streams.actions import RunStatus

STORED = ClaimRecord(
    organisation="label-clerks",
    idempotency_key="i1",
    fingerprint=b"f",
    router="entry-1",
    attempt="a1",
    state=ClaimState.DONE,
    opened_ms=1,
    closed_ms=2,
    http_status=200,
    content_type="application/json",
    body=b'{"order": 1}',
)


def propose(command, timeout_s, on_result):
    on_result(Result(Status.EXISTS, claim=STORED))


def open_claim(key_refusal):
    """Open a claim that exists; return what was written, refused and replayed."""
    context = SimpleNamespace(
        settings=SimpleNamespace(name="entry-1"),
        incarnation="i",
        end_by=lambda job: time.monotonic() + 10.0,
        proposer=SimpleNamespace(propose=propose),
    )
    written, refusals, replays = [], [], []
    job = SimpleNamespace(
        request=SimpleNamespace(request_id="r1", idempotency_key="i1"),
        organisation_name="label-clerks",
        fingerprint=b"f",
        caller=SimpleNamespace(write=written.append, finish=lambda: None),
    )
    ClaimClient(context).open(
        job,
        on_claimed=lambda: pytest.fail("the request would run twice"),
        on_refused=refusals.append,
        on_replayed=lambda: replays.append(job),
        check_key=lambda: key_refusal,
    )
    return b"".join(written), refusals, replays


def test_stored_answer_is_sent_under_a_verified_key():
    written, refusals, replays = open_claim(None)
    assert written.endswith(STORED.body)
    assert (len(refusals), len(replays)) == (0, 1)


@pytest.mark.parametrize(
    "key_refusal",
    [
        Refusal(401, "invalid_key", "the key is not accepted"),
        Refusal(503, "keys_unverified", "not now", retry_after_s=1.0),
    ],
)
def test_stored_answer_is_not_sent_without_its_key_nor_called_not_run(key_refusal):
    written, (refusal,), replays = open_claim(key_refusal)
    assert (written, replays) == (b"", [])
    assert (refusal.status, refusal.code) == (key_refusal.status, key_refusal.code)
    assert refusal.run_status is RunStatus.RAN
    assert refusal.retry_after_s == key_refusal.retry_after_s
