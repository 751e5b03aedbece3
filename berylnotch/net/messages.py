"""HTTP messages: headers, requests and heads of answers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from http import HTTPStatus

from attrs import define, field, frozen

#: Headers that concern one connection only, in lower case.
HOP_HEADERS = frozenset(
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
    """Names and values of a message's headers, in order; names ignore case.

    Parameters
    ----------
    pairs : iterable of (str, str), default=()
        Names and values as they stand in the message.
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
        """Return the first value of a header."""
        name = name.lower()
        for known, value in self._pairs:
            if known.lower() == name:
                return value
        return default

    def count(self, name: str) -> int:
        """Return how often a header stands in the message."""
        name = name.lower()
        return sum(known.lower() == name for known, _ in self._pairs)

    def end_to_end(self) -> Headers:
        """Return the headers that do not concern one connection only."""
        dropped = set(HOP_HEADERS)
        for name, value in self._pairs:
            if name.lower() == "connection":
                dropped.update(part.strip().lower() for part in value.split(","))
        return Headers(p for p in self._pairs if p[0].lower() not in dropped)

    def without(self, names: Iterable[str]) -> Headers:
        """Return the headers other than those with these lower-case names."""
        dropped = frozenset(names)
        return Headers(p for p in self._pairs if p[0].lower() not in dropped)

    def encode(self) -> bytes:
        """Return the header lines, each with its line end."""
        text = "".join(f"{name}: {value}\r\n" for name, value in self._pairs)
        return text.encode("latin-1")


@define
class HttpRequest:
    """A request that was read in full.

    ``received_at`` is when its first byte was read, in seconds of the boot clock.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""
    received_at: float = 0.0
    keep_alive: bool = True

    @property
    def path(self) -> str:
        """Target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Query of the target, without the question mark."""
        return self.target.partition("?")[2]

    def encode(self) -> bytes:
        """Return the bytes of the request; the body's length is added."""
        head = f"{self.method} {self.target} HTTP/1.1\r\n".encode("latin-1")
        length = b""
        if self.body or self.method not in ("GET", "HEAD", "DELETE"):
            length = b"Content-Length: %d\r\n" % len(self.body)
        return b"".join((head, self.headers.encode(), length, b"\r\n", self.body))


@frozen
class HttpResponse:
    """A whole answer."""

    status: int
    headers: Headers = field(factory=Headers)
    body: bytes = b""


def encode_head(status: int, headers: Headers) -> bytes:
    """Return the status line and headers of an answer, with the empty line."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    line = f"HTTP/1.1 {status} {phrase}\r\n".encode("latin-1")
    return b"".join((line, headers.encode(), b"\r\n"))
