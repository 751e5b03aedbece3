"""Messages between routers, controllers and the operators' tool."""

from __future__ import annotations

from attrs import frozen

from berylnotch.consensus.messages import Member, Members
from berylnotch.control.commands import AuditRecord, ClaimRecord, Result
from berylnotch.control.events import VersionedEvent


@frozen
class SyncRequest:
    """Ask a controller or peer router for everything after ``version``.

    The answer is held back for up to ``wait_ms`` while nothing is new.
    """

    vm: str
    incarnation: str
    version: int
    wait_ms: int


@frozen
class SyncReply:
    """Events after the asked version, or a whole snapshot.

    ``age_ms`` bounds how long before this answer a leader with a valid lease
    vouched for ``version``; it is negative if nobody vouched yet. The receiver
    counts from when it sent the request. ``group`` names the group of controllers
    that made the state; versions of different groups cannot be compared.
    """

    version: int
    age_ms: int
    leader_address: str
    events: tuple[VersionedEvent, ...] = ()
    snapshot: bytes = b""
    group: str = ""


@frozen
class ProposeRequest:
    """Ask the leader to commit an encoded command."""

    command: bytes


@frozen
class ProposeReply:
    """The command's result after it was committed and applied."""

    result: Result


@frozen
class NotLeader:
    """Refusal of a controller that does not lead; ``leader_address`` may."""

    leader_address: str = ""


@frozen
class Refused:
    """The request is wrong and a repeat would be refused as well."""

    message: str


@frozen
class ShowRequest:
    """Ask the leader for the operators' text in force."""


@frozen
class ShowReply:
    """The operators' text in force."""

    revision: int
    text: str


@frozen
class AuditRequest:
    """Ask for at most ``limit`` records after ``after_index``."""

    after_index: int
    limit: int


@frozen
class AuditReply:
    """Records of the audit trail, oldest first."""

    records: tuple[AuditRecord, ...] = ()


@frozen
class KeyLine:
    """A key as operators see it."""

    key_id: str
    organisation: str
    given_ms: int
    withdrawn_ms: int


@frozen
class KeysRequest:
    """Ask for the keys of one organisation, or of all if empty."""

    organisation: str = ""


@frozen
class KeysReply:
    """Keys, withdrawn ones included."""

    keys: tuple[KeyLine, ...] = ()


@frozen
class ClaimRequest:
    """Look one claim up."""

    organisation: str
    idempotency_key: str


@frozen
class ClaimReply:
    """The claim, or none."""

    claim: ClaimRecord | None = None


@frozen
class StatusRequest:
    """Ask a controller how it and the fleet are."""


@frozen
class ControllerLine:
    """A controller in a `StatusReply`; ``lag`` is in log entries."""

    member: Member
    is_leader: bool
    match: int
    heard_ms: int


@frozen
class RouterLine:
    """A router in a `StatusReply`."""

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
    """An organisation in a `StatusReply`; rates in tokens a second."""

    name: str
    rate: int
    burst: int
    share: int
    level: int
    used_per_s: int


@frozen
class StatusReply:
    """State of the fleet as the leader sees it."""

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
    """Operator's request to change the controllers.

    ``replace`` names the member to remove once ``add`` has caught up; either
    may be empty. The answer comes after the last step was committed.
    """

    change_id: str
    operator: str
    add_name: str
    add_address: str
    add_failure_domain: str
    replace: str


@frozen
class JoinRequest:
    """Ask a controller for its replica identity, to add it to a group."""


@frozen
class JoinReply:
    """Replica identity of a controller."""

    member: Member
    in_group: bool


@frozen
class BootstrapRequest:
    """Start a new group with these members; every member gets the same."""

    members: Members


@frozen
class BootstrapReply:
    """The members in force at the answering controller."""

    members: Members


@frozen
class WhyRequest:
    """Ask a router how it chose the target of a request."""

    request_id: str


@frozen
class WhyLine:
    """One target that a router considered."""

    target: str
    chosen: bool
    score_ms: float
    reason: str


@frozen
class WhyReply:
    """The considered targets, best first; empty if unknown here."""

    request_id: str
    organisation: str
    revision: int
    lines: tuple[WhyLine, ...] = ()
    outcome: str = ""


@frozen
class VouchRequest:
    """Follower's question how far the log is known to be committed."""


@frozen
class VouchReply:
    """Leader's answer.

    Whoever has applied ``commit`` holds a state that was current ``age_ms``
    before this answer; negative if the leader has no lease.
    """

    commit: int
    age_ms: int


@frozen
class MemberChangeReply:
    """Members after the change."""

    members: Members
