"""Checks whether a target's response to a request is complete."""

from __future__ import annotations

import sys

from berylnotch.net.messages import Headers
from berylnotch.net.response_reader import ResponseHead
from berylnotch.platform.requests import AnswerHead

#: Number of digits of a length that are converted.
MAX_LENGTH_DIGITS = 18


def is_encoded(head: ResponseHead) -> bool:
    """Tell whether the body has a content encoding that was not requested."""
    return head.status < 300 and head.headers.has_content_encoding()


def announced_bytes(method: str, head: ResponseHead) -> int:
    """Return the length that a head announces for its body, 0 without one.

    Parameters
    ----------
    method : str
        Method of the request.
    head : ResponseHead
        Head of the response.
    """
    if method == "HEAD" or head.status in (204, 304):
        return 0
    length = head.headers.get("Content-Length")
    if not (length.isascii() and length.isdecimal()):
        return 0
    # The number may have more digits than Python converts.
    return int(length) if len(length) <= MAX_LENGTH_DIGITS else sys.maxsize


def forwarded_headers(head: ResponseHead) -> Headers:
    """Return the headers for the caller, without the length, which the router sets."""
    return head.headers.end_to_end().without(("content-length",))


def response_problem(
    head: ResponseHead,
    answer: AnswerHead,
    stream_tail: bytes | None,
    may_have_stopped: bool,
) -> str:
    """Return why a response is incomplete or unusable, empty if it is valid.

    Parameters
    ----------
    head : ResponseHead
        Head of the response.
    answer : AnswerHead
        Decoded headers of the response.
    stream_tail : bytes or None
        Bytes after the last whole event of a stream, None if the response is not a
        stream.
    may_have_stopped : bool
        Whether the target may have stopped the run without an answer to the call.
    """
    if head.status >= 300:
        return ""
    if not answer.stamp:
        return "response has no server stamp"
    if is_encoded(head):
        return "response has a content encoding that was not requested"
    if stream_tail is not None:
        # The text of an error may follow the events of a stream whose framing is valid.
        if stream_tail.strip():
            return "stream ended within an event"
        # The target closes its connection at the end of a stream and also if it fails.
        if may_have_stopped and not head.is_delimited:
            return "stream ended, possibly because its run was stopped for a migration"
    return ""
