from __future__ import annotations

import random

import attrs
import pytest

from berylnotch.consensus.bootstrap import bootstrap, first_ready
from berylnotch.consensus.errors import (
    BootstrapError,
    NotLeaderError,
    OverloadedError,
    PayloadError,
)
from berylnotch.consensus.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    VoteReply,
    VoteRequest,
)
from berylnotch.consensus.replica import Replica
from berylnotch.consensus.settings import ConsensusSettings
from berylnotch.consensus.state import HardState, Recovered
from berylnotch.errors import ConfigurationError
from berylnotch.transport.codec import MAX_MESSAGE_BYTES, encode
from tests.test_consensus.group import SETTINGS, Group, MemoryDisk, Node, members_of

IDS = ("a/1", "b/1", "c/1")


@pytest.fixture
def group():
    return Group(*IDS)


@pytest.fixture
def state():
    return bootstrap(Recovered("a/1"), members_of(*IDS))


def other_ids(identity):
    return [i for i in IDS if i != identity]


def request_vote(node, now, candidate, term, pre=False):
    """Return the only reply to a vote request from a candidate with a long log."""
    request = VoteRequest(term, candidate, 99, 99, pre, replica="a/1")
    node.replica.step(now, request)
    (outgoing,) = node.process_ready()
    return outgoing.message


def test_vote_is_saved_before_its_reply_is_sent(state):
    """A voter that restarts after its reply must not vote for another candidate."""
    node = Node(MemoryDisk(state), 0.0)
    node.replica.step(5.0, VoteRequest(7, "b/1", 9, 6, replica="a/1"))
    ready = node.replica.ready()
    assert ready.messages[0].message == VoteReply(7, "a/1", True)
    assert ready.hard_state == HardState(7, "b/1")
    node.disk.save(ready)
    node.start(6.0)
    assert not request_vote(node, 9.0, "c/1", 7).granted
    assert request_vote(node, 9.0, "b/1", 7).granted


def test_candidate_counts_own_vote_only_once_saved():
    members = members_of("a/1")
    replica = Replica(
        SETTINGS, bootstrap(Recovered("a/1"), members), random.Random(0), 0.0
    )
    replica.tick(5.0)
    ready = replica.ready()
    assert ready.hard_state == HardState(2, "a/1")
    assert not replica.is_leader
    replica.advance(ready)
    assert replica.is_leader


def test_leader_counts_own_entry_only_once_saved():
    replica = Replica(
        SETTINGS,
        bootstrap(Recovered("a/1"), members_of("a/1")),
        random.Random(0),
        0.0,
    )
    replica.tick(5.0)
    replica.advance(replica.ready())
    ready = replica.ready()
    assert (replica.last_index, replica.commit) == (2, 0)
    replica.advance(ready)
    assert replica.commit == 2


def test_restarted_voter_refuses_until_leases_it_renewed_have_ended(state):
    """A leader may still hold a lease that the voter renewed before its restart."""
    node = Node(MemoryDisk(state), 10.0)
    assert not request_vote(node, 10.9, "b/1", 7).granted
    assert not request_vote(node, 10.9, "b/1", 7, pre=True).granted
    assert node.replica.term == 1
    assert request_vote(node, 11.1, "b/1", 7).granted


def test_voter_refuses_candidate_with_older_log(state):
    node = Node(MemoryDisk(state), 0.0)
    node.replica.step(5.0, VoteRequest(7, "b/1", 9, 0, replica="a/1"))
    (outgoing,) = node.process_ready()
    assert outgoing.message == VoteReply(7, "a/1", False)


def test_lease_counts_from_when_the_round_was_sent(group):
    """A lease counted from the arrival of late replies would last too long."""
    leader = group.elect()
    group.advance(0.5)
    sent_at = group.now = group.now + 0.11
    group[leader].tick(sent_at)
    group.collect_messages()
    sent, group.undelivered = group.undelivered, []
    group.now = sent_at + 0.4
    for item in sent:
        group.deliver_message(item)
    group.collect_messages()
    for item in group.undelivered:
        group.deliver_message(item)
    assert group[leader].lease_age_s(group.now) == pytest.approx(0.4)
    assert group[leader].has_lease(sent_at + 0.79)
    assert not group[leader].has_lease(sent_at + 0.81)


def test_paused_leader_has_no_lease_before_its_first_tick(group):
    """After a pause, a leader must not act on a lease that ended in the meantime."""
    leader = group.elect()
    group.advance(0.5)
    assert group[leader].has_lease(group.now)
    assert not group[leader].has_lease(group.now + 3)
    with pytest.raises(NotLeaderError):
        group[leader].propose(group.now + 3, b"x")
    assert not group[leader].is_leader


def test_leader_without_majority_steps_down(group):
    leader = group.elect()
    group.isolated.update(other_ids(leader))
    group.advance(1.0)
    assert not group[leader].is_leader


def test_no_lease_before_an_entry_of_its_term_is_committed(group):
    leader = group.elect()
    group.isolated.add(leader)
    for _ in range(100):
        group.advance(0.05)
        for identity in other_ids(leader):
            replica = group[identity]
            if replica.has_lease(group.now):
                assert replica.commit == replica.last_index
                return
    raise AssertionError("no leader")


def test_reconnected_replica_does_not_disrupt_the_leader(group):
    """Without pre-votes, an isolated replica returns with a higher term."""
    leader = group.elect()
    term = group[leader].term
    group.isolated.add(other_ids(leader)[0])
    group.advance(10)
    group.isolated.clear()
    group.advance(5)
    assert group.leaders == [leader]
    assert group[leader].term == term


def test_entries_of_older_terms_commit_only_with_one_of_the_current_term():
    """A later leader can still overwrite an older entry held by a majority."""
    old = (
        *bootstrap(Recovered("a/1"), members_of(*IDS)).entries,
        Entry(2, 2, EntryKind.COMMAND, b"old"),
    )
    node = Node(MemoryDisk(Recovered("a/1", HardState(3), None, old)), 0.0)
    replica = node.replica
    replica.tick(5.0)
    node.process_ready()
    replica.step(5.0, VoteReply(4, "b/1", True, pre=True))
    node.process_ready()
    replica.step(5.0, VoteReply(4, "b/1", True))
    node.process_ready()
    assert replica.is_leader
    replica.step(5.1, AppendReply(4, "b/1", True, 2, 1))
    assert replica.commit == 0
    replica.step(5.1, AppendReply(4, "b/1", True, 3, 1))
    assert replica.commit == 3


def test_transfer_elects_another_leader_at_once(group):
    leader = group.elect()
    group.propose(leader, b"x")
    assert group[leader].transfer(group.now)
    assert not group[leader].has_lease(group.now)
    group.deliver()
    (new,) = [i for i in IDS if group[i].is_leader]
    assert new != leader


def deliver_messages(group, is_delivered):
    """Deliver the messages for which the function returns true; keep the others."""
    group.collect_messages()
    while items := [item for item in group.undelivered if is_delivered(*item)]:
        group.undelivered.remove(items[0])
        group.deliver_message(items[0])
        group.collect_messages()


def test_successor_that_stops_too_hands_over_to_a_voter_with_all_entries():
    """Voters with the new leader's entry refuse their votes to one that lacks it.

    The group then has no leader until an election timeout.
    """
    group = Group(*(f"{name}/1" for name in "abcde"))
    leader = group.elect()
    group[leader].transfer(group.now)
    deliver_messages(group, lambda *_: not any(group[i].is_leader for i in group.nodes))
    (successor,) = [i for i in group.nodes if group[i].is_leader]
    slow = max(group.nodes.keys() - {leader, successor})
    last_index = group[successor].last_index

    def is_early(sender, outgoing):
        message = outgoing.message
        is_late = sender == slow or getattr(message, "match", 0) == last_index
        return not isinstance(message, AppendReply) or not is_late

    deliver_messages(group, is_early)
    reply = next(item for item in group.undelivered if item[0] == slow)
    group.undelivered.remove(reply)
    group.deliver_message(reply)
    group[successor].transfer(group.now)
    group.deliver()
    (new,) = [i for i in group.nodes if group[i].is_leader]
    assert new not in (leader, successor)


def test_leader_that_no_voter_has_answered_yet_goes_on_leading(group):
    leader = group.elect()
    group[leader].transfer(group.now)
    deliver_messages(group, lambda *_: not any(group[i].is_leader for i in IDS))
    (successor,) = [i for i in IDS if group[i].is_leader]
    assert group[successor].transfer(group.now) == ""
    assert group[successor].is_leader


def test_leader_does_not_hand_over_to_a_voter_that_has_fallen_silent(group):
    """In an idle group, a voter that stopped shortly before holds all entries too."""
    leader = group.elect()
    silent = max(other_ids(leader))
    group.isolated.add(silent)
    group.advance(0.3)
    group[leader].transfer(group.now)
    group.deliver()
    (new,) = [i for i in IDS if group[i].is_leader]
    assert new not in (leader, silent)


def test_wiped_replica_does_not_vote_under_its_old_id(group):
    """A wiped replica has lost its earlier vote and could vote twice in a term."""
    leader = group.elect()
    first, second = other_ids(leader)
    group.isolated.add(leader)
    del group.nodes[first]
    group.add_node("wiped/1")
    request = VoteRequest(9, second, 99, 99, replica=first)
    group["wiped/1"].step(group.now + 5, request)
    assert group.nodes["wiped/1"].process_ready() == []
    group.advance(10)
    assert not group[second].is_leader


def test_uncommitted_proposals_are_bounded():
    settings = ConsensusSettings(max_uncommitted_entries=3)
    group = Group(*IDS, settings=settings)
    leader = group.elect()
    group.isolated.update(other_ids(leader))
    for _ in range(3):
        group[leader].propose(group.now, b"x")
    with pytest.raises(OverloadedError):
        group[leader].propose(group.now, b"x")


def test_payload_too_large_for_a_message_is_refused(group):
    leader = group.elect()
    last = group[leader].last_index
    with pytest.raises(PayloadError, match="exceeds"):
        group[leader].propose(group.now, bytes(SETTINGS.max_entry_bytes + 1))
    assert group[leader].last_index == last
    index = group[leader].propose(group.now, bytes(SETTINGS.max_entry_bytes))
    entry = group[leader].recovered.entries[-1]
    request = AppendRequest(2, leader, index - 1, 2, 0, 1, (entry,))
    assert len(encode(request)) < MAX_MESSAGE_BYTES


def test_bootstrap_is_idempotent_and_requires_an_empty_folder(state):
    assert bootstrap(state, members_of(*IDS)) == state
    assert first_ready(state).entries == state.entries
    with pytest.raises(BootstrapError, match="already holds"):
        bootstrap(state, members_of("a/1"))
    with pytest.raises(BootstrapError, match="not a voter"):
        bootstrap(Recovered("d/1"), members_of(*IDS))


def test_bootstrap_keeps_an_earlier_vote():
    node = Node(MemoryDisk(Recovered("a/1")), 0.0)
    assert request_vote(node, 5.0, "b/1", 2).granted
    state = bootstrap(node.replica.recovered, members_of(*IDS))
    assert state.hard_state == HardState(2, "b/1")
    assert first_ready(state).hard_state == HardState(2, "b/1")


def test_recovered_equals_the_state_after_a_restart(group):
    leader = group.elect()
    group.propose(leader, *[b"%d" % i for i in range(20)])
    group.nodes[leader].compact()
    group.advance(1)
    recovered, saved = group[leader].recovered, group.nodes[leader].disk.recovered
    # The oldest saved entry only provides the term of the base index.
    assert recovered == attrs.evolve(saved, entries=saved.entries[1:])


def test_settings_check_the_order_of_timeouts():
    with pytest.raises(ConfigurationError, match="lease_s < election_min_s"):
        ConsensusSettings(lease_s=1.0)


def test_leader_that_cannot_save_hands_over_and_sends_none_of_its_unsaved_entries(
    group,
):
    """Messages of the failed save would claim that the entry is on its disk."""
    leader = group.elect()
    group[leader].propose(group.now, b"unsaved")
    unsaved = group[leader].ready()
    assert unsaved.must_save
    request = group[leader].resign(group.now)
    assert not group[leader].has_lease(group.now)
    group.isolated.add(leader)
    group[request.replica].step(group.now, request.message)
    group.deliver()
    assert group.leaders == [request.replica]
    assert group.nodes[request.replica].applied == []


def test_follower_that_cannot_save_asks_nobody_to_lead(group):
    leader = group.elect()
    follower = next(i for i in group.nodes if i != leader)
    assert group[follower].resign(group.now) is None
    assert group[leader].has_lease(group.now)
