"""Targets that a router takes for failed, without a network.

The tests guard against requests that are refused while targets would serve them, and
against requests that are sent to targets which show no sign of life.
"""

import pytest

from berylnotch.group.messages import TargetEntry
from berylnotch.membership.listing import ListedTarget
from berylnotch.net.client import Failure
from berylnotch.net.messages import Headers
from berylnotch.net.response_reader import ResponseHead
from berylnotch.util.clock import boot_time
from tests.test_entry.support import make_exchange


@pytest.fixture
def desks(context):
    """Return a function that lists plain targets and returns them."""

    def list_desks(count):
        names = [f"desk-{number}" for number in range(count)]
        context.targets.update(
            [
                TargetEntry(ListedTarget(name, "desk", "127.0.0.1:9", "north", 8))
                for name in names
            ]
        )
        return [context.targets.get(name) for name in names]

    return list_desks


def send_to(context, target, path="/read/x"):
    """Send a request to a target while all others are unusable."""
    others = [other for other in context.targets.all() if other is not target]
    for other in others:
        other.is_leaving = True
    exchange, _, _ = make_exchange(context, target=path)
    for other in others:
        other.is_leaving = False
    return exchange


def eject_for_late_answers(context, target):
    for exchange in [send_to(context, target) for _ in range(2)]:
        exchange._attempt.cancel(is_overdue=True)
    assert target.ejection.is_blocked(boot_time())


@pytest.mark.parametrize("path", ["/read/x", "/book/x"])
def test_late_answers_of_all_targets_refuse_no_request(context, desks, path):
    targets = desks(2)
    for target in targets:
        eject_for_late_answers(context, target)
        target.heard_at = boot_time()
    _, connection, _ = make_exchange(context, target=path)
    assert connection.answers == []
    assert sum(target.in_flight for target in targets) == 1


def test_answers_without_a_body_show_that_a_target_is_alive(context, desks):
    (target,) = desks(1)
    answered = send_to(context, target)._attempt
    eject_for_late_answers(context, target)
    head = Headers(
        (("Berylnotch-Request-Id", "id-1"), ("Berylnotch-Server-Stamp", "s"))
    )
    answered.on_head(ResponseHead(200, head, is_delimited=True))
    answered.on_complete()
    _, connection, _ = make_exchange(context, target="/read/x")
    assert connection.answers == []


def test_late_target_gets_no_request_while_another_is_usable(context, desks):
    late, other = desks(2)
    eject_for_late_answers(context, late)
    late.heard_at = boot_time()
    for _ in range(5):
        make_exchange(context, target="/read/x")
    assert (late.in_flight, other.in_flight) == (0, 5)


def test_overdue_request_stays_where_it_is_if_all_others_are_late(context, desks):
    late, other = desks(2)
    eject_for_late_answers(context, late)
    late.heard_at = boot_time()
    exchange = send_to(context, other)
    assert not exchange.can_retry_elsewhere()


def test_request_is_refused_while_all_targets_are_silent(context, desks):
    (target,) = desks(1)
    eject_for_late_answers(context, target)
    _, connection, _ = make_exchange(context, target="/read/x")
    assert connection.answers[0][0] == 503 and target.in_flight == 0


def test_request_is_refused_while_all_targets_break_their_connections(context, desks):
    (target,) = desks(1)
    for exchange in [send_to(context, target) for _ in range(2)]:
        exchange._attempt.on_failure(Failure.BROKEN, "reset by the peer")
    target.heard_at = boot_time()
    _, connection, _ = make_exchange(context, target="/read/x")
    assert connection.answers[0][0] == 503 and target.in_flight == 0


def test_ejection_and_its_end_are_logged(context, desks):
    (target,) = desks(1)
    eject_for_late_answers(context, target)
    target.ejection.probe_allowed_at = boot_time()
    probe = send_to(context, target)
    probe._attempt._outcome.on_success()
    events = [e for e in context.log.events if e[1].get("target") == target.target_id]
    names = [name for name, _ in events if name != "sent"]
    assert names == ["target_ejected", "target_readmitted"]
    (fields,) = [f for name, f in events if name == "target_ejected"]
    assert fields["failures"] == 2 and fields["heard_age_s"] is None


def test_targets_are_used_although_the_router_had_no_descriptors(context, desks):
    # All attempts failed for as long as the router had no file descriptors, which says
    # nothing about the targets.
    (target,) = desks(1)
    for exchange in [send_to(context, target) for _ in range(2)]:
        exchange._attempt.on_failure(Failure.NO_SOCKET, "too many open files")
    assert not target.ejection.is_ejected and not target.failure_rate
    _, connection, _ = make_exchange(context, target="/read/x")
    assert connection.answers == [] and target.in_flight == 1


@pytest.mark.parametrize("path", ["/read/x", "/book/x"])
def test_request_is_refused_once_a_late_target_has_fallen_silent(context, desks, path):
    # The target answered other requests while those that ejected it were late, and then
    # stopped to answer at all. What it gets would wait until its deadline.
    (target,) = desks(1)
    eject_for_late_answers(context, target)
    send_to_late_target(context, target)
    silent_s = context.settings.stall_s + 0.1
    target.busy_since = target.heard_at = boot_time() - silent_s
    target.left_silent_at = 0.0
    _, connection, _ = make_exchange(context, target=path)
    assert connection.answers[0][0] == 503 and target.in_flight == 1


def test_late_target_is_not_silent_while_its_answers_take_as_long(context, desks):
    (target,) = desks(1)
    eject_for_late_answers(context, target)
    send_to_late_target(context, target)
    silent_s = context.settings.stall_s + 0.1
    context.answer_times.record("read", silent_s + 1.0, 0)
    target.busy_since = target.heard_at = boot_time() - silent_s
    target.left_silent_at = 0.0
    _, connection, _ = make_exchange(context, target="/read/x")
    assert connection.answers == [] and target.in_flight == 2


def send_to_late_target(context, target):
    """Send a request that no other target can serve, and that gets no answer."""
    target.heard_at = boot_time()
    make_exchange(context, target="/read/x")
    assert target.in_flight == 1
