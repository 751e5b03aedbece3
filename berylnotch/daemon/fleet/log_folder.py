"""Opening of a controller's log folder, and the record of a disk that fails."""

from __future__ import annotations

from attrs import define

from berylnotch.consensus.bootstrap import bootstrap, first_ready
from berylnotch.consensus.messages import Member, Members
from berylnotch.consensus.state import Recovered
from berylnotch.consensus.storage import LogStorage
from berylnotch.errors import StorageError
from berylnotch.settings.fleet import FleetSettings
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog

#: Suffix of the replica id of a controller that bootstraps the group.
FOUNDER_SUFFIX = "first"


def is_founder(settings: FleetSettings) -> bool:
    """Return whether this controller is one of those that bootstrap the group."""
    return settings.founds_group and str(settings.internal) in settings.seed_links


def open_log_folder(
    settings: FleetSettings, keep_entries: int
) -> tuple[LogStorage, Recovered]:
    """Open the log folder of a controller, with the first members if it is a founder.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the process.
    keep_entries : int
        Number of entries to keep before the end of a snapshot.

    Raises
    ------
    StorageError
        If the folder cannot be read or written.
    """
    address = str(settings.internal)
    identity = f"{address}/{FOUNDER_SUFFIX}" if is_founder(settings) else ""
    storage = LogStorage(
        settings.data / "log",
        address,
        keep_entries,
        first_identity=identity,
        checks_copy=False,
    )
    try:
        recovered = storage.start()
        is_empty = not recovered.entries and recovered.snapshot is None
        if identity and recovered.identity == identity and is_empty:
            recovered = bootstrap(recovered, _initial_members(settings.seed_links))
            storage.save(first_ready(recovered))
    except StorageError:
        storage.close()
        raise
    return storage, recovered


def _initial_members(addresses: tuple[str, ...]) -> Members:
    return Members(
        tuple(
            Member(address, f"{address}/{FOUNDER_SUFFIX}", address)
            for address in sorted(addresses)
        )
    )


@define
class _Failure:
    """Failure that lasts: its begin, its newest reason and the attempts since then."""

    since: float
    reason: str = ""
    attempts: int = 0


class DiskFailures:
    """Record and log lines of the failures of a controller's disk.

    Parameters
    ----------
    log : EventLog
        Log of the process.
    retry_s : float
        Interval in seconds between attempts to open the log folder, for the log.
    """

    def __init__(self, log: EventLog, retry_s: float) -> None:
        self._log = log
        self._retry_s = retry_s
        self._failure: _Failure | None = None

    @property
    def is_failing(self) -> bool:
        """Whether the disk failed and the log folder was not opened since."""
        return self._failure is not None

    def on_error(self, error: StorageError) -> None:
        """Record a failed save or a failed attempt to open the folder."""
        if self._failure is None:
            self._failure = _Failure(boot_time())
        else:
            self._failure.attempts += 1
        # The attempts go on as long as the disk is full, so a reason is logged once.
        reason = str(error)
        if reason != self._failure.reason:
            self._failure.reason = reason
            self._log.error("disk_failed", reason=reason, retry_s=self._retry_s)

    def on_opened(self) -> None:
        """Record that the folder is open, and thus could be written."""
        failure, self._failure = self._failure, None
        if failure is not None:
            self._log.info(
                "disk_recovered",
                failed_s=boot_time() - failure.since,
                attempts=failure.attempts + 1,
            )
