"""Outlier ejection of a target after consecutive failures, and probes of the target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from berylnotch.membership.settings import MembershipSettings


@define
class Ejection:
    """Failure count and ejection state of one target.

    After a number of consecutive failures the target is ejected for some time. Then
    one request probes it. A successful probe ends the ejection, a failed one starts
    another ejection of twice the length, up to a maximum.

    Parameters
    ----------
    settings : MembershipSettings
        Ejection limits.
    failures : int
        Number of consecutive failures.
    ejected_at : float
        Time in seconds at which the latest ejection began.
    probe_allowed_at : float
        Time in seconds from which the target may be probed.
    duration_s : float
        Length of the latest ejection in seconds, 0 if the target is not ejected.
    probe_number : int
        Number of the request that probes the target, 0 if none does.
    has_other_failure : bool
        Whether one of the consecutive failures was something else than a late answer.
    """

    settings: MembershipSettings
    failures: int = 0
    ejected_at: float = 0.0
    probe_allowed_at: float = 0.0
    duration_s: float = 0.0
    probe_number: int = 0
    has_other_failure: bool = False

    @property
    def is_ejected(self) -> bool:
        """Whether the target was ejected and no probe has succeeded since."""
        return self.duration_s > 0.0

    @property
    def is_for_late_answers(self) -> bool:
        """Whether the target is ejected only because its answers were late."""
        return self.is_ejected and not self.has_other_failure

    def is_blocked(self, now: float) -> bool:
        """Tell whether the target must not get a request now."""
        return self.is_ejected and (
            now < self.probe_allowed_at or self.probe_number != 0
        )

    def on_sent(self, now: float, request_number: int) -> None:
        """Record a sent request; the first one after the ejection time is the probe."""
        if self.is_ejected and now >= self.probe_allowed_at and not self.probe_number:
            self.probe_number = request_number

    def on_success(self, request_number: int, sent_at: float) -> None:
        """Reset the failures, unless the request was sent before the ejection.

        Such a request does not show that the target has recovered.
        """
        if self.is_ejected and sent_at < self.ejected_at:
            return
        self.clear()

    def on_failure(
        self, now: float, request_number: int, is_late: bool = False
    ) -> None:
        """Count a failure; eject the target at the limit or after a failed probe.

        Parameters
        ----------
        now : float
            Time in seconds.
        request_number : int
            Number of the failed request.
        is_late : bool, default=False
            Whether the answer was late, and did not fail in another way.
        """
        self.failures += 1
        self.has_other_failure |= not is_late
        is_probe = self.probe_number == request_number
        if is_probe:
            self.probe_number = 0
        is_ejection_due = (
            not self.is_ejected and self.failures >= self.settings.eject_after
        )
        if not (is_probe or is_ejection_due):
            return
        next_duration_s = 2.0 * self.duration_s or self.settings.eject_s
        self.duration_s = min(next_duration_s, self.settings.eject_max_s)
        self.ejected_at = now
        self.probe_allowed_at = now + self.duration_s

    def on_abandoned(self, request_number: int) -> None:
        """Record the end of a request that is neither a success nor a failure."""
        if self.probe_number == request_number:
            self.probe_number = 0

    def clear(self) -> None:
        """Reset the failures and end the ejection."""
        self.failures = 0
        self.duration_s = 0.0
        self.probe_number = 0
        self.has_other_failure = False
