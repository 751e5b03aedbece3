"""Authenticated framing of the messages on one connection, with its handshake.

The module does no I/O: received bytes are passed to `Session.feed`, and the bytes to
send are returned by `Session.take_output`.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
import struct
from collections.abc import Callable
from enum import Enum
from typing import Any

from berylnotch.errors import CodecError
from berylnotch.transport.codec import MAX_MESSAGE_BYTES, decode, encode
from berylnotch.transport.errors import FrameError, HandshakeError
from berylnotch.transport.messages import Challenge, Envelope, Hello, Welcome

#: Returns the key of an identity; an unknown identity has a key too.
KeyLookup = Callable[[str], bytes]

_HEADER = struct.Struct(">I")
_TAG_BYTES = 16
_NONCE_BYTES = 16
#: Maximum length of a frame, in bytes, before the peer has proved its identity.
_MAX_HANDSHAKE_BYTES = 1024


class _Phase(Enum):
    """Progress of the handshake."""

    WAIT_CHALLENGE = "wait-challenge"
    WAIT_HELLO = "wait-hello"
    WAIT_WELCOME = "wait-welcome"
    OPEN = "open"


class Session:
    """One side of an authenticated connection.

    Parameters
    ----------
    identity : str
        Identity of the connecting side. It is ignored on the accepting side, which
        learns the identity from the handshake.
    key_of : callable
        Returns the key of an identity.
    accepting : bool
        Whether this side accepted the connection.
    """

    def __init__(self, identity: str, key_of: KeyLookup, accepting: bool) -> None:
        self._identity = "" if accepting else identity
        self._key_of = key_of
        self._accepting = accepting
        self._nonce = secrets.token_bytes(_NONCE_BYTES)
        self._phase = _Phase.WAIT_HELLO if accepting else _Phase.WAIT_CHALLENGE
        self._input = bytearray()
        self._output = bytearray()
        self._session_key = b""
        self._expected_welcome = b""
        self._sent_frames = 0
        self._received_frames = 0
        if accepting:
            self._write_handshake(Challenge(self._nonce))

    @property
    def identity(self) -> str:
        """Identity of the connecting side; the acceptor learns it in the handshake."""
        return self._identity

    @property
    def is_open(self) -> bool:
        """Whether both sides have proved their identity."""
        return self._phase is _Phase.OPEN

    def take_output(self) -> bytes:
        """Return the bytes that were queued since the last call of this method."""
        output = bytes(self._output)
        self._output.clear()
        return output

    def send(self, call_id: int, is_reply: bool, message: object) -> None:
        """Queue a message as one frame.

        Raises
        ------
        FrameError
            If the handshake is not complete or the message is too long.
        """
        if not self.is_open:
            raise FrameError("message before the end of the handshake")
        data = encode(Envelope(call_id, is_reply, encode(message, packed=True)))
        if len(data) > MAX_MESSAGE_BYTES:
            raise FrameError(
                f"message of {len(data)} bytes, limit is {MAX_MESSAGE_BYTES}"
            )
        tag = self._compute_tag(self._accepting, self._sent_frames, data)
        self._sent_frames += 1
        self._output += _HEADER.pack(len(data) + _TAG_BYTES) + tag + data

    def feed(self, data: bytes) -> list[tuple[Envelope, Any]]:
        """Process received bytes and return the messages that they complete.

        Raises
        ------
        HandshakeError
            If the peer fails to prove its identity.
        FrameError
            If a frame is too long, malformed, altered or replayed.
        """
        self._input += data
        messages = []
        while (frame := self._next_frame()) is not None:
            if self.is_open:
                messages.append(self._decode_frame(frame))
            else:
                self._on_handshake_frame(frame)
        return messages

    def _next_frame(self) -> bytes | None:
        if len(self._input) < _HEADER.size:
            return None
        (length,) = _HEADER.unpack_from(self._input)
        limit = MAX_MESSAGE_BYTES + _TAG_BYTES if self.is_open else _MAX_HANDSHAKE_BYTES
        if length > limit:
            raise FrameError(f"frame of {length} bytes, limit is {limit}")
        end = _HEADER.size + length
        if len(self._input) < end:
            return None
        frame = bytes(self._input[_HEADER.size : end])
        del self._input[:end]
        return frame

    def _decode_frame(self, frame: bytes) -> tuple[Envelope, Any]:
        tag, data = frame[:_TAG_BYTES], frame[_TAG_BYTES:]
        expected_tag = self._compute_tag(
            not self._accepting, self._received_frames, data
        )
        if not hmac.compare_digest(tag, expected_tag):
            raise FrameError("authentication tag of a frame is wrong")
        self._received_frames += 1
        try:
            envelope = decode(data)
            if not isinstance(envelope, Envelope):
                raise FrameError("frame without an envelope")
            return envelope, decode(envelope.body, packed=True)
        except CodecError as error:
            raise FrameError(str(error)) from error

    def _compute_tag(self, from_acceptor: bool, sequence: int, data: bytes) -> bytes:
        # The tag covers the direction and the sequence number, so that a frame can be
        # neither reflected nor replayed.
        prefix = struct.pack(">?Q", from_acceptor, sequence)
        digest = hmac.digest(self._session_key, prefix + data, hashlib.sha256)
        return digest[:_TAG_BYTES]

    def _write_handshake(self, message: object) -> None:
        data = encode(message)
        self._output += _HEADER.pack(len(data)) + data

    def _on_handshake_frame(self, frame: bytes) -> None:
        try:
            message = decode(frame)
        except CodecError as error:
            raise HandshakeError("malformed handshake message") from error
        if self._phase is _Phase.WAIT_CHALLENGE and isinstance(message, Challenge):
            self._on_challenge(message)
        elif self._phase is _Phase.WAIT_HELLO and isinstance(message, Hello):
            self._on_hello(message)
        elif self._phase is _Phase.WAIT_WELCOME and isinstance(message, Welcome):
            self._on_welcome(message)
        else:
            raise HandshakeError(
                f"unexpected handshake message {type(message).__name__}"
            )

    def _on_challenge(self, message: Challenge) -> None:
        key = self._key_of(self._identity)
        proof = self._compute_proof(key, b"hello", message.nonce, self._nonce)
        self._write_handshake(Hello(self._identity, self._nonce, proof))
        self._expected_welcome = self._compute_proof(
            key, b"welcome", message.nonce, self._nonce
        )
        self._session_key = self._compute_proof(
            key, b"session", message.nonce, self._nonce
        )
        self._phase = _Phase.WAIT_WELCOME

    def _on_hello(self, message: Hello) -> None:
        key = self._key_of(message.identity)
        proof = self._compute_proof(key, b"hello", self._nonce, message.nonce)
        if not hmac.compare_digest(proof, message.proof):
            raise HandshakeError(f"wrong proof for {message.identity[:80]!r}")
        self._identity = message.identity
        welcome = self._compute_proof(key, b"welcome", self._nonce, message.nonce)
        self._write_handshake(Welcome(welcome))
        self._session_key = self._compute_proof(
            key, b"session", self._nonce, message.nonce
        )
        self._phase = _Phase.OPEN

    def _on_welcome(self, message: Welcome) -> None:
        if not hmac.compare_digest(self._expected_welcome, message.proof):
            raise HandshakeError("the accepting side has a different secret")
        self._phase = _Phase.OPEN

    def _compute_proof(
        self, key: bytes, label: bytes, acceptor_nonce: bytes, connector_nonce: bytes
    ):
        return hmac.digest(
            key, label + acceptor_nonce + connector_nonce, hashlib.sha256
        )
