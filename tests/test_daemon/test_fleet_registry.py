"""What the leader sends to routers."""

from berylnotch.daemon.fleet.registry import RouterRegistry
from berylnotch.group.commands import PutConfiguration
from berylnotch.group.messages import (
    ROUTER_MESSAGES,
    ConfigurationUpdate,
    LoadColumns,
    NoteRecords,
    PromptNote,
    RouterReport,
    TargetLoad,
)
from berylnotch.group.state import FleetState
from berylnotch.transport.packing import pack, unpack


class Log:
    """A log that is not read."""

    def info(self, event, **fields):
        """Take a line."""

    warning = error = info


class Link:
    """A link that keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        # What goes to many routers is packed once, by the registry.
        if isinstance(message, bytes):
            message = unpack(message, ROUTER_MESSAGES)
        self.sent.append(message)


def report(name="r", version=0, **changes):
    values = {
        "name": name,
        "incarnation": "i",
        "address": f"{name}:1",
        "failure_domain": "d",
        "is_leaving": False,
        "configuration_version": version,
    }
    return RouterReport(**{**values, **changes})


def test_a_router_hears_from_a_leader_that_knows_nothing_yet():
    # A router leaves a controller that does not answer its first report. A leader
    # that could not read the list, and has no newer configuration, must answer too.
    registry, link = RouterRegistry(FleetState(), Log()), Link()
    registry.take(link, report(version=12))
    assert [type(message) for message in link.sent] == [LoadColumns]


def test_a_router_behind_gets_the_configuration_once():
    state = FleetState()
    state.apply(pack(PutConfiguration(16, b"content")))
    registry, link = RouterRegistry(state, Log()), Link()
    registry.take(link, report(version=12))
    registry.take(link, report(version=12))
    updates = [m for m in link.sent if isinstance(m, ConfigurationUpdate)]
    assert updates == [ConfigurationUpdate(16, b"content")]


def test_a_router_that_comes_back_on_a_new_link_gets_it_again():
    state = FleetState()
    state.apply(pack(PutConfiguration(16, b"content")))
    registry, old, new = RouterRegistry(state, Log()), Link(), Link()
    registry.take(old, report(version=12))
    registry.take(new, report(version=12))
    registry.lost(old, "silent")
    assert any(isinstance(m, ConfigurationUpdate) for m in new.sent)
    assert registry.count == 1


def test_targets_that_two_routers_left_out_are_suspects():
    registry, link = RouterRegistry(FleetState(), Log()), Link()
    loads = (TargetLoad("t", 2, 30),)
    registry.take(link, report("a", ejected=("t",), loads=loads))
    assert registry.unreachable() == frozenset()
    registry.take(Link(), report("b", ejected=("t",), loads=loads))
    assert registry.unreachable() == {"t"}
    registry.push_loads()
    assert registry.requests() == {"t": 4}


def test_sums_replace_what_routers_added_for_notes():
    registry, link = RouterRegistry(FleetState(), Log()), Link()
    note = PromptNote(7, 13_000, "t", 3_000, is_ready=False, unread=16_000)
    registry.take(link, report("a", loads=(TargetLoad("t", 1, 500),)))
    registry.push_loads()
    registry.take(link, report("a", loads=(TargetLoad("t", 1, 500),), prompts=(note,)))
    registry.push_notes(registry.take_notes())
    registry.push_loads()
    registry.push_loads()
    kinds = [type(m) for m in link.sent if isinstance(m, (LoadColumns, NoteRecords))]
    assert kinds == [LoadColumns, LoadColumns, NoteRecords, LoadColumns]


def test_long_requests_are_summed_up_over_routers():
    registry = RouterRegistry(FleetState(), Log())
    for name in "ab":
        loads = (TargetLoad("t", 5, 30, long=2), TargetLoad("u", 1))
        registry.take(Link(), report(name, loads=loads))
    assert registry.long_requests("t") == 0
    registry.push_loads()
    assert registry.long_requests("t") == 4
    assert registry.long_requests("u") == registry.long_requests("gone") == 0
