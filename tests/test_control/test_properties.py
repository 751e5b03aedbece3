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
from tests.test_control.helpers import TEXT, claim, key

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
    st.builds(key, NUMBER, st.sampled_from(["clerks", "importer-desk"])),
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


def read(state, part, name):
    """Return one thing that a state knows about a target."""
    if part == "order":
        return state.order(name)
    if part == "life_report":
        return state.view.life_report(Subject.TARGET, name)
    return state.view.weights_report(name)


class Replicas(RuleBasedStateMachine):
    """Two replicas, one of which is restored from snapshots at any point."""

    def __init__(self):
        super().__init__()
        self.index = 0
        self.at_ms = 0
        self.steady = ControlState()
        self.restored = ControlState()
        self.views = [View(), View()]
        self.answers: dict[str, tuple[object, object]] = {}
        self.revision = 0

    @initialize(is_empty=st.integers(0, 9).map(lambda n: n == 0))
    def begin(self, is_empty):
        if is_empty:
            return
        for command in (
            ApplyText("first", "asha", 0, TEXT),
            StartRollout("roll", "asha", "sake-llm", "v2"),
            IssueOrder("sake-llm-1", "sake-llm", "v2"),
            key(0),
        ):
            result = self.run(command).result
            assert result.status is Status.OK
            if not isinstance(command, IssueOrder):
                self.answers[command.change_id] = command, result

    def run(self, command):
        self.index += 1
        proposal = Proposal(self.at_ms, encode(command))
        applied = self.steady.apply(self.index, proposal)
        assert self.restored.apply(self.index, proposal) == applied
        return applied

    @rule(command=COMMAND, step_ms=st.sampled_from([-500, 0, 10, 4_000_000]))
    def propose(self, command, step_ms):
        self.at_ms += step_ms
        before = self.steady.revision
        result = self.run(command).result
        change_id = getattr(command, "change_id", "")
        if change_id in self.answers:
            self.check_resend(command, result)
        elif change_id:
            self.answers[change_id] = command, result
        if self.steady.revision > before:
            assert isinstance(command, ApplyText)
            assert command.base_revision == before

    def check_resend(self, command, result):
        first, answer = self.answers[command.change_id]
        if first == command:
            assert evolve(result, claim=None) == evolve(answer, claim=None)
        elif type(first) is not type(command):
            assert result.status is Status.INVALID

    @rule(data=st.data())
    def resend(self, data):
        if self.answers:
            change_id = data.draw(st.sampled_from(sorted(self.answers)))
            command, _ = self.answers[change_id]
            self.check_resend(command, self.run(command).result)

    @rule()
    def restart_from_snapshot(self):
        fresh = ControlState()
        fresh.restore(self.restored.snapshot())
        self.restored = fresh

    @rule(number=st.integers(0, 1), from_restored=st.booleans(), far=st.booleans())
    def sync(self, number, from_restored, far):
        source = self.restored if from_restored else self.steady
        view = self.views[number]
        view.set_group(source.group)
        events = None if far else source.events_after(view.version)
        if events is None:
            view.restore(source.view_snapshot())
        else:
            view.apply(events)
        assert list(view.records()) == list(self.steady.view.records())

    @rule(number=st.integers(0, 1), version=st.integers(0, 10))
    def relay_old_events(self, number, version):
        """A peer or a slow controller may send what is known already."""
        view, peer = self.views[number], self.views[1 - number]
        before = view.version
        events = peer.events_after(min(version, before))
        if events is not None:
            view.apply(events)
        else:
            view.restore(peer.view_snapshot())
        assert view.version == max(before, peer.version)

    @invariant()
    def replicas_are_equal(self):
        assert self.steady.revision >= self.revision
        self.revision = self.steady.revision
        assert self.steady.index == self.restored.index
        # Not by way of the snapshot's records, which could lack a part.
        assert self.steady.orders == self.restored.orders
        assert self.steady.rollouts() == self.restored.rollouts()
        assert self.steady.keys() == self.restored.keys()
        assert self.steady.audit(0, 1000) == self.restored.audit(0, 1000)
        steady, restored = self.steady.view, self.restored.view
        for name in self.steady.fleet.targets:
            for part in ("order", "life_report", "weights_report"):
                assert read(self.steady, part, name) == read(self.restored, part, name)
            assert steady.is_draining(Subject.TARGET, name) is restored.is_draining(
                Subject.TARGET, name
            )
        times = [record.at_ms for record in self.steady.audit(0, 1000)]
        assert times == sorted(times)
        assert list(self.steady._records()) == list(self.restored._records())


Replicas.TestCase.settings = settings(max_examples=60, stateful_step_count=40)
TestReplicas = Replicas.TestCase
