"""Settings of the replicated log."""

from __future__ import annotations

from attrs import frozen

from berylnotch.errors import ConfigurationError


@frozen
class ConsensusSettings:
    """Timing and size limits of the replicated log.

    Parameters
    ----------
    heartbeat_s : float, default=0.1
        Seconds between the leader's heartbeat rounds.
    election_min_s, election_max_s : float, default=1.0, 1.6
        Bounds in seconds of the randomised election timeout. A voter refuses its vote
        if a leader contacted it within the last ``election_min_s``.
    resume_retry_s : float, default=0.1
        Seconds between the pre-votes of a replica that may have been the leader before
        its restart and tries to resume, until its election timeout has passed.
    lease_s : float, default=0.8
        Seconds for which a leader may act after it sent a heartbeat round that a
        majority answered. The difference to ``election_min_s`` allows for clocks that
        run at different rates.
    max_append_entries : int, default=512
        Maximum number of entries in one append request.
    max_append_bytes : int, default=1048576
        Maximum payload bytes in one append request, unless a single entry has more.
    max_entry_bytes : int, default=4194304
        Maximum payload bytes of one entry; the entry must fit into one message.
    max_inflight_entries : int, default=4096
        Maximum number of entries sent to a replica and not yet acknowledged.
    max_uncommitted_entries : int, default=8192
        Number of uncommitted entries from which proposals are refused.
    max_uncommitted_bytes : int, default=16777216
        Payload bytes of uncommitted entries from which proposals are refused.
    snapshot_every_entries : int, default=10000
        Number of applied entries after which a snapshot is due.
    snapshot_every_bytes : int, default=16777216
        Payload bytes of applied entries after which a snapshot is due.
    snapshot_part_bytes : int, default=262144
        Maximum snapshot bytes in one message.
    keep_entries : int, default=2000
        Number of entries kept before the end of a snapshot, so that replicas that lag
        slightly do not need the snapshot.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 1.0
    election_max_s: float = 1.6
    resume_retry_s: float = 0.1
    lease_s: float = 0.8
    max_append_entries: int = 512
    max_append_bytes: int = 1024 * 1024
    max_entry_bytes: int = 4 * 1024 * 1024
    max_inflight_entries: int = 4096
    max_uncommitted_entries: int = 8192
    max_uncommitted_bytes: int = 16 * 1024 * 1024
    snapshot_every_entries: int = 10_000
    snapshot_every_bytes: int = 16 * 1024 * 1024
    snapshot_part_bytes: int = 256 * 1024
    keep_entries: int = 2000

    def __attrs_post_init__(self) -> None:
        times = (self.heartbeat_s, self.lease_s, self.election_min_s)
        if not 0 < times[0] < times[1] < times[2]:
            raise ConfigurationError(
                "0 < heartbeat_s < lease_s < election_min_s is required, not "
                f"{times[0]:g}, {times[1]:g}, {times[2]:g}"
            )
        if self.election_max_s <= self.election_min_s:
            raise ConfigurationError("election_max_s must exceed election_min_s")
