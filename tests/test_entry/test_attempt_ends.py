"""What an attempt leaves behind when it ends, without a network.

The tests guard against targets that stay blocked or seem busy, and against memory that
stays counted, after answers that end in an unusual way.
"""

from types import SimpleNamespace

import pytest

from berylnotch.net.messages import Headers
from berylnotch.net.response_reader import ResponseHead
from berylnotch.util.clock import boot_time
from tests.test_entry.support import make_exchange


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (503, (("Berylnotch-Request-Id", "id-1"),)),
        (200, (("Berylnotch-Request-Id", "id-1"),)),
    ],
    ids=["refusal-without-a-promise", "no-stamp"],
)
def test_a_probe_whose_answer_is_unusable_does_not_block_its_target(
    context, status, headers
):
    # A target is blocked while a request probes it.
    exchange, _, _ = make_exchange(context)
    attempt, target = exchange._attempt, context.targets.get("e")
    target.ejection.duration_s = 1.0
    attempt._outcome.on_sent(boot_time())
    assert target.ejection.is_blocked(boot_time())
    attempt._connection = SimpleNamespace(
        is_reused=False, is_reusable=False, close=lambda: None
    )
    attempt.on_head(ResponseHead(status, Headers(headers), is_delimited=True))
    attempt.on_complete()
    assert not target.ejection.is_blocked(boot_time())


class Migration:
    """Migration whose call to stop the run has no answer yet."""

    on_stream_end, has_unanswered_stop, is_cancelled = None, True, False

    def cancel(self):
        self.is_cancelled = True


def test_a_run_that_ends_during_its_migration_is_released_once(context):
    # A stream with a length or chunks shows its end, also while a migration goes on.
    exchange, _, _ = make_exchange(context)
    attempt, target = exchange._attempt, context.targets.get("e")
    attempt._connection = SimpleNamespace(
        is_reused=False, is_reusable=False, close=lambda: None
    )
    attempt._migration = migration = Migration()
    attempt._abort("event exceeds the limit")
    assert migration.is_cancelled and attempt._migration is None
    assert exchange.unanswered_stops == {target.target_id}
    assert target.in_flight <= 1


def test_memory_of_a_stream_is_freed_once_its_events_are_whole(context):
    exchange, _, _ = make_exchange(context)
    attempt = exchange._attempt
    attempt._connection = SimpleNamespace(
        is_reused=False, pause=lambda: None, resume=lambda: None, close=lambda: None
    )
    headers = Headers(
        (
            ("Berylnotch-Request-Id", "id-1"),
            ("Berylnotch-Server-Stamp", "stamp"),
            ("Content-Type", "text/event-stream"),
        )
    )
    attempt.on_head(ResponseHead(200, headers, is_delimited=True))
    attempt.on_body(b"id: 1\ndata: " + b"x" * 1000)
    assert context.response_memory.total_bytes > 1000
    attempt.on_body(b"\n\n")
    assert context.response_memory.total_bytes == 0
