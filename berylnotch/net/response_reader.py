"""Reader of responses, which refuses those that are not sound HTTP."""

from __future__ import annotations

from collections.abc import Callable

import httptools
from attrs import frozen

from berylnotch.errors import GatewayError
from berylnotch.net.messages import Headers
from berylnotch.net.response_checks import (
    BodyEnd,
    UnsoundResponseError,
    check_status,
    find_body_end,
)

#: Begin of each response. The parser accepts the names of two other protocols as well.
_PROTOCOL = b"HTTP/"

#: Maximum overhead of one exchange, in bytes, in addition to the length of the
#: response's body. Overhead is every received byte outside this body: heads, interim
#: responses, responses to other requests, chunk sizes and trailers.
MAX_OVERHEAD_BYTES = 256 * 1024

#: Maximum number of headers and trailers of one exchange, over all its responses. Each
#: takes much more memory than its bytes.
MAX_HEADERS = 1000

#: Maximum number of interim responses, and of responses to other requests, in one
#: exchange.
MAX_DISCARDED_RESPONSES = 100


class ResponseLimitError(GatewayError):
    """A response exceeds a limit of the client."""


@frozen
class ResponseHead:
    """Status and headers of a response.

    ``is_delimited`` is true if a length or chunked encoding marks the end of the
    body. Otherwise, the body ends when the target closes the connection.
    """

    status: int
    headers: Headers
    is_delimited: bool


class ResponseReader:
    """Reads the response to one request, and skips other ones before it.

    Parameters
    ----------
    method : str
        Method of the request.
    on_head : callable
        Called with the head of each response that is not interim. Returns whether the
        response belongs to the request.
    on_body : callable
        Called with each part of the body of the response to the request.
    """

    def __init__(
        self,
        method: str,
        on_head: Callable[[ResponseHead], bool],
        on_body: Callable[[bytes], None],
    ) -> None:
        self._method = method
        self._pass_head = on_head
        self._pass_body = on_body
        self._parser = httptools.HttpResponseParser(self)
        self._first_bytes = b""
        self._received_bytes = self._delivered_bytes = 0
        self._header_count = self._discarded_responses = 0
        self._begin_response()
        self._is_complete = False
        self._is_reusable = True
        self._keep_alive_s: float | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the end of the response was read."""
        return self._is_complete

    @property
    def ends_with_connection(self) -> bool:
        """Whether the response is complete if the connection ends now."""
        return self._is_head_read and not self._is_skipping and not self._is_delimited

    @property
    def is_reusable(self) -> bool:
        """Whether another response may follow on the connection."""
        return self._is_reusable

    @property
    def keep_alive_s(self) -> float | None:
        """Idle timeout in seconds that the target announced, if any."""
        return self._keep_alive_s

    def feed(self, data: bytes) -> None:
        """Read received bytes.

        Raises
        ------
        ResponseLimitError
            If the responses exceed a limit.
        UnsoundResponseError
            If a response is not sound HTTP. Bytes after a complete response only
            prevent that the connection is used again.
        """
        self._received_bytes += len(data)
        try:
            self._parse(data)
        except (
            UnsoundResponseError,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._is_reusable = False
            if not self._is_complete:
                raise UnsoundResponseError(str(error)) from error
        max_bytes = MAX_OVERHEAD_BYTES + 2 * self._delivered_bytes
        if not self._is_complete and self._received_bytes > max_bytes:
            raise ResponseLimitError(f"no whole answer in {self._received_bytes} bytes")

    def _parse(self, data: bytes) -> None:
        """Pass bytes to the parser, and raise errors of its callbacks as they are."""
        self._check_protocol(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            raise error.__context__ or error from None

    def _check_protocol(self, data: bytes) -> None:
        """Check that the first bytes name the protocol."""
        if len(self._first_bytes) == len(_PROTOCOL):
            return
        if not self._first_bytes:
            # An empty line may be left from the response before.
            data = data.lstrip(b"\r\n")
        self._first_bytes += data[: len(_PROTOCOL) - len(self._first_bytes)]
        if not _PROTOCOL.startswith(self._first_bytes):
            raise UnsoundResponseError("response of another protocol")

    def _begin_response(self) -> None:
        self._headers = Headers()
        self._reason = b""
        self._is_head_read = False
        self._is_delimited = False
        self._is_skipping = False

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Prevent reuse if another response begins after the response is complete."""
        if self._is_complete:
            self._is_reusable = False

    def on_status(self, reason: bytes) -> None:
        """Add a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header and drop a trailer; refuse too many of both."""
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            raise ResponseLimitError(
                f"over {MAX_HEADERS} headers in {self._received_bytes} bytes"
            )
        # Trailers arrive after the head was checked and passed on.
        if not self._is_head_read:
            text = value.decode("latin-1").strip(" \t")
            self._headers.add(name.decode("latin-1"), text)

    def on_headers_complete(self) -> None:
        """Check the head, and pass it on unless the response is interim (1xx)."""
        if self._is_complete:
            return
        parser, headers = self._parser, self._headers
        status, version = parser.get_status_code(), parser.get_http_version()
        check_status(version, status, self._reason)
        if status < 200:
            return
        body_end = find_body_end(self._method, version, status, headers)
        self._is_delimited = body_end is not BodyEnd.CLOSE
        self._is_head_read = True
        if not self._is_delimited or not parser.should_keep_alive():
            self._is_reusable = False
        self._read_keep_alive()
        if not self._pass_head(ResponseHead(status, headers, self._is_delimited)):
            self._is_skipping = True
            self._is_reusable = False
        elif self._method == "HEAD":
            # The parser does not know the method, so it would wait for a body.
            self._is_complete = True

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        if self._is_complete:
            self._is_reusable = False
        elif not self._is_skipping:
            self._delivered_bytes += len(data)
            self._pass_body(data)

    def on_message_complete(self) -> None:
        """Handle the end of a response; drop an interim or skipped response."""
        if self._is_head_read and not self._is_skipping:
            self._is_complete = True
            return
        self._discarded_responses += 1
        if self._discarded_responses > MAX_DISCARDED_RESPONSES:
            raise ResponseLimitError(
                f"over {MAX_DISCARDED_RESPONSES} interim or other responses in "
                f"{self._received_bytes} bytes"
            )
        # The response to the current request may follow in the same segment.
        self._begin_response()

    def _read_keep_alive(self) -> None:
        for part in self._headers.get("Keep-Alive").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdecimal():
                self._keep_alive_s = float(value)
