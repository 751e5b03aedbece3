"""Leases of leaders, restarts, and a former leader that resumes without waiting.

The model has no clock. A lease stands as long as a majority's answers to its leader
count; time ends the count of one answer after the other. A replica that answered a
leader, or restarted, refuses its vote until no answer of its own counts any more: the
shortest election timeout is longer than a lease. The log is left out; `replication`
has it.

Restart
    A replica keeps term, vote and the leader it followed. It does not know whom it
    answered last, so it refuses its vote until all its answers have ended.

Resume
    A replica that is no leader asks which voters support it in its own term: whose
    vote it has, or that followed it, and that followed nobody else. With a majority it
    asks for votes in the next term, and voters do not wait for a lease.

Members
    A leader may remove a voter; the group of the model shrinks for all that hear of
    it, which they do by following the leader.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum, StrEnum
from typing import NamedTuple

from minicheck import Protocol


class Mutation(Enum):
    """A rule left out on purpose; each must give a counterexample."""

    NONE = "none"
    NO_WAIT = "a voter votes although its answer to a leader counts"
    NO_WAIT_AFTER_RESTART = "a voter votes at once after a restart"
    OWN_SUPPORT_ONLY = "a replica resumes by its own vote alone"
    FOLLOWED_NOT_SAVED = "whom a replica followed is lost in a restart"


class Role(StrEnum):
    """What a replica does in its term; not durable."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    RESUMING = "resuming"
    LEADER = "leader"


class Replica(NamedTuple):
    """State of one replica; ``heard`` tells that it may hold a leader's lease."""

    term: int = 1
    vote: str = ""
    followed: str = ""
    voters: frozenset[str] = frozenset()
    role: Role = Role.FOLLOWER
    heard: bool = False

    def supports(self, name: str) -> bool:
        """Return whether it voted for, or followed, this replica and no other."""
        return (self.followed or self.vote) == name


class Bounds(NamedTuple):
    """Size of the checked state space."""

    voters: tuple[str, ...] = ("a", "b", "c")
    terms: int = 3
    removals: int = 0
    restarts: int = 2


class State(NamedTuple):
    """All replicas, and which answers to which leader still count."""

    replicas: frozenset[tuple[str, Replica]]
    votes: frozenset[tuple[int, str, str]] = frozenset()
    #: Pairs of a term and the replica that answered its leader.
    answers: frozenset[tuple[int, str]] = frozenset()
    supports: frozenset[tuple[int, str, str]] = frozenset()
    removals: int = 0
    restarts: int = 0


Step = tuple[str, State]


def has_majority(voters: frozenset[str], names: set[str]) -> bool:
    return 2 * len(voters & names) > len(voters)


class Resumption:
    """The rules, within bounds and with at most one of them left out."""

    def __init__(self, bounds: Bounds, mutation: Mutation = Mutation.NONE) -> None:
        self._bounds = bounds
        self._mutation = mutation

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return Protocol(
            name=f"resumption ({self._mutation.value})",
            candidate=False,
            fields=State._fields,
            initial=self._initial(),
            transitions=lambda state: list(self.steps(state)),
            invariants={
                "one lease": lambda s: len(leases(State(*s.values()))) <= 1,
            },
        )

    def _initial(self) -> State:
        names = frozenset(self._bounds.voters)
        first = self._bounds.voters[0]
        replicas = {name: Replica(vote=first, voters=names) for name in names}
        replicas[first] = replicas[first]._replace(role=Role.LEADER)
        return State(frozenset(replicas.items()))

    def steps(self, state: State) -> Iterator[Step]:
        """Yield everything that may happen next."""
        found = list(self._all_steps(state))
        # Sets have no order of their own; each search must find the same trace.
        yield from sorted(found, key=lambda step: step[0])

    def _all_steps(self, state: State) -> Iterator[Step]:
        for name, replica in state.replicas:
            if replica.role is not Role.LEADER:
                yield from self._campaign(state, name, replica)
                yield from self._resume(state, name, replica)
            else:
                yield from self._remove(state, name, replica)
            yield from self._vote(state, name, replica)
            yield from self._win(state, name, replica)
            yield from self._answer(state, name, replica)
            yield from self._tell_support(state, name, replica)
            yield from self._let_time_pass(state, name, replica)
            yield from self._restart(state, name, replica)

    def _with(self, state: State, name: str, replica: Replica) -> State:
        others = frozenset(p for p in state.replicas if p[0] != name)
        return state._replace(replicas=others | {(name, replica)})

    def _campaign(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        yield from self._ask(state, name, replica, Role.CANDIDATE)

    def _ask(
        self, state: State, name: str, replica: Replica, role: Role
    ) -> Iterator[Step]:
        if replica.term == self._bounds.terms or name not in replica.voters:
            return
        if role is Role.CANDIDATE and replica.heard:
            return
        term = replica.term + 1
        new = replica._replace(term=term, vote=name, followed="", role=role)
        after = self._with(state, name, new)
        votes = state.votes | {(term, name, name)}
        yield f"{name} asks as {role} in term {term}", after._replace(votes=votes)

    def _resume(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        if not replica.supports(name):
            return
        support = {
            voter
            for term, voter, candidate in state.supports
            if (term, candidate) == (replica.term, name)
        }
        if self._mutation is Mutation.OWN_SUPPORT_ONLY or has_majority(
            replica.voters, support | {name}
        ):
            yield from self._ask(state, name, replica, Role.RESUMING)

    def _tell_support(
        self, state: State, name: str, replica: Replica
    ) -> Iterator[Step]:
        for other, _ in state.replicas:
            fact = (replica.term, name, other)
            if other != name and replica.supports(other) and fact not in state.supports:
                yield (
                    f"{name} supports {other} in term {replica.term}",
                    state._replace(supports=state.supports | {fact}),
                )

    def _vote(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        waits = replica.heard and self._mutation is not Mutation.NO_WAIT
        for candidate, asking in state.replicas:
            if asking.role not in (Role.CANDIDATE, Role.RESUMING) or candidate == name:
                continue
            if waits and asking.role is Role.CANDIDATE:
                continue
            term = asking.term
            is_free = term > replica.term or replica.vote in ("", candidate)
            if term < replica.term or not is_free or replica.role is Role.LEADER:
                continue
            if (term, name, candidate) in state.votes:
                continue
            new = replica._replace(term=term, vote=candidate)
            if term > replica.term:
                new = new._replace(followed="", role=Role.FOLLOWER)
            after = self._with(state, name, new)
            yield (
                f"{name} votes for {candidate} in term {term}",
                after._replace(votes=state.votes | {(term, name, candidate)}),
            )

    def _win(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        if replica.role not in (Role.CANDIDATE, Role.RESUMING):
            return
        voted = {
            voter
            for term, voter, candidate in state.votes
            if (term, candidate) == (replica.term, name)
        }
        if has_majority(replica.voters, voted):
            new = replica._replace(role=Role.LEADER)
            yield f"{name} leads term {replica.term}", self._with(state, name, new)

    def _remove(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        if state.removals == self._bounds.removals or len(replica.voters) < 3:
            return
        acked = {voter for term, voter in state.answers if term == replica.term}
        # A change is committed before the next one, and after an own entry.
        if not has_majority(replica.voters, acked | {name}):
            return
        for other in sorted(replica.voters - {name}):
            new = replica._replace(voters=replica.voters - {other})
            after = self._with(state, name, new)
            yield (
                f"{name} removes {other} in term {replica.term}",
                after._replace(removals=state.removals + 1, answers=frozenset()),
            )

    def _answer(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        for leader, leading in state.replicas:
            if leading.role is not Role.LEADER or leader == name:
                continue
            if leading.term < replica.term:
                continue
            vote = replica.vote if leading.term == replica.term else ""
            new = Replica(
                leading.term, vote, leader, leading.voters, Role.FOLLOWER, heard=True
            )
            answers = state.answers | {(leading.term, name)}
            if new != replica or answers != state.answers:
                yield (
                    f"{name} answers {leader} in term {leading.term}",
                    self._with(state, name, new)._replace(answers=answers),
                )

    def _let_time_pass(
        self, state: State, name: str, replica: Replica
    ) -> Iterator[Step]:
        own = {answer for answer in state.answers if answer[1] == name}
        if own:
            yield (
                f"the answers of {name} count no more",
                state._replace(answers=state.answers - own),
            )
        elif replica.heard:
            new = replica._replace(heard=False)
            yield f"{name} may vote", self._with(state, name, new)

    def _restart(self, state: State, name: str, replica: Replica) -> Iterator[Step]:
        if state.restarts == self._bounds.restarts:
            return
        heard = self._mutation is not Mutation.NO_WAIT_AFTER_RESTART
        followed = replica.followed
        if self._mutation is Mutation.FOLLOWED_NOT_SAVED:
            followed = ""
        new = replica._replace(role=Role.FOLLOWER, heard=heard, followed=followed)
        after = self._with(state, name, new)
        yield f"{name} restarts", after._replace(restarts=state.restarts + 1)


def leases(state: State) -> list[str]:
    """Return the leaders whose lease stands."""
    return [
        name
        for name, replica in state.replicas
        if replica.role is Role.LEADER
        and has_majority(
            replica.voters,
            {voter for term, voter in state.answers if term == replica.term} | {name},
        )
    ]
