"""Whether a target may get new work, merged from all who tell."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from berylnotch.control.commands import LifeState

if TYPE_CHECKING:
    from berylnotch.control.events import LifeStateChanged

#: Earlier incarnations of a target that are remembered.
MAX_ENDED = 16


class TargetLifecycle:
    """One target's incarnations and its own signals, as a router saw them.

    A target may get new work unless one of these says otherwise:

    - the operator drained it, whatever its incarnation;
    - it said itself that it leaves; this holds for as long as the incarnation
      runs, also if the platform's list says live afterwards;
    - the platform's list says that it leaves or is lost, unless that report is
      about an incarnation which this router saw replaced.
    """

    def __init__(self) -> None:
        self._incarnation = ""
        self._is_leaving = False
        self._ended: OrderedDict[str, None] = OrderedDict()

    @property
    def incarnation(self) -> str:
        """Newest incarnation that was seen; empty before the first."""
        return self._incarnation

    def observe(self, incarnation: str, leaving: bool) -> bool:
        """Take the target's own signal.

        Returns
        -------
        bool
            Whether it came from a new incarnation; a signal of an ended one is
            late and ignored.
        """
        if not incarnation or incarnation in self._ended:
            return False
        is_new = incarnation != self._incarnation
        if is_new:
            self._end(self._incarnation)
            self._incarnation = incarnation
            self._is_leaving = False
        self._is_leaving = self._is_leaving or leaving
        return is_new

    def is_ended(self, incarnation: str) -> bool:
        """Tell whether an incarnation was seen replaced."""
        return incarnation in self._ended

    def may_work(self, drained: bool, listed: LifeStateChanged | None) -> bool:
        """Tell whether the target may get new work.

        Parameters
        ----------
        drained : bool
            Whether an operator drained it.
        listed : LifeStateChanged, optional
            Newest report of the platform's list.
        """
        if drained or self._is_leaving:
            return False
        if listed is None or listed.state is LifeState.LIVE:
            return True
        return bool(listed.incarnation) and self.is_ended(listed.incarnation)

    def _end(self, incarnation: str) -> None:
        if not incarnation:
            return
        self._ended[incarnation] = None
        while len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)
