"""Ejection of a target after failures, and probing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from berylnotch.membership.settings import MembershipSettings


@define
class Ejection:
    """Failures of one target.

    After a number of failures in a row the target is left out for a while.
    Then one request probes it: success brings it back, failure doubles the
    time.
    """

    settings: MembershipSettings
    failures: int = 0
    since: float = 0.0
    until: float = 0.0
    pause_s: float = 0.0
    probe: int = 0

    @property
    def is_out(self) -> bool:
        """Whether it was ejected and no probe succeeded since."""
        return self.pause_s > 0.0

    def blocks(self, now: float) -> bool:
        """Tell whether the target is left out now."""
        return self.is_out and (now < self.until or self.probe != 0)

    def sent(self, now: float, number: int) -> None:
        """Note a request; the first one after the pause is the probe."""
        if self.is_out and now >= self.until and not self.probe:
            self.probe = number

    def succeeded(self, number: int, sent_at: float) -> None:
        """Count a success; one from before the ejection proves nothing."""
        if self.is_out and sent_at < self.since:
            return
        self.clear()

    def failed(self, now: float, number: int) -> None:
        """Count a failure."""
        self.failures += 1
        is_probe = self.probe == number
        if is_probe:
            self.probe = 0
        is_due = not self.is_out and self.failures >= self.settings.eject_after
        if not (is_probe or is_due):
            return
        doubled = 2.0 * self.pause_s or self.settings.eject_s
        self.pause_s = min(doubled, self.settings.eject_max_s)
        self.since = now
        self.until = now + self.pause_s

    def abandoned(self, number: int) -> None:
        """Note that a request ended without telling anything."""
        if self.probe == number:
            self.probe = 0

    def clear(self) -> None:
        """Forget all failures, as for a new process."""
        self.failures = 0
        self.pause_s = 0.0
        self.probe = 0
