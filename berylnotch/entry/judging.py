"""Whether the answer of a target is its whole answer to the request."""

from __future__ import annotations

from berylnotch.net.client import ResponseHead
from berylnotch.net.messages import Headers
from berylnotch.platform.requests import AnswerHead


def is_encoded(head: ResponseHead) -> bool:
    """Tell whether the body is in an encoding that no caller asked for."""
    encoding = head.headers.get("Content-Encoding").lower()
    return head.status < 300 and encoding not in ("", "identity")


def passed_on(head: ResponseHead) -> Headers:
    """Return the headers that a caller gets; the length is set anew."""
    return head.headers.end_to_end().without(("content-length",))


def problem_of(
    head: ResponseHead,
    answer: AnswerHead,
    stream_tail: bytes | None,
    may_be_stopped: bool,
) -> str:
    """Return why an answer is not the target's whole one, empty if it is.

    Parameters
    ----------
    head : ResponseHead
        Head of the answer.
    answer : AnswerHead
        What its headers say.
    stream_tail : bytes or None
        What is left of a stream after its last whole event, None if it is no stream.
    may_be_stopped : bool
        Whether the target may have stopped the run without saying so.
    """
    if head.status >= 300:
        return ""
    if not answer.stamp:
        return "answer without a stamp"
    if is_encoded(head):
        return "encoded answer"
    if stream_tail is not None and not head.is_delimited:
        # The end of the connection is the end of the stream, or a loss.
        if stream_tail:
            return "stream ends within an event"
        if may_be_stopped:
            return "stream ends, and may have been stopped"
    return ""
