"""Leader's ownership of the organisations' limits, recorded in the replicated log."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from berylnotch.daemon.fleet.limit_routers import LimitRouterList
from berylnotch.group.commands import SettleLimits, TakeOverLimits
from berylnotch.group.state import FleetState
from berylnotch.quota.bounds import FLEET_QUOTA, EffectiveLimit, effective_limits
from berylnotch.quota.messages import GrantRequest
from berylnotch.quota.owner import QuotaOwner
from berylnotch.quota.takeover import Takeover
from berylnotch.routing.model import Organisation
from berylnotch.settings.fleet import FleetBounds
from berylnotch.transport.link import Link
from berylnotch.transport.packing import pack
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop
from berylnotch.util.metrics import Metrics

#: Back-off in seconds before a command that was not committed is proposed again.
PROPOSE_RETRY_S = 0.05

#: Interval in seconds of the checks for records that are due.
CHECK_INTERVAL_S = 1.0

#: Added to the numbers of owners in replies, so that they differ from the terms that
#: earlier software sent in their place.
OWNER_TERM_BASE = 1 << 20

#: Relative margin of times that are measured by clocks of several controllers.
CLOCK_MARGIN = 0.01


class OrganisationLimits:
    """Grants tokens of organisations to routers, from the commit of a record on.

    Parameters
    ----------
    bounds : FleetBounds
        Limits of the fleet.
    loop : Loop
        Event loop that runs all callbacks.
    state : FleetState
        Replicated state with the earlier owners.
    propose : callable
        Proposes a command, and calls back with whether it was committed.
    is_active : callable
        Returns whether this controller holds the leader lease at the current time.
    name : str
        Name of this controller.
    is_first : bool
        Whether no router of the group can have been granted tokens yet.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        bounds: FleetBounds,
        loop: Loop,
        state: FleetState,
        propose: Callable[[bytes, Callable[[bool], None]], None],
        is_active: Callable[[], bool],
        name: str,
        is_first: bool,
        log: EventLog,
    ) -> None:
        self._bounds = bounds
        self._loop = loop
        self._state = state
        self._propose = propose
        self._is_active = is_active
        self._name = name
        self._is_first = is_first
        self._log = log
        self._limits: dict[str, EffectiveLimit] = {}
        #: Newest request of each link that waits for a record.
        self._waiting: dict[Link, GrantRequest] = {}
        self._owner: QuotaOwner | None = None
        self._number = 0
        self._started_at = 0.0
        self._takeover: Takeover | None = None
        self._window_s = (1 + CLOCK_MARGIN) * bounds.quota_window_s
        self._routers = LimitRouterList(
            state, FLEET_QUOTA.owner_lifetime_s + self._window_s
        )
        self._is_proposing = self._is_closed = False

    @property
    def takeover(self) -> Takeover | None:
        """What is known of earlier owners, None before the owner grants tokens."""
        return self._takeover

    def update_gauges(self, metrics: Metrics) -> None:
        """Show what this owner may grant, and which routers it waits for."""
        takeover, unsettled = self._takeover, self._state.limit_owners.unsettled
        share = takeover.share if takeover is not None else 0.0
        unjoined = len(takeover.unjoined) if takeover is not None else 0
        metrics.gauge("berylnotch_limit_headroom_share", share)
        metrics.gauge("berylnotch_limit_unjoined_routers", float(unjoined))
        metrics.gauge("berylnotch_limit_unsettled_owners", float(len(unsettled)))

    def close(self) -> None:
        """Propose and answer nothing any more."""
        self._is_closed = True
        self._waiting.clear()

    def set_organisations(self, organisations: Iterable[Organisation]) -> None:
        """Follow the limits of the active configuration."""
        self._limits = effective_limits(organisations, self._bounds)
        if self._limits:
            self._advance()

    def answer(self, link: Link, request: GrantRequest) -> None:
        """Answer a router's request, as soon as the records allow it."""
        self._waiting[link] = request
        self._advance()

    def _advance(self) -> None:
        """Answer the waiting requests, and propose the records that they need."""
        if self._is_closed or not self._is_active():
            return
        if self._owner is None:
            self._submit(TakeOverLimits(self._name), self._start)
            return
        now, unlisted = boot_time(), []
        for link, request in tuple(self._waiting.items()):
            if not self._routers.is_listed(now, request):
                unlisted.append(request)
                continue
            del self._waiting[link]
            if not link.is_closed:
                link.send(self._owner.grant(now, request, self._limits))
        self._check_settled(now)
        command = self._routers.additions(unlisted)
        if command is not None:
            self._submit(command, lambda: None)

    def _submit(self, command: object, on_committed: Callable[[], None]) -> None:
        """Propose a command, one at a time."""
        if self._is_proposing:
            return
        self._is_proposing = True

        def on_done(is_committed: bool) -> None:
            self._is_proposing = False
            if self._is_closed:
                return
            if is_committed:
                on_committed()
                self._advance()
            else:
                self._loop.call_later(PROPOSE_RETRY_S, self._advance)

        self._propose(pack(command), on_done)

    def _start(self) -> None:
        """Start to grant tokens; the record of this owner is the newest."""
        owners = self._state.limit_owners
        earlier, own = owners.unsettled[:-1], owners.unsettled[-1]
        is_first = self._is_first and own.number == 1
        # The first owner of this software does not know which routers have grants of
        # owners of earlier software, nor does the next one until the first is settled.
        is_known = own.number > 1 and all(owner.number > 1 for owner in earlier)
        self._number, self._started_at = own.number, boot_time()
        self._takeover = Takeover(
            own.share,
            dict(owners.routers) if is_known else {} if is_first else None,
            self._started_at,
            FLEET_QUOTA.owner_lifetime_s,
        )
        self._owner = QuotaOwner(
            FLEET_QUOTA,
            OWNER_TERM_BASE + own.number,
            self._started_at,
            takeover=self._takeover,
        )
        self._log.info(
            "limits_taken_over",
            owner=own.number,
            share=round(own.share, 4),
            earlier=",".join(f"{o.number}:{o.share:.4f}" for o in earlier) or "none",
            awaits=len(self._takeover.unjoined) if is_known or is_first else "unknown",
        )
        self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        """Propose the records that become due with time."""
        if self._is_closed:
            return
        self._loop.call_later(CHECK_INTERVAL_S, self._check)
        if self._is_active():
            self._check_settled(boot_time())
            command = self._routers.changes(boot_time(), self._started_at)
            if command is not None:
                self._submit(command, lambda: None)

    def _check_settled(self, now: float) -> None:
        """Give the headroom back once no earlier grant needs it any more."""
        unsettled = self._state.limit_owners.unsettled
        if self._is_proposing or all(o.number > self._number for o in unsettled):
            return
        if not self._takeover.is_headroom_free(now, self._window_s):
            return
        is_reported = self._takeover.settled_at is not None
        took_s = now - self._started_at

        def on_committed() -> None:
            self._log.info(
                "limits_settled",
                owner=self._number,
                reason="reports" if is_reported else "expired",
                took_s=round(took_s, 3),
                unjoined=",".join(sorted(self._takeover.unjoined)),
                restarted=",".join(sorted(self._takeover.restarted)),
            )

        self._submit(SettleLimits(self._number), on_committed)
