"""Messages between replicas of the log."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class EntryKind(Enum):
    """What a log entry holds."""

    NOOP = "noop"
    COMMAND = "command"
    MEMBERS = "members"


class Role(Enum):
    """Part a replica has in the group."""

    VOTER = "voter"
    LEARNER = "learner"


@frozen
class Member:
    """A replica of the group.

    Parameters
    ----------
    name : str
        Name of the VM's controller, as in the settings.
    replica : str
        Name and random id of the data folder, ``name/hex``. A wiped folder
        gets a new id and so never votes under the old one.
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
    """Membership of the group, in force from the moment it is in the log."""

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
    """Candidate's request for a vote; ``pre`` asks without a new term.

    ``transfer`` tells that the leader gave up its lease for this candidate.
    ``address`` is where the answer goes if the candidate is not yet known.
    ``replica`` is whom it is for: after a disk was wiped, another replica may
    listen at the same address.
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
    """Answer to a `VoteRequest`.

    ``supported_term`` is the voter's term if its newest vote went to the candidate, or
    if it last followed it; else 0.
    """

    term: int
    voter: str
    granted: bool
    pre: bool = False
    supported_term: int = 0


@frozen
class AppendRequest:
    """Leader's entries and heartbeat.

    ``round`` numbers the leader's heartbeat rounds. A reply repeats it, so
    that the leader counts a lease from when the round was sent, not from when
    the answer came. ``address`` is the leader's, for replicas that do not yet
    know the members. ``replica`` is whom it is for.
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
    """Answer to an `AppendRequest`; ``match`` is a hint if not ``ok``."""

    term: int
    replica: str
    ok: bool
    match: int
    round: int


@frozen
class SnapshotRequest:
    """One part of a snapshot, at most 256 KiB of ``data``."""

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
    """Answer to a `SnapshotRequest`; ``offset`` is where to go on."""

    term: int
    replica: str
    last_index: int
    offset: int
    done: bool
    round: int


@frozen
class TimeoutNow:
    """Leader's request to stand for election at once; its lease is over."""

    term: int
    leader: str
