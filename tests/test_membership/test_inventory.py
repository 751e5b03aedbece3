"""The leader's state of the targets: list, engine reports and leaving notices."""

from berylnotch.group.messages import LeavingWord
from berylnotch.membership.inventory import ENGINE_REPORT_PRECEDENCE_S, TargetInventory
from berylnotch.membership.listing import ListedTarget, ModelVersion


def engine(version, born_ms=1):
    models = (ModelVersion("m", version),)
    return ListedTarget("t", "llm", "10.0.0.1:1", "d", born_ms=born_ms, models=models)


def version_of(inventory):
    return inventory.target("t").models[0].version


def test_an_engine_report_takes_precedence_over_a_late_list():
    inventory = TargetInventory()
    inventory.replace_targets(0.0, (engine(1),))
    inventory.record_engine_weights(1.0, "t", ModelVersion("m", 2))
    inventory.replace_targets(1.5, (engine(1),))
    assert version_of(inventory) == 2
    inventory.replace_targets(1.0 + ENGINE_REPORT_PRECEDENCE_S + 1, (engine(1),))
    assert version_of(inventory) == 1


def test_the_report_of_an_earlier_start_does_not_apply():
    inventory = TargetInventory()
    inventory.replace_targets(0.0, (engine(1),))
    inventory.record_engine_weights(1.0, "t", ModelVersion("m", 2))
    inventory.replace_targets(1.5, (engine(1, born_ms=2),))
    assert version_of(inventory) == 1


def test_an_unlisted_target_no_longer_counts_as_loading():
    inventory = TargetInventory()
    inventory.replace_targets(0.0, (engine(1),))
    inventory.mark_loading(0.0, "t")
    assert inventory.entries()[0].is_loading
    inventory.replace_targets(1.0, ())
    assert inventory.loading == frozenset() and inventory.entries() == ()


def fleet(count):
    return tuple(
        ListedTarget(f"t{n}", "llm", f"10.0.0.{n}:1", "d", born_ms=1)
        for n in range(count)
    )


def leaving_ids(inventory):
    return {e.target.target_id for e in inventory.entries() if e.target.is_leaving}


def test_all_routers_see_a_target_as_leaving_that_told_one_router():
    inventory = TargetInventory()
    inventory.replace_targets(0.0, fleet(4))
    assert inventory.add_leaving_notices("r1", (LeavingWord("t1", 1),))
    assert not inventory.add_leaving_notices("r1", (LeavingWord("t1", 1),))
    assert leaving_ids(inventory) == {"t1"}
    inventory.replace_targets(1.0, fleet(4))
    assert leaving_ids(inventory) == {"t1"}


def test_a_leaving_notice_of_an_earlier_start_is_ignored():
    inventory = TargetInventory()
    inventory.replace_targets(0.0, fleet(4))
    assert not inventory.add_leaving_notices(
        "r1", (LeavingWord("t1", 0), LeavingWord("x", 1))
    )
    assert leaving_ids(inventory) == set()


def test_one_router_cannot_mark_a_whole_service_as_leaving_but_two_can():
    inventory, notices = TargetInventory(), [LeavingWord(f"t{n}", 1) for n in range(4)]
    inventory.replace_targets(0.0, fleet(4))
    inventory.add_leaving_notices("r1", notices)
    assert leaving_ids(inventory) == {"t0", "t1"}
    inventory.add_leaving_notices("r2", notices)
    assert leaving_ids(inventory) == {"t0", "t1", "t2", "t3"}


def test_a_target_is_marked_as_emptying_until_it_loads():
    inventory = TargetInventory()
    inventory.replace_targets(0.0, fleet(2))
    inventory.mark_emptying("t1")
    assert [e.is_emptying for e in inventory.entries()] == [False, True]
    inventory.mark_loading(1.0, "t1")
    entry = inventory.entries()[1]
    assert entry.is_loading and not entry.is_emptying
    inventory.mark_emptying("t0")
    inventory.mark_serving("t0")
    assert not inventory.entries()[0].is_emptying
