"""Requests that crash their targets."""

from __future__ import annotations

from berylnotch.membership.crashes import CrashGuard, fingerprint
from berylnotch.membership.settings import MembershipSettings

POISON = fingerprint("clinic", b"poison")


def test_request_is_refused_after_the_second_engine():
    guard = CrashGuard(MembershipSettings())
    guard.lost(0.0, "engine-1", [POISON])
    guard.lost(1.0, "engine-1", [POISON])
    assert not guard.is_refused(1.0, POISON)
    guard.lost(2.0, "engine-2", [POISON])
    assert guard.is_refused(2.0, POISON)
