"""Framing of messages on a link that carries no proof of identity.

The links of a fleet run inside the operators' own network and have no secret to
prove; a frame holds the number of its call, whether it answers one, and a message.
"""

from __future__ import annotations

import struct
from typing import Any

from attrs import frozen

from berylnotch.transport.errors import FrameError
from berylnotch.transport.packing import MAX_PACKED_BYTES, pack, unpack

_HEADER = struct.Struct(">IIB")


@frozen
class Envelope:
    """Number of a call, 0 for none, and whether the message answers it."""

    call: int
    reply: bool


class PlainSession:
    """State of one connection, as `berylnotch.transport.channel.Channel` uses it.

    Parameters
    ----------
    identity : str
        Address of the other side, for logs.
    classes : tuple of type
        Messages that are taken.
    """

    is_open = True

    def __init__(self, identity: str, classes: tuple[type, ...]) -> None:
        self.identity = identity
        self._classes = classes
        self._input = bytearray()
        self._output = bytearray()

    def send(self, call: int, reply: bool, message: object) -> None:
        """Frame a message; one that goes to many is packed once, by its sender."""
        data = message if isinstance(message, bytes) else pack(message)
        self._output += _HEADER.pack(len(data), call, reply)
        self._output += data

    def take_output(self) -> bytes:
        """Return the bytes to send, and forget them."""
        output = bytes(self._output)
        self._output.clear()
        return output

    def feed(self, data: bytes) -> list[tuple[Envelope, Any]]:
        """Take received bytes; return the messages that are complete.

        Raises
        ------
        TransportError
            If the bytes are no frames of known messages.
        """
        self._input += data
        messages = []
        while len(self._input) >= _HEADER.size:
            size, call, reply = _HEADER.unpack_from(self._input)
            if size > MAX_PACKED_BYTES:
                raise FrameError(f"frame of {size} bytes")
            end = _HEADER.size + size
            if len(self._input) < end:
                break
            message = unpack(bytes(self._input[_HEADER.size : end]), self._classes)
            del self._input[:end]
            messages.append((Envelope(call, bool(reply)), message))
        return messages
