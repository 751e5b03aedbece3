"""Errors of connections between the system's processes."""

from __future__ import annotations

from berylnotch.errors import TransportError


class HandshakeError(TransportError):
    """The other side could not prove its identity."""


class FrameError(TransportError):
    """A frame is too long or its authentication tag is wrong."""


class ConnectionLostError(TransportError):
    """The connection ended before the answer came."""


class CallTimeoutError(TransportError):
    """No answer came within the time limit."""


class NotLeaderError(TransportError):
    """No leader could be reached."""


class RefusedError(TransportError):
    """The other side refused the request, and would refuse a repeat."""
