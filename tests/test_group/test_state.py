"""Replicated state of a fleet."""

import pytest

from berylnotch.errors import CodecError
from berylnotch.group.commands import (
    GiveBackOrders,
    NameWeights,
    PutConfiguration,
    TakeOrders,
)
from berylnotch.group.state import FleetState
from berylnotch.membership.listing import ModelVersion
from berylnotch.transport.packing import pack


def test_versions_never_decrease():
    state = FleetState()
    state.apply(pack(PutConfiguration(5, b"five")))
    state.apply(pack(PutConfiguration(5, b"other content")))
    state.apply(pack(PutConfiguration(4, b"four")))
    assert (state.version, state.content) == (5, b"five")
    state.apply(pack(NameWeights("m", 3)))
    state.apply(pack(NameWeights("m", 2)))
    assert state.wanted_version("m") == 3 and state.wanted_version("x") == 0


def test_snapshot_restores_everything():
    state = FleetState()
    state.apply(pack(PutConfiguration(5, b"\x00\xff")))
    state.apply(pack(NameWeights("m", 3)))
    state.apply(pack(TakeOrders("core-2")))
    restored = FleetState()
    restored.restore(state.snapshot())
    assert restored.content == b"\x00\xff" and restored.order_holder == "core-2"
    assert restored.weights == (ModelVersion("m", 3),)


def test_unknown_commands_are_refused():
    with pytest.raises(CodecError):
        FleetState().apply(b"\x93nonsense")


def test_only_the_holder_releases_the_order_right():
    state = FleetState()
    state.apply(pack(TakeOrders("core-2")))
    state.apply(pack(GiveBackOrders("core-1")))
    assert state.order_holder == "core-2"
    state.apply(pack(GiveBackOrders("core-2")))
    assert state.order_holder == ""
