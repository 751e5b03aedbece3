"""Messages in the queue of a controller's core thread."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from attrs import frozen

if TYPE_CHECKING:
    from berylnotch.control.protocol import VouchReply


@frozen
class Inbound:
    """A message with its sender's identity and a callable for the reply.

    An empty identity marks an item that the controller queued itself: a `VouchAnswer`
    or a callable that the core thread runs.
    """

    identity: str
    message: Any
    reply: Callable[[object], None]


@frozen
class VouchAnswer:
    """A `VouchReply` and the monotonic time in seconds at which it was requested."""

    sent_at: float
    reply: VouchReply


def discard_reply(_message: object) -> None:
    """Discard a reply that no sender expects."""
