"""Failures of controllers, on real processes.

The tests guard against acknowledged changes that are lost or applied twice, and against
controllers that serve stale state or vote after they lost their log.
"""

from __future__ import annotations

import shutil
import signal
import threading

import pytest

from berylnotch.control.commands import Status
from berylnotch.control.protocol import (
    AuditRequest,
    JoinRequest,
    MemberChangeRequest,
    NotLeader,
    ProposeRequest,
    ShowReply,
    ShowRequest,
    StatusRequest,
)
from berylnotch.errors import TransportError
from berylnotch.standins.fleet import wait_for
from berylnotch.standins.process import ChildError
from berylnotch.standins.texts import DOMAINS, SmallFleet, small_fleet_text
from berylnotch.transport.codec import encode

NAMES = ("c1", "c2", "c3")


def configuration_text(number):
    return small_fleet_text(
        SmallFleet((("entry-1", f"127.0.0.1:{number}"),), (), (), rate=1000 + number)
    )


@pytest.fixture
def group(fleet):
    fleet.start_controllers(NAMES, DOMAINS[:3])
    assert fleet.leader() in NAMES
    return fleet


def other_controllers(leader):
    return tuple(name for name in NAMES if name != leader)


def revision(group):
    return group.client.call(ShowRequest()).revision


def test_leader_killed_during_applies_loses_no_acknowledged_change(group):
    acknowledged = []
    leader_may_be_killed = threading.Event()

    def apply_all():
        for number in range(1, 31):
            result = group.apply(configuration_text(number), number - 1)
            acknowledged.append(result)
            if number == 10:
                leader_may_be_killed.set()

    worker = threading.Thread(target=apply_all)
    worker.start()
    assert leader_may_be_killed.wait(60)
    group.children[group.leader()].kill()
    worker.join(90)
    assert not worker.is_alive()
    assert [result.revision for result in acknowledged] == list(range(1, 31))
    assert all(result.status is Status.OK for result in acknowledged)
    configuration = group.client.call(ShowRequest())
    assert (configuration.revision, configuration.text) == (30, configuration_text(30))


def test_stopped_leader_serves_nothing_stale_when_it_goes_on(group):
    group.apply(configuration_text(1), 0)
    old_leader = group.leader()
    child = group.children[old_leader]
    child.signal(signal.SIGSTOP)
    try:
        wait_for(
            lambda: _reported_leader(group) in other_controllers(old_leader),
            "another leader",
        )
        assert group.apply(configuration_text(2), 1).revision == 2
        # These requests wait in the sockets of the suspended process, which handles
        # them first when it resumes.
        futures = [
            group.client.peers.call(group.controllers[old_leader], ShowRequest(), 30.0)
            for _ in range(20)
        ]
    finally:
        child.signal(signal.SIGCONT)
    for future in futures:
        answer = future.result(60)
        assert isinstance(answer, NotLeader) or answer.revision == 2


def _reported_leader(group):
    try:
        return group.client.call(StatusRequest(), 1.0).leader.partition("/")[0]
    except TransportError:
        return None


def test_wiped_controller_under_its_old_name_does_not_vote(group):
    group.apply(configuration_text(1), 0)
    leader = group.leader()
    wiped_controller, killed_controller = other_controllers(leader)
    group.children[wiped_controller].kill()
    shutil.rmtree(group.data_folder(wiped_controller))
    group.restart(wiped_controller)
    group.children[killed_controller].kill()
    # One of three controllers remains. The wiped controller must not count as a
    # second vote.
    change = ProposeRequest(encode(group.text_change(configuration_text(2), 1)))
    with pytest.raises(TransportError):
        group.client.call(change, 4.0)
    group.restart(killed_controller)
    assert group.client.call(change).result.revision == 2


def test_second_loss_right_after_a_repair(group):
    group.apply(configuration_text(1), 0)
    wiped_controller, second_killed = other_controllers(group.leader())
    group.children[wiped_controller].kill()
    shutil.rmtree(group.data_folder(wiped_controller))
    group.restart(wiped_controller)
    reply = group.client.call(
        MemberChangeRequest(
            "repair-1",
            "asha",
            wiped_controller,
            group.controllers[wiped_controller],
            "",
            wiped_controller,
        ),
        60.0,
    )
    identities = {m.name: m.replica for m in reply.members.members}
    joined = group.client.call_at(group.controllers[wiped_controller], JoinRequest())
    assert identities[wiped_controller] == joined.member.replica
    assert len(identities) == 3
    group.children[second_killed].kill()
    assert group.apply(configuration_text(2), 1).revision == 2


def test_torn_tail_is_truncated_and_damaged_middle_prevents_start(group):
    for number in range(1, 6):
        group.apply(configuration_text(number), number - 1)
    follower = other_controllers(group.leader())[0]
    group.children[follower].kill()
    log_file = sorted(group.data_folder(follower).glob("log-*"))[-1]
    content = log_file.read_bytes()
    log_file.write_bytes(content + content[-40:-7])
    group.restart(follower)
    assert group.apply(configuration_text(6), 5).revision == 6

    group.children[follower].kill()
    content = bytearray(log_file.read_bytes())
    content[len(content) // 2] ^= 0xFF
    log_file.write_bytes(content)
    with pytest.raises(ChildError, match=log_file.name):
        group.restart(follower)


def test_operators_race_under_the_same_base_revision(group):
    results = {}

    def apply(name, number):
        results[name] = group.apply(configuration_text(number), 0)

    workers = [
        threading.Thread(target=apply, args=(name, number))
        for number, name in enumerate(("first", "second", "third"), start=1)
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join(60)
    statuses = sorted(result.status.value for result in results.values())
    assert statuses == ["conflict", "conflict", "ok"]
    conflicting = next(r for r in results.values() if r.status is Status.CONFLICT)
    assert "asha" in conflicting.message
    assert revision(group) == 1


def test_all_restarted_after_500_changes(group):
    for number in range(1, 501):
        assert group.apply(configuration_text(number), number - 1).revision == number
    for name in NAMES:
        group.children[name].kill()
    group.start_all([lambda name=name: group.restart(name) for name in NAMES])
    configuration = group.client.call(ShowRequest())
    assert (configuration.revision, configuration.text) == (
        500,
        configuration_text(500),
    )
    records = group.client.call(AuditRequest(0, 1000)).records
    assert sum(record.status is Status.OK for record in records) == 500


def test_repeated_proposal_is_applied_once(group):
    change = group.text_change(configuration_text(1), 0)
    first = group.propose(change)
    group.children[group.leader()].kill()
    repeated = group.propose(change)
    assert (first.status, repeated.status) == (Status.OK, Status.OK)
    assert repeated.index == first.index and repeated.revision == first.revision == 1
    assert isinstance(group.client.call(ShowRequest()), ShowReply)
