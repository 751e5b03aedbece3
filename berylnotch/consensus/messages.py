"""Messages between the replicas of a group, and the values that they carry."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class EntryKind(Enum):
    """Content of a log entry."""

    NOOP = "noop"
    COMMAND = "command"
    MEMBERS = "members"


class Role(Enum):
    """Whether a member votes (voter) or only receives the log (learner)."""

    VOTER = "voter"
    LEARNER = "learner"


@frozen
class Member:
    """A replica of the group.

    Parameters
    ----------
    name : str
        Name of the controller on the VM, as in its settings.
    replica : str
        Replica id, ``name/hex``: the name and a random id of the data folder. A
        wiped folder gets a new id, so that no replica votes under the old id again.
    address : str
        ``host:port``.
    failure_domain : str
        Failure domain of the VM.
    role : Role
        Voter or learner.
    """

    name: str
    replica: str
    address: str
    failure_domain: str = ""
    role: Role = Role.VOTER


@frozen
class Members:
    """Membership of the group, in force once its entry is in the log."""

    members: tuple[Member, ...] = ()


@frozen
class Entry:
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


@frozen
class VoteRequest:
    """Candidate's request for a vote, or for a pre-vote if ``pre`` is set.

    A pre-vote is requested without a new term. ``transfer`` means that the leader gave
    up its lease for this candidate. ``address`` is where the reply goes if the
    candidate is not yet a known member. ``replica`` is the recipient: after a disk was
    wiped, another replica may listen at the same address.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False
    address: str = ""
    replica: str = ""


@frozen
class VoteReply:
    """Reply to a `VoteRequest`.

    ``supported_term`` is the voter's term if the voter followed the candidate in this
    term, or followed no leader and voted for the candidate; else it is 0.
    """

    term: int
    voter: str
    granted: bool
    pre: bool = False
    supported_term: int = 0


@frozen
class AppendRequest:
    """Leader's request to append entries; without entries, a heartbeat.

    ``round`` is the number of the leader's heartbeat round. The reply repeats it, so
    that the lease runs from the time at which the round was sent, not from the arrival
    of the reply. ``address`` is the leader's address, for replicas that do not yet
    know the members. ``replica`` is the recipient.
    """

    term: int
    leader: str
    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...] = ()
    address: str = ""
    replica: str = ""


@frozen
class AppendReply:
    """Reply to an `AppendRequest`.

    ``match`` is the last index up to which the logs are equal. If ``ok`` is
    false, ``match`` is a hint: the last index up to which the logs may be equal.
    """

    term: int
    replica: str
    ok: bool
    match: int
    round: int


@frozen
class SnapshotRequest:
    """One part of a snapshot, with at most 256 KiB of ``data`` by default."""

    term: int
    leader: str
    last_index: int
    last_term: int
    members: Members
    offset: int
    data: bytes
    done: bool
    round: int
    address: str = ""
    replica: str = ""


@frozen
class SnapshotReply:
    """Reply to a `SnapshotRequest`; ``offset`` is the start of the next part."""

    term: int
    replica: str
    last_index: int
    offset: int
    done: bool
    round: int


@frozen
class TimeoutNow:
    """Leader's request to stand for election at once; the leader's lease has ended."""

    term: int
    leader: str
