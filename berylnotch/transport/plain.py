"""Framing of messages on connections without authentication.

The links of a fleet stay inside the operators' own network and have no shared secret.
A frame holds the number of its call, a flag that marks a reply, and a message.
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
    """Number of a call (0 for a one-way message), and whether this is a reply."""

    call: int
    reply: bool


class PlainSession:
    """Framing of one connection, without handshake, for a `Channel`.

    Parameters
    ----------
    identity : str
        Address of the peer, for logs.
    classes : tuple of type
        Classes of the messages that the peer may send.
    """

    is_open = True

    def __init__(self, identity: str, classes: tuple[type, ...]) -> None:
        self.identity = identity
        self._classes = classes
        self._input = bytearray()
        self._output = bytearray()

    def send(self, call_id: int, is_reply: bool, message: object) -> None:
        """Queue a message as one frame.

        The message is an object, or the bytes that `pack` returned for it; a message
        to many peers has to be packed only once.
        """
        data = message if isinstance(message, bytes) else pack(message)
        self._output += _HEADER.pack(len(data), call_id, is_reply)
        self._output += data

    def take_output(self) -> bytes:
        """Return the bytes that were queued since the last call of this method."""
        output = bytes(self._output)
        self._output.clear()
        return output

    def feed(self, data: bytes) -> list[tuple[Envelope, Any]]:
        """Process received bytes and return the messages that they complete.

        Raises
        ------
        TransportError
            If a frame is too long or holds no message of the expected classes.
        """
        self._input += data
        messages = []
        while len(self._input) >= _HEADER.size:
            size, call_id, is_reply = _HEADER.unpack_from(self._input)
            if size > MAX_PACKED_BYTES:
                raise FrameError(f"frame of {size} bytes is over the limit")
            frame_end = _HEADER.size + size
            if len(self._input) < frame_end:
                break
            message = unpack(
                bytes(self._input[_HEADER.size : frame_end]), self._classes
            )
            del self._input[:frame_end]
            messages.append((Envelope(call_id, bool(is_reply)), message))
        return messages
