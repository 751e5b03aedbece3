"""Incremental parser of HTTP requests that refuses malformed or ambiguous ones.

Ambiguous framing, such as two lengths, is refused so that no request can be smuggled
inside another.
"""

from __future__ import annotations

from collections.abc import Callable

import httptools
from attrs import frozen

from berylnotch.net.body_framing import (
    BodyFraming,
    ChunkedFraming,
    LengthFraming,
    UnreadableRequestError,
)
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


#: Maximum number of header lines of a request. As many short lines as fit into the
#: default limit of header bytes are fewer, so only larger limits of bytes meet it.
MAX_HEADER_LINES = 4096

#: Headers, in lower case, that decide on the framing of a request.
_FRAMING_HEADERS = frozenset(("host", "content-length", "transfer-encoding", "expect"))


class RequestReader:
    """Parses one request at a time from the bytes of a connection.

    Parameters
    ----------
    limits : callable
        Returns the current limits.
    """

    def __init__(self, limits: Callable[[], HttpLimits]) -> None:
        self._limits = limits
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
    def announced_body_bytes(self) -> int | None:
        """Announced size of the body in bytes; None if it comes in chunks."""
        return self._announced_body_bytes

    @property
    def head_bytes(self) -> int:
        """Number of bytes held of the headers of the current request."""
        return len(self._lines) + len(self._url)

    @property
    def line_count(self) -> int:
        """Number of header lines of the current request."""
        return self._line_count

    @property
    def has_pipelined(self) -> bool:
        """Whether bytes of another request are buffered; empty lines do not count."""
        return bool(self.pipelined.strip(b"\r\n"))

    @property
    def expects_continue(self) -> bool:
        """Whether the caller expects ``100 Continue`` before it sends the body."""
        return self._is_head_read and (
            self._framing_headers.get("expect", "").lower() == "100-continue"
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

    def take_broken(self, now: float) -> HttpRequest:
        """Return the current request, whose body is incomplete, without the body."""
        self._body.clear()
        self._keeps_alive = False
        return self._take_request(now)

    def reset(self) -> None:
        """Discard the current request and prepare for the next."""
        #: Parser of the headers, created with the first byte of a request.
        self._parser: httptools.HttpRequestParser | None = None
        self._url = b""
        #: Header lines with a colon and a line feed each. A parsed header takes about
        #: 20 times its size, so headers are parsed when the request is complete.
        self._lines = bytearray()
        self._line_count = 0
        self._framing_headers: dict[str, str] = {}
        self._body = bytearray()
        self._framing: BodyFraming = LengthFraming(0)
        self._announced_body_bytes: int | None = 0
        self._is_head_read = False
        self._keeps_alive = True
        self._started_at = 0.0
        self._empty_bytes = 0
        self._head_bytes = 0
        self._head_tail = b""

    @property
    def _is_complete(self) -> bool:
        return self._is_head_read and self._framing.is_complete

    def _take_request(self, now: float) -> HttpRequest:
        lines = self._lines.decode("latin-1").split("\n")[:-1]
        fields = (line.partition(":") for line in lines)
        request = HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers=Headers((name, value) for name, _, value in fields),
            body=bytes(self._body),
            received_at=self._started_at,
            keep_alive=self._keeps_alive,
            read_at=now,
        )
        self.reset()
        return request

    # Callbacks of the parser.

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; refuse control characters in its value."""
        text = value.decode("latin-1").strip()
        if any(char < " " and char != "\t" for char in text):
            raise UnreadableRequestError(400, "control character in a header value")
        self._line_count += 1
        if self._line_count > MAX_HEADER_LINES:
            raise UnreadableRequestError(431, "too many header lines")
        lower_name = name.decode("latin-1").lower()
        if lower_name in _FRAMING_HEADERS:
            if lower_name != "expect" and lower_name in self._framing_headers:
                title = lower_name.title()
                raise UnreadableRequestError(400, f"more than one {title} header")
            self._framing_headers.setdefault(lower_name, text)
        self._lines += b"%s:%s\n" % (name, text.encode("latin-1"))

    def on_headers_complete(self) -> None:
        """Check the ``Host`` header, the framing and the announced length."""
        self._is_head_read = True
        # The parser gets no body, and forgets the Connection header at its end.
        self._keeps_alive = self._parser.should_keep_alive()
        headers = self._framing_headers
        length, coding = headers.get("content-length"), headers.get("transfer-encoding")
        if "host" not in headers:
            raise UnreadableRequestError(400, "request without exactly one Host header")
        if length and coding:
            raise UnreadableRequestError(
                400, "both Content-Length and Transfer-Encoding headers"
            )
        if (length or coding) and self._parser.should_upgrade():
            raise UnreadableRequestError(400, "upgrade is not supported")
        if coding is not None:
            if coding.rpartition(",")[2].strip().lower() != "chunked":
                raise UnreadableRequestError(400, "unknown transfer coding")
            self._framing, self._announced_body_bytes = ChunkedFraming(), None
        elif length is not None:
            if not (length.isascii() and length.isdecimal()):
                raise UnreadableRequestError(400, "malformed Content-Length")
            if int(length) > self._limits().body_bytes:
                raise UnreadableRequestError(413, "body too large")
            self._framing = LengthFraming(int(length))
            self._announced_body_bytes = int(length)

    def _parse(self, data: bytes) -> None:
        # The parser gets the bytes of the headers only, so that neither a trailer nor a
        # pipelined request reaches it.
        if not self._head_bytes:
            start = len(data) - len(data.lstrip(b"\r\n"))
            self._empty_bytes += start
            if self._empty_bytes > self._limits().header_bytes:
                raise UnreadableRequestError(431, "too many empty lines")
            data = data[start:]
        if not self._is_head_read and data:
            if self._parser is None:
                self._parser = httptools.HttpRequestParser(self)
            size = self._count_head_bytes(data)
            self._parser.feed_data(data[:size])
            data = data[size:]
            if not self._is_head_read:
                if data:
                    raise UnreadableRequestError(400, "unreadable headers")
                return
        max_bytes = self._limits().body_bytes
        size = self._framing.feed(data, self._body, max_bytes)
        self.pipelined += data[size:]

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
