"""Shares the limits that targets announce with the other routers.

A target with a limit takes a number of requests per second from all routers together,
and each router knows only its own requests. So each request to such a target costs a
token, and the quota owner at the leader grants the tokens of all routers. A router
without a token sends the request to another target.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable

from attrs import define, frozen

from berylnotch.entry.request_limit import RequestLimit
from berylnotch.entry.targets import Target
from berylnotch.group.messages import LimitNotice
from berylnotch.quota.local import LocalQuota
from berylnotch.quota.messages import GrantReply, GrantRequest
from berylnotch.quota.target_limits import TARGET_QUOTA

#: Seconds without an answer of the quota owner after which a router sends a share of
#: the requests without tokens. It is twice the time-out of an exchange with the owner.
OWNER_SILENCE_S = 1.0

#: Seconds after which all announcements are reported again, in case that the leader did
#: not know the target yet.
NOTICE_REFRESH_S = 2.0


@frozen
class _Announcement:
    """Limit that a target announced to this router, infinite at its end."""

    target: Target
    per_s: float
    heard_at: float


@define
class _WaitingRequest:
    """A request that no target may take before the router gets a token."""

    expires_at: float
    on_tokens: Callable[[], None]


class TargetLimits:
    """Limited targets of one router, and the router's tokens for them.

    Parameters
    ----------
    router_count : callable
        Returns the number of routers that share a limit while there is no quota owner.
    draw : callable, optional
        Returns a random number between 0 and 1.
    """

    def __init__(
        self,
        router_count: Callable[[], int],
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._router_count = router_count
        self._draw = draw
        self._quota = LocalQuota(TARGET_QUOTA)
        self._limited: dict[str, Target] = {}
        self._announcements: dict[str, _Announcement] = {}
        self._unreported: set[str] = set()
        self._refreshed_at = -math.inf
        #: Targets of which the router wants a token.
        self._wanted: set[str] = set()
        self._waiting: deque[_WaitingRequest] = deque()
        #: Whether a limit changed since the waiting requests were last looked at.
        self._has_changed = False
        self._asked_at = 0.0
        self._unanswered_since: float | None = None
        self._has_owner = True

    @property
    def has_owner(self) -> bool:
        """Whether the quota owner answers, as far as it was asked."""
        return self._has_owner

    def limited_targets(self) -> tuple[Target, ...]:
        """Return the targets with a limit."""
        return tuple(self._limited.values())

    def announce(self, now: float, target: Target, per_s: float) -> bool:
        """Apply a limit that a target announced to this router.

        Returns
        -------
        bool
            Whether the limit differs from the known one.
        """
        self._announcements[target.target_id] = _Announcement(target, per_s, now)
        is_changed = self.set_limit(now, target, per_s)
        if is_changed:
            self._unreported.add(target.target_id)
        return is_changed

    def set_limit(self, now: float, target: Target, per_s: float) -> bool:
        """Apply a target's limit, infinite for none; return whether it changed."""
        target.limit_known_at = now
        if per_s == target.limit_per_s:
            return False
        target_id = target.target_id
        # Tokens of the former limit could exceed a lower one.
        self._quota.give_up(target_id)
        self._stop_wanting(target_id)
        self._has_changed = True
        if per_s == math.inf:
            target.limit = None
            self._limited.pop(target_id, None)
            return True
        target.limit = RequestLimit(target_id, per_s, self._quota)
        self._limited[target_id] = target
        if not self._has_owner:
            self._begin_share(now, target.limit)
        return True

    def retain(self, is_listed: Callable[[Target], bool]) -> None:
        """Drop the limits of targets that are gone or have restarted."""
        for target_id, target in tuple(self._limited.items()):
            if not is_listed(target):
                del self._limited[target_id]
                self._stop_wanting(target_id)
        for target_id, announcement in tuple(self._announcements.items()):
            if not is_listed(announcement.target):
                del self._announcements[target_id]
                self._unreported.discard(target_id)

    # Reports to the leader.

    def report_all(self) -> None:
        """Include all announcements in the next report, which a new leader gets."""
        self._refreshed_at = -math.inf

    def restart(self) -> None:
        """Ask the quota owner again, because the asked one is gone."""
        self._quota.restart()

    def notices(self, now: float) -> tuple[LimitNotice, ...]:
        """Return the announcements for the next report to the leader.

        All are returned while the owner does not answer: a new leader ignores those of
        targets that it has not read from the target list yet, and grants no tokens.
        """
        is_due = now - self._refreshed_at >= NOTICE_REFRESH_S
        if is_due or self._unanswered_since is not None:
            self._refreshed_at = now
            self._unreported = set(self._announcements)
        target_ids, self._unreported = sorted(self._unreported), set()
        return tuple(_notice(now, self._announcements[t]) for t in target_ids)

    def asks(self, now: float, name: str, incarnation: str) -> GrantRequest | None:
        """Return the request for tokens in the next report, None if none is due."""
        if now < self._quota.next_ask_at:
            return None
        asks = self._quota.asks(now)
        # The owner does not answer for targets whose limit has ended.
        asks = tuple(ask for ask in asks if ask.organisation in self._limited)
        if not asks:
            self._quota.withdraw()
            return None
        self._asked_at = now
        if self._unanswered_since is None:
            self._unanswered_since = now
        sequence = self._quota.sequence
        return GrantRequest(name, incarnation, "", "", False, sequence, asks)

    # Tokens.

    def request_tokens(self, now: float, service: str) -> bool:
        """Want a token of each limited target of a service that has no room.

        If the limit allows, the router gets more tokens in advance, according to its
        requests of the last seconds.

        Returns
        -------
        bool
            Whether the quota owner should be asked soon.
        """
        for target_id, target in self._limited.items():
            if target.listed.service != service or target.limit.has_room(now):
                continue
            if self._quota.retry_after_ms(target_id) == 0:
                self._wanted.add(target_id)
                self._quota.want(target_id, 1)
                self._quota.expect(now, target_id, 1)
        return self.is_ask_due(now)

    def is_ask_due(self, now: float) -> bool:
        """Return whether the router wants tokens and may ask the quota owner now."""
        return bool(self._wanted) and now >= self._quota.next_ask_at

    def wait(self, expires_at: float, on_tokens: Callable[[], None]) -> None:
        """Call a function when tokens come or at a boot time, whichever is earlier."""
        self._waiting.append(_WaitingRequest(expires_at, on_tokens))

    def receive(self, now: float, reply: GrantReply) -> None:
        """Apply a reply of the quota owner, and resume the waiting requests."""
        if not self._quota.receive(self._asked_at, reply):
            return
        if reply.grants:
            # A new owner answers without grants at first.
            self._unanswered_since = None
            self._set_owner(now, has_owner=True)
        for grant in reply.grants:
            if grant.tokens or grant.retry_after_ms:
                self._stop_wanting(grant.organisation)
        waiting, self._waiting = self._waiting, deque()
        for request in waiting:
            request.on_tokens()

    def serve(self, now: float) -> None:
        """Notice a silent owner, and resume requests after a wait or a new limit."""
        since = self._unanswered_since
        if since is not None and now - since > OWNER_SILENCE_S:
            self._set_owner(now, has_owner=False)
        waiting, self._waiting = self._waiting, deque()
        has_changed, self._has_changed = self._has_changed, False
        for request in waiting:
            if has_changed or now >= request.expires_at:
                request.on_tokens()
            else:
                self._waiting.append(request)

    def _set_owner(self, now: float, has_owner: bool) -> None:
        if has_owner == self._has_owner:
            return
        self._has_owner = has_owner
        for target in self._limited.values():
            if has_owner:
                target.limit.end_share()
            else:
                self._begin_share(now, target.limit)

    def _begin_share(self, now: float, limit: RequestLimit) -> None:
        limit.begin_share(now, self._router_count(), self._draw())

    def _stop_wanting(self, target_id: str) -> None:
        self._wanted.discard(target_id)
        self._quota.want(target_id, 0)


def _notice(now: float, announcement: _Announcement) -> LimitNotice:
    listed = announcement.target.listed
    age_ms = round((now - announcement.heard_at) * 1000)
    return LimitNotice(listed.target_id, listed.born_ms, announcement.per_s, age_ms)
