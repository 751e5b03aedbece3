"""Messages between routers, controllers and the operators' command-line tool."""

from __future__ import annotations

from attrs import frozen

from berylnotch.consensus.messages import Member, Members
from berylnotch.control.commands import AuditRecord, ClaimRecord, Result
from berylnotch.control.events import VersionedEvent


@frozen
class SyncRequest:
    """Ask a controller or peer router for the events after ``version``.

    This is a long poll: the answer is delayed for up to ``wait_ms`` while there is no
    newer version.
    """

    vm: str
    incarnation: str
    version: int
    wait_ms: int


@frozen
class SyncReply:
    """Events after the requested version, or a snapshot of the view.

    ``age_ms`` is an upper bound of the time between this answer and the moment at
    which a leader with a valid lease last confirmed that ``version`` was current; it
    is negative if no leader has confirmed it yet. The receiver adds it to the time
    since it sent the request. ``group`` identifies the group of controllers that
    produced the state; versions of different groups are not comparable.
    """

    version: int
    age_ms: int
    leader_address: str
    events: tuple[VersionedEvent, ...] = ()
    snapshot: bytes = b""
    group: str = ""


@frozen
class ProposeRequest:
    """Ask the leader to commit and apply an encoded command."""

    command: bytes


@frozen
class ProposeReply:
    """Result of a command that was committed and applied."""

    result: Result


@frozen
class NotLeader:
    """Refusal by a controller that is not the leader.

    ``leader_address`` is the presumed leader's address, empty if unknown.
    """

    leader_address: str = ""


@frozen
class Refused:
    """Refusal of an invalid request; a retry would be refused as well."""

    message: str


@frozen
class ShowRequest:
    """Ask the leader for the fleet configuration in force."""


@frozen
class ShowReply:
    """Fleet configuration in force and its revision."""

    revision: int
    text: str


@frozen
class AuditRequest:
    """Ask for at most ``limit`` audit records after log index ``after_index``."""

    after_index: int
    limit: int


@frozen
class AuditReply:
    """Records of the audit trail, oldest first."""

    records: tuple[AuditRecord, ...] = ()


@frozen
class KeyLine:
    """A caller's key in a `KeysReply`, without its hash.

    ``given_ms`` and ``withdrawn_ms`` are Unix times in milliseconds, 0 if unknown or
    not withdrawn.
    """

    key_id: str
    organisation: str
    given_ms: int
    withdrawn_ms: int


@frozen
class KeysRequest:
    """Ask for an organisation's keys, or for all keys if ``organisation`` is empty."""

    organisation: str = ""


@frozen
class KeysReply:
    """Accepted and withdrawn keys."""

    keys: tuple[KeyLine, ...] = ()


@frozen
class ClaimRequest:
    """Ask for the claim of an organisation's idempotency key."""

    organisation: str
    idempotency_key: str


@frozen
class ClaimReply:
    """The requested claim, or None if it does not exist."""

    claim: ClaimRecord | None = None


@frozen
class StatusRequest:
    """Ask a controller for the state of the fleet."""


@frozen
class ControllerLine:
    """A controller in a `StatusReply`.

    ``match`` is the highest log index known to be stored on it. ``heard_ms`` is the
    time since its last message in milliseconds, negative if there was none.
    """

    member: Member
    is_leader: bool
    match: int
    heard_ms: int


@frozen
class RouterLine:
    """A router in a `StatusReply`.

    ``heard_ms`` is the time since its last heartbeat in milliseconds.
    """

    vm: str
    incarnation: str
    http_address: str
    failure_domain: str
    state: str
    heard_ms: int


@frozen
class TargetLine:
    """A target in a `StatusReply`."""

    name: str
    service: str
    address: str
    failure_domain: str
    state: str
    draining: bool
    version: str


@frozen
class OrganisationLine:
    """An organisation in a `StatusReply`.

    ``rate`` and ``used_per_s`` are in tokens per second, ``burst`` and ``level`` (of
    the token bucket) in tokens.
    """

    name: str
    rate: int
    burst: int
    share: int
    level: int
    used_per_s: int


@frozen
class StatusReply:
    """State of the fleet that is known to the leader."""

    term: int
    leader: str
    commit: int
    revision: int
    controllers: tuple[ControllerLine, ...] = ()
    routers: tuple[RouterLine, ...] = ()
    targets: tuple[TargetLine, ...] = ()
    organisations: tuple[OrganisationLine, ...] = ()


@frozen
class MemberChangeRequest:
    """Ask the leader to add, remove or replace a controller.

    ``replace`` names the member that is removed after the added member has caught
    up. ``replace`` and the fields of the added member may be empty. The answer
    follows once the last membership change is committed.
    """

    change_id: str
    operator: str
    add_name: str
    add_address: str
    add_failure_domain: str
    replace: str


@frozen
class JoinRequest:
    """Ask a controller for its replica identity, in order to add it to a group."""


@frozen
class JoinReply:
    """Replica identity of a controller, and whether it belongs to a group."""

    member: Member
    in_group: bool


@frozen
class BootstrapRequest:
    """Start a new group; every member gets the same list of members."""

    members: Members


@frozen
class BootstrapReply:
    """The members in force at the answering controller."""

    members: Members


@frozen
class WhyRequest:
    """Ask a router for its routing decision on a request."""

    request_id: str


@frozen
class WhyLine:
    """A target that a router considered for a request."""

    target: str
    chosen: bool
    score_ms: float
    reason: str


@frozen
class WhyReply:
    """Targets considered for a request, best first.

    ``lines`` is empty if the router has no record of a decision on the request.
    """

    request_id: str
    organisation: str
    revision: int
    lines: tuple[WhyLine, ...] = ()
    outcome: str = ""


@frozen
class VouchRequest:
    """Ask the leader for its commit index, to confirm a follower's state as current."""


@frozen
class VouchReply:
    """Leader's commit index and the age of its lease.

    A replica that has applied ``commit`` holds a state that was current ``age_ms``
    milliseconds before this answer. ``age_ms`` is negative if the leader has no
    lease.
    """

    commit: int
    age_ms: int


@frozen
class MemberChangeReply:
    """Members of the group after the change."""

    members: Members
