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
from berylnotch.daemon.controller.routers import LOST_AFTER_S, SOURCE, Routers
from berylnotch.quota.messages import GrantRequest
from berylnotch.standins.texts import SmallFleet, small_text
from berylnotch.transport.codec import encode

START = 100.0


def heartbeat(vm="entry-1", incarnation="i1", leaving=False):
    return GrantRequest(vm, incarnation, "127.0.0.1:1", "kolkata-a", leaving, 1)


@pytest.fixture
def state():
    state = ControlState()
    text = small_text(SmallFleet((("entry-1", "127.0.0.1:1"),), (), ()))
    state.apply(1, Proposal(1, encode(ApplyText("a", "asha", 0, text))))
    return state


def lost(incarnation):
    return SetLifeState(Subject.VM, "entry-1", incarnation, LifeState.LOST, SOURCE)


def test_silent_router_is_lost(state):
    routers = Routers(START)
    routers.hear(START, heartbeat())
    (live,) = routers.changes(START, state)
    state.apply(2, Proposal(2, encode(live)))
    assert routers.changes(START + LOST_AFTER_S, state) == ()
    assert routers.changes(START + LOST_AFTER_S + 0.1, state) == (lost("i1"),)


def test_router_that_a_new_leader_never_heard_is_lost(state):
    live = SetLifeState(Subject.VM, "entry-1", "i1", LifeState.LIVE, SOURCE)
    state.apply(2, Proposal(2, encode(live)))
    routers = Routers(START)
    assert routers.changes(START + 1, state) == ()
    assert routers.changes(START + LOST_AFTER_S, state) == (lost("i1"),)


def test_claimant_lost_before_its_first_heartbeat(state):
    claim = OpenClaim("importer-desk", "k", b"f", "entry-1/i1", "attempt")
    state.apply(2, Proposal(2, encode(claim)))
    routers = Routers(START)
    assert routers.changes(START + 1, state) == ()
    (found,) = routers.changes(START + LOST_AFTER_S, state)
    assert found == lost("i1")
    state.apply(3, Proposal(3, encode(found)))
    assert state.running_claims == ()
