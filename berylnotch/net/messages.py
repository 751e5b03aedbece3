"""HTTP messages: headers, requests and responses."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from http import HTTPStatus

from attrs import define, field, frozen

#: Hop-by-hop headers, in lower case; a proxy does not forward them.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class Headers:
    """Ordered headers of a message; names are case-insensitive.

    Parameters
    ----------
    pairs : iterable of (str, str), default=()
        Names and values in the order of the message.
    """

    __slots__ = ("_pairs",)

    def __init__(self, pairs: Iterable[tuple[str, str]] = ()) -> None:
        self._pairs = list(pairs)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self._pairs)

    def __len__(self) -> int:
        return len(self._pairs)

    def add(self, name: str, value: str) -> None:
        """Append a header."""
        self._pairs.append((name, value))

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a header, or `default` if it is absent."""
        name = name.lower()
        for header_name, value in self._pairs:
            if header_name.lower() == name:
                return value
        return default

    def joined(self, name: str) -> str:
        """Return the different values of a header, joined by commas."""
        name = name.lower()
        values = [value for header, value in self._pairs if header.lower() == name]
        return ", ".join(dict.fromkeys(values))

    def elements(self, name: str) -> list[str]:
        """Return the elements of a comma-separated list over all its headers."""
        name = name.lower()
        return [
            element.strip(" \t")
            for header_name, value in self._pairs
            if header_name.lower() == name
            for element in value.split(",")
        ]

    def has_content_encoding(self) -> bool:
        """Tell whether the body is encoded, other than as it is (``identity``)."""
        encodings = (element.lower() for element in self.elements("Content-Encoding"))
        return any(encoding not in ("", "identity") for encoding in encodings)

    def count(self, name: str) -> int:
        """Return how often a header occurs in the message."""
        name = name.lower()
        return sum(header_name.lower() == name for header_name, _ in self._pairs)

    def end_to_end(self) -> Headers:
        """Return the end-to-end headers.

        Hop-by-hop headers and those that ``Connection`` names are left out.
        """
        dropped = set(HOP_BY_HOP_HEADERS)
        for name, value in self._pairs:
            if name.lower() == "connection":
                dropped.update(part.strip().lower() for part in value.split(","))
        return Headers(p for p in self._pairs if p[0].lower() not in dropped)

    def without(self, names: Iterable[str]) -> Headers:
        """Return the headers except those with the given lower-case names."""
        dropped = frozenset(names)
        return Headers(p for p in self._pairs if p[0].lower() not in dropped)

    def encode(self) -> bytes:
        """Return the header lines, each with its CRLF."""
        text = "".join(f"{name}: {value}\r\n" for name, value in self._pairs)
        return text.encode("latin-1")


@define
class HttpRequest:
    """A complete request.

    ``received_at`` and ``read_at`` are the times at which its first and its last byte
    were read, in seconds since the VM started.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""
    received_at: float = 0.0
    keep_alive: bool = True
    read_at: float = 0.0

    @property
    def path(self) -> str:
        """Request target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Query of the request target, without the question mark."""
        return self.target.partition("?")[2]

    def encode(self) -> bytes:
        """Return the bytes of the request, with ``Content-Length`` added."""
        head = f"{self.method} {self.target} HTTP/1.1\r\n".encode("latin-1")
        length = b""
        if self.body or self.method not in ("GET", "HEAD", "DELETE"):
            length = b"Content-Length: %d\r\n" % len(self.body)
        return b"".join((head, self.headers.encode(), length, b"\r\n", self.body))


@frozen
class HttpResponse:
    """A complete response."""

    status: int
    headers: Headers = field(factory=Headers)
    body: bytes = b""


def encode_head(status: int, headers: Headers) -> bytes:
    """Return the status line, the headers and the empty line of a response."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    line = f"HTTP/1.1 {status} {phrase}\r\n".encode("latin-1")
    return b"".join((line, headers.encode(), b"\r\n"))
