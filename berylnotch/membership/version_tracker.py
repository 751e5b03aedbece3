"""Decision which software versions streams of a service may have begun at."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from berylnotch.membership.listing import ListedTarget
from berylnotch.membership.stream_versions import UNKNOWN_VERSION

#: Longest time in seconds between two readings of the target list in which a version
#: counts as absent all the time.
MAX_LIST_GAP_S = 5.0

#: Software versions of each service.
Versions = Mapping[str, frozenset[str]]


class VersionTracker:
    """Follows the software versions in the target list during one term of a leader.

    Parameters
    ----------
    has_unlisted : bool
        Whether the services of the first list may have had versions that no leader
        listed. Streams without a record are then unknown for as long as one may last.
    """

    def __init__(self, has_unlisted: bool) -> None:
        self._is_first_reading = has_unlisted
        #: Services in which an unknown version has to be listed.
        self._unknown: set[str] = set()
        self._present: dict[str, set[str]] = {}
        #: Versions that have no target, with the time of the first list without one.
        self._absent_since: dict[tuple[str, str], float] = {}
        self._listed_at = float("-inf")

    def add(self, targets: Iterable[ListedTarget]) -> None:
        """Add the targets of a part of the list."""
        for target in targets:
            self._mark_present(target.service, target.software_version)

    def replace(
        self, now: float, targets: Iterable[ListedTarget], listed: Versions
    ) -> None:
        """Follow a complete list.

        Parameters
        ----------
        now : float
            Boot time in seconds.
        targets : iterable of ListedTarget
            All targets.
        listed : mapping
            Versions of each service in the replicated state.
        """
        if now - self._listed_at > MAX_LIST_GAP_S:
            self._absent_since.clear()
        self._listed_at = now
        self._present.clear()
        self.add(targets)
        self._is_first_reading = False
        absent = {
            (service, version)
            for service, versions in listed.items()
            for version in versions - self._present.get(service, set())
        }
        self._absent_since = {key: self._absent_since.get(key, now) for key in absent}

    def mark_unknown(self, service: str) -> None:
        """Let streams without a record be unknown, as for a target without a version.

        This holds for as long as a stream may last.
        """
        self._unknown.add(service)
        self._absent_since.pop((service, UNKNOWN_VERSION), None)

    def changes(
        self, now: float, listed: Versions, lifetime_s: float
    ) -> dict[str, frozenset[str]]:
        """Return the versions of the services whose listed versions have to change.

        A version leaves if it had no target for as long as a stream may last.
        """
        changes = {}
        for service in listed.keys() | self._present.keys():
            versions = listed.get(service, frozenset())
            present = set(self._present.get(service, ()))
            if UNKNOWN_VERSION in versions:
                self._unknown.discard(service)
            elif service in self._unknown:
                present.add(UNKNOWN_VERSION)
            expired = {
                version
                for version in versions - present
                if now - self._absent_since.get((service, version), now) >= lifetime_s
            }
            wanted = (versions | present) - expired
            if wanted != versions:
                changes[service] = wanted
        return changes

    def _mark_present(self, service: str, version: str) -> None:
        self._present.setdefault(service, set()).add(version)
        if self._is_first_reading:
            self._unknown.add(service)
        self._absent_since.pop((service, version), None)
