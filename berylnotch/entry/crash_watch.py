"""Router's view of requests that crash targets: own losses, and causes to refuse."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

from berylnotch.group.messages import CompletionNotice, CrashesUpdate, CrashMark
from berylnotch.membership.crash_causes import Cause, CrashCauses
from berylnotch.membership.settings import MembershipSettings

#: Number of crash marks from which a report gets no further run. A target may have run
#: dozens of requests with dozens of parts each.
MAX_REPORTED_MARKS = 512

#: Largest number of marks that wait for later reports.
MAX_UNREPORTED_MARKS = 16384

#: Identities of a request, and the target and the time of its loss.
_LostRun = tuple[frozenset[bytes], str, float]


class CrashWatch:
    """Losses that this router reports, and causes of crashes that it refuses.

    The leader finds causes in the reports of all routers. While there is no leader,
    the router also finds causes in its own losses.

    Parameters
    ----------
    settings : MembershipSettings
        Limit of losses, retention time and largest number of suspects.
    has_leader : callable
        Returns whether a leader receives the reports.
    """

    def __init__(
        self, settings: MembershipSettings, has_leader: Callable[[], bool]
    ) -> None:
        self._own = CrashCauses(settings)
        self._has_leader = has_leader
        self._refused: frozenset[Cause] = frozenset()
        #: Identities of which the leader has to know the completions.
        self._watched: frozenset[bytes] = frozenset()
        #: Identities, target and time of the lost runs for the next report.
        self._unreported: OrderedDict[_LostRun, None] = OrderedDict()
        self._completions: dict[bytes, float] = {}

    @property
    def refused(self) -> frozenset[Cause]:
        """Causes that the leader found."""
        return self._refused

    def is_refused(self, now: float, identities: frozenset[bytes]) -> bool:
        """Return whether a request with these identities must not reach a target."""
        if any(cause <= identities for cause in self._refused):
            return True
        return not self._has_leader() and self._own.has_cause(now, identities)

    def record_loss(
        self, now: float, target_id: str, lost_at: float, identities: Iterable[bytes]
    ) -> None:
        """Record that a target ended while it ran a request, for the next report."""
        identities = frozenset(identities)
        self._own.record_loss(now, identities, target_id, lost_at)
        self._unreported[identities, target_id, lost_at] = None
        self._limit_unreported()

    def record_completion(self, now: float, identities: Iterable[bytes]) -> bool:
        """Record that a target wrote an answer to a request with these identities.

        Returns
        -------
        bool
            Whether the leader should learn of it soon.
        """
        is_watched = False
        for identity in identities:
            self._own.record_completion(identity, now)
            if identity in self._watched:
                self._completions[identity] = now
                is_watched = True
        return is_watched

    def apply(self, update: CrashesUpdate) -> bool:
        """Apply the leader's suspects and causes.

        Returns
        -------
        bool
            Whether the leader should soon learn of earlier completions.
        """
        self._refused = frozenset(frozenset(cause) for cause in update.refused)
        watched = set(update.suspects).union(*self._refused)
        for identity in watched - self._watched:
            completed_at = self._own.completed_at(identity)
            if completed_at is not None:
                self._completions[identity] = completed_at
        self._watched = frozenset(watched)
        return bool(self._completions)

    def report_all(self) -> None:
        """Include all losses in the next report, since a new link was opened.

        A leader keeps losses in memory only, and a report is lost if there is no leader
        or if its link closes.
        """
        self._unreported = OrderedDict.fromkeys(self._own.lost_runs())
        for identity in self._watched:
            completed_at = self._own.completed_at(identity)
            if completed_at is not None:
                self._completions[identity] = completed_at
        self._limit_unreported()

    def take_marks(self, now: float) -> tuple[CrashMark, ...]:
        """Return the losses for the next report: the newest, if there are many.

        The others follow with later reports.
        """
        runs: list[_LostRun] = []
        count = 0
        while self._unreported and count < MAX_REPORTED_MARKS:
            run, _ = self._unreported.popitem()
            runs.insert(0, run)
            count += len(run[0])
        return tuple(
            CrashMark(identity, target_id, _milliseconds(now - lost_at), number)
            for number, (identities, target_id, lost_at) in enumerate(runs, start=1)
            for identity in sorted(identities)
        )

    def take_completions(self, now: float) -> tuple[CompletionNotice, ...]:
        """Return the completions for the next report."""
        completions, self._completions = self._completions, {}
        return tuple(
            CompletionNotice(identity, _milliseconds(now - completed_at))
            for identity, completed_at in completions.items()
        )

    def _limit_unreported(self) -> None:
        count = sum(len(identities) for identities, _, _ in self._unreported)
        while count > MAX_UNREPORTED_MARKS and len(self._unreported) > 1:
            (identities, _, _), _ = self._unreported.popitem(last=False)
            count -= len(identities)


def _milliseconds(seconds: float) -> int:
    return max(0, round(seconds * 1000))
