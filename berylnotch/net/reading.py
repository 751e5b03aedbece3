"""Reads requests from a caller's bytes, and refuses what is no single request."""

from __future__ import annotations

from collections.abc import Callable

import httptools
from attrs import frozen

from berylnotch.errors import RequestError
from berylnotch.net.messages import Headers, HttpRequest


@frozen
class HttpLimits:
    """What a caller may send, and how long it may take; times in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class UnreadableRequestError(RequestError):
    """A request that is answered without being read further."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class RequestReader:
    """Turns bytes into requests, one at a time.

    Parameters
    ----------
    limits : callable
        Returns the limits in force.
    """

    def __init__(self, limits: Callable[[], HttpLimits]) -> None:
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        #: Bytes that follow the request.
        self.ahead = bytearray()
        self.reset()

    @property
    def begun_at(self) -> float:
        """When the first byte of the present request came, 0 if none did."""
        return self._begun_at

    @property
    def is_head_read(self) -> bool:
        """Whether the headers of the present request are complete."""
        return self._is_head_read

    @property
    def body_size(self) -> int:
        """Bytes of the present request's body that came so far."""
        return len(self._body)

    @property
    def wants_continue(self) -> bool:
        """Whether the caller waits for a sign to send the body."""
        return self._is_head_read and (
            self._headers.get("Expect").lower() == "100-continue"
        )

    def feed(self, now: float, data: bytes) -> HttpRequest | None:
        """Take bytes; return a request once it is complete.

        Raises
        ------
        UnreadableRequestError
            If the bytes are no single request within the limits.
        """
        if not self._begun_at:
            self._begun_at = now
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
        return self._take() if self._complete else None

    def reset(self) -> None:
        """Forget a request that is not complete."""
        self._url = b""
        self._headers = Headers()
        self._body = bytearray()
        self._is_head_read = False
        self._complete = False
        self._begun_at = 0.0
        self._head_size = 0
        self._tail = b""

    def _take(self) -> HttpRequest:
        request = HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            received_at=self._begun_at,
            keep_alive=self._parser.should_keep_alive(),
        )
        self.reset()
        return request

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin a request."""
        if self._complete:
            # A pipelined request; it is parsed again once its turn comes.
            raise UnreadableRequestError(400, "more than one request in a piece")

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        text = value.decode("latin-1").strip()
        if any(char < " " and char != "\t" for char in text):
            raise UnreadableRequestError(400, "control character in a header")
        self._headers.add(name.decode("latin-1"), text)

    def on_headers_complete(self) -> None:
        """Check what the headers announce."""
        self._is_head_read = True
        limits = self._limits()
        headers = self._headers
        if headers.count("Host") != 1:
            raise UnreadableRequestError(400, "a request needs one Host header")
        if headers.count("Content-Length") > 1:
            raise UnreadableRequestError(400, "more than one Content-Length")
        if headers.get("Content-Length") and headers.get("Transfer-Encoding"):
            raise UnreadableRequestError(
                400, "both Content-Length and Transfer-Encoding"
            )
        length = headers.get("Content-Length")
        if length.isdecimal() and int(length) > limits.body_bytes:
            raise UnreadableRequestError(413, "body too large")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body += body
        if len(self._body) > self._limits().body_bytes:
            raise UnreadableRequestError(413, "body too large")

    def on_message_complete(self) -> None:
        """End the request."""
        self._complete = True

    def _parse(self, data: bytes) -> None:
        # A head is given to the parser without what follows it, so that a second
        # request in the same piece is not read before the first was answered.
        view = memoryview(data)
        while len(view) and not self._complete:
            if self._is_head_read:
                taken = self._body_part(view)
            else:
                taken = self._head_part(bytes(view))
            self._parser.feed_data(view[:taken])
            view = view[taken:]
        if len(view):
            self.ahead += view

    def _head_part(self, data: bytes) -> int:
        # The empty line may have begun in the piece before.
        starts = [end for end in (1, 2) if self._ends_head(data[:end])]
        end = data.find(b"\n\r\n")
        if starts:
            taken = starts[0]
        else:
            taken = end + 3 if end >= 0 else len(data)
        self._head_size += taken
        self._tail = (self._tail + data[:taken])[-3:]
        if self._head_size > self._limits().header_bytes:
            raise UnreadableRequestError(431, "headers too large")
        return taken

    def _ends_head(self, start: bytes) -> bool:
        return bool(self._tail) and (self._tail + start).endswith(b"\n\r\n")

    def _body_part(self, view: memoryview) -> int:
        length = self._headers.get("Content-Length")
        if length.isdecimal():
            return min(len(view), int(length) - len(self._body))
        # A chunked body is followed piece by piece, up to its last chunk.
        end = bytes(view).find(b"\n0\r\n\r\n")
        return end + 6 if end >= 0 else len(view)
