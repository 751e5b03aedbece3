"""Whole answers of systems outside, fetched in the event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from berylnotch.errors import GatewayError
from berylnotch.gateways.answers import MAX_ANSWER_BYTES
from berylnotch.gateways.errors import BadAnswerError, UnreachableError
from berylnotch.gateways.http import read_head

if TYPE_CHECKING:
    from berylnotch.gateways.http import UpstreamRequest
    from berylnotch.gateways.transfers import TransferEnd, Upstreams

T = TypeVar("T")

#: Reads an answer from its status and body; raises `GatewayError`.
Read = Callable[[int, bytes], T]

#: Gets the answer that was read, or the error.
OnDone = Callable[[T | None, GatewayError | None], None]


class _Fetch:
    """One request and the parts of its answer."""

    def __init__(self, read: Read[T], on_done: OnDone[T]) -> None:
        self._read = read
        self._on_done = on_done
        self._lines: tuple[bytes, ...] = ()
        self._body = bytearray()

    def on_head(self, lines: tuple[bytes, ...]) -> None:
        """Keep the head."""
        self._lines = lines

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body, up to one byte more than is allowed."""
        room = MAX_ANSWER_BYTES + 1 - len(self._body)
        self._body += data[:room]

    def on_end(self, end: TransferEnd) -> None:
        """Read the answer and hand it on."""
        try:
            answer = self._finish(end)
        except GatewayError as error:
            self._on_done(None, error)
        else:
            self._on_done(answer, None)

    def _finish(self, end: TransferEnd) -> T:
        if end.error:
            raise UnreachableError(end.error, end.sent)
        if len(self._body) > MAX_ANSWER_BYTES:
            raise BadAnswerError(f"answer exceeds {MAX_ANSWER_BYTES} bytes")
        head = read_head(self._lines, frozenset())
        return self._read(head.status, bytes(self._body))


def fetch(
    upstreams: Upstreams,
    request: UpstreamRequest,
    read: Read[T],
    on_done: OnDone[T],
) -> None:
    """Send a request and read its whole answer, in the loop's thread.

    Parameters
    ----------
    upstreams : Upstreams
        Transfers of the process.
    request : UpstreamRequest
        What to send.
    read : callable
        Turns status and body into a value; raises `GatewayError`.
    on_done : callable
        Gets the value, or the error.
    """
    found = _Fetch(read, on_done)
    upstreams.start(request, found.on_head, found.on_body, found.on_end)
