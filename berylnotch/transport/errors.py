"""Errors of connections between the system's processes."""

from __future__ import annotations

from berylnotch.errors import TransportError


class HandshakeError(TransportError):
    """The peer failed to prove its identity or broke the handshake protocol."""


class FrameError(TransportError):
    """A frame is too long, malformed, or has a wrong authentication tag."""


class ConnectionLostError(TransportError):
    """The connection failed or ended before the reply arrived."""


class CallTimeoutError(TransportError):
    """No reply arrived within the time limit."""


class NotLeaderError(TransportError):
    """No leader could be reached."""


class RefusedError(TransportError):
    """The peer refused the request and would refuse a retry as well."""
