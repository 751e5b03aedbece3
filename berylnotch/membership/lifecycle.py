"""Decision whether a target may get new work, based on all sources of its state."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from berylnotch.control.commands import LifeState

if TYPE_CHECKING:
    from berylnotch.control.events import LifeStateChanged

#: Largest number of replaced incarnations of a target that are kept.
MAX_REPLACED_INCARNATIONS = 16


class TargetLifecycle:
    """Incarnations and signals of one target, as one router observed them.

    A target may get new work unless one of these conditions holds:

    - An operator drains the target, regardless of its incarnation.
    - The target itself signalled that it is leaving. This holds until its
      incarnation is replaced, even if the platform's list reports it as live later.
    - The platform's list reports the target as leaving or lost, unless the report
      names an incarnation that this router has already seen replaced.
    """

    def __init__(self) -> None:
        self._incarnation = ""
        self._is_leaving = False
        self._replaced: OrderedDict[str, None] = OrderedDict()

    @property
    def incarnation(self) -> str:
        """Newest observed incarnation; empty before the first signal."""
        return self._incarnation

    def observe(self, incarnation: str, leaving: bool) -> bool:
        """Process a signal from the target itself.

        Returns
        -------
        bool
            Whether the signal came from a new incarnation. A late signal from a
            replaced incarnation is ignored.
        """
        if not incarnation or incarnation in self._replaced:
            return False
        is_new = incarnation != self._incarnation
        if is_new:
            self._add_replaced(self._incarnation)
            self._incarnation = incarnation
            self._is_leaving = False
        self._is_leaving = self._is_leaving or leaving
        return is_new

    def is_replaced(self, incarnation: str) -> bool:
        """Tell whether an incarnation was replaced by another one."""
        return incarnation in self._replaced

    def can_take_work(
        self, is_drained: bool, platform_report: LifeStateChanged | None
    ) -> bool:
        """Tell whether the target may get new work.

        Parameters
        ----------
        is_drained : bool
            Whether an operator drains the target.
        platform_report : LifeStateChanged, optional
            Newest report of the platform's list.
        """
        if is_drained or self._is_leaving:
            return False
        if platform_report is None or platform_report.state is LifeState.LIVE:
            return True
        return bool(platform_report.incarnation) and self.is_replaced(
            platform_report.incarnation
        )

    def _add_replaced(self, incarnation: str) -> None:
        if not incarnation:
            return
        self._replaced[incarnation] = None
        while len(self._replaced) > MAX_REPLACED_INCARNATIONS:
            self._replaced.popitem(last=False)
