"""Sending of requests to external systems, and decoding of complete responses."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from berylnotch.errors import GatewayError
from berylnotch.gateways.answers import MAX_RESPONSE_BYTES
from berylnotch.gateways.errors import InvalidResponseError, UnreachableError
from berylnotch.gateways.http import read_head

if TYPE_CHECKING:
    from berylnotch.gateways.http import UpstreamRequest
    from berylnotch.gateways.transfers import TransferEnd, Upstreams

T = TypeVar("T")

#: Decodes a response from its status and body; raises `GatewayError`.
Read = Callable[[int, bytes], T]

#: Called with the decoded response, or with the error.
OnDone = Callable[[T | None, GatewayError | None], None]


class _ResponseCollector:
    """Collects the parts of one response and decodes them at its end."""

    def __init__(self, read: Read[T], on_done: OnDone[T]) -> None:
        self._read = read
        self._on_done = on_done
        self._head_lines: tuple[bytes, ...] = ()
        self._body = bytearray()

    def on_head(self, lines: tuple[bytes, ...]) -> None:
        """Store the lines of the response's head."""
        self._head_lines = lines

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, up to one byte above the limit.

        The extra byte lets `on_end` recognise a body that is too large.
        """
        remaining_bytes = MAX_RESPONSE_BYTES + 1 - len(self._body)
        self._body += data[:remaining_bytes]

    def on_end(self, end: TransferEnd) -> None:
        """Decode the response and pass it, or the error, to the callback."""
        try:
            value = self._decode(end)
        except GatewayError as error:
            self._on_done(None, error)
        else:
            self._on_done(value, None)

    def _decode(self, end: TransferEnd) -> T:
        if end.error:
            raise UnreachableError(end.error, end.sent)
        if len(self._body) > MAX_RESPONSE_BYTES:
            raise InvalidResponseError(
                f"response body exceeds {MAX_RESPONSE_BYTES} bytes"
            )
        head = read_head(self._head_lines, frozenset())
        return self._read(head.status, bytes(self._body))


def fetch(
    upstreams: Upstreams,
    request: UpstreamRequest,
    read: Read[T],
    on_done: OnDone[T],
) -> None:
    """Send a request and decode its complete response.

    This function has to be called in the loop's thread, in which ``on_done`` is called
    too.

    Parameters
    ----------
    upstreams : Upstreams
        Transfers of the process.
    request : UpstreamRequest
        Request to send.
    read : callable
        Decodes status and body to a value; raises `GatewayError`.
    on_done : callable
        Called with the value, or with the error.
    """
    collector = _ResponseCollector(read, on_done)
    upstreams.start(request, collector.on_head, collector.on_body, collector.on_end)
