"""What a router takes over from the leader's messages."""

from collections import deque
from types import SimpleNamespace

import pytest

from berylnotch.daemon.fleet.updates import (
    ASK_PER_ROUTER_S,
    share_limits,
    take_loads,
    take_prompts,
)
from berylnotch.entry.settings import EntrySettings
from berylnotch.entry.targets import TargetTable
from berylnotch.group.columns import echo
from berylnotch.group.messages import LoadsUpdate, PromptNote, TargetEntry, TargetLoad
from berylnotch.membership.listing import ListedTarget
from berylnotch.placement.mirror import PromptMemory
from berylnotch.quota.bounds import FLEET_QUOTA
from berylnotch.routing.model import Organisation
from berylnotch.settings.fleet import FleetBounds
from berylnotch.util.loop import Loop


@pytest.fixture
def context():
    table = TargetTable(Loop("unused"), EntrySettings())
    table.update(
        TargetEntry(ListedTarget(name, "llm", "10.0.0.1:80", "d")) for name in "abc"
    )
    return SimpleNamespace(
        targets=table,
        loaded_targets=set(),
        own_notes=deque(),
        prompts=PromptMemory(),
        cache_tokens=lambda target: 150_000,
    )


def _others(context):
    return {t.target_id: t.others_in_flight for t in context.targets.all()}


def test_own_requests_are_taken_out_of_the_sums(context):
    update = LoadsUpdate((TargetLoad("a", 5, 900), TargetLoad("b", 2)))
    take_loads(context, update, [TargetLoad("a", 2, 300), TargetLoad("b", 3)])
    assert _others(context) == {"a": 3, "b": 0, "c": 0}
    assert context.targets.get("a").others_unread == 600


def test_a_target_that_is_not_named_any_more_has_no_load(context):
    take_loads(context, LoadsUpdate((TargetLoad("a", 5),), ("b",)), [])
    assert context.targets.get("b").is_suspect
    take_loads(context, LoadsUpdate((TargetLoad("c", 1),)), [])
    assert _others(context) == {"a": 0, "b": 0, "c": 1}
    assert not context.targets.get("b").is_suspect


def test_a_target_that_is_unknown_is_left_out(context):
    take_loads(context, LoadsUpdate((TargetLoad("x", 5),), ("y",)), [])
    take_loads(context, LoadsUpdate(()), [])
    assert _others(context) == {"a": 0, "b": 0, "c": 0}


def _note(holder, **changes):
    values = {"own_tokens": 3_700, "is_ready": False, "unread": 17_000, **changes}
    return PromptNote(7, 13_300, holder, **values)


def test_a_note_counts_at_once_until_the_next_sums(context):
    own = _note("b")
    context.own_notes.append(echo(own))
    notes = (_note("a"), own, _note("c", is_ready=True, unread=0), _note("x"))
    take_prompts(context, notes)
    assert _others(context) == {"a": 1, "b": 0, "c": 0}
    assert context.targets.get("a").others_unread == 17_000
    take_loads(context, LoadsUpdate((TargetLoad("b", 1),)), [])
    assert _others(context) == {"a": 0, "b": 1, "c": 0}
    assert context.targets.get("a").others_unread == 0


class Quota:
    """A router's grants that keep what they are told."""

    def __init__(self):
        self.kept, self.interval_s = {}, None

    def keep(self, organisation, tokens):
        self.kept[organisation] = tokens

    def pace(self, interval_s):
        self.interval_s = interval_s


def _limited(router_count, is_roster_known):
    """Return the grants of a router that took over a limit."""
    organisation = Organisation("alpha", ("k",), 0, 55_000, 112_000, True, 200)
    configuration = SimpleNamespace(organisations=(organisation,))
    quota = Quota()
    share_limits(
        SimpleNamespace(
            routes=SimpleNamespace(configuration=configuration),
            fleet=SimpleNamespace(bounds=FleetBounds()),
            gate=SimpleNamespace(quota=quota),
            router_count=router_count,
            is_roster_known=is_roster_known,
        )
    )
    return quota


def test_each_router_holds_its_part_of_a_limit():
    few, many = _limited(6, True).kept["alpha"], _limited(300, True).kept["alpha"]
    assert few // 50 - 1 <= many <= few // 50 + 1


def test_before_the_roster_is_known_routers_ask_as_those_of_a_large_fleet():
    # After a loss of all power hundreds of routers know of themselves only.
    unknown = _limited(1, is_roster_known=False)
    assert 250 / unknown.interval_s <= 1 / ASK_PER_ROUTER_S
    # The owner may die before it told the roster: what is held serves until the next.
    assert unknown.kept["alpha"] == _limited(1, is_roster_known=True).kept["alpha"]


def test_many_routers_ask_less_often_for_tokens_in_advance():
    assert _limited(6, True).interval_s == FLEET_QUOTA.ask_interval_s
    assert 300 / _limited(300, True).interval_s <= 1 / ASK_PER_ROUTER_S
