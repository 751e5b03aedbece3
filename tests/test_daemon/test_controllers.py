"""Failures of controllers, on real processes."""

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
from berylnotch.standins.texts import DOMAINS, SmallFleet, small_text
from berylnotch.transport.codec import encode

NAMES = ("c1", "c2", "c3")


def text_for(number):
    return small_text(
        SmallFleet((("entry-1", f"127.0.0.1:{number}"),), (), (), rate=1000 + number)
    )


@pytest.fixture
def group(fleet):
    fleet.start_controllers(NAMES, DOMAINS[:3])
    assert fleet.leader() in NAMES
    return fleet


def others(leader):
    return tuple(name for name in NAMES if name != leader)


def revision(group):
    return group.client.call(ShowRequest()).revision


def test_leader_killed_during_applies_loses_no_acknowledged_change(group):
    acknowledged = []
    killed = threading.Event()

    def apply_all():
        for number in range(1, 31):
            result = group.apply(text_for(number), number - 1)
            acknowledged.append(result)
            if number == 10:
                killed.set()

    worker = threading.Thread(target=apply_all)
    worker.start()
    assert killed.wait(60)
    group.children[group.leader()].kill()
    worker.join(90)
    assert not worker.is_alive()
    assert [result.revision for result in acknowledged] == list(range(1, 31))
    assert all(result.status is Status.OK for result in acknowledged)
    shown = group.client.call(ShowRequest())
    assert (shown.revision, shown.text) == (30, text_for(30))


def test_stopped_leader_serves_nothing_stale_when_it_goes_on(group):
    group.apply(text_for(1), 0)
    old = group.leader()
    child = group.children[old]
    child.signal(signal.SIGSTOP)
    try:
        wait_for(lambda: _leader_or_none(group) in others(old), "another leader")
        assert group.apply(text_for(2), 1).revision == 2
        # Requests that wait in the stopped process are the first it handles.
        futures = [
            group.client.peers.call(group.controllers[old], ShowRequest(), 30.0)
            for _ in range(20)
        ]
    finally:
        child.signal(signal.SIGCONT)
    for future in futures:
        answer = future.result(60)
        assert isinstance(answer, NotLeader) or answer.revision == 2


def _leader_or_none(group):
    try:
        return group.client.call(StatusRequest(), 1.0).leader.partition("/")[0]
    except TransportError:
        return None


def test_wiped_controller_under_its_old_name_does_not_vote(group):
    group.apply(text_for(1), 0)
    leader = group.leader()
    wiped, lost = others(leader)
    group.children[wiped].kill()
    shutil.rmtree(group.data_folder(wiped))
    group.restart(wiped)
    group.children[lost].kill()
    # One of three is left, and the wiped folder must not make it two.
    change = ProposeRequest(encode(group.text_change(text_for(2), 1)))
    with pytest.raises(TransportError):
        group.client.call(change, 4.0)
    group.restart(lost)
    assert group.client.call(change).result.revision == 2


def test_second_loss_right_after_a_repair(group):
    group.apply(text_for(1), 0)
    wiped, other = others(group.leader())
    group.children[wiped].kill()
    shutil.rmtree(group.data_folder(wiped))
    group.restart(wiped)
    reply = group.client.call(
        MemberChangeRequest(
            "repair-1",
            "asha",
            wiped,
            group.controllers[wiped],
            "",
            wiped,
        ),
        60.0,
    )
    identities = {m.name: m.replica for m in reply.members.members}
    joined = group.client.call_at(group.controllers[wiped], JoinRequest())
    assert identities[wiped] == joined.member.replica
    assert len(identities) == 3
    group.children[other].kill()
    assert group.apply(text_for(2), 1).revision == 2


def test_torn_tail_is_cut_and_a_damaged_middle_refuses_to_start(group):
    for number in range(1, 6):
        group.apply(text_for(number), number - 1)
    follower = others(group.leader())[0]
    group.children[follower].kill()
    log = sorted(group.data_folder(follower).glob("log-*"))[-1]
    content = log.read_bytes()
    log.write_bytes(content + content[-40:-7])
    group.restart(follower)
    assert group.apply(text_for(6), 5).revision == 6

    group.children[follower].kill()
    content = bytearray(log.read_bytes())
    content[len(content) // 2] ^= 0xFF
    log.write_bytes(content)
    with pytest.raises(ChildError, match=log.name):
        group.restart(follower)


def test_operators_race_under_the_same_base_revision(group):
    results = {}

    def apply(name, number):
        results[name] = group.apply(text_for(number), 0)

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
    loser = next(r for r in results.values() if r.status is Status.CONFLICT)
    assert "asha" in loser.message
    assert revision(group) == 1


def test_all_restarted_after_500_changes(group):
    for number in range(1, 501):
        assert group.apply(text_for(number), number - 1).revision == number
    for name in NAMES:
        group.children[name].kill()
    group.start_all([lambda name=name: group.restart(name) for name in NAMES])
    shown = group.client.call(ShowRequest())
    assert (shown.revision, shown.text) == (500, text_for(500))
    records = group.client.call(AuditRequest(0, 1000)).records
    assert sum(record.status is Status.OK for record in records) == 500


def test_resend_after_a_lost_answer_is_one_change(group):
    change = group.text_change(text_for(1), 0)
    first = group.propose(change)
    group.children[group.leader()].kill()
    again = group.propose(change)
    assert (first.status, again.status) == (Status.OK, Status.OK)
    assert again.index == first.index and again.revision == first.revision == 1
    assert isinstance(group.client.call(ShowRequest()), ShowReply)
