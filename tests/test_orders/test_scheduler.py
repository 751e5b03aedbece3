from __future__ import annotations

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.orders.scheduler import (
    FAILURE_WAIT_MS,
    MAX_FAILURES,
    MAX_LOADING,
    Engine,
    Leadership,
    OrderState,
    blocked_services,
    next_orders,
)

LEADS = Leadership(since_ms=0, lease_ms=1500)
NOW = 1_000_000


def engines(count: int, **fields) -> tuple[Engine, ...]:
    return tuple(Engine(f"e{n}", "llm", "v1", **fields) for n in range(count))


def state(*found: Engine, **fields) -> OrderState:
    versions = fields.pop("versions", {"llm": "v2"})
    return OrderState(found, versions, **fields)


def names(found: OrderState, now: int = NOW, leads: Leadership = LEADS) -> list[str]:
    return [order.target for order in next_orders(now, found, leads)]


def test_one_engine_after_the_other():
    assert names(state(*engines(3))) == ["e0"]
    assert names(state(*engines(3), versions={})) == []
    assert names(state(*engines(3), versions={"llm": "v1"})) == []


def test_last_serving_engine_stays():
    assert names(state(*engines(1))) == []
    first, second = engines(2)
    for change in ({"is_live": False}, {"is_draining": True}, {"version": ""}):
        assert names(state(evolve(first, **change), second)) != ["e1"]
    empty = evolve(first, version="")
    assert names(state(empty)) == ["e0"]


def test_two_engines_load_at_once():
    first, second, third, fourth = engines(4)
    loading = evolve(first, is_ordered=True, version="")
    assert names(state(loading, second, third, fourth)) == ["e1"]
    also = evolve(second, is_ordered=True, version="")
    assert names(state(loading, also, third, fourth)) == []
    other = evolve(also, service="base")
    assert names(state(loading, other, third, fourth)) == ["e2"]


def test_weight_store_rate():
    found = state(*engines(3), newest_issue_ms=NOW - 1999, loads_per_min=30)
    assert names(found) == []
    assert names(found, NOW + 1) == ["e0"]


def test_unfenced_engine_waits_for_the_previous_lease():
    leads = Leadership(since_ms=NOW, lease_ms=1500)
    first, second, third = engines(3)
    fenced = evolve(second, checks_orders=True)
    assert names(state(first, third), NOW + 1499, leads) == []
    assert names(state(first, fenced, third), NOW + 1499, leads) == ["e1"]
    assert names(state(first, third), NOW + 1500, leads) == ["e0"]


def test_failures_wait_and_end():
    first, *others = engines(3)
    failed = evolve(first, version="", failures=1, finished_ms=NOW)
    assert names(state(failed, *others)) == ["e1"]
    assert names(state(failed, *others), NOW + FAILURE_WAIT_MS) == ["e0"]
    given_up = evolve(failed, failures=MAX_FAILURES)
    assert names(state(given_up), NOW + 10**9) == []


def test_dependency_goes_first():
    base = [Engine(f"b{n}", "base", "v1") for n in range(2)]
    found = state(
        *engines(2),
        *base,
        versions={"llm": "v2", "base": "v2"},
        dependencies={"llm": ("mid",), "mid": ("base",)},
    )
    assert blocked_services(found) == {"llm": "waits for the rollout of base"}
    assert names(found) == ["b0"]


def test_dependency_that_cannot_go_on_does_not_block():
    base = Engine("b0", "base", "v1")
    both = {"llm": "v2", "base": "v2"}
    needs = {"llm": ("base",)}
    for stuck in ({"is_live": False}, {"failures": MAX_FAILURES}):
        other = evolve(base, **stuck)
        found = state(*engines(2), other, versions=both, dependencies=needs)
        assert blocked_services(found) == {}
        assert names(found) == ["e0"]


ENGINE = st.builds(
    Engine,
    st.uuids().map(str),
    st.sampled_from(["llm", "base"]),
    st.sampled_from(["", "v1", "v2"]),
    is_live=st.booleans(),
    is_draining=st.booleans(),
    checks_orders=st.booleans(),
    failures=st.integers(0, 3),
)


@given(st.lists(ENGINE, max_size=7, unique_by=lambda e: e.name), st.data())
def test_rules_hold_in_every_rollout(found, data):
    """Orders are issued and finished in any order, with any result."""
    current = {engine.name: engine for engine in found}
    served = {e.service for e in found if e.is_serving}
    versions = {"llm": "v2", "base": "v2"}
    now = NOW
    for _ in range(12):
        now += data.draw(st.sampled_from([500, 3000, 60_000]))
        view = state(*current.values(), versions=versions)
        for order in next_orders(now, view, Leadership(NOW, 1500)):
            engine = current[order.target]
            assert engine.is_live and not engine.is_ordered
            assert engine.checks_orders or now >= NOW + 1500
            current[order.target] = evolve(engine, is_ordered=True, version="")
        running = [e for e in current.values() if e.is_ordered]
        for service in served:
            assert any(e.is_serving for e in current.values() if e.service == service)
            loading = [e for e in running if e.service == service]
            assert len(loading) <= MAX_LOADING
        if running and data.draw(st.booleans()):
            engine = data.draw(st.sampled_from(running))
            version = data.draw(st.sampled_from(["", "v1", "v2"]))
            failures = 0 if version == "v2" else engine.failures + 1
            current[engine.name] = evolve(
                engine,
                is_ordered=False,
                version=version,
                failures=failures,
                finished_ms=now,
            )
