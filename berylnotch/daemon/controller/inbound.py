"""Messages on their way into the controller's core thread."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from attrs import frozen

if TYPE_CHECKING:
    from berylnotch.control.protocol import VouchReply


@frozen
class Inbound:
    """A message with its sender and the way to answer."""

    identity: str
    message: Any
    reply: Callable[[object], None]


@frozen
class Vouched:
    """The leader's answer to a question sent at ``sent_at`` (monotonic seconds)."""

    sent_at: float
    reply: VouchReply


def ignore(_message: object) -> None:
    """Drop an answer that nobody waits for."""
