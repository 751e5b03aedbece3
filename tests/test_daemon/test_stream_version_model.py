"""Streams of routers and leaders that die, lose messages and come back."""

from contextlib import contextmanager
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from berylnotch.daemon.fleet import stream_recorder, stream_versions
from berylnotch.group.state import FleetState
from berylnotch.membership.stream_versions import MIN_LIFETIME_S
from tests.test_daemon.test_crash_load import Clock
from tests.test_daemon.test_fleet_stream_versions import Group
from tests.test_membership.test_version_tracker import target

VERSIONS = ("v1", "v2", "")


class Router:
    """Router that keeps the contract with the leader."""

    def __init__(self):
        self.memory, self.usable, self.updates = {}, (), []
        self.is_linked = self.is_recording = self.is_slow = False
        self.heard_at = 0.0

    def read(self, group):
        """Apply the updates of the leader, unless the router is slow."""
        while self.updates and not self.is_slow:
            self.usable, is_mixed = self.updates.pop(0)
            if is_mixed and not self.is_recording:
                for number, version in self.memory.items():
                    group.send(version, number)
            self.is_recording = is_mixed

    def begin(self, group, number, version):
        self.memory[number] = version
        if self.is_recording and self.is_linked:
            group.send(version, number)


class Fleet(Group):
    """Group with routers, of which each step may change one thing."""

    def __init__(self, clock):
        self.routers, self.present = [Router() for _ in range(3)], ("v1",)
        self.began = {}
        super().__init__(clock)

    @property
    def recording(self):
        return all(r.is_recording for r in self.routers if r.is_linked)

    @recording.setter
    def recording(self, value):
        pass

    def push(self):
        for router in self.routers:
            if router.is_linked:
                self.update(router)

    def update(self, router):
        is_mixed = bool(self.leader.mixed_services)
        router.updates.append((self.usable(*self.present), is_mixed))
        router.read(self)

    def join(self, router):
        router.is_linked, router.is_recording, router.updates = True, False, []
        self.update(router)

    def part(self, router):
        router.is_linked = router.is_recording = False

    def step(self, action, number):
        """Take one step, in which at most one thing fails."""
        for router in self.routers:
            if router.is_linked and not router.is_slow:
                router.heard_at = self.clock.now
        router = self.routers[number % 3]
        if action == "list":
            self.present = [VERSIONS[i] for i in range(3) if (number + 1) >> i & 1]
        elif action == "begin" and router.usable:
            version = router.usable[number % len(router.usable)]
            # An engine cannot be away for a lifetime and come back where it was.
            is_known = self.clock.now - router.heard_at < MIN_LIFETIME_S
            if version in self.present and is_known:
                stream = len(self.began) + 1
                self.began[stream] = version, self.clock.now
                router.begin(self, stream, version)
        elif action == "lose":
            self.lose()
        elif action == "leader dies":
            lost, self.proposals = self.proposals, []
            for command, _ in lost if number % 2 else ():
                self.state.apply(command)
            self.lead(is_first=False)
            for other in self.routers:
                self.part(other)
        elif action == "power":
            snapshot, self.state = self.state.snapshot(), FleetState()
            self.state.restore(snapshot)
            self.lead(is_first=False)
            self.routers = [Router() for _ in range(3)]
        elif action == "router dies":
            self.routers[number % 3] = Router()
        elif action == "unlink":
            self.part(router)
        elif action == "link" and not router.is_linked:
            self.join(router)
        elif action == "slow":
            router.is_slow = not router.is_slow
            router.read(self)
        elif action == "wait":
            self.clock.advance((0.03, 0.2, 1.1, 4.0)[number % 4])
        elif action == "age":
            for _ in range(29 + number % 3):
                self.clock.advance(1.0)
                self.read_list()
        if action != "lose" and number % 4:
            self.commit()
        if action in ("list", "wait"):
            self.read_list()

    def read_list(self):
        self.leader.on_list([target(v) for v in self.present])
        self.push()

    def check(self):
        """Ask about all streams that may still be taken up."""
        # Also the answers that queries of earlier steps waited for.
        for reply in self.link.sent:
            assert reply.version in (self.began[reply.number][0], "")
        self.link.sent.clear()
        for stream, (version, began_at) in self.began.items():
            if self.clock.now - began_at < MIN_LIFETIME_S:
                assert self.query(stream) in (version, "", None)


ACTIONS = (
    *("begin", "wait", "list") * 3,
    *("lose", "leader dies", "power", "router dies", "age"),
    *("link", "link", "link", "unlink", "slow"),
)


@contextmanager
def fleet_with_clock():
    clock = Clock()
    with (
        patch.object(stream_versions, "boot_time", lambda: clock.now),
        patch.object(stream_recorder, "boot_time", lambda: clock.now),
    ):
        yield Fleet(clock)


@settings(max_examples=300)
@given(
    steps=st.lists(
        st.tuples(st.sampled_from(ACTIONS), st.integers(0, 11)),
        min_size=10,
        max_size=60,
    )
)
def test_no_answer_names_another_version_than_the_one_that_began(steps):
    with fleet_with_clock() as fleet:
        for action, number in steps:
            fleet.step(action, number)
            fleet.check()
