"""Updates of large tables that the leader sends to routers."""

from berylnotch.daemon.fleet import registry as module
from berylnotch.daemon.fleet.feed import Change, DeltaTable
from berylnotch.daemon.fleet.registry import RouterRegistry
from berylnotch.entry.settings import EntrySettings
from berylnotch.entry.targets import TargetTable
from berylnotch.group.messages import RosterUpdate, TargetEntry, TargetsUpdate
from berylnotch.group.state import FleetState
from berylnotch.membership.listing import ListedTarget
from berylnotch.transport.packing import pack
from berylnotch.util.loop import Loop
from tests.test_daemon.test_fleet_registry import Link, Log, report

#: Targets in the largest fleet that `fleetbench sweep` simulates.
MANY = 3000


def _entries(count, **loading):
    return tuple(
        TargetEntry(
            ListedTarget(f"i-{n:06d}", "llm", f"10.0.{n // 200}.{n % 200}:80", "d"),
            is_loading=loading.get(f"i_{n}", False),
        )
        for n in range(count)
    )


def test_replacing_a_table_returns_only_the_changes():
    table = DeltaTable()
    assert table.replace({"a": 1, "b": 2}) == Change((1, 2), ())
    assert table.replace({"a": 1, "b": 2}) is None
    assert table.replace({"b": 3, "c": 4}) == Change((3, 4), ("a",))
    assert table.entries == (3, 4)


def test_updating_a_part_of_a_table_keeps_the_other_entries():
    table = DeltaTable()
    assert table.update({"a": 1, "b": 2}) == (1, 2)
    assert table.update({"b": 2, "c": 3}) == (3,)
    assert table.update({"a": 1, "c": 3}) == ()
    assert table.entries == (1, 2, 3)
    assert table.replace({"a": 1, "c": 4}) == Change((4,), ("b",))


def test_message_for_a_changed_target_is_small_in_a_large_fleet():
    registry, link = RouterRegistry(FleetState(), Log()), Link()
    registry.on_report(link, report())
    registry.push_targets(TargetsUpdate(_entries(MANY), ()))
    registry.push_targets(TargetsUpdate(_entries(MANY, i_7=True), ()))
    registry.push_targets(TargetsUpdate(_entries(MANY - 1), ()))
    whole, changed, gone = [m for m in link.sent if isinstance(m, TargetsUpdate)]
    assert whole.is_whole and len(whole.targets) == MANY
    assert [e.target.target_id for e in changed.targets] == ["i-000007"]
    assert gone.gone == (f"i-{MANY - 1:06d}",)
    assert len(pack(changed)) < 500 and len(pack(gone)) < 500


def test_new_router_gets_the_whole_table():
    registry, link = RouterRegistry(FleetState(), Log()), Link()
    registry.push_targets(TargetsUpdate(_entries(5), ()))
    registry.push_targets(TargetsUpdate(_entries(4), ()))
    registry.on_report(link, report())
    (update,) = [m for m in link.sent if isinstance(m, TargetsUpdate)]
    assert update.is_whole and len(update.targets) == 4


def test_applied_changes_result_in_the_same_table_as_a_whole_update():
    registry, link = RouterRegistry(FleetState(), Log()), Link()
    registry.on_report(link, report())
    loop = Loop("unused")
    table = TargetTable(loop, EntrySettings())
    for entries in (_entries(6), _entries(6, i_2=True), _entries(4), _entries(9)):
        registry.push_targets(TargetsUpdate(entries, ()))
    for update in [m for m in link.sent if isinstance(m, TargetsUpdate)]:
        table.update(update.targets, None if update.is_whole else update.gone)
    known = {target.target_id: target.is_loading for target in table.all()}
    assert known == {e.target.target_id: e.is_loading for e in _entries(9)}


def test_new_leader_replaces_the_roster_of_its_predecessor():
    registry, a, b = RouterRegistry(FleetState(), Log()), Link(), Link()
    registry.on_report(a, report("a"))
    registry.complete_roster()
    registry.on_report(b, report("b"))
    registry.on_link_closed(a, "closed")
    rosters = [m for m in b.sent if isinstance(m, RosterUpdate)]
    assert rosters[0].is_whole and {r.address for r in rosters[0].routers} == {"a:1"}
    assert rosters[1] == RosterUpdate(rosters[1].routers, (), is_whole=False)
    assert [r.address for r in rosters[1].routers] == ["b:1"]
    assert rosters[2] == RosterUpdate((), ("a:1",), is_whole=False)
    first = [m for m in a.sent if isinstance(m, RosterUpdate)][0]
    assert first.is_whole


def test_routers_that_connect_together_are_one_roster_update():
    changes = []
    registry = RouterRegistry(FleetState(), Log(), lambda: changes.append(1))
    registry.complete_roster()
    links = [Link() for _ in range(50)]
    for number, link in enumerate(links):
        registry.on_report(link, report(f"r{number}"))
    assert len(changes) == 50
    registry.push_roster()
    rosters = [m for m in links[0].sent if isinstance(m, RosterUpdate)]
    # One message when the router connected, and one for all that connected since.
    assert len(rosters) == 2
    assert len(rosters[1].routers) == 50


def _apply_updates(link, table):
    """Apply a link's updates to a router's table, then discard them."""
    for update in [m for m in link.sent if isinstance(m, TargetsUpdate)]:
        table.update(update.targets, None if update.is_whole else update.gone)
    link.sent.clear()
    return sorted(target.target_id for target in table.all())


def test_pages_of_the_first_list_keep_known_targets():
    # Guards against lost targets while a new leader reads a long list, which takes
    # seconds. A router that restarted after a power loss knows no target until a page
    # arrives; a router that kept running must keep the targets of the earlier leader.
    registry, link = RouterRegistry(FleetState(), Log()), Link()
    registry.on_report(link, report())
    table = TargetTable(Loop("unused"), EntrySettings())
    table.update(_entries(6))
    entries = _entries(9)
    registry.push_pages(TargetsUpdate(entries[6:8], (), is_whole=False))
    assert len(_apply_updates(link, table)) == 8
    late = Link()
    registry.on_report(late, report("late"))
    late_table = TargetTable(Loop("unused"), EntrySettings())
    assert _apply_updates(late, late_table) == ["i-000006", "i-000007"]
    registry.push_pages(TargetsUpdate(entries[8:], (), is_whole=False))
    assert len(_apply_updates(late, late_table)) == 3
    registry.push_targets(TargetsUpdate(entries[1:], ()))
    assert _apply_updates(link, table) == _apply_updates(late, late_table)
    assert len(table.all()) == 8


def test_page_that_is_read_again_is_not_sent_again():
    registry, link = RouterRegistry(FleetState(), Log()), Link()
    registry.on_report(link, report())
    page = TargetsUpdate(_entries(2), (), is_whole=False)
    for _ in range(3):
        registry.push_pages(page)
    late = Link()
    registry.on_report(late, report("late"))
    for router_link in (link, late):
        assert len([m for m in router_link.sent if isinstance(m, TargetsUpdate)]) == 1


def test_router_that_connects_after_the_first_list_gets_no_page():
    registry, link = RouterRegistry(FleetState(), Log()), Link()
    registry.push_pages(TargetsUpdate(_entries(2), (), is_whole=False))
    registry.push_targets(TargetsUpdate(_entries(5), ()))
    registry.on_report(link, report())
    (update,) = [m for m in link.sent if isinstance(m, TargetsUpdate)]
    assert update.is_whole and len(update.targets) == 5


def test_router_that_connects_while_a_long_list_is_read_needs_no_packing(monkeypatch):
    # Guards against a loss of the lease: with hundreds of routers that connect one by
    # one, packing the table for each of them would block a new leader's thread for
    # longer than its lease.
    registry = RouterRegistry(FleetState(), Log())
    packed = []

    def count_packed(message):
        packed.append(type(message))
        return pack(message)

    monkeypatch.setattr(module, "pack", count_packed)
    links = [Link() for _ in range(20)]
    for number, link in enumerate(links):
        page = _entries(MANY)[50 * number : 50 * (number + 1)]
        registry.push_pages(TargetsUpdate(page, (), is_whole=False))
        registry.on_report(link, report(f"r{number}"))
    assert packed.count(TargetsUpdate) == 20
    table = TargetTable(Loop("unused"), EntrySettings())
    assert len(_apply_updates(links[-1], table)) == 20 * 50
