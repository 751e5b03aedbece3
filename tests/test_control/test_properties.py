from __future__ import annotations

from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from berylnotch.control.commands import (
    ApplyText,
    ClaimState,
    CloseClaim,
    ExpireClaims,
    FinishOrder,
    IssueOrder,
    LifeState,
    Proposal,
    ReportCrash,
    SetDrain,
    SetLifeState,
    SettleClaim,
    StartRollout,
    Status,
    Subject,
    WithdrawKey,
)
from berylnotch.control.state import ControlState
from berylnotch.control.view import View
from berylnotch.transport.codec import encode
from tests.test_control.helpers import TEXT, claim, give_key

TEXTS = (
    TEXT,
    TEXT.replace("share = 4", "share = 5"),
    TEXT.replace("weights = v1", "weights = v2"),
    TEXT.replace("sake-llm-3", "sake-llm-4"),
    TEXT.replace("organisation clerks", "organisation labels"),
    TEXT.replace("burst", "brust"),
)
NUMBER = st.integers(0, 3)
CHANGE = st.integers(0, 12).map("change-{}".format)
OPERATOR = st.sampled_from(["asha", "ravi"])
TARGET = st.sampled_from([f"sake-llm-{n}" for n in range(1, 5)])
VERSION = st.sampled_from(["v1", "v2", "v3", ""])
ATTEMPT = st.sampled_from(["a1", "a2", "a3"])
ROUTER = st.sampled_from(["entry-1/i1", "entry-1/i2"])

COMMAND = st.one_of(
    st.builds(ApplyText, CHANGE, OPERATOR, NUMBER, st.sampled_from(TEXTS)),
    st.builds(give_key, NUMBER, st.sampled_from(["clerks", "importer-desk"])),
    st.builds(WithdrawKey, CHANGE, OPERATOR, NUMBER.map("k{}".format)),
    st.builds(
        SetDrain, CHANGE, OPERATOR, st.just(Subject.TARGET), TARGET, st.booleans()
    ),
    st.builds(
        SetLifeState,
        st.sampled_from(Subject),
        st.sampled_from(["entry-1", "sake-llm-1"]),
        st.sampled_from(["", "i1", "i2"]),
        st.sampled_from(LifeState),
        st.sampled_from(["list", "self"]),
    ),
    st.builds(claim, ATTEMPT, ROUTER),
    st.builds(
        CloseClaim,
        st.just("clerks"),
        st.just("order-7"),
        ATTEMPT,
        st.sampled_from(ClaimState),
        body=st.binary(max_size=4),
    ),
    st.builds(
        SettleClaim,
        CHANGE,
        OPERATOR,
        st.just("clerks"),
        st.just("order-7"),
        st.sampled_from(ClaimState),
    ),
    st.builds(ExpireClaims, st.integers(0, 2_000)),
    st.builds(ReportCrash, st.sampled_from([b"f", b"g"]), TARGET, st.just("i1")),
    st.builds(StartRollout, CHANGE, OPERATOR, st.just("sake-llm"), VERSION),
    st.builds(IssueOrder, TARGET, st.just("sake-llm"), VERSION),
    st.builds(
        FinishOrder, TARGET, st.integers(0, 20), st.booleans(), VERSION, st.just("")
    ),
)


def read_record(state, kind, name):
    """Return the order, life state report or weights report of a target."""
    if kind == "order":
        return state.order(name)
    if kind == "life_report":
        return state.view.life_report(Subject.TARGET, name)
    return state.view.weights_report(name)


class Replicas(RuleBasedStateMachine):
    """Two replicas, one of which is restored from its own snapshot at random points.

    Guards against parts of the state that a snapshot omits, against resent commands
    that are applied twice, and against views that differ from the replicas' view.
    """

    def __init__(self):
        super().__init__()
        self.index = 0
        self.at_ms = 0
        self.steady = ControlState()
        self.restored = ControlState()
        self.views = [View(), View()]
        self.results: dict[str, tuple[object, object]] = {}
        self.revision = 0

    @initialize(is_empty=st.integers(0, 9).map(lambda n: n == 0))
    def apply_initial_commands(self, is_empty):
        if is_empty:
            return
        for command in (
            ApplyText("first", "asha", 0, TEXT),
            StartRollout("roll", "asha", "sake-llm", "v2"),
            IssueOrder("sake-llm-1", "sake-llm", "v2"),
            give_key(0),
        ):
            result = self.apply(command).result
            assert result.status is Status.OK
            if not isinstance(command, IssueOrder):
                self.results[command.change_id] = command, result

    def apply(self, command):
        self.index += 1
        proposal = Proposal(self.at_ms, encode(command))
        applied_command = self.steady.apply(self.index, proposal)
        assert self.restored.apply(self.index, proposal) == applied_command
        return applied_command

    @rule(command=COMMAND, step_ms=st.sampled_from([-500, 0, 10, 4_000_000]))
    def propose(self, command, step_ms):
        self.at_ms += step_ms
        previous_revision = self.steady.revision
        result = self.apply(command).result
        change_id = getattr(command, "change_id", "")
        if change_id in self.results:
            self.check_resend(command, result)
        elif change_id:
            self.results[change_id] = command, result
        if self.steady.revision > previous_revision:
            assert isinstance(command, ApplyText)
            assert command.base_revision == previous_revision

    def check_resend(self, command, result):
        first_command, first_result = self.results[command.change_id]
        if first_command == command:
            assert evolve(result, claim=None) == evolve(first_result, claim=None)
        elif type(first_command) is not type(command):
            assert result.status is Status.INVALID

    @rule(data=st.data())
    def resend(self, data):
        if self.results:
            change_id = data.draw(st.sampled_from(sorted(self.results)))
            command, _ = self.results[change_id]
            self.check_resend(command, self.apply(command).result)

    @rule()
    def restart_from_snapshot(self):
        replacement = ControlState()
        replacement.restore(self.restored.snapshot())
        self.restored = replacement

    @rule(
        number=st.integers(0, 1),
        from_restored=st.booleans(),
        use_snapshot=st.booleans(),
    )
    def sync(self, number, from_restored, use_snapshot):
        source = self.restored if from_restored else self.steady
        view = self.views[number]
        view.set_group(source.group)
        events = None if use_snapshot else source.events_after(view.version)
        if events is None:
            view.restore(source.view_snapshot())
        else:
            view.apply(events)
        assert list(view.records()) == list(self.steady.view.records())

    @rule(number=st.integers(0, 1), version=st.integers(0, 10))
    def relay_old_events(self, number, version):
        """A peer or a lagging controller may send events that were applied already."""
        view, peer = self.views[number], self.views[1 - number]
        previous_version = view.version
        events = peer.events_after(min(version, previous_version))
        if events is not None:
            view.apply(events)
        else:
            view.restore(peer.view_snapshot())
        assert view.version == max(previous_version, peer.version)

    @invariant()
    def replicas_are_equal(self):
        assert self.steady.revision >= self.revision
        self.revision = self.steady.revision
        assert self.steady.index == self.restored.index
        # Compares through the accessors first. The snapshot records, compared at the
        # end, would not show a difference in a part that they omit.
        assert self.steady.orders == self.restored.orders
        assert self.steady.rollouts() == self.restored.rollouts()
        assert self.steady.keys() == self.restored.keys()
        assert self.steady.audit(0, 1000) == self.restored.audit(0, 1000)
        steady, restored = self.steady.view, self.restored.view
        for name in self.steady.fleet.targets:
            for kind in ("order", "life_report", "weights_report"):
                assert read_record(self.steady, kind, name) == read_record(
                    self.restored, kind, name
                )
            assert steady.is_draining(Subject.TARGET, name) is restored.is_draining(
                Subject.TARGET, name
            )
        times = [record.at_ms for record in self.steady.audit(0, 1000)]
        assert times == sorted(times)
        assert list(self.steady._snapshot_records()) == list(
            self.restored._snapshot_records()
        )


Replicas.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestReplicas = Replicas.TestCase
