"""Model of election, log replication and membership change.

The model describes the steps that replicas may take. It has no clock. Pre-vote, leases
and time-outs only rule out some of these steps, so invariants of the model also hold
with them.

Network
    A sent message stays deliverable: it may be delivered at any later time, several
    times, out of order, or never. Loss, duplication, reordering and partitions
    therefore need no steps of their own. The state records the sent messages: the vote
    requests and votes of each term, the log that the leader of a term sent, and how
    much of this log each replica acknowledged. An older append request is a shorter
    prefix of the same log.

Crash
    A replica loses the state that is not durable: its role as candidate or leader.
    Term, vote and log are durable before any message that depends on them is sent. A
    crash is therefore equivalent to taking no further step in that role. The model
    always allows this, so a crash needs no step of its own either.

Start
    All replicas have voted for the first voter, which leads term 1 with an empty log.

The vote request of a candidate consists of its role and its log, which do not change
during the campaign. Messages that no later step can depend on are dropped: votes for a
former candidate, the commit index of a former leader, and the log of a term that every
replica has left.

Lost disk
    The replica id never returns. The VM returns under a new id, with no state, and is
    not a member until a log entry adds it.

Membership
    Each replica uses the newest membership in its log, whether committed or not. A
    leader changes one voter at a time, after it has committed an entry of its own term
    and while no earlier change is uncommitted. Learners count in no majority, so the
    model omits them; the promotion of a learner is the addition of a voter.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum, StrEnum
from typing import NamedTuple

from minicheck import Protocol


class Mutation(Enum):
    """Rule that the model omits, if any; every omission must give a counterexample."""

    NONE = "none"
    VOTE_NOT_DURABLE = "a crash loses the vote"
    OLD_TERM_COMMIT = "an entry of an older term is committed by counting"
    SHORT_LOG_ELECTED = "a voter does not compare logs"
    TWO_AT_ONCE = "a change may take two voters away"
    CHANGE_TOO_EARLY = "a change needs no committed entry of the leader's term"
    DISK_KEEPS_ID = "a lost disk comes back under the old id"


class Role(StrEnum):
    """Role of a replica in its term; not durable."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Entry(NamedTuple):
    """Log entry; ``voters`` is empty unless the entry changes the membership."""

    term: int
    voters: frozenset[str] = frozenset()


Log = tuple[Entry, ...]


class Replica(NamedTuple):
    """State of the replica with one id."""

    term: int = 0
    vote: str = ""
    log: Log = ()
    role: Role = Role.FOLLOWER


class Leadership(NamedTuple):
    """Log that the leader of a term sent, and its commit index."""

    replica: str
    log: Log
    commit: int = 0

    def without_commit(self) -> Leadership:
        """Return the leadership without the commit index that a former leader loses."""
        return Leadership(self.replica, self.log)


class Bounds(NamedTuple):
    """Size of the checked state space."""

    voters: tuple[str, ...] = ("a", "b", "c")
    spares: tuple[str, ...] = ()
    terms: int = 3
    entries: int = 2
    changes: int = 0
    lost_disks: int = 0
    candidates: str = "abcd"


class State(NamedTuple):
    """State of the system, with the sent messages and the longest committed log."""

    replicas: frozenset[tuple[str, Replica]]
    votes: frozenset[tuple[int, str, str]] = frozenset()
    leaderships: frozenset[tuple[int, Leadership]] = frozenset()
    acks: frozenset[tuple[int, str, int]] = frozenset()
    committed: Log = ()
    lost_disks: int = 0
    two_leaders: bool = False
    overwritten: bool = False


Step = tuple[str, State]


def with_item(pairs: frozenset, key: object, value: object) -> frozenset:
    return frozenset(pair for pair in pairs if pair[0] != key) | {(key, value)}


def with_replica(state: State, name: str, replica: Replica) -> State:
    return state._replace(replicas=with_item(state.replicas, name, replica))


def drop_stale_messages(state: State) -> State:
    """Drop the messages that no candidate and no leader can use any more."""
    replicas = dict(state.replicas)
    oldest = min(replica.term for replica in replicas.values())

    def has_role(name: str, term: int, role: Role) -> bool:
        replica = replicas.get(name)
        return replica is not None and (replica.term, replica.role) == (term, role)

    leaderships = [
        (
            term,
            leadership
            if has_role(leadership.replica, term, Role.LEADER)
            else leadership.without_commit(),
        )
        for term, leadership in state.leaderships
        if term >= oldest
    ]
    leading_terms = {
        term
        for term, leadership in leaderships
        if has_role(leadership.replica, term, Role.LEADER)
    }
    return State(
        state.replicas,
        frozenset(
            vote for vote in state.votes if has_role(vote[2], vote[0], Role.CANDIDATE)
        ),
        frozenset(leaderships),
        frozenset(ack for ack in state.acks if ack[0] in leading_terms),
        *state[4:],
    )


def with_ack(state: State, term: int, name: str, count: int) -> State:
    """Record an acknowledgement; it replaces those of fewer entries."""
    earlier_acks = {ack for ack in state.acks if ack[:2] == (term, name)}
    highest = max([count, *(ack[2] for ack in earlier_acks)])
    return state._replace(acks=(state.acks - earlier_acks) | {(term, name, highest)})


def log_position(log: Log) -> tuple[int, int]:
    """Return the key that voters compare: term, then index, of the last entry."""
    return (log[-1].term if log else 0, len(log))


class Replication:
    """Rules of the protocol within bounds; a mutation omits one of the rules."""

    def __init__(self, bounds: Bounds, mutation: Mutation = Mutation.NONE) -> None:
        self._bounds = bounds
        self._mutation = mutation

    def protocol(self) -> Protocol:
        """Return the model as a protocol that `minicheck` can check."""
        return Protocol(
            name=f"replication ({self._mutation.value})",
            candidate=False,
            fields=State._fields,
            initial=self._initial(),
            transitions=lambda state: list(self.steps(state)),
            invariants={
                "one leader in a term": lambda s: not s["two_leaders"],
                "committed entries stay": lambda s: not s["overwritten"],
            },
        )

    def _initial(self) -> State:
        first = self._bounds.voters[0]
        ids = self._bounds.voters + self._bounds.spares
        replicas = {name: Replica() for name in ids}
        replicas |= {name: Replica(1, first) for name in self._bounds.voters}
        replicas[first] = Replica(1, first, (), Role.LEADER)
        leadership = Leadership(first, ())
        return State(
            frozenset(replicas.items()), leaderships=frozenset({(1, leadership)})
        )

    def steps(self, state: State) -> Iterator[Step]:
        """Yield all enabled steps in a fixed order."""
        # Sets are unordered; sorting makes each search find the same trace.
        for label, next_state in sorted(
            self._all_steps(state), key=lambda step: step[0]
        ):
            yield label, drop_stale_messages(next_state)

    def _all_steps(self, state: State) -> Iterator[Step]:
        for name, replica in state.replicas:
            yield from self._campaign(state, name, replica)
            yield from self._vote(state, name, replica)
            yield from self._acknowledge_entries(state, name, replica)
            if replica.role is Role.CANDIDATE:
                yield from self._win(state, name, replica)
            if replica.role is Role.LEADER:
                yield from self._propose(state, name, replica)
                yield from self._change_members(state, name, replica)
                yield from self._commit(state, name, replica)
            yield from self._lose_vote(state, name, replica)
            yield from self._lose_disk(state, name)

    def _voters(self, log: Log) -> frozenset[str]:
        changes = [entry.voters for entry in log if entry.voters]
        return changes[-1] if changes else frozenset(self._bounds.voters)

    def _has_majority(self, voters: frozenset[str], names: set[str]) -> bool:
        return 2 * len(voters & names) > len(voters)

    def _campaign(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        if name not in self._voters(replica.log) & set(self._bounds.candidates):
            return
        if replica.term == self._bounds.terms:
            return
        term = replica.term + 1
        candidate = replica._replace(term=term, vote=name, role=Role.CANDIDATE)
        next_state = with_replica(state, name, candidate)
        yield (
            f"{name} asks for votes in term {term}",
            next_state._replace(votes=state.votes | {(term, name, name)}),
        )

    def _vote(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        for candidate, requester in state.replicas:
            term = requester.term
            if requester.role is not Role.CANDIDATE or candidate == name:
                continue
            if term < replica.term:
                continue
            if term == replica.term and replica.vote not in ("", candidate):
                continue
            compares_logs = self._mutation is not Mutation.SHORT_LOG_ELECTED
            if compares_logs and log_position(requester.log) < log_position(
                replica.log
            ):
                continue
            role = replica.role if term == replica.term else Role.FOLLOWER
            voter = replica._replace(term=term, vote=candidate, role=role)
            next_state = with_replica(state, name, voter)
            votes = state.votes | {(term, name, candidate)}
            yield (
                f"{name} votes for {candidate} in term {term}",
                next_state._replace(votes=votes),
            )

    def _win(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        term = replica.term
        voters_for_candidate = {
            voter
            for vote_term, voter, candidate in state.votes
            if (vote_term, candidate) == (term, name)
        }
        if not self._has_majority(self._voters(replica.log), voters_for_candidate):
            return
        leadership = dict(state.leaderships).get(term)
        if leadership is not None and leadership.replica != name:
            yield f"{name} leads term {term} too", state._replace(two_leaders=True)
            return
        next_state = with_replica(state, name, replica._replace(role=Role.LEADER))
        leadership = Leadership(name, replica.log)
        yield (
            f"{name} leads term {term}",
            next_state._replace(
                leaderships=with_item(state.leaderships, term, leadership)
            ),
        )

    def _append(self, state: State, name: str, replica: Replica, entry: Entry) -> State:
        log = (*replica.log, entry)
        next_state = with_replica(state, name, replica._replace(log=log))
        leadership = dict(state.leaderships)[replica.term]._replace(log=log)
        return next_state._replace(
            leaderships=with_item(state.leaderships, replica.term, leadership)
        )

    def _propose(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        if len(replica.log) < self._bounds.entries:
            next_state = self._append(state, name, replica, Entry(replica.term))
            yield f"{name} appends a command", next_state

    def _change_members(
        self, state: State, name: str, replica: Replica
    ) -> Iterator[Step]:
        log = replica.log
        changes = [index for index, entry in enumerate(log, 1) if entry.voters]
        if len(log) == self._bounds.entries or len(changes) == self._bounds.changes:
            return
        commit = dict(state.leaderships)[replica.term].commit
        if changes and changes[-1] > commit:
            return
        has_committed = commit > 0 and log[commit - 1].term == replica.term
        if not has_committed and self._mutation is not Mutation.CHANGE_TOO_EARLY:
            return
        voters = self._voters(log)
        for new_voters in self._next_voters(state, voters):
            if new_voters:
                next_state = self._append(
                    state, name, replica, Entry(replica.term, new_voters)
                )
                yield f"{name} changes the voters to {sorted(new_voters)}", next_state

    def _next_voters(
        self, state: State, voters: frozenset[str]
    ) -> Iterator[frozenset[str]]:
        for name, _ in state.replicas:
            yield voters ^ {name}
        if self._mutation is Mutation.TWO_AT_ONCE:
            yield from (
                voters - {first, second}
                for first in voters
                for second in voters
                if first < second
            )

    def _acknowledge_entries(
        self, state: State, name: str, replica: Replica
    ) -> Iterator[Step]:
        for term, leadership in state.leaderships:
            if term < replica.term or leadership.replica == name:
                continue
            for count in range(1, len(leadership.log) + 1):
                prefix = leadership.log[:count]
                log = replica.log if replica.log[:count] == prefix else prefix
                vote = replica.vote if term == replica.term else ""
                next_state = with_replica(state, name, Replica(term, vote, log))
                yield (
                    f"{name} acknowledges {count} entries in term {term}",
                    with_ack(next_state, term, name, count),
                )

    def _commit(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        leadership = dict(state.leaderships)[replica.term]
        for count in range(leadership.commit + 1, len(replica.log) + 1):
            is_older_term = replica.log[count - 1].term != replica.term
            if is_older_term and self._mutation is not Mutation.OLD_TERM_COMMIT:
                continue
            stored_by = {
                other
                for term, other, acked in state.acks
                if term == replica.term and acked >= count
            }
            if self._has_majority(self._voters(replica.log), stored_by | {name}):
                yield from self._record_commit(state, replica, leadership, count)

    def _record_commit(
        self, state: State, replica: Replica, leadership: Leadership, count: int
    ) -> Iterator[Step]:
        newly_committed = replica.log[:count]
        committed = state.committed
        shared = min(len(newly_committed), len(committed))
        leadership = leadership._replace(commit=count)
        yield (
            f"{leadership.replica} commits {count} entries in term {replica.term}",
            state._replace(
                leaderships=with_item(state.leaderships, replica.term, leadership),
                committed=max(newly_committed, committed, key=len),
                overwritten=newly_committed[:shared] != committed[:shared],
            ),
        )

    def _lose_vote(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        if self._mutation is Mutation.VOTE_NOT_DURABLE and replica.vote:
            restarted = replica._replace(role=Role.FOLLOWER, vote="")
            yield f"{name} crashes and restarts", with_replica(state, name, restarted)

    def _lose_disk(self, state: State, name: str) -> Iterator[Step]:
        if state.lost_disks == self._bounds.lost_disks:
            return
        if self._mutation is Mutation.DISK_KEEPS_ID:
            next_state = with_replica(state, name, Replica())
        else:
            remaining = frozenset(pair for pair in state.replicas if pair[0] != name)
            next_state = state._replace(replicas=remaining)
        yield (
            f"{name} loses its disk",
            next_state._replace(lost_disks=state.lost_disks + 1),
        )
