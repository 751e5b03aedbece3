"""Life states of routers, derived from heartbeats at the leader."""

from __future__ import annotations

import pytest

from berylnotch.control.commands import (
    ApplyText,
    LifeState,
    OpenClaim,
    Proposal,
    SetLifeState,
    Subject,
)
from berylnotch.control.state import ControlState
from berylnotch.daemon.controller.routers import LOST_AFTER_S, SOURCE, RouterHeartbeats
from berylnotch.quota.messages import GrantRequest
from berylnotch.standins.texts import SmallFleet, small_fleet_text
from berylnotch.transport.codec import encode

START = 100.0


def heartbeat(vm="entry-1", incarnation="i1", leaving=False):
    return GrantRequest(vm, incarnation, "127.0.0.1:1", "kolkata-a", leaving, 1)


@pytest.fixture
def state():
    state = ControlState()
    text = small_fleet_text(SmallFleet((("entry-1", "127.0.0.1:1"),), (), ()))
    state.apply(1, Proposal(1, encode(ApplyText("a", "asha", 0, text))))
    return state


def lost_life_state(incarnation):
    return SetLifeState(Subject.VM, "entry-1", incarnation, LifeState.LOST, SOURCE)


def test_silent_router_is_lost(state):
    heartbeats = RouterHeartbeats(START)
    heartbeats.record(START, heartbeat())
    (live,) = heartbeats.life_state_changes(START, state)
    state.apply(2, Proposal(2, encode(live)))
    assert heartbeats.life_state_changes(START + LOST_AFTER_S, state) == ()
    assert heartbeats.life_state_changes(START + LOST_AFTER_S + 0.1, state) == (
        lost_life_state("i1"),
    )


def test_router_without_heartbeat_to_new_leader_is_lost(state):
    live = SetLifeState(Subject.VM, "entry-1", "i1", LifeState.LIVE, SOURCE)
    state.apply(2, Proposal(2, encode(live)))
    heartbeats = RouterHeartbeats(START)
    assert heartbeats.life_state_changes(START + 1, state) == ()
    assert heartbeats.life_state_changes(START + LOST_AFTER_S, state) == (
        lost_life_state("i1"),
    )


def test_claiming_router_lost_before_first_heartbeat(state):
    claim = OpenClaim("importer-desk", "k", b"f", "entry-1/i1", "attempt")
    state.apply(2, Proposal(2, encode(claim)))
    heartbeats = RouterHeartbeats(START)
    assert heartbeats.life_state_changes(START + 1, state) == ()
    (command,) = heartbeats.life_state_changes(START + LOST_AFTER_S, state)
    assert command == lost_life_state("i1")
    state.apply(3, Proposal(3, encode(command)))
    assert state.running_claims == ()
