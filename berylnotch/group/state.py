"""Replicated state of a fleet: configuration, weights, who gives orders."""

from __future__ import annotations

from attrs import frozen

from berylnotch.group.commands import (
    COMMANDS,
    GiveBackOrders,
    NameWeights,
    PutConfiguration,
    TakeOrders,
)
from berylnotch.membership.listing import ModelVersion
from berylnotch.transport.packing import pack, unpack


@frozen
class _Saved:
    """Form of the state in a snapshot."""

    version: int
    content: bytes
    weights: tuple[ModelVersion, ...]
    order_holder: str


class FleetState:
    """State that every controller computes from the same log."""

    def __init__(self) -> None:
        self._version = 0
        self._content = b""
        self._weights: dict[str, int] = {}
        self._order_holder = ""

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 before the first."""
        return self._version

    @property
    def content(self) -> bytes:
        """Configuration in force, as the operator wrote it."""
        return self._content

    @property
    def weights(self) -> tuple[ModelVersion, ...]:
        """Newest named version of each model."""
        return tuple(ModelVersion(m, v) for m, v in sorted(self._weights.items()))

    @property
    def order_holder(self) -> str:
        """Controller whose orders may be under way; empty if there are none."""
        return self._order_holder

    def wanted_version(self, model: str) -> int:
        """Return the newest named version of a model, 0 if none was."""
        return self._weights.get(model, 0)

    def apply(self, payload: bytes) -> None:
        """Apply a committed command."""
        command = unpack(payload, COMMANDS)
        if isinstance(command, PutConfiguration):
            if command.version > self._version:
                self._version = command.version
                self._content = command.content
        elif isinstance(command, NameWeights):
            known = self._weights.get(command.model, 0)
            self._weights[command.model] = max(known, command.version)
        elif isinstance(command, TakeOrders):
            self._order_holder = command.holder
        elif isinstance(command, GiveBackOrders):
            if self._order_holder == command.holder:
                self._order_holder = ""

    def snapshot(self) -> bytes:
        """Return the state as bytes."""
        return pack(
            _Saved(self._version, self._content, self.weights, self._order_holder)
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        saved = unpack(data, (_Saved,))
        self._version = saved.version
        self._content = saved.content
        self._weights = {w.name: w.version for w in saved.weights}
        self._order_holder = saved.order_holder
