"""Changes of the group of controllers, one step at a time."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any

from attrs import define, evolve
from loguru import logger

from berylnotch.consensus.messages import Members, Role
from berylnotch.control.protocol import (
    JoinReply,
    JoinRequest,
    MemberChangeReply,
    MemberChangeRequest,
    NotLeader,
    Refused,
)
from berylnotch.errors import ConsensusError

if TYPE_CHECKING:
    from berylnotch.consensus.messages import Member
    from berylnotch.consensus.replica import Replica
    from berylnotch.transport.peers import Peers

_JOIN_TIMEOUT_S = 2.0
#: Seconds after which a change that makes no progress is given up.
_LIMIT_S = 60.0


@define
class _Change:
    """A change under way."""

    request: MemberChangeRequest
    reply: Callable[[object], None]
    since: float
    joining: Member | None = None
    asked: bool = False
    at_index: int = 0


class MemberChanges:
    """Adds a controller as a learner, promotes it, then removes the old one.

    The group is changed one step at a time, each after the one before is
    committed, so a change that stops half-way leaves a working group, and the
    same request goes on from there.

    Parameters
    ----------
    peers : Peers
        Connections to the controllers.
    deliver : callable
        Runs a call in the core thread.
    """

    def __init__(
        self, peers: Peers, deliver: Callable[[Callable[[], None]], None]
    ) -> None:
        self._peers = peers
        self._deliver = deliver
        self._change: _Change | None = None

    def ask(
        self, request: MemberChangeRequest, reply: Callable[[object], None]
    ) -> None:
        """Begin a change; the reply comes when it is complete."""
        if self._change is not None:
            if self._change.request.change_id != request.change_id:
                reply(Refused("another change of controllers is under way"))
                return
            self._change.reply = reply
            return
        self._change = _Change(request, reply, time.monotonic())

    def fail(self, answer: NotLeader) -> None:
        """Give the change back: this controller leads no more."""
        change, self._change = self._change, None
        if change is not None:
            change.reply(answer)

    def tick(self, now: float, replica: Replica) -> None:
        """Take the next step if the one before is committed."""
        change = self._change
        if change is None:
            return
        if now - change.since > _LIMIT_S:
            self._end(Refused("the change made no progress for 60 s"))
            return
        if replica.members_index > replica.commit:
            return
        try:
            self._step(now, replica, change)
        except ConsensusError as error:
            logger.debug("event=member_change_waits reason={!r}", str(error))

    def _step(self, now: float, replica: Replica, change: _Change) -> None:
        request = change.request
        if request.add_name and change.joining is None:
            self._ask_identity(change)
            return
        proposed = self._next_members(now, replica, change)
        if proposed is None:
            return
        if proposed == replica.members:
            logger.info("event=member_change_done change={}", request.change_id)
            self._end(MemberChangeReply(replica.members))
            return
        replica.propose_members(now, proposed)
        change.since = now
        logger.info("event=member_change_step change={}", request.change_id)

    def _next_members(
        self, now: float, replica: Replica, change: _Change
    ) -> Members | None:
        """Return the members after the next step, or None to wait."""
        members = replica.members.members
        joining = change.joining
        if joining is not None:
            found = next((m for m in members if m.replica == joining.replica), None)
            if found is None:
                learner = evolve(joining, role=Role.LEARNER)
                return Members((*members, learner))
            if found.role is Role.LEARNER:
                if not replica.is_caught_up(now, found.replica):
                    return None
                return Members(
                    tuple(
                        evolve(m, role=Role.VOTER) if m == found else m for m in members
                    )
                )
        leaving = self._leaving(members, change)
        return Members(tuple(m for m in members if m not in leaving))

    def _leaving(self, members: tuple[Member, ...], change: _Change) -> list[Member]:
        request, joining = change.request, change.joining
        new = joining.replica if joining is not None else ""
        named = [m for m in members if m.name == request.replace and m.replica != new]
        return named[:1]

    def _ask_identity(self, change: _Change) -> None:
        if change.asked:
            return
        change.asked = True
        address = change.request.add_address
        future = self._peers.call(address, JoinRequest(), _JOIN_TIMEOUT_S)
        future.add_done_callback(
            lambda done: self._deliver(lambda: self._joined(change, done))
        )

    def _joined(self, change: _Change, future: Future[Any]) -> None:
        change.asked = False
        answer = None if future.exception() is not None else future.result()
        if not isinstance(answer, JoinReply) or change is not self._change:
            return
        member = answer.member
        if member.name != change.request.add_name:
            message = f"the controller at {change.request.add_address} is {member.name}"
            self._end(Refused(message))
            return
        domain = change.request.add_failure_domain or member.failure_domain
        change.joining = evolve(member, failure_domain=domain)

    def _end(self, answer: object) -> None:
        change, self._change = self._change, None
        if change is not None:
            change.reply(answer)
