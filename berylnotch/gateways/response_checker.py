"""Checks of the responses that curl receives.

curl accepts heads, chunks and ends of responses that the protocol forbids, or that do
not show whether the response is whole. It reports them as a success.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

import pycurl

from berylnotch.net.body_framing import (
    RESPONSE_CHUNKS,
    ChunkedFraming,
    UnreadableRequestError,
)
from berylnotch.net.messages import Headers
from berylnotch.net.response_checks import (
    BodyEnd,
    UnsoundResponseError,
    find_body_end,
    parse_field,
    parse_status_line,
)

#: Maximum size, in bytes, of the heads of one response and the interim ones before it.
MAX_HEAD_BYTES = 64 * 1024


class ResponseChecker:
    """Checks one response while curl receives it, and decodes its chunks.

    curl has to pass on the chunks as they were received.

    Parameters
    ----------
    method : str
        Method of the request.
    """

    def __init__(self, method: str) -> None:
        self._method = method
        self._head_bytes = 0
        self._lines: list[bytes] = []
        self._version, self._status = "", 0
        self._body_end: BodyEnd | None = None
        self._chunks: ChunkedFraming | None = None
        self._has_excess = False
        self._problem = ""

    @property
    def head_lines(self) -> tuple[bytes, ...]:
        """Lines of the last head, the status line first."""
        return tuple(self._lines)

    @property
    def must_stop(self) -> bool:
        """Whether curl has to end the transfer, and to close its connection.

        The response is unsound, or bytes follow it that belong to no response.
        """
        return bool(self._problem) or self._has_excess

    def feed_line(self, line: bytes) -> None:
        """Check a line of a head."""
        try:
            self._check_line(line)
        except UnsoundResponseError as error:
            self._problem = str(error)

    def feed_body(self, data: bytes) -> bytes:
        """Check received bytes of the body, and return the content in them."""
        if self._chunks is None:
            return data
        content = bytearray()
        try:
            size_bytes = self._chunks.feed(data, content, sys.maxsize)
        except UnreadableRequestError as error:
            self._problem = f"malformed chunks: {error.reason}"
            return b""
        self._has_excess = size_bytes < len(data)
        return bytes(content)

    def find_problem(self, error: str, is_request_received: bool) -> str:
        """Return why the response is not whole or not sound, empty if it is.

        Parameters
        ----------
        error : str
            Error that curl reports for the transfer, empty if it succeeded.
        is_request_received : bool
            Whether the kernel of the server has received the whole request.
        """
        if self._problem:
            return self._problem
        if self._has_excess:
            return ""
        if error:
            return error
        if self._body_end is None:
            # curl takes a connection that the server closes within the head for the
            # end of an empty response.
            return "connection closed within the head of the response"
        if self._chunks is not None and not self._chunks.is_complete:
            return "connection closed within a body in chunks"
        if self._body_end is BodyEnd.CLOSE and not is_request_received:
            # A server that ends then resets the connection as soon as the rest of the
            # request arrives, so the end does not prove that the response is whole.
            return "connection closed before the server received the whole request"
        return ""

    def _check_line(self, line: bytes) -> None:
        self._head_bytes += len(line)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise UnsoundResponseError(f"head exceeds {MAX_HEAD_BYTES} bytes")
        if self._body_end is not None:
            # curl reports trailers like headers, after the head was passed on.
            return
        text = line.removesuffix(b"\n").removesuffix(b"\r")
        if not self._lines:
            self._version, self._status = parse_status_line(text)
        elif not text:
            self._end_head()
            return
        self._lines.append(line)

    def _end_head(self) -> None:
        # Headers are parsed here, so that heads without end cost little.
        headers = Headers()
        for line in self._lines[1:]:
            headers.add(*parse_field(line.removesuffix(b"\n").removesuffix(b"\r")))
        if self._status < 200:
            # An interim response, which the final one follows.
            self._lines = []
            return
        self._body_end = find_body_end(
            self._method, self._version, self._status, headers
        )
        if self._body_end is BodyEnd.LAST_CHUNK:
            self._chunks = ChunkedFraming(RESPONSE_CHUNKS)


def watch_response(
    curl: pycurl.Curl,
    checker: ResponseChecker,
    on_content: Callable[[bytes], object],
    must_pause: Callable[[], bool] = lambda: False,
) -> None:
    """Let curl pass a response to a checker.

    Parameters
    ----------
    curl : pycurl.Curl
        Transfer that has not begun.
    checker : ResponseChecker
        Checks the response.
    on_content : callable
        Called with each part of the decoded body.
    must_pause : callable
        Returns whether curl has to pause, and to offer the same bytes again later.
    """

    # curl ends the transfer if a function returns another number than that of bytes.
    def on_header(line: bytes) -> int:
        checker.feed_line(line)
        return 0 if checker.must_stop else len(line)

    def on_body(data: bytes) -> int:
        if must_pause():
            return pycurl.WRITEFUNC_PAUSE
        content = checker.feed_body(data)
        if content:
            on_content(content)
        return 0 if checker.must_stop else len(data)

    # curl reads chunks leniently: it takes "0x4" for the last one, and "4g" for one of
    # four bytes.
    curl.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)
    curl.setopt(pycurl.HEADERFUNCTION, on_header)
    curl.setopt(pycurl.WRITEFUNCTION, on_body)
