"""Errors of the replicated log."""

from __future__ import annotations

from berylnotch.errors import ConsensusError, StorageError


class NotLeaderError(ConsensusError):
    """A proposal reached a replica that is not the leader.

    Parameters
    ----------
    leader_address : str
        Address of the leader, or empty if unknown.
    """

    def __init__(self, leader_address: str = "") -> None:
        super().__init__(f"not the leader; leader at {leader_address or 'unknown'}")
        self.leader_address = leader_address


class OverloadedError(ConsensusError):
    """Too many proposals are not yet committed by a majority."""


class PayloadError(ConsensusError):
    """A proposal exceeds the size limit of a message between replicas."""


class MembershipError(ConsensusError):
    """A membership change is invalid, or is not allowed at this time."""


class BootstrapError(ConsensusError):
    """A new group cannot be bootstrapped from this replica's state."""


class DamagedFileError(StorageError):
    """A file of the data folder is damaged.

    Parameters
    ----------
    path : str
        Path of the damaged file.
    offset : int
        Byte offset of the first damage.
    reason : str
        Description of the damage.
    """

    def __init__(self, path: str, offset: int, reason: str) -> None:
        super().__init__(f"{path}: damaged at byte {offset}: {reason}")
        self.path = path
        self.offset = offset


class CopiedFolderError(StorageError):
    """The data folder is a copy or was restored, so its votes may be stale."""
