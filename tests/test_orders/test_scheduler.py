"""Order scheduling: limits on concurrent loads, back-off, fencing, dependencies."""

from __future__ import annotations

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.orders.scheduler import (
    FAILURE_BACKOFF_MS,
    MAX_FAILURES,
    MAX_LOADING,
    Engine,
    Leadership,
    OrderState,
    blocked_services,
    next_orders,
)

LEADERSHIP = Leadership(since_ms=0, lease_ms=1500)
NOW = 1_000_000


def engines(count: int, **fields) -> tuple[Engine, ...]:
    return tuple(Engine(f"e{n}", "llm", "v1", **fields) for n in range(count))


def make_state(*all_engines: Engine, **fields) -> OrderState:
    versions = fields.pop("versions", {"llm": "v2"})
    return OrderState(all_engines, versions, **fields)


def ordered_names(
    order_state: OrderState, now: int = NOW, leadership: Leadership = LEADERSHIP
) -> list[str]:
    return [order.target for order in next_orders(now, order_state, leadership)]


def test_one_order_at_a_time_and_only_to_outdated_engines():
    assert ordered_names(make_state(*engines(3))) == ["e0"]
    assert ordered_names(make_state(*engines(3), versions={})) == []
    assert ordered_names(make_state(*engines(3), versions={"llm": "v1"})) == []


def test_last_serving_engine_gets_no_order():
    assert ordered_names(make_state(*engines(1))) == []
    first, second = engines(2)
    for change in ({"is_live": False}, {"is_draining": True}, {"version": ""}):
        assert ordered_names(make_state(evolve(first, **change), second)) != ["e1"]
    empty = evolve(first, version="")
    assert ordered_names(make_state(empty)) == ["e0"]


def test_at_most_two_engines_of_a_service_load_at_once():
    first, second, third, fourth = engines(4)
    loading = evolve(first, has_running_order=True, version="")
    assert ordered_names(make_state(loading, second, third, fourth)) == ["e1"]
    second_loading = evolve(second, has_running_order=True, version="")
    assert ordered_names(make_state(loading, second_loading, third, fourth)) == []
    other_service = evolve(second_loading, service="base")
    assert ordered_names(make_state(loading, other_service, third, fourth)) == ["e2"]


def test_weight_store_rate_limits_orders():
    order_state = make_state(*engines(3), last_issued_ms=NOW - 1999, loads_per_min=30)
    assert ordered_names(order_state) == []
    assert ordered_names(order_state, NOW + 1) == ["e0"]


def test_unfenced_engine_waits_for_the_previous_lease():
    leadership = Leadership(since_ms=NOW, lease_ms=1500)
    first, second, third = engines(3)
    fenced = evolve(second, checks_orders=True)
    assert ordered_names(make_state(first, third), NOW + 1499, leadership) == []
    assert ordered_names(make_state(first, fenced, third), NOW + 1499, leadership) == [
        "e1"
    ]
    assert ordered_names(make_state(first, third), NOW + 1500, leadership) == ["e0"]


def test_failed_orders_back_off_and_stop_at_the_limit():
    first, *others = engines(3)
    failed = evolve(first, version="", failures=1, finished_ms=NOW)
    assert ordered_names(make_state(failed, *others)) == ["e1"]
    assert ordered_names(make_state(failed, *others), NOW + FAILURE_BACKOFF_MS) == [
        "e0"
    ]
    exhausted = evolve(failed, failures=MAX_FAILURES)
    assert ordered_names(make_state(exhausted), NOW + 10**9) == []


def test_dependency_rolls_out_first():
    base = [Engine(f"b{n}", "base", "v1") for n in range(2)]
    order_state = make_state(
        *engines(2),
        *base,
        versions={"llm": "v2", "base": "v2"},
        dependencies={"llm": ("mid",), "mid": ("base",)},
    )
    assert blocked_services(order_state) == {"llm": "waits for the rollout of base"}
    assert ordered_names(order_state) == ["b0"]


def test_dependency_that_cannot_finish_does_not_block():
    base = Engine("b0", "base", "v1")
    versions = {"llm": "v2", "base": "v2"}
    dependencies = {"llm": ("base",)}
    for change in ({"is_live": False}, {"failures": MAX_FAILURES}):
        stuck_engine = evolve(base, **change)
        order_state = make_state(
            *engines(2), stuck_engine, versions=versions, dependencies=dependencies
        )
        assert blocked_services(order_state) == {}
        assert ordered_names(order_state) == ["e0"]


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
def test_rules_hold_in_every_rollout(initial_engines, data):
    """Orders finish in any order and with any result.

    A service that serves must keep a serving engine, at most `MAX_LOADING` of its
    engines may load, and no engine without a fencing check may get an order before
    the previous lease has ended.
    """
    current = {engine.name: engine for engine in initial_engines}
    served = {e.service for e in initial_engines if e.is_serving}
    versions = {"llm": "v2", "base": "v2"}
    now = NOW
    for _ in range(12):
        now += data.draw(st.sampled_from([500, 3000, 60_000]))
        order_state = make_state(*current.values(), versions=versions)
        for order in next_orders(now, order_state, Leadership(NOW, 1500)):
            engine = current[order.target]
            assert engine.is_live and not engine.has_running_order
            assert engine.checks_orders or now >= NOW + 1500
            current[order.target] = evolve(engine, has_running_order=True, version="")
        running = [e for e in current.values() if e.has_running_order]
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
                has_running_order=False,
                version=version,
                failures=failures,
                finished_ms=now,
            )
