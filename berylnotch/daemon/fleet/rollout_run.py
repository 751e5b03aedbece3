"""What the leader knows of one active rollout, and its log lines."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from berylnotch.daemon.fleet.rollout_routers import RolloutRouters
from berylnotch.group.commands import MoveRollout
from berylnotch.group.rollouts import RolloutPhase, RolloutPolicy, ServiceRollout
from berylnotch.membership.rollout_judge import Assessment, Verdict
from berylnotch.membership.rollout_plan import TAKE_OVER_S, Move, Plan
from berylnotch.membership.rollout_sums import RolloutSums
from berylnotch.transport.packing import pack
from berylnotch.util.lines import EventLog

#: Relative change of the observing share that is sent to routers; the measured rate of
#: requests changes a little all the time.
MIN_SHARE_CHANGE = 0.1

_NEXT_PHASES = {
    Move.SHIFT: RolloutPhase.SHIFTING,
    Move.COMPLETE: RolloutPhase.COMPLETED,
    Move.ROLL_BACK: RolloutPhase.ROLLED_BACK,
}


@frozen
class RolloutStatus:
    """State of a rollout for the metrics."""

    rollout: ServiceRollout
    share: float = 0.0
    exposed: int = 0
    failures: int = 0


class RolloutRun:
    """Evidence, share and next phase of an active rollout at one leader.

    Parameters
    ----------
    rollout : ServiceRollout
        Rollout as it is replicated.
    now : float
        Boot time in seconds.
    elapsed_s : float
        Seconds since the order.
    recent_s : float
        Number of seconds of evidence that count as recent.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        rollout: ServiceRollout,
        now: float,
        elapsed_s: float,
        recent_s: float,
        log: EventLog,
    ) -> None:
        self._rollout = rollout
        self._log = log
        self.began_at = now
        self.sums = RolloutSums(now, recent_s)
        is_taken_over = elapsed_s > TAKE_OVER_S
        known_from = now + TAKE_OVER_S if is_taken_over else now
        self.routers = RolloutRouters(rollout.number, known_from)
        self.raised_share = 0.0
        self.raised_at = now
        self.shifted_at = now
        self.assessment = Assessment(Verdict.UNDECIDED, "no evidence yet")
        self.was_good = False
        #: Whether an earlier leader decided the rollback.
        self.is_stopped_before = False
        self.allowance_left = 0.0
        #: Phase that is to be proposed, and its reason.
        self.next_phase: RolloutPhase | None = None
        self.next_reason = ""
        #: Phase that is proposed and whose commit is not known yet.
        self._proposed_phase: RolloutPhase | None = None
        self._share, self._engines = 0.0, 0
        self._is_closing = False
        #: Phase in which the rollback was decided. A shift that was proposed before may
        #: still be committed; routers do not get it.
        self._stopped_in: RolloutPhase | None = None
        log.info(
            "rollout_started",
            service=rollout.service,
            version=rollout.version,
            number=rollout.number,
            phase=rollout.phase.value,
            duration_s=rollout.duration_s,
            elapsed_s=elapsed_s,
        )

    @property
    def rollout(self) -> ServiceRollout:
        """The rollout as it is replicated."""
        return self._rollout

    @property
    def is_stopped(self) -> bool:
        """Whether the rollback is decided; later evidence does not change that."""
        return self._stopped_in is not None

    @property
    def is_completing(self) -> bool:
        """Whether the completion is proposed, and may be committed at any time.

        The platform stops the old engines then, so routers must not be sent back there.
        """
        return self._proposed_phase is RolloutPhase.COMPLETED

    @property
    def policy(self) -> RolloutPolicy:
        """What routers do."""
        rollout = self._rollout
        phase = self._stopped_in or rollout.phase
        is_observing = phase is RolloutPhase.OBSERVING
        is_shifting = phase is RolloutPhase.SHIFTING and not self.is_stopped
        return RolloutPolicy(
            rollout.service,
            rollout.version,
            rollout.number,
            phase,
            self._share if is_observing else float(is_shifting),
            self._engines if is_observing else 0,
            rollout.started_ms,
            is_shifting and self._is_closing,
            self.is_stopped,
            is_observing and self.raised_share > 0,
        )

    @property
    def status(self) -> RolloutStatus:
        """State for the metrics."""
        return RolloutStatus(
            self._rollout, self.policy.share, self.sums.exposed, self.sums.failures
        )

    def apply(self, now: float, elapsed_s: float, plan: Plan) -> None:
        """Take over a plan; its phase has still to be proposed."""
        self.next_phase = _NEXT_PHASES.get(plan.move)
        self.next_reason = plan.reason
        self._is_closing |= plan.is_closing
        if plan.move is Move.ROLL_BACK:
            self._stopped_in = self._rollout.phase
        if self._rollout.phase is not RolloutPhase.OBSERVING or plan.move is Move.SHIFT:
            # The share stays until a shift is committed.
            return
        if plan.is_raise:
            self.raised_share, self.raised_at = plan.share, now
            self.sums.mark(now)
        was = self._share
        if abs(plan.share - was) > MIN_SHARE_CHANGE * was or not plan.share:
            self._share = plan.share
        self._engines = plan.engines
        if self._share != was:
            self._log_step(self._rollout.phase, was, elapsed_s, plan.reason)

    def submit(self, propose: Callable[[bytes, Callable[[bool], None]], None]) -> None:
        """Propose the phase that is due; repeated until it is applied."""
        if self.next_phase is None or self._proposed_phase is not None:
            return
        self._proposed_phase = self.next_phase

        def on_done(_is_committed: bool) -> None:
            self._proposed_phase = None

        service, number = self._rollout.service, self._rollout.number
        command = MoveRollout(service, number, self.next_phase, self.next_reason)
        propose(pack(command), on_done)

    def follow(self, now: float, rollout: ServiceRollout, elapsed_s: float) -> None:
        """Follow the replicated phase; ``now`` is the boot time in seconds."""
        was, self._rollout = self._rollout.phase, rollout
        if was is not rollout.phase:
            self.shifted_at = now
            self._log_step(was, self._share, elapsed_s, rollout.reason)
        if not rollout.phase.is_active:
            self._stopped_in = None
            self._log.info(
                "rollout_ended",
                **self._counts(elapsed_s),
                version=rollout.version,
                phase=rollout.phase.value,
                reason=rollout.reason,
            )

    def _log_step(
        self, phase: RolloutPhase, share: float, elapsed_s: float, reason: str
    ) -> None:
        self._log.info(
            "rollout_step",
            **self._counts(elapsed_s),
            phase_from=phase.value,
            phase_to=self._rollout.phase.value,
            share_from=share,
            share_to=self.policy.share,
            engines=self.policy.engines,
            allowance_left=self.allowance_left,
            verdict=self.assessment.verdict.value,
            reason=reason,
        )

    def _counts(self, elapsed_s: float) -> dict[str, object]:
        return {
            "service": self._rollout.service,
            "number": self._rollout.number,
            "elapsed_s": elapsed_s,
            "requests": self.sums.requests,
            "exposed": self.sums.exposed,
            "answers": self.sums.answers,
            "failures": self.sums.failures,
        }
