"""Membership of a controller in the consensus group: member changes and joining."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.consensus.errors import MembershipError
from berylnotch.consensus.messages import Members
from berylnotch.consensus.replica import Replica
from berylnotch.group.changes import GroupView, next_change
from berylnotch.group.messages import JoinRequest, Redirect
from berylnotch.group.settings import GroupSettings
from berylnotch.settings.fleet import FleetSettings
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog


class MembershipManager:
    """Changes the group's members on the leader; requests to join on a non-leader.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the process.
    seeds : callable
        Returns the addresses of the controllers that are contacted first.
    send : callable
        Sends a message to an address.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        settings: FleetSettings,
        seeds: Callable[[], tuple[str, ...]],
        send: Callable[[str, object], None],
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._group_settings = GroupSettings()
        self._seeds = seeds
        self._send = send
        self._log = log
        self._join_requests: dict[str, JoinRequest] = {}
        self._join_received_at: dict[str, float] = {}
        self._member_since: dict[str, float] = {}
        self._learned_addresses: set[str] = set()
        self._leader_contact_at = boot_time()
        self._join_sent_at = 0.0

    def known_addresses(self, replica: Replica | None) -> tuple[str, ...]:
        """Return the addresses of all controllers known from members and redirects."""
        members = replica.members.members if replica is not None else ()
        return tuple(sorted({m.address for m in members} | self._learned_addresses))

    def learn(self, redirect: Redirect) -> None:
        """Add the controller addresses of a redirect."""
        self._learned_addresses.update(redirect.members)
        if redirect.leader:
            self._learned_addresses.add(redirect.leader)

    def heard_leader(self) -> None:
        """Record that the replica currently knows a leader."""
        self._leader_contact_at = boot_time()

    def join(self, request: JoinRequest) -> None:
        """Record a controller's request to join the group."""
        if request.replica not in self._join_requests:
            self._log.info("join_asked", replica=request.replica, at=request.address)
        self._join_requests[request.replica] = request
        self._join_received_at[request.replica] = boot_time()

    def change_members(self, replica: Replica) -> bool:
        """Propose the member change that is due; return whether one was proposed."""
        now = boot_time()
        for identity, received_at in tuple(self._join_received_at.items()):
            if now - received_at > self._group_settings.candidate_s:
                del self._join_received_at[identity], self._join_requests[identity]
        view = self._group_view(now, replica)
        members = next_change(view, self._group_settings)
        if members is None:
            return False
        try:
            replica.propose_members(now, members)
        except MembershipError as error:
            self._log.info("members_not_changed", reason=str(error))
            return False
        self._log.info(
            "members_changed",
            before=_format_members(view.members),
            after=_format_members(members),
        )
        return True

    def ask_to_join(self, replica: Replica) -> None:
        """Request to join, unless this replica is a member with a known leader."""
        now = boot_time()
        self._member_since.clear()
        is_member = any(m.replica == replica.identity for m in replica.members.members)
        has_lost_contact = (
            now - self._leader_contact_at > self._group_settings.lost_contact_s
        )
        if is_member and not has_lost_contact:
            return
        if now - self._join_sent_at < self._group_settings.join_retry_s:
            return
        self._join_sent_at = now
        own_address = str(self._settings.internal)
        request = JoinRequest(
            self._settings.name,
            replica.identity,
            own_address,
            self._settings.failure_domain,
        )
        for address in {*self._seeds(), *self.known_addresses(replica)}:
            if address != own_address:
                self._send(address, request)

    def _group_view(self, now: float, replica: Replica) -> GroupView:
        silence_s, caught_up = {}, set()
        for identity, progress in replica.progress.items():
            member_since = self._member_since.setdefault(identity, now)
            silence_s[identity] = now - max(member_since, progress.last_contact_at)
            if replica.is_caught_up(now, identity):
                caught_up.add(identity)
        own_identity = replica.identity
        return GroupView(
            own_identity,
            replica.members,
            self._join_requests,
            silence_s,
            frozenset(caught_up),
        )


def _format_members(members: Members) -> str:
    return ",".join(f"{m.replica}:{m.role.value}" for m in members.members)
