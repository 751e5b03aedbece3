"""Settings of the replicated log."""

from __future__ import annotations

from attrs import frozen

from berylnotch.errors import ConfigurationError


@frozen
class ConsensusSettings:
    """Timing and sizes of the replicated log.

    Parameters
    ----------
    heartbeat_s : float, default=0.1
        Seconds between the leader's heartbeat rounds.
    election_min_s, election_max_s : float, default=1.0, 1.6
        Bounds in seconds of the randomised election timeout. A voter that
        heard a leader within ``election_min_s`` refuses its vote to others.
    resume_retry_s : float, default=0.1
        Pause after which a replica that may have led before its restart asks again
        whether it can resume, until an election is due anyway.
    lease_s : float, default=0.8
        Seconds that a leader may act after it sent a round which a majority
        answered. The gap to ``election_min_s`` allows for clocks that differ
        in rate.
    max_append_entries : int, default=512
        Most entries in one append request.
    max_append_bytes : int, default=1048576
        Most payload bytes in one append request, unless one entry has more.
    max_entry_bytes : int, default=4194304
        Largest payload of one entry; a message must hold it.
    max_inflight_entries : int, default=4096
        Most entries sent to a replica ahead of its answers.
    max_uncommitted_entries : int, default=8192
        Most entries that wait for a majority before proposals are refused.
    max_uncommitted_bytes : int, default=16777216
        Most payload bytes that wait likewise.
    snapshot_every_entries : int, default=10000
        Applied entries after which a snapshot is due.
    snapshot_every_bytes : int, default=16777216
        Payload bytes of applied entries after which a snapshot is due.
    snapshot_part_bytes : int, default=262144
        Bytes of a snapshot in one message.
    keep_entries : int, default=2000
        Entries kept behind a snapshot for replicas that lag a little.
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
