"""Commands of the replicated state of a fleet."""

from __future__ import annotations

import sys

from attrs import frozen

from berylnotch.transport.packing import message_classes


@frozen
class PutConfiguration:
    """Bring a configuration in force, unless a higher version already is."""

    version: int
    content: bytes


@frozen
class NameWeights:
    """Name the version of a model's weights that engines shall run."""

    model: str
    version: int


@frozen
class TakeOrders:
    """A controller takes over giving orders to engines."""

    holder: str


@frozen
class GiveBackOrders:
    """A controller gives no more orders, and has given none for a lease."""

    holder: str


COMMANDS = message_classes(sys.modules[__name__])
