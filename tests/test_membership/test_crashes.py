"""Detection of requests that crash their targets."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from berylnotch.membership.crashes import CrashGuard, fingerprint
from berylnotch.membership.settings import MembershipSettings

POISON = fingerprint("clinic", b"poison")
INNOCENT = [fingerprint("clinic", bytes([i])) for i in range(8)]
ENGINES = [f"engine-{i}" for i in range(5)]


def make_guard(**changes) -> CrashGuard:
    return CrashGuard(MembershipSettings(**changes))


def run_together(guard: CrashGuard, target: str, requests) -> None:
    for request in requests:
        guard.on_request_started(request, target)


def test_request_is_refused_after_the_second_lost_engine():
    guard = make_guard()
    guard.on_target_lost(0.0, "engine-1", [POISON])
    guard.on_target_lost(5.0, "engine-1", [POISON])
    assert not guard.is_refused(5.0, POISON)
    assert guard.on_target_lost(6.0, "engine-2", [POISON]).blamed == (POISON,)
    assert guard.is_refused(6.0, POISON)


def test_losses_reported_by_other_routers_count():
    guard = make_guard()
    assert not guard.is_refused(0.0, POISON, frozenset({"engine-1"}))
    assert guard.is_refused(0.0, POISON, frozenset({"engine-1", "engine-2"}))
    guard.on_target_lost(0.0, "engine-2", [POISON], lambda _: frozenset({"engine-1"}))
    assert guard.is_refused(0.0, POISON, frozenset({"engine-1"}))


def test_requests_that_ran_together_on_both_lost_engines_are_not_blamed():
    guard = make_guard()
    both = [POISON, INNOCENT[0]]
    run_together(guard, "engine-1", both)
    assert set(guard.on_target_lost(0.0, "engine-1").reported) == set(both)
    run_together(guard, "engine-2", both)
    # Each connection to the lost target reports the same loss.
    for request in both:
        assert guard.on_target_lost(1.0, "engine-2", [request]).blamed == ()
    assert not any(guard.is_refused(1.0, request) for request in both)
    guard.on_request_started(INNOCENT[0], "engine-3")
    assert guard.targets_to_avoid(1.0, POISON) == {"engine-3"}
    assert guard.on_target_lost(2.0, "engine-4", [POISON]).blamed == (POISON,)
    guard.on_request_completed(INNOCENT[0], 3.0)
    assert not guard.is_refused(3.0, INNOCENT[0], frozenset({"engine-1", "engine-2"}))


@given(st.sets(st.sampled_from(INNOCENT)), st.randoms(use_true_random=False))
def test_poison_request_crashes_two_engines_and_no_other_is_refused(innocent, rng):
    guard = make_guard()
    run_together(guard, "engine-0", [POISON, *innocent])
    guard.on_target_lost(0.0, "engine-0")
    waiting = [POISON, *innocent]
    rng.shuffle(waiting)
    lost, running, now = {"engine-0"}, {}, 0.0
    while waiting:
        now += 10.0
        free = set(ENGINES) - lost - guard.targets_to_avoid(now, waiting[0])
        if not free:
            request, target = running.popitem()
            guard.on_request_ended(request, target)
            guard.on_request_completed(request, now)
            continue
        request, target = waiting.pop(0), rng.choice(sorted(free))
        guard.on_request_started(request, target)
        running[request] = target
        if request == POISON:
            guard.on_target_lost(now, target)
            lost.add(target)
            assert guard.is_refused(now, POISON)
    assert len(lost) == 2
    assert not any(guard.is_refused(now, request) for request in innocent)


@given(st.integers(1, 20), st.integers(1, 60))
def test_memory_is_bounded_and_suspicions_expire(limit, count):
    guard = make_guard(max_suspicions=limit, crash_retention_s=10.0)
    requests = [fingerprint("clinic", bytes([i])) for i in range(count)]
    for request in requests:
        guard.on_target_lost(0.0, "engine-1", [request])
        guard.on_target_lost(5.0, "engine-2", [request])
    assert len(guard) <= limit
    assert guard.is_refused(5.0, requests[-1])
    assert not guard.is_refused(16.0, requests[-1])
