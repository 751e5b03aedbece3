"""Rollouts that a router knows, and the policies that it applies.

The leader decides on a rollout (`berylnotch.group.rollouts`); a router carries the
newest policy out. Which targets one request may use is in
`berylnotch.entry.rollout_choice`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable

from attrs import evolve, frozen

from berylnotch.entry.known_rollout import Rollout
from berylnotch.entry.targets import Target
from berylnotch.group.rollouts import RolloutPhase, RolloutPolicy, RolloutReport

#: Seconds without a message of the leader after which a router acts without it. The
#: leader counts a router as out of contact after about as long.
MAX_LEADER_SILENCE_S = 2.0

#: The same for the share of a step. The leader sends a message every 0.25 s, and the
#: bounds cover the step for 0.8 s longer than it is needed.
MAX_STEP_SILENCE_S = 0.8

#: Seconds after which a report has all rows again, not only the changed ones. A
#: controller that waits for the election of a leader keeps only the newest report of a
#: router, so the rows of the first report on a link may be lost.
WHOLE_ROWS_S = 3.0

#: Order of the phases. A rollout that has ended does not change any more.
_PHASE_ORDER = {
    RolloutPhase.OBSERVING: 0,
    RolloutPhase.SHIFTING: 1,
    RolloutPhase.COMPLETED: 2,
    RolloutPhase.ROLLED_BACK: 2,
}


@frozen
class PolicyChange:
    """Change of a service's policy; ``previous`` or ``current`` is None without one."""

    previous: RolloutPolicy | None
    current: RolloutPolicy | None


class RolloutGate:
    """Rollouts of all services at one router.

    Parameters
    ----------
    draw : callable, optional
        Returns a random number in [0, 1), with which the credit of a rollout begins.
    """

    def __init__(self, draw: Callable[[], float] = random.random) -> None:
        self._draw = draw
        self._rollouts: dict[str, Rollout] = {}
        #: Highest number of a rollout in any message of a leader.
        self._highest_number = 0
        #: Boot time of the last report with all rows on the link to the leader.
        self._whole_rows_at = -math.inf
        #: Returns the boot time of the leader's last message; unset without a leader.
        self.leader_heard_at: Callable[[], float] | None = None

    def of(self, service: str) -> Rollout | None:
        """Return the newest rollout of a service, None if none is known."""
        return self._rollouts.get(service)

    def is_leader_silent(self, now: float, is_step: bool = False) -> bool:
        """Return whether this router has to act without a leader, at once in a step."""
        if self.leader_heard_at is None:
            return False
        limit_s = MAX_STEP_SILENCE_S if is_step else MAX_LEADER_SILENCE_S
        return now - self.leader_heard_at() > limit_s

    def apply(
        self, now: float, policies: Iterable[RolloutPolicy]
    ) -> list[PolicyChange]:
        """Apply the policies of an update, and return what changed.

        Notes
        -----
        Controllers keep the newest rollout of each service, and number rollouts in the
        order of the group's log. An update that lacks the highest number that this
        router knows, or goes back in a rollout, comes from a state before that
        rollout. It says nothing of the rollouts that it lacks: to forget one would send
        a share of the requests to a version of which nothing is known. Any other update
        that lacks a rollout comes from a leader that knows none, and ends it here.
        """
        policies = tuple(policies)
        for rollout in self._rollouts.values():
            rollout.on_targets_changed()
        if not policies and not self._rollouts:
            return []
        highest = max((policy.number for policy in policies), default=0)
        is_older = highest < self._highest_number
        self._highest_number = max(self._highest_number, highest)
        changes = []
        for policy in policies:
            known = self._rollouts.get(policy.service)
            if known is not None and _goes_back(known.policy, policy):
                is_older = True
                continue
            change = self._apply_policy(now, known, policy)
            if change is not None:
                changes.append(change)
        if not is_older:
            services = {policy.service for policy in policies}
            for service in self._rollouts.keys() - services:
                changes.append(PolicyChange(self._rollouts.pop(service).policy, None))
        return changes

    def on_link_open(self) -> None:
        """Let the next report, the first one on a link, have all rows."""
        self._whole_rows_at = -math.inf

    def reports(
        self, now: float, targets_of: Callable[[str], Iterable[Target]]
    ) -> tuple[RolloutReport, ...]:
        """Return the reports on all rollouts; ``targets_of`` returns a service's."""
        is_whole = now - self._whole_rows_at >= WHOLE_ROWS_S
        if is_whole:
            self._whole_rows_at = now
        reports = (
            rollout.report(now, targets_of(service), is_whole)
            for service, rollout in self._rollouts.items()
        )
        return tuple(report for report in reports if report is not None)

    def _apply_policy(
        self, now: float, known: Rollout | None, policy: RolloutPolicy
    ) -> PolicyChange | None:
        previous = known.policy if known is not None else None
        if previous is not None and previous.number == policy.number:
            policy = _keep_stop(previous, policy)
        if previous == policy:
            return None
        if previous is None or previous.number != policy.number:
            banned = _banned_versions(known) - {policy.version}
            known = Rollout(policy, self._draw(), banned)
            self._rollouts[policy.service] = known
        known.follow(policy)
        if not policy.phase.is_active and known.ended_at is None:
            known.ended_at = now
        return PolicyChange(previous, policy)


def _banned_versions(rollout: Rollout | None) -> frozenset[str]:
    """Return the versions that no rollout after this one may use as the old one."""
    if rollout is None:
        return frozenset()
    if rollout.policy.phase is RolloutPhase.ROLLED_BACK:
        return rollout.banned_versions | {rollout.policy.version}
    return rollout.banned_versions


def _keep_stop(known: RolloutPolicy, policy: RolloutPolicy) -> RolloutPolicy:
    """Return a policy that sends nothing to the candidate if the known one is stopped.

    A new leader does not know a decision that the previous one could not commit. It
    learns of it by this router's report.
    """
    if not known.is_stopped or not policy.phase.is_active:
        return policy
    return evolve(policy, share=0.0, engines=0, is_stopped=True)


def _goes_back(known: RolloutPolicy, policy: RolloutPolicy) -> bool:
    """Return whether a policy is older than the one that is known."""
    if policy.number != known.number:
        return policy.number < known.number
    if not known.phase.is_active:
        return policy.phase is not known.phase
    return _PHASE_ORDER[policy.phase] < _PHASE_ORDER[known.phase]
