"""One rollout at one router: its policy, its credit and what was sent."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field

from berylnotch.entry.rollout_evidence import RolloutEvidence
from berylnotch.entry.targets import Target
from berylnotch.group.rollouts import RolloutPhase, RolloutPolicy, RolloutReport
from berylnotch.placement.mixing import rendezvous_weight

#: Lowest credit of a router. A stream that breaks at the candidate right after it was
#: sent there can be resumed once at the expense of later requests. With a lower bound
#: of -1, the attempts of a router exceed the share by less than 2 for each of its
#: starts.
MIN_CREDIT = -1.0

#: Highest credit of a router, so that candidate engines that could not take requests
#: for a while get no burst afterwards.
MAX_CREDIT = 2.0

#: Seconds for which the report on a rollout is sent after its end. The leader learns
#: the last counts by then, and rollouts of the past take no control traffic.
ENDED_REPORT_S = 10.0


@define(eq=False)
class Rollout:
    """One rollout at one router.

    Parameters
    ----------
    policy : RolloutPolicy
        Newest policy of the rollout.
    credit : float
        Number of attempts that may be sent to the candidate while observing. It begins
        at a random number in [0, 1), so that the sum over many routers follows the
        share from the first requests on.
    banned_versions : frozenset of str
        Versions that earlier rollouts rolled back. Their engines are listed for some
        seconds more, and the next rollout may begin in this time.
    evidence : RolloutEvidence
        Responses of the engines of the service.
    requests : int
        Number of attempts that were sent to any engine of the service.
    exposed : int
        Number of attempts that were sent to the candidate.
    ended_at : float or None
        Boot time at which the end of the rollout was applied, None while it is active.
    held_elsewhere : set of object
        Requests that have not ended and were last sent to another version. A stream
        among them may go on there although no attempt is in flight at present.
    step_share : float
        Share of the last step, 0 before the first one.
    answers_before_step : int
        Number of the candidate's responses before that step.
    """

    policy: RolloutPolicy
    credit: float
    banned_versions: frozenset[str] = frozenset()
    evidence: RolloutEvidence = field(factory=RolloutEvidence)
    requests: int = 0
    exposed: int = 0
    ended_at: float | None = None
    held_elsewhere: set[object] = field(factory=set)
    step_share: float = 0.0
    answers_before_step: int = 0
    _ranked: list[Target] | None = None

    def is_candidate(self, target: Target) -> bool:
        """Return whether a target runs the candidate version."""
        return target.listed.software_version == self.policy.version

    def is_successor(self, target: Target) -> bool:
        """Return whether a target may be used after the rollout has been completed.

        Engines that started after the order take over from the candidate in the course
        of time. Without them, only the remaining engines of the candidate would serve.
        """
        is_later = target.listed.born_ms > self.policy.started_ms > 0
        return self.is_candidate(target) or (is_later and not self.is_banned(target))

    def is_other(self, target: Target) -> bool:
        """Return whether a target runs a version from which the rollout leads away."""
        version = target.listed.software_version
        return version != self.policy.version and version not in self.banned_versions

    def is_banned(self, target: Target) -> bool:
        """Return whether a target runs a version that was rolled back earlier."""
        return target.listed.software_version in self.banned_versions

    def ranked_candidates(self, targets: Iterable[Target]) -> list[Target]:
        """Return the candidate engines in an order that all routers share.

        ``targets`` are the targets of the service. The order is computed anew after
        each update of the targets.
        """
        if self._ranked is None:
            key = f"{self.policy.service}/{self.policy.number}"
            self._ranked = sorted(
                filter(self.is_candidate, targets),
                key=lambda target: rendezvous_weight(target.target_id, key),
            )
        return self._ranked

    def on_targets_changed(self) -> None:
        """Drop what was computed from the earlier targets."""
        self._ranked = None

    def covers(self, is_new: bool) -> bool:
        """Return whether a request goes to the candidate while observing.

        Parameters
        ----------
        is_new : bool
            Whether the request has not been sent before.
        """
        return is_new and self.credit + self.policy.share >= 1.0

    def covers_continuation(self, is_new: bool) -> bool:
        """Return whether a request that needs the candidate's version may go there."""
        earned = self.policy.share if is_new else 0.0
        return self.credit + earned - 1.0 >= MIN_CREDIT

    def follow(self, policy: RolloutPolicy) -> None:
        """Carry out a newer policy of this rollout."""
        if policy.is_step and not self.policy.is_step:
            self.step_share = policy.share
            self.answers_before_step = self.evidence.candidate_answers
        self.policy = policy

    def on_sent(self, target: Target, earns: bool) -> bool:
        """Record an attempt; return whether it is sent to the candidate.

        Parameters
        ----------
        target : Target
            Target of the attempt.
        earns : bool
            Whether the request was not sent before and might have used the candidate.
        """
        self.requests += 1
        is_exposed = self.is_candidate(target)
        self.exposed += is_exposed
        if self.policy.phase is RolloutPhase.OBSERVING:
            earned = self.policy.share if earns else 0.0
            self.credit = min(MAX_CREDIT, self.credit + earned) - is_exposed
        return is_exposed

    def report(
        self, now: float, targets: Iterable[Target], is_whole: bool
    ) -> RolloutReport | None:
        """Return the report to the leader, None some time after the rollout's end.

        ``targets`` are those of the service. Without ``is_whole``, the report has only
        the rows that changed.
        """
        policy = self.policy
        if self.ended_at is not None and now - self.ended_at > ENDED_REPORT_S:
            return None
        in_flight = sum(t.in_flight for t in targets if not self.is_candidate(t))
        return RolloutReport(
            policy.service,
            policy.number,
            policy.phase,
            self.requests,
            self.exposed,
            max(in_flight, len(self.held_elsewhere)),
            self.evidence.take_rows(is_whole) if policy.phase.is_active else (),
            policy.is_closing,
            policy.is_stopped,
            self.step_share,
            self.evidence.candidate_answers - self.answers_before_step
            if self.step_share
            else 0,
        )
