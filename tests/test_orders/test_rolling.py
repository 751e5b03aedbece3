"""Choice of the engines that load new weights next."""

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.orders.rolling import next_loads


def engines(*versions):
    return [
        ListedTarget(
            f"e{n}", "llm", f"10.0.0.{n}:1", "d", models=(ModelVersion("m", v),)
        )
        for n, v in enumerate(versions)
    ]


def target_ids(loads):
    return [load.target_id for load in loads]


def test_at_most_two_of_five_engines_load_at_once():
    targets = engines(1, 1, 1, 1, 1)
    loads = next_loads(targets, {"m": 2}, (), (), {})
    assert len(loads) == 2
    assert target_ids(next_loads(targets, {"m": 2}, ("e0", "e1"), (), {})) == []


def test_intermediate_versions_are_skipped_and_the_most_outdated_load_first():
    loads = next_loads(engines(3, 1, 2, 3, 4), {"m": 4}, (), (), {})
    assert target_ids(loads) == ["e1", "e2"]
    assert {load.version for load in loads} == {4}


def test_idle_engines_load_before_busy_ones():
    busy = {"e0": 4, "e1": 0, "e2": 3, "e3": 1, "e4": 4}
    loads = next_loads(engines(1, 1, 1, 1, 1), {"m": 2}, (), (), busy)
    assert target_ids(loads) == ["e1", "e3"]


def test_busy_engines_load_one_at_a_time_and_full_ones_wait_for_the_running_load():
    targets = engines(1, 1, 1, 1, 1)
    busy = {f"e{n}": 8 for n in range(5)}
    assert len(next_loads(targets, {"m": 2}, (), (), busy)) == 1
    full = {f"e{n}": 20 for n in range(5)}
    assert next_loads(targets, {"m": 2}, ("e0",), (), full) == ()
    assert len(next_loads(targets, {"m": 2}, (), (), full)) == 1


def test_no_load_begins_while_more_engines_load_than_a_busy_service_allows():
    targets = engines(1, 1, 1, 1, 1)
    busy = {f"e{n}": 8 for n in range(5)}
    assert next_loads(targets, {"m": 2}, ("e0", "e1"), (), busy) == ()


def test_unreachable_engines_do_not_count_for_the_loading_fraction():
    targets = engines(1, 1, 1, 1, 1)
    assert len(next_loads(targets, {"m": 2}, (), ("e4",), {})) == 1


def test_unavailable_and_leaving_engines_do_not_load():
    targets = engines(1, 1, 1, 1, 1)
    targets[2] = evolve(targets[2], is_leaving=True)
    loads = next_loads(targets, {"m": 2}, (), ("e0", "e1"), {})
    assert "e2" not in target_ids(loads) and not {"e0", "e1"} & set(target_ids(loads))


def test_targets_without_models_do_not_load():
    plain = ListedTarget("p", "desk", "10.0.0.9:1", "d")
    assert next_loads([plain], {"m": 2}, (), (), {}) == ()


@given(
    st.lists(st.integers(1, 4), min_size=2, max_size=12),
    st.integers(1, 5),
    st.sets(st.integers(0, 11)),
)
def test_at_least_one_engine_of_a_service_keeps_serving(versions, desired, loading):
    targets = engines(*versions)
    loading_ids = {f"e{n}" for n in loading if n < len(targets)}
    loads = next_loads(targets, {"m": desired}, loading_ids, (), {})
    if len(loading_ids) < len(targets):
        assert len(loading_ids | set(target_ids(loads))) < len(targets)
