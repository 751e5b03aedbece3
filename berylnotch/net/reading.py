"""Incremental parser of HTTP requests that refuses malformed or ambiguous ones.

Ambiguous framing, such as two lengths, is refused so that no request can be smuggled
inside another.
"""

from __future__ import annotations

from collections.abc import Callable

import httptools
from attrs import frozen

from berylnotch.errors import RequestError
from berylnotch.net.messages import Headers, HttpRequest


@frozen
class HttpLimits:
    """Limits on the size, in bytes, and the duration, in seconds, of a request."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0

    def widen(self, other: HttpLimits) -> HttpLimits:
        """Return the higher of each of two limits."""
        if other is self:
            return self
        return HttpLimits(
            max(self.header_bytes, other.header_bytes),
            max(self.body_bytes, other.body_bytes),
            max(self.header_s, other.header_s),
            max(self.idle_s, other.idle_s),
        )


class UnreadableRequestError(RequestError):
    """A request that is refused with ``status`` before it is read in full."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class RequestReader:
    """Parses one request at a time from the bytes of a connection.

    Parameters
    ----------
    limits : callable
        Returns the current limits.
    """

    def __init__(self, limits: Callable[[], HttpLimits]) -> None:
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        #: Bytes received after the end of the request, not parsed yet.
        self.pipelined = bytearray()
        self.reset()

    @property
    def started_at(self) -> float:
        """Seconds from VM start to the first byte of the request; 0 without one."""
        return self._started_at

    @property
    def is_head_read(self) -> bool:
        """Whether the headers of the current request are complete."""
        return self._is_head_read

    @property
    def received_body_bytes(self) -> int:
        """Number of body bytes of the current request received so far."""
        return len(self._body)

    @property
    def has_pipelined(self) -> bool:
        """Whether bytes of another request are buffered; empty lines do not count."""
        return bool(self.pipelined.strip(b"\r\n"))

    @property
    def expects_continue(self) -> bool:
        """Whether the caller expects ``100 Continue`` before it sends the body."""
        return self._is_head_read and (
            self._headers.get("Expect").lower() == "100-continue"
        )

    def feed(self, now: float, data: bytes) -> HttpRequest | None:
        """Parse received bytes; return the request once it is complete.

        Raises
        ------
        UnreadableRequestError
            If the request is malformed, ambiguous or over the limits.
        """
        if not self._started_at:
            self._started_at = now
        try:
            self._parse(data)
        except httptools.HttpParserUpgrade as error:
            raise UnreadableRequestError(400, "upgrade is not supported") from error
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, UnreadableRequestError):
                raise cause from None
            raise UnreadableRequestError(400, f"unreadable: {cause!r}") from error
        except httptools.HttpParserError as error:
            raise UnreadableRequestError(400, f"unreadable: {error}") from error
        return self._take_request(now) if self._is_complete else None

    def reset(self) -> None:
        """Discard the current request and prepare for the next."""
        self._url = b""
        self._headers = Headers()
        self._body = bytearray()
        self._is_head_read = False
        self._is_complete = False
        self._keeps_alive = True
        self._started_at = 0.0
        self._head_bytes = 0
        self._head_tail = b""

    def _take_request(self, now: float) -> HttpRequest:
        request = HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            received_at=self._started_at,
            keep_alive=self._keeps_alive,
            read_at=now,
        )
        self.reset()
        return request

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Refuse a second request in the bytes given to the parser."""
        if self._is_complete:
            # A pipelined request is buffered and parsed after the current one is
            # answered. It reaches the parser only if the end of a chunked body was not
            # found, for example because trailers follow the last chunk.
            raise UnreadableRequestError(
                400, "second request before the end of the first"
            )

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; refuse control characters in its value."""
        text = value.decode("latin-1").strip()
        if any(char < " " and char != "\t" for char in text):
            raise UnreadableRequestError(400, "control character in a header value")
        self._headers.add(name.decode("latin-1"), text)

    def on_headers_complete(self) -> None:
        """Check the ``Host`` header, the framing and the announced length."""
        self._is_head_read = True
        limits = self._limits()
        headers = self._headers
        if headers.count("Host") != 1:
            raise UnreadableRequestError(400, "request without exactly one Host header")
        if headers.count("Content-Length") > 1:
            raise UnreadableRequestError(400, "more than one Content-Length header")
        if headers.get("Content-Length") and headers.get("Transfer-Encoding"):
            raise UnreadableRequestError(
                400, "both Content-Length and Transfer-Encoding headers"
            )
        length = headers.get("Content-Length")
        if length.isdecimal() and int(length) > limits.body_bytes:
            raise UnreadableRequestError(413, "body too large")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; refuse a body over the limit."""
        self._body += body
        if len(self._body) > self._limits().body_bytes:
            raise UnreadableRequestError(413, "body too large")

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self._is_complete = True
        # The parser forgets the Connection header after this callback.
        self._keeps_alive = self._parser.should_keep_alive()

    def _parse(self, data: bytes) -> None:
        # The parser gets the head and the body in separate calls and no byte beyond the
        # request, so that a pipelined request is not parsed before the first one is
        # answered.
        view = memoryview(data)
        while len(view) and not self._is_complete:
            if self._is_head_read:
                size = self._count_body_bytes(view)
            else:
                size = self._count_head_bytes(bytes(view))
            self._parser.feed_data(view[:size])
            view = view[size:]
        if len(view):
            self.pipelined += view

    def _count_head_bytes(self, data: bytes) -> int:
        # The empty line may have begun in the data of the previous call.
        sizes = [size for size in (1, 2) if self._ends_head(data[:size])]
        end = data.find(b"\n\r\n")
        if sizes:
            size = sizes[0]
        else:
            size = end + 3 if end >= 0 else len(data)
        self._head_bytes += size
        self._head_tail = (self._head_tail + data[:size])[-3:]
        if self._head_bytes > self._limits().header_bytes:
            raise UnreadableRequestError(431, "headers too large")
        return size

    def _ends_head(self, start: bytes) -> bool:
        return bool(self._head_tail) and (self._head_tail + start).endswith(b"\n\r\n")

    def _count_body_bytes(self, view: memoryview) -> int:
        length = self._headers.get("Content-Length")
        if length.isdecimal():
            return min(len(view), int(length) - len(self._body))
        # A chunked body has no known length; it is searched for its last chunk.
        end = bytes(view).find(b"\n0\r\n\r\n")
        return end + 6 if end >= 0 else len(view)
