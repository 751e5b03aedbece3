"""What the outcome of one attempt says about its target."""

from __future__ import annotations

from berylnotch.entry.context import EntryContext
from berylnotch.entry.targets import Target
from berylnotch.util.clock import boot_time


class TargetOutcome:
    """Records the outcome of one attempt with the target's outlier ejection.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    target : Target
        Target of the attempt.
    request_id : str
        Identity of the request, for the log.
    """

    def __init__(self, context: EntryContext, target: Target, request_id: str) -> None:
        self._context = context
        self._target = target
        self._request_id = request_id
        self._attempt_id = id(self)
        self._sent_at = 0.0

    def on_sent(self, now: float) -> None:
        """Record that the request is sent."""
        self._sent_at = now
        self._target.ejection.on_sent(now, self._attempt_id)

    def on_abandoned(self) -> None:
        """Record that the attempt says nothing about the target.

        A probe whose outcome was not counted must not keep the target blocked.
        """
        self._target.ejection.on_abandoned(self._attempt_id)

    def on_silence(self, now: float, last_event_at: float) -> None:
        """Record that the target is left, unless it answers other requests.

        ``last_event_at`` is the boot time of the attempt's last event, 0 without one.
        """
        if self._target.heard_at <= max(self._sent_at, last_event_at):
            self._target.left_silent_at = now

    def on_failure(self, now: float, is_late: bool) -> None:
        """Count a failure of the target, and log it if the target is ejected for it."""
        target, ejection = self._target, self._target.ejection
        previous_ejection_at = ejection.ejected_at
        ejection.on_failure(now, self._attempt_id, is_late)
        target.note_outcome(has_failed=True)
        if ejection.ejected_at != previous_ejection_at:
            self._context.log.warning(
                "target_ejected",
                target=target.target_id,
                id=self._request_id,
                failures=ejection.failures,
                is_late_only=ejection.is_for_late_answers,
                duration_s=ejection.duration_s,
                heard_age_s=now - target.heard_at if target.heard_at else None,
                load=target.load,
            )

    def on_success(self) -> None:
        """Count a success of the target, and log it if that ends its ejection."""
        ejection = self._target.ejection
        was_ejected = ejection.is_ejected
        ejection.on_success(self._attempt_id, self._sent_at)
        if was_ejected and not ejection.is_ejected:
            self._context.log.info(
                "target_readmitted",
                target=self._target.target_id,
                id=self._request_id,
                after_s=boot_time() - ejection.ejected_at,
            )
