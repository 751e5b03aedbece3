from __future__ import annotations

import pytest

from benchmarks.stream_check import StreamCheck

END = b"id: 4\ndata: [DONE]\n\n"


def event(number, text=None):
    text = number if text is None else text
    return b'id: B.%d\ndata: {"text": "s-%d "}\n\n' % (number, text)


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (event(1) + event(2) + event(3) + END, None),
        (event(1) + event(3) + END, "out_of_order"),
        (event(1) + event(2) + event(2) + event(3) + END, "duplicated"),
        (event(1) + event(2, 1) + event(3) + END, "wrong"),
        (event(1) + event(2) + END, "lost"),
        (event(1) + event(2) + event(3), None),
        (event(1) + event(2) + event(3) + b'data: {"error": {}}\n\n' + END, "error"),
    ],
)
def test_each_fault_is_detected(data, fault):
    check = StreamCheck(tokens=2)
    for offset in range(0, len(data), 7):
        check.feed(data[offset : offset + 7])
    assert check.is_whole is (fault is None and check.has_ended)
    if fault is not None:
        assert getattr(check, fault)
