"""Replicated fleet state with configuration, weights and holder of the order lease."""

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
    """Serialised form of the state in a snapshot."""

    version: int
    content: bytes
    weights: tuple[ModelVersion, ...]
    order_holder: str


class FleetState:
    """State that every controller derives from the same replicated log."""

    def __init__(self) -> None:
        self._version = 0
        self._content = b""
        self._weights: dict[str, int] = {}
        self._order_holder = ""

    @property
    def version(self) -> int:
        """Version of the active configuration, 0 before the first one."""
        return self._version

    @property
    def content(self) -> bytes:
        """Active configuration, as the bytes that the operator submitted."""
        return self._content

    @property
    def weights(self) -> tuple[ModelVersion, ...]:
        """Newest announced version of each model."""
        return tuple(ModelVersion(m, v) for m, v in sorted(self._weights.items()))

    @property
    def order_holder(self) -> str:
        """Controller that has the right to send orders; empty if none has it.

        Only orders of this controller can be in progress.
        """
        return self._order_holder

    def wanted_version(self, model: str) -> int:
        """Return the newest announced version of a model, 0 if there is none."""
        return self._weights.get(model, 0)

    def apply(self, payload: bytes) -> None:
        """Apply a committed command."""
        command = unpack(payload, COMMANDS)
        if isinstance(command, PutConfiguration):
            if command.version > self._version:
                self._version = command.version
                self._content = command.content
        elif isinstance(command, NameWeights):
            current_version = self._weights.get(command.model, 0)
            self._weights[command.model] = max(current_version, command.version)
        elif isinstance(command, TakeOrders):
            self._order_holder = command.holder
        elif isinstance(command, GiveBackOrders):
            if self._order_holder == command.holder:
                self._order_holder = ""

    def snapshot(self) -> bytes:
        """Return the serialised state."""
        return pack(
            _Saved(self._version, self._content, self.weights, self._order_holder)
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` serialised."""
        saved = unpack(data, (_Saved,))
        self._version = saved.version
        self._content = saved.content
        self._weights = {w.name: w.version for w in saved.weights}
        self._order_holder = saved.order_holder
