from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from berylnotch.streams.actions import FinishReason, RunMark
from berylnotch.streams.inputs import ExchangeSettings

from .fakes import END, Script, Shell, for_caller, make_exchange

KINDS = ("serve", "connect", "refuse", "lost", "error", "empty")
_scripts = st.builds(
    Script,
    kind=st.sampled_from((*KINDS, "serve", "serve")),
    events=st.integers(1, 14),
    chunk=st.sampled_from((3, 11, 40, 200)),
    clean=st.booleans(),
    skip=st.integers(0, 14),
    repeat=st.integers(0, 14),
    weights=st.sampled_from(("v1", "v1", "v1", "v2")),
    request_id=st.sampled_from(("r1", "r1", "r1", "other")),
)
_script_lists = st.lists(_scripts, max_size=8)


@settings(max_examples=200)
@given(_script_lists, st.integers(1, 10), st.integers(0, 4))
def test_stream_is_the_whole_sequence_in_order_or_an_error(scripts, total, after):
    after = min(after, total)
    weights = "v1" if after else ""
    exchange = make_exchange(resume_after=after, weights=weights)
    shell = Shell(exchange, list(scripts), total).run()
    assert shell.finish is not None
    if shell.head is None or shell.head.status != 200:
        assert shell.finish.reason is not FinishReason.COMPLETE or shell.head
        return
    served = [s for s in scripts if s.kind == "serve"]
    base = b"B-v1" if b"B-v1" in shell.out or not served else b"B-v2"
    whole = b"".join(
        for_caller(n).replace(b"B-v1", base) for n in range(after + 1, total + 1)
    )
    if shell.finish.reason is FinishReason.COMPLETE:
        assert shell.out == whole + END
        return
    events, error = shell.out[:-2].rsplit(b"\n\n", 1)
    assert whole.startswith(events + b"\n\n")
    assert error.startswith(b'data: {"error"')


@settings(max_examples=200)
@given(_script_lists, st.booleans(), st.booleans())
def test_marks_are_true(scripts, stream, idempotent):
    exchange = make_exchange(stream=stream, idempotent=idempotent)
    shell = Shell(exchange, list(scripts), 5, stream=stream).run()
    mark = shell.finish.mark
    assert exchange.mark is mark
    if mark is RunMark.NOT_RUN:
        assert shell.runs == 0
    if mark is RunMark.RAN:
        assert shell.runs > 0
    if shell.runs == 0:
        assert mark is RunMark.NOT_RUN
    if shell.head is not None:
        assert shell.head.mark is mark


@settings(max_examples=200)
@given(_script_lists, st.booleans())
def test_at_most_one_run_unless_idempotent(scripts, stream):
    exchange = make_exchange(stream=stream, idempotent=False)
    shell = Shell(exchange, list(scripts), 5, stream=stream).run()
    assert shell.runs <= 1


@given(_script_lists)
def test_whole_answer_is_whole_or_refused(scripts):
    exchange = make_exchange(
        stream=False, is_whole=lambda body: body.endswith(END), echo_required=True
    )
    shell = Shell(exchange, list(scripts), 5, stream=False).run()
    if shell.head is not None and shell.head.status == 200:
        assert shell.out.endswith(END)
        assert shell.head.content_length == len(shell.out)
    else:
        assert shell.finish.status in (0, 502, 503, 504)


@given(_script_lists)
def test_attempts_are_bounded_and_failed_targets_excluded(scripts):
    bounds = ExchangeSettings(max_attempts=2, max_attempts_total=4)
    shell = Shell(make_exchange(bounds), list(scripts) * 3, 12).run()
    assert len(shell.starts) <= 4
    for failure, start in zip(shell.failures, shell.starts[1:], strict=False):
        assert failure.target in start.exclude


@given(
    st.lists(st.sampled_from(("key", "quota", "go", "feed")), max_size=30),
    st.integers(1, 200),
)
def test_paused_stream_holds_little_and_loses_nothing(steps, limit):
    from berylnotch.streams.actions import SendBytes
    from berylnotch.streams.inputs import PauseReason, ResponseHead

    from .fakes import event

    exchange = make_exchange(ExchangeSettings(max_held_bytes=limit))
    number, sent, out = 0, 0, b""

    def perform(actions):
        nonlocal number, sent, out
        for action in actions:
            if isinstance(action, SendBytes):
                out += action.data
            elif type(action).__name__ == "StartAttempt":
                number, sent = action.number, action.resume_after
                exchange.attempt_started(0, number, f"E{number}")
                head = ResponseHead(200, content_type="text/event-stream")
                exchange.head(0, number, head)

    perform(exchange.start(0))
    for step in steps:
        if step == "feed":
            sent += 1
            before = out
            perform(exchange.body(0, number, event(sent)))
            assert not exchange.is_paused or out == before
        elif step == "go":
            perform(exchange.resume(0, PauseReason.KEY))
            perform(exchange.resume(0, PauseReason.QUOTA))
        else:
            perform(exchange.pause(0, PauseReason(step)))
        assert exchange.buffered <= limit
    perform(exchange.resume(0, PauseReason.KEY))
    perform(exchange.resume(0, PauseReason.QUOTA))
    position = exchange.position
    expected = b"".join(for_caller(n) for n in range(1, position + 1))
    assert out == expected.replace(b"B-v1", b"B-")
