"""Errors of the replicated log."""

from __future__ import annotations

from berylnotch.errors import ConsensusError, StorageError


class NotLeaderError(ConsensusError):
    """A proposal came to a replica that does not lead.

    Parameters
    ----------
    leader_address : str
        Address of the leader, or empty if unknown.
    """

    def __init__(self, leader_address: str = "") -> None:
        super().__init__(f"not the leader; leader at {leader_address or 'unknown'}")
        self.leader_address = leader_address


class OverloadedError(ConsensusError):
    """Too many proposals wait for a majority."""


class PayloadError(ConsensusError):
    """A proposal is larger than one message between replicas may be."""


class MembershipError(ConsensusError):
    """A membership change is not allowed now or not at all."""


class BootstrapError(ConsensusError):
    """A group cannot begin from this replica's state."""


class DamagedFileError(StorageError):
    """A file of the data folder does not hold what was written.

    Parameters
    ----------
    path : str
        File that is damaged.
    offset : int
        Byte offset of the first damage.
    reason : str
        What is wrong there.
    """

    def __init__(self, path: str, offset: int, reason: str) -> None:
        super().__init__(f"{path}: damaged at byte {offset}: {reason}")
        self.path = path
        self.offset = offset


class CopiedFolderError(StorageError):
    """The data folder is a copy or was restored, so its votes may be stale."""
