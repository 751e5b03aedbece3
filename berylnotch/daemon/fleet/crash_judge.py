"""Leader's decisions on the causes of crashes that all routers refuse."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from berylnotch.group.commands import AllowCause, RefuseCause
from berylnotch.group.messages import CrashesUpdate, RouterReport
from berylnotch.group.state import FleetState
from berylnotch.membership.crash_causes import (
    Cause,
    CrashCauses,
    describe_identities,
)
from berylnotch.membership.settings import MembershipSettings
from berylnotch.transport.packing import pack
from berylnotch.util.clock import boot_time
from berylnotch.util.coalesced_action import CoalescedAction
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Seconds from the naming of a suspect to a decision on it, in which routers report
#: completions. Updates and reports of a fleet of 200 routers take half of it.
SETTLE_S = 0.5

#: Largest number of suspects that the routers get. A loss of all engines makes suspects
#: of all that ran there; an update then has about half of the 6 KB that a node's
#: control may take in a second.
MAX_SUSPECTS = 128

#: Seconds for which reports are collected before causes are looked for.
DECISION_DELAY_S = 0.05

#: Seconds after which requests with a cause may run again, in case that the cause was
#: mended or wrong. One more crash then suffices to refuse them again.
REFUSAL_S = 300.0


class CrashJudge:
    """Finds the causes of crashes in the reports of all routers.

    Causes are part of the replicated state, so that they outlast the leader and a
    restart of all processes. The losses and completions are in memory only.

    Parameters
    ----------
    settings : MembershipSettings
        Limit of losses, retention time and largest number of suspects.
    loop : Loop
        Event loop that runs all callbacks.
    state : FleetState
        Replicated state with the refused causes.
    propose : callable
        Proposes a command, and calls back with whether it was committed.
    on_changed : callable
        Called when routers lack an update.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        loop: Loop,
        state: FleetState,
        propose: Callable[[bytes, Callable[[bool], None]], None],
        on_changed: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._causes = CrashCauses(settings)
        self._loop = loop
        self._state = state
        self._propose = propose
        self._on_changed = on_changed
        self._log = log
        #: Boot time from which this leader knows each refused cause.
        self._refused_at: dict[Cause, float] = {}
        #: Boot time at which the routers were first told of each suspect.
        self._suspected_at: dict[bytes, float] = {}
        #: Commands that are not committed yet.
        self._proposed: set[RefuseCause | AllowCause] = set()
        self._newest_update = CrashesUpdate()
        self._decisions = CoalescedAction(loop, self._decide, lambda: DECISION_DELAY_S)
        self._is_closed = False

    @property
    def update(self) -> CrashesUpdate:
        """Suspects and causes for all routers."""
        return self._newest_update

    def close(self) -> None:
        """Stop the decisions."""
        self._is_closed = True
        self._decisions.close()

    def on_report(self, report: RouterReport) -> None:
        """Record the losses and completions that a router reports."""
        now = boot_time()
        self._record_completions(
            {n.identity: now - n.age_ms / 1000 for n in report.completed}
        )
        runs: dict[tuple[int, str, int], list[bytes]] = {}
        for mark in report.crashes:
            run = mark.run, mark.target_id, mark.age_ms
            runs.setdefault(run, []).append(mark.fingerprint)
        for (_, target_id, age_ms), identities in runs.items():
            lost_at = now - age_ms / 1000
            self._causes.record_loss(now, identities, target_id, lost_at)
        if report.completed or report.crashes:
            self._decisions.schedule()
            self._push_changes()

    def on_applied(self) -> None:
        """Follow the causes in the newly applied state."""
        now, refused = boot_time(), self._state.refused
        for cause in refused - self._refused_at.keys():
            self._refused_at[cause] = now
            self._loop.call_later(REFUSAL_S, lambda c=cause: self._expire(c))
        for cause in self._refused_at.keys() - refused:
            del self._refused_at[cause]
        self._push_changes()

    def _record_completions(self, completed_at: Mapping[bytes, float]) -> None:
        """Record completions, and remove their identities from the causes.

        All of them narrow a cause at once: one cause for each completion would each
        still have the identities of all others.
        """
        for identity, at in completed_at.items():
            self._causes.record_completion(identity, at)
        for cause, refused_at in tuple(self._refused_at.items()):
            completed = {
                i for i in cause if completed_at.get(i, -math.inf) > refused_at
            }
            is_pending = AllowCause(tuple(sorted(cause))) in self._proposed
            if completed and not is_pending:
                self._replace(cause, cause - completed, "completed")

    def _decide(self) -> None:
        """Refuse the causes that have become known."""
        now = boot_time()
        settled = {i for i, at in self._suspected_at.items() if now >= at + SETTLE_S}
        for refused, at in self._refused_at.items():
            if now >= at + SETTLE_S:
                settled |= refused
        for cause in self._causes.find_causes(now, settled):
            if any(refused <= cause for refused in self._state.refused):
                continue
            self._submit(RefuseCause(tuple(sorted(cause))), "losses")
            for refused in self._state.refused:
                if cause < refused:
                    self._submit(AllowCause(tuple(sorted(refused))), "narrowed")
        self._push_changes()
        if len(settled) < len(self._suspected_at):
            self._decisions.schedule()

    def _replace(self, cause: Cause, remaining: Cause, reason: str) -> None:
        if remaining and not any(r <= remaining for r in self._state.refused):
            self._submit(RefuseCause(tuple(sorted(remaining))), reason)
        self._submit(AllowCause(tuple(sorted(cause))), reason)

    def _expire(self, cause: Cause) -> None:
        refused_at = self._refused_at.get(cause)
        # The cause may have been allowed and refused again in the meantime.
        if self._is_closed or refused_at is None:
            return
        if boot_time() - refused_at >= REFUSAL_S:
            self._causes.release(cause)
            self._submit(AllowCause(tuple(sorted(cause))), "expired")

    def _submit(self, command: RefuseCause | AllowCause, reason: str) -> None:
        if command in self._proposed:
            return
        self._log.warning(
            "cause_refused" if isinstance(command, RefuseCause) else "cause_allowed",
            identities=describe_identities(command.identities),
            targets=",".join(self._causes.lost_targets(command.identities[0])),
            reason=reason,
        )
        self._proposed.add(command)

        def on_done(is_committed: bool) -> None:
            self._proposed.discard(command)
            if not is_committed and not self._is_closed:
                self._decisions.schedule()

        self._propose(pack(command), on_done)

    def _push_changes(self) -> None:
        """Tell the routers of suspects and causes that changed.

        A cause is sent before its command is committed, because each moment may cost
        another target.
        """
        refused = set(self._state.refused)
        refused |= {
            frozenset(c.identities)
            for c in self._proposed
            if isinstance(c, RefuseCause)
        }
        # Routers report the completions of refused identities anyway.
        known = frozenset().union(*refused)
        suspects = self._causes.suspects(MAX_SUSPECTS, known)
        self._follow_suspects(suspects)
        update = CrashesUpdate(
            tuple(sorted(suspects)), tuple(sorted(tuple(sorted(c)) for c in refused))
        )
        if update != self._newest_update:
            self._newest_update = update
            self._on_changed()

    def _follow_suspects(self, suspects: tuple[bytes, ...]) -> None:
        now = boot_time()
        for identity in set(suspects) - self._suspected_at.keys():
            self._log.warning(
                "crash_suspect",
                identity=describe_identities((identity,)),
                targets=",".join(self._causes.lost_targets(identity)),
            )
        self._suspected_at = {i: self._suspected_at.get(i, now) for i in suspects}
