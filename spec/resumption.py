"""Model of leader leases, restarts, and immediate re-election of a former leader.

The model has no clock. A lease is valid as long as the answers of a majority to the
leader are valid; a step expires the answers of one replica at a time. A replica that
has answered a leader, or has restarted, withholds its vote until none of its answers
is valid: the shortest election time-out is longer than a lease. The log is omitted,
since `replication` covers it.

Restart
    A replica keeps its term, its vote and the leader that it followed. It does not know
    which leader it answered last, so it withholds its vote until all its answers have
    expired.

Resume
    A replica that does not lead asks the voters for their support in its own term. A
    voter supports the replica that it followed or, if it followed none, the replica
    that it voted for. With the support of a majority, the replica requests votes in the
    next term, and voters do not wait for a lease to expire.

Members
    A leader may remove a voter. Another replica learns of the removal when it follows
    the leader, and counts majorities without the removed voter from then on.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum, StrEnum
from typing import NamedTuple

from minicheck import Protocol


class Mutation(Enum):
    """Rule that the model omits, if any; every omission must give a counterexample."""

    NONE = "none"
    NO_WAIT = "a voter votes although its answer to a leader counts"
    NO_WAIT_AFTER_RESTART = "a voter votes at once after a restart"
    OWN_SUPPORT_ONLY = "a replica resumes by its own vote alone"
    FOLLOWED_NOT_SAVED = "whom a replica followed is lost in a restart"


class Role(StrEnum):
    """Role of a replica in its term; not durable."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    RESUMING = "resuming"
    LEADER = "leader"


class Replica(NamedTuple):
    """State of a replica; it withholds its vote while its answers may be valid."""

    term: int = 1
    vote: str = ""
    followed: str = ""
    voters: frozenset[str] = frozenset()
    role: Role = Role.FOLLOWER
    withholds_vote: bool = False

    def supports(self, name: str) -> bool:
        """Return whether it followed ``name`` or, if it followed none, voted for it."""
        return (self.followed or self.vote) == name


class Bounds(NamedTuple):
    """Size of the checked state space."""

    voters: tuple[str, ...] = ("a", "b", "c")
    terms: int = 3
    removals: int = 0
    restarts: int = 2


class State(NamedTuple):
    """State of the system, with the valid answers to leaders."""

    replicas: frozenset[tuple[str, Replica]]
    votes: frozenset[tuple[int, str, str]] = frozenset()
    #: Pairs of a term and a replica that answered the leader of this term.
    answers: frozenset[tuple[int, str]] = frozenset()
    supports: frozenset[tuple[int, str, str]] = frozenset()
    removals: int = 0
    restarts: int = 0


Step = tuple[str, State]


def has_majority(voters: frozenset[str], names: set[str]) -> bool:
    return 2 * len(voters & names) > len(voters)


class Resumption:
    """Rules of the protocol within bounds; a mutation omits one of the rules."""

    def __init__(self, bounds: Bounds, mutation: Mutation = Mutation.NONE) -> None:
        self._bounds = bounds
        self._mutation = mutation

    def protocol(self) -> Protocol:
        """Return the model as a protocol that `minicheck` can check."""
        return Protocol(
            name=f"resumption ({self._mutation.value})",
            candidate=False,
            fields=State._fields,
            initial=self._initial(),
            transitions=lambda state: list(self.steps(state)),
            invariants={
                "one lease": lambda s: len(lease_holders(State(*s.values()))) <= 1,
            },
        )

    def _initial(self) -> State:
        names = frozenset(self._bounds.voters)
        first = self._bounds.voters[0]
        replicas = {name: Replica(vote=first, voters=names) for name in names}
        replicas[first] = replicas[first]._replace(role=Role.LEADER)
        return State(frozenset(replicas.items()))

    def steps(self, state: State) -> Iterator[Step]:
        """Yield all enabled steps in a fixed order."""
        steps = list(self._all_steps(state))
        # Sets are unordered; sorting makes each search find the same trace.
        yield from sorted(steps, key=lambda step: step[0])

    def _all_steps(self, state: State) -> Iterator[Step]:
        for name, replica in state.replicas:
            if replica.role is not Role.LEADER:
                yield from self._campaign(state, name, replica)
                yield from self._resume(state, name, replica)
            else:
                yield from self._remove(state, name, replica)
            yield from self._vote(state, name, replica)
            yield from self._win(state, name, replica)
            yield from self._answer_leader(state, name, replica)
            yield from self._confirm_support(state, name, replica)
            yield from self._expire_answers(state, name, replica)
            yield from self._restart(state, name, replica)

    def _with_replica(self, state: State, name: str, replica: Replica) -> State:
        others = frozenset(pair for pair in state.replicas if pair[0] != name)
        return state._replace(replicas=others | {(name, replica)})

    def _campaign(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        yield from self._request_votes(state, name, replica, Role.CANDIDATE)

    def _request_votes(
        self, state: State, name: str, replica: Replica, role: Role
    ) -> Iterator[Step]:
        if replica.term == self._bounds.terms or name not in replica.voters:
            return
        if role is Role.CANDIDATE and replica.withholds_vote:
            return
        term = replica.term + 1
        new = replica._replace(term=term, vote=name, followed="", role=role)
        next_state = self._with_replica(state, name, new)
        votes = state.votes | {(term, name, name)}
        yield f"{name} asks as {role} in term {term}", next_state._replace(votes=votes)

    def _resume(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        if not replica.supports(name):
            return
        supporters = {
            voter
            for term, voter, candidate in state.supports
            if (term, candidate) == (replica.term, name)
        }
        if self._mutation is Mutation.OWN_SUPPORT_ONLY or has_majority(
            replica.voters, supporters | {name}
        ):
            yield from self._request_votes(state, name, replica, Role.RESUMING)

    def _confirm_support(
        self, state: State, name: str, replica: Replica
    ) -> Iterator[Step]:
        for other, _ in state.replicas:
            confirmation = (replica.term, name, other)
            if (
                other != name
                and replica.supports(other)
                and confirmation not in state.supports
            ):
                yield (
                    f"{name} supports {other} in term {replica.term}",
                    state._replace(supports=state.supports | {confirmation}),
                )

    def _vote(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        waits_for_lease = (
            replica.withholds_vote and self._mutation is not Mutation.NO_WAIT
        )
        for candidate, requester in state.replicas:
            if (
                requester.role not in (Role.CANDIDATE, Role.RESUMING)
                or candidate == name
            ):
                continue
            if waits_for_lease and requester.role is Role.CANDIDATE:
                continue
            term = requester.term
            is_free = term > replica.term or replica.vote in ("", candidate)
            if term < replica.term or not is_free or replica.role is Role.LEADER:
                continue
            if (term, name, candidate) in state.votes:
                continue
            new = replica._replace(term=term, vote=candidate)
            if term > replica.term:
                new = new._replace(followed="", role=Role.FOLLOWER)
            next_state = self._with_replica(state, name, new)
            yield (
                f"{name} votes for {candidate} in term {term}",
                next_state._replace(votes=state.votes | {(term, name, candidate)}),
            )

    def _win(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        if replica.role not in (Role.CANDIDATE, Role.RESUMING):
            return
        voters_for_candidate = {
            voter
            for term, voter, candidate in state.votes
            if (term, candidate) == (replica.term, name)
        }
        if has_majority(replica.voters, voters_for_candidate):
            new = replica._replace(role=Role.LEADER)
            yield (
                f"{name} leads term {replica.term}",
                self._with_replica(state, name, new),
            )

    def _remove(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        if state.removals == self._bounds.removals or len(replica.voters) < 3:
            return
        answering_voters = {
            voter for term, voter in state.answers if term == replica.term
        }
        # A leader commits an entry of its own term before the first change, and each
        # change before the next one.
        if not has_majority(replica.voters, answering_voters | {name}):
            return
        for other in sorted(replica.voters - {name}):
            new = replica._replace(voters=replica.voters - {other})
            next_state = self._with_replica(state, name, new)
            yield (
                f"{name} removes {other} in term {replica.term}",
                next_state._replace(removals=state.removals + 1, answers=frozenset()),
            )

    def _answer_leader(
        self, state: State, name: str, replica: Replica
    ) -> Iterator[Step]:
        for leader, leader_replica in state.replicas:
            if leader_replica.role is not Role.LEADER or leader == name:
                continue
            if leader_replica.term < replica.term:
                continue
            vote = replica.vote if leader_replica.term == replica.term else ""
            new = Replica(
                leader_replica.term,
                vote,
                leader,
                leader_replica.voters,
                Role.FOLLOWER,
                withholds_vote=True,
            )
            answers = state.answers | {(leader_replica.term, name)}
            if new != replica or answers != state.answers:
                yield (
                    f"{name} answers {leader} in term {leader_replica.term}",
                    self._with_replica(state, name, new)._replace(answers=answers),
                )

    def _expire_answers(
        self, state: State, name: str, replica: Replica
    ) -> Iterator[Step]:
        own_answers = {answer for answer in state.answers if answer[1] == name}
        if own_answers:
            yield (
                f"the answers of {name} count no more",
                state._replace(answers=state.answers - own_answers),
            )
        elif replica.withholds_vote:
            new = replica._replace(withholds_vote=False)
            yield f"{name} may vote", self._with_replica(state, name, new)

    def _restart(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        if state.restarts == self._bounds.restarts:
            return
        withholds_vote = self._mutation is not Mutation.NO_WAIT_AFTER_RESTART
        followed = replica.followed
        if self._mutation is Mutation.FOLLOWED_NOT_SAVED:
            followed = ""
        new = replica._replace(
            role=Role.FOLLOWER, withholds_vote=withholds_vote, followed=followed
        )
        next_state = self._with_replica(state, name, new)
        yield f"{name} restarts", next_state._replace(restarts=state.restarts + 1)


def lease_holders(state: State) -> list[str]:
    """Return the leaders whose lease is valid."""
    return [
        name
        for name, replica in state.replicas
        if replica.role is Role.LEADER
        and has_majority(
            replica.voters,
            {voter for term, voter in state.answers if term == replica.term} | {name},
        )
    ]
