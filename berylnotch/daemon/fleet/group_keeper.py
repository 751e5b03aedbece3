"""A controller's part in its group: who belongs to it, and how to be let in."""

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


class GroupKeeper:
    """Changes the group's members while its replica leads, else asks to join.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the process.
    seeds : callable
        Returns the addresses of controllers to ask first.
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
        self._candidates: dict[str, JoinRequest] = {}
        self._asked_at: dict[str, float] = {}
        self._member_since: dict[str, float] = {}
        self._known: set[str] = set()
        self._leader_heard_at = boot_time()
        self._joined_at = 0.0

    def known_addresses(self, replica: Replica | None) -> tuple[str, ...]:
        """Return the addresses of all controllers that this one has heard of."""
        members = replica.members.members if replica is not None else ()
        return tuple(sorted({m.address for m in members} | self._known))

    def learn(self, redirect: Redirect) -> None:
        """Take addresses of controllers from one that does not lead."""
        self._known.update(redirect.members)
        if redirect.leader:
            self._known.add(redirect.leader)

    def heard_leader(self) -> None:
        """Note that there is a leader."""
        self._leader_heard_at = boot_time()

    def join(self, request: JoinRequest) -> None:
        """Note a request to join."""
        if request.replica not in self._candidates:
            self._log.info("join_asked", replica=request.replica, at=request.address)
        self._candidates[request.replica] = request
        self._asked_at[request.replica] = boot_time()

    def change_members(self, replica: Replica) -> bool:
        """Propose the change that is due; return whether there was one."""
        now = boot_time()
        for name, asked_at in tuple(self._asked_at.items()):
            if now - asked_at > self._group_settings.candidate_s:
                del self._asked_at[name], self._candidates[name]
        view = self._view(now, replica)
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
            before=_describe(view.members),
            after=_describe(members),
        )
        return True

    def ask_to_join(self, replica: Replica) -> None:
        """Ask to be let in, unless this replica is a member that hears its leader."""
        now = boot_time()
        self._member_since.clear()
        is_member = any(m.replica == replica.identity for m in replica.members.members)
        is_lost = now - self._leader_heard_at > self._group_settings.lost_contact_s
        if is_member and not is_lost:
            return
        if now - self._joined_at < self._group_settings.join_retry_s:
            return
        self._joined_at = now
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

    def _view(self, now: float, replica: Replica) -> GroupView:
        silence_s, caught_up = {}, set()
        for name, progress in replica.progress.items():
            since = self._member_since.setdefault(name, now)
            silence_s[name] = now - max(since, progress.heard_at)
            if replica.is_caught_up(now, name):
                caught_up.add(name)
        own = replica.identity
        return GroupView(
            own, replica.members, self._candidates, silence_s, frozenset(caught_up)
        )


def _describe(members: Members) -> str:
    return ",".join(f"{m.replica}:{m.role.value}" for m in members.members)
