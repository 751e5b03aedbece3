"""Resumption of leadership by a former leader after restarts."""

import pytest

from berylnotch.consensus.messages import VoteRequest
from tests.test_consensus.group import SETTINGS, Group

IDS = ("a/1", "b/1", "c/1", "d/1", "e/1")

#: Time for a former leader to resume: some ticks and messages after its first pre-vote.
RESUME_S = 2 * SETTINGS.resume_retry_s


@pytest.fixture
def group():
    return Group(*IDS)


def restart(group, identities):
    for identity in identities:
        group.nodes[identity].start(group.now)


def test_former_leader_resumes_at_once_when_all_restart(group):
    leader = group.elect()
    group[leader].propose(group.now, b"x")
    group.deliver()
    term = group[leader].term
    restart(group, IDS)
    group.advance(RESUME_S)
    assert group.leaders == [leader] and group[leader].term == term + 1
    assert group.nodes[leader].applied == [b"x"]


def test_former_leader_resumes_with_a_bare_majority(group):
    leader = group.elect()
    others = [identity for identity in IDS if identity != leader]
    group.isolated = set(others[:2])
    restart(group, [leader, *others[2:]])
    group.advance(RESUME_S)
    assert group.leaders == [leader]


def test_former_leader_retries_until_a_majority_answers(group):
    leader = group.elect()
    others = [identity for identity in IDS if identity != leader]
    group.isolated = set(others)
    restart(group, IDS)
    group.advance(SETTINGS.election_min_s / 2)
    group.isolated = set(others[2:])
    restart(group, others[:2])
    group.advance(RESUME_S)
    assert group.leaders == [leader]


def test_other_replicas_wait_for_the_election_timeout(group):
    leader = group.elect()
    group.isolated = {leader}
    restart(group, IDS)
    group.advance(SETTINGS.election_min_s - 0.1)
    assert group.leaders == []
    group.advance(2 * SETTINGS.election_max_s)
    assert len(group.leaders) == 1


def test_leader_of_an_older_term_does_not_resume(group):
    first = group.elect()
    group.isolated = {first}
    group.advance(3 * SETTINGS.election_max_s)
    (second,) = group.leaders
    group.isolated = set()
    restart(group, [first])
    group.advance(RESUME_S)
    assert group.leaders == [second] and not group[first].is_leader


def test_restarted_followers_do_not_disrupt_the_leader(group):
    leader = group.elect()
    term = group[leader].term
    restart(group, [identity for identity in IDS if identity != leader])
    group.advance(RESUME_S)
    assert group.leaders == [leader] and group[leader].term == term


def test_voter_that_followed_a_leader_supports_no_other_candidate(group):
    leader = group.elect()
    voter, candidate = [identity for identity in IDS if identity != leader][:2]
    node = group.nodes[voter]
    state = node.disk.recovered.hard_state
    assert state.followed == leader and state.supports(leader)
    node.start(group.now)
    request = VoteRequest(state.term + 1, candidate, 99, 99, pre=True, replica=voter)
    node.replica.step(group.now, request)
    (outgoing,) = node.process_ready()
    assert not outgoing.message.granted and outgoing.message.supported_term == 0
