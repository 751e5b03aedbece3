"""Membership changes of the group of controllers."""

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
#: Seconds without progress after which a membership change is aborted and refused.
_PROGRESS_TIMEOUT_S = 60.0


@define
class _Change:
    """A membership change in progress."""

    request: MemberChangeRequest
    reply: Callable[[object], None]
    last_progress_at: float
    joining: Member | None = None
    is_identity_requested: bool = False
    at_index: int = 0


class MemberChanges:
    """Adds a controller as a learner, promotes it, then removes the replaced one.

    Each step is proposed after the previous step is committed. A change that stops
    after any step therefore leaves a working group, and a repeated request continues
    with the next step.

    Parameters
    ----------
    peers : Peers
        Connections to the other controllers.
    deliver : callable
        Runs a callable in the core thread.
    """

    def __init__(
        self, peers: Peers, deliver: Callable[[Callable[[], None]], None]
    ) -> None:
        self._peers = peers
        self._deliver = deliver
        self._change: _Change | None = None

    def start(
        self, request: MemberChangeRequest, reply: Callable[[object], None]
    ) -> None:
        """Start a change; the reply is sent when it is complete.

        A repeated request with the same change id only replaces ``reply``.
        """
        if self._change is not None:
            if self._change.request.change_id != request.change_id:
                reply(Refused("another change of controllers is under way"))
                return
            self._change.reply = reply
            return
        self._change = _Change(request, reply, time.monotonic())

    def abort(self, answer: NotLeader) -> None:
        """Abort the change because this controller is no longer the leader."""
        change, self._change = self._change, None
        if change is not None:
            change.reply(answer)

    def tick(self, now: float, replica: Replica) -> None:
        """Propose the next step if the previous one is committed."""
        change = self._change
        if change is None:
            return
        if now - change.last_progress_at > _PROGRESS_TIMEOUT_S:
            self._finish(Refused("the change made no progress for 60 s"))
            return
        if replica.members_index > replica.commit:
            return
        try:
            self._propose_step(now, replica, change)
        except ConsensusError as error:
            logger.debug("event=member_change_waits reason={!r}", str(error))

    def _propose_step(self, now: float, replica: Replica, change: _Change) -> None:
        request = change.request
        if request.add_name and change.joining is None:
            self._request_identity(change)
            return
        next_members = self._next_members(now, replica, change)
        if next_members is None:
            return
        if next_members == replica.members:
            logger.info("event=member_change_done change={}", request.change_id)
            self._finish(MemberChangeReply(replica.members))
            return
        replica.propose_members(now, next_members)
        change.last_progress_at = now
        logger.info("event=member_change_step change={}", request.change_id)

    def _next_members(
        self, now: float, replica: Replica, change: _Change
    ) -> Members | None:
        """Return the members after the next step, None while the learner lags."""
        members = replica.members.members
        joining = change.joining
        if joining is not None:
            joining_member = next(
                (m for m in members if m.replica == joining.replica), None
            )
            if joining_member is None:
                learner = evolve(joining, role=Role.LEARNER)
                return Members((*members, learner))
            if joining_member.role is Role.LEARNER:
                if not replica.is_caught_up(now, joining_member.replica):
                    return None
                return Members(
                    tuple(
                        evolve(m, role=Role.VOTER) if m == joining_member else m
                        for m in members
                    )
                )
        removed = self._members_to_remove(members, change)
        return Members(tuple(m for m in members if m not in removed))

    def _members_to_remove(
        self, members: tuple[Member, ...], change: _Change
    ) -> list[Member]:
        request, joining = change.request, change.joining
        joining_replica = joining.replica if joining is not None else ""
        candidates = [
            m
            for m in members
            if m.name == request.replace and m.replica != joining_replica
        ]
        return candidates[:1]

    def _request_identity(self, change: _Change) -> None:
        if change.is_identity_requested:
            return
        change.is_identity_requested = True
        address = change.request.add_address
        future = self._peers.call(address, JoinRequest(), _JOIN_TIMEOUT_S)
        future.add_done_callback(
            lambda done: self._deliver(lambda: self._on_identity(change, done))
        )

    def _on_identity(self, change: _Change, future: Future[Any]) -> None:
        change.is_identity_requested = False
        answer = None if future.exception() is not None else future.result()
        if not isinstance(answer, JoinReply) or change is not self._change:
            return
        member = answer.member
        if member.name != change.request.add_name:
            reason = f"the controller at {change.request.add_address} is {member.name}"
            self._finish(Refused(reason))
            return
        domain = change.request.add_failure_domain or member.failure_domain
        change.joining = evolve(member, failure_domain=domain)

    def _finish(self, answer: object) -> None:
        change, self._change = self._change, None
        if change is not None:
            change.reply(answer)
