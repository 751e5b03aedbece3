from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from berylnotch.streams.actions import FinishReason, RunStatus
from berylnotch.streams.inputs import ExchangeSettings

from .fakes import (
    END_MARKER,
    AttemptScript,
    ExchangeDriver,
    caller_event,
    make_exchange,
)

KINDS = ("serve", "connect", "refuse", "lost", "error", "empty")
_attempt_scripts = st.builds(
    AttemptScript,
    kind=st.sampled_from((*KINDS, "serve", "serve")),
    events=st.integers(1, 14),
    chunk_bytes=st.sampled_from((3, 11, 40, 200)),
    ends_cleanly=st.booleans(),
    skipped_event=st.integers(0, 14),
    repeated_event=st.integers(0, 14),
    weights=st.sampled_from(("v1", "v1", "v1", "v2")),
    request_id=st.sampled_from(("r1", "r1", "r1", "other")),
)
_script_lists = st.lists(_attempt_scripts, max_size=8)


@settings(max_examples=200)
@given(_script_lists, st.integers(1, 10), st.integers(0, 4))
def test_stream_is_complete_and_in_order_or_ends_with_an_error(
    scripts, total, resume_after
):
    resume_after = min(resume_after, total)
    weights = "v1" if resume_after else ""
    exchange = make_exchange(resume_after=resume_after, weights=weights)
    driver = ExchangeDriver(exchange, list(scripts), total).run()
    assert driver.finish is not None
    if driver.head is None or driver.head.status != 200:
        assert driver.finish.reason is not FinishReason.COMPLETE or driver.head
        return
    served = [script for script in scripts if script.kind == "serve"]
    base = b"B-v1" if b"B-v1" in driver.sent_body or not served else b"B-v2"
    expected = b"".join(
        caller_event(n).replace(b"B-v1", base)
        for n in range(resume_after + 1, total + 1)
    )
    if driver.finish.reason is FinishReason.COMPLETE:
        assert driver.sent_body == expected + END_MARKER
        return
    events, error = driver.sent_body[:-2].rsplit(b"\n\n", 1)
    assert expected.startswith(events + b"\n\n")
    assert error.startswith(b'data: {"error"')


@settings(max_examples=200)
@given(_script_lists, st.booleans(), st.booleans())
def test_marks_match_actual_runs(scripts, stream, idempotent):
    exchange = make_exchange(stream=stream, idempotent=idempotent)
    driver = ExchangeDriver(exchange, list(scripts), 5, stream=stream).run()
    run_status = driver.finish.run_status
    assert exchange.run_status is run_status
    if run_status is RunStatus.NOT_RUN:
        assert driver.run_count == 0
    if run_status is RunStatus.RAN:
        assert driver.run_count > 0
    if driver.run_count == 0:
        assert run_status is RunStatus.NOT_RUN
    if driver.head is not None:
        assert driver.head.run_status is run_status


@settings(max_examples=200)
@given(_script_lists, st.booleans())
def test_at_most_one_run_unless_idempotent(scripts, stream):
    exchange = make_exchange(stream=stream, idempotent=False)
    driver = ExchangeDriver(exchange, list(scripts), 5, stream=stream).run()
    assert driver.run_count <= 1


@given(_script_lists)
def test_buffered_response_is_complete_or_refused(scripts):
    exchange = make_exchange(
        stream=False,
        is_whole=lambda body: body.endswith(END_MARKER),
        echo_required=True,
    )
    driver = ExchangeDriver(exchange, list(scripts), 5, stream=False).run()
    if driver.head is not None and driver.head.status == 200:
        assert driver.sent_body.endswith(END_MARKER)
        assert driver.head.content_length == len(driver.sent_body)
    else:
        assert driver.finish.status in (0, 502, 503, 504)


@given(_script_lists)
def test_attempts_are_bounded_and_failed_targets_excluded(scripts):
    exchange_settings = ExchangeSettings(max_attempts=2, max_attempts_total=4)
    driver = ExchangeDriver(
        make_exchange(exchange_settings), list(scripts) * 3, 12
    ).run()
    assert len(driver.starts) <= 4
    for failure, start in zip(driver.failures, driver.starts[1:], strict=False):
        assert failure.target in start.exclude


@given(
    st.lists(st.sampled_from(("key", "quota", "go", "feed")), max_size=30),
    st.integers(1, 200),
)
def test_paused_stream_holds_bounded_bytes_and_loses_no_events(steps, limit):
    from berylnotch.streams.actions import SendBytes
    from berylnotch.streams.inputs import PauseReason, ResponseHead

    from .fakes import engine_event

    exchange = make_exchange(ExchangeSettings(max_held_bytes=limit))
    number, sent, delivered = 0, 0, b""

    def perform(actions):
        nonlocal number, sent, delivered
        for action in actions:
            if isinstance(action, SendBytes):
                delivered += action.data
            elif type(action).__name__ == "StartAttempt":
                number, sent = action.number, action.resume_after
                exchange.attempt_started(0, number, f"E{number}")
                head = ResponseHead(200, content_type="text/event-stream")
                exchange.on_response_head(0, number, head)

    perform(exchange.start(0))
    for step in steps:
        if step == "feed":
            sent += 1
            before = delivered
            perform(exchange.on_response_chunk(0, number, engine_event(sent)))
            assert not exchange.is_paused or delivered == before
        elif step == "go":
            perform(exchange.resume(0, PauseReason.KEY))
            perform(exchange.resume(0, PauseReason.QUOTA))
        else:
            perform(exchange.pause(0, PauseReason(step)))
        assert exchange.buffered_bytes <= limit
    perform(exchange.resume(0, PauseReason.KEY))
    perform(exchange.resume(0, PauseReason.QUOTA))
    position = exchange.position
    expected = b"".join(caller_event(n) for n in range(1, position + 1))
    assert delivered == expected.replace(b"B-v1", b"B-")
