"""Requests with a cause of crashes must not reach a target, from whatever state."""

import pytest

from berylnotch.daemon.fleet.updates import apply_crashes
from berylnotch.entry.crash_trail import WRITING_S
from berylnotch.entry.crash_watch import CrashWatch
from berylnotch.entry.settings import EntrySettings
from berylnotch.group.messages import CrashesUpdate
from berylnotch.membership.crash_causes import part_identity
from berylnotch.net.listener_probe import ListenerState
from berylnotch.util.clock import boot_time
from tests.test_entry.support import make_exchange

#: Shared part of the prompts of `make_exchange`.
BAD = part_identity("aa")
REFUSED = CrashesUpdate(refused=((BAD,),))


def refuse(context, exchange=None):
    changed = apply_crashes(context, REFUSED)
    if exchange is not None:
        exchange.on_refusals_changed()
    return changed


def test_new_request_with_a_cause_is_refused_at_once(context):
    assert refuse(context)
    _, connection, ended = make_exchange(context)
    assert connection.answers[0][0] == 502 and len(ended) == 1
    assert context.targets.get("e").in_flight == 0
    assert context.log.events[-1][1]["reason"].startswith("crashes")


def test_request_that_waits_at_a_target_is_ended_with_the_decision(context):
    exchange, connection, ended = make_exchange(context)
    target = context.targets.get("e")
    assert target.in_flight == 1
    refuse(context, exchange)
    assert connection.answers[0][0] == 502 and len(ended) == 1
    assert target.in_flight == 0


def test_run_that_has_begun_goes_on(context):
    exchange, connection, ended = make_exchange(context)
    exchange._crash_tracker.on_event()
    refuse(context, exchange)
    assert ended == [] and context.targets.get("e").in_flight == 1


def test_request_without_a_cause_is_not_touched(context):
    apply_crashes(context, CrashesUpdate(refused=((BAD, b"part:other"),)))
    exchange, connection, ended = make_exchange(context)
    exchange.on_refusals_changed()
    assert connection.answers == [] and ended == []


@pytest.fixture
def has_leader():
    return [True]


@pytest.fixture
def watch(has_leader):
    return CrashWatch(EntrySettings().membership, lambda: has_leader[0])


def lose(watch, count=3):
    for number in range(count):
        watch.record_loss(number, f"e{number}", number, (BAD,))


def test_router_without_a_leader_decides_by_its_own_losses(watch, has_leader):
    lose(watch)
    request = frozenset((BAD, b"request"))
    assert not watch.is_refused(3.0, request)
    has_leader[0] = False
    assert watch.is_refused(3.0, request)
    assert not watch.is_refused(3.0, frozenset((b"request",)))


def test_earlier_completions_of_a_suspect_are_reported_once(watch):
    watch.record_completion(1.0, (BAD,))
    assert watch.take_completions(2.0) == ()
    suspects = CrashesUpdate((BAD,))
    assert watch.apply(suspects)
    (notice,) = watch.take_completions(2.0)
    assert (notice.identity, notice.age_ms) == (BAD, 1000)
    assert not watch.apply(suspects) and watch.take_completions(2.0) == ()
    assert watch.record_completion(3.0, (BAD,))
    assert watch.take_completions(3.0)[0].age_ms == 0


def test_new_leader_gets_losses_with_their_age(watch):
    lose(watch, 2)
    assert len(watch.take_marks(2.0)) == 2 and watch.take_marks(2.0) == ()
    watch.report_all()
    ages = {mark.target_id: mark.age_ms for mark in watch.take_marks(5.0)}
    assert ages == {"e0": 5000, "e1": 4000}


def make_loss(context, monkeypatch, state, has_event=False, writing_s=0.0):
    """Lose the connection of a request, and return the identities that are reported."""
    exchange, _, _ = make_exchange(context)
    target, tracker = context.targets.get("e"), exchange._crash_tracker
    if has_event:
        tracker.on_event()
    if writing_s:
        tracker._first_event_at = boot_time() - writing_s
        tracker.on_event()
    monkeypatch.setattr(context.loss_prober, "probe", lambda target, done: done(state))
    tracker.on_target_lost(target)
    return {mark.fingerprint for mark in context.crash_watch.take_marks(boot_time())}


def test_loss_counts_only_if_the_target_ended(context, monkeypatch):
    for state in (ListenerState.LISTENING, ListenerState.UNKNOWN):
        assert make_loss(context, monkeypatch, state) == set()
    assert BAD in make_loss(context, monkeypatch, ListenerState.REFUSED)


def test_run_that_has_written_for_a_while_is_no_suspect(context, monkeypatch):
    assert BAD in make_loss(context, monkeypatch, ListenerState.REFUSED, has_event=True)
    losses = make_loss(context, monkeypatch, ListenerState.REFUSED, writing_s=WRITING_S)
    assert losses == set()


def test_end_of_a_target_that_leaves_blames_no_request(context, monkeypatch):
    exchange, _, _ = make_exchange(context)
    target = context.targets.get("e")
    target.is_leaving = True
    monkeypatch.setattr(
        context.loss_prober, "probe", lambda target, done: done(ListenerState.REFUSED)
    )
    exchange._crash_tracker.on_target_lost(target)
    assert context.crash_watch.take_marks(boot_time()) == ()


@pytest.mark.parametrize("state", ListenerState)
def test_answer_without_a_length_is_a_completion_only_if_its_target_goes_on(
    context, monkeypatch, state
):
    exchange, _, _ = make_exchange(context)
    monkeypatch.setattr(context.loss_prober, "probe", lambda target, done: done(state))
    exchange._crash_tracker.on_completed(context.targets.get("e"), is_delimited=False)
    marks = context.crash_watch.take_marks(boot_time())
    is_loss = BAD in {mark.fingerprint for mark in marks}
    assert is_loss == (state is ListenerState.REFUSED)
    completed_at = context.crash_watch._own.completed_at(BAD)
    assert (completed_at is not None) == (state is ListenerState.LISTENING)
