"""Commands in the replicated log, their results and the stored records."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class Subject(Enum):
    """Kind of machine that a drain or life state refers to."""

    TARGET = "target"
    VM = "vm"


class LifeState(Enum):
    """Life state of a VM or target; new requests require the state LIVE."""

    LIVE = "live"
    LEAVING = "leaving"
    LOST = "lost"


class ClaimState(Enum):
    """State of a claim on the run of a non-idempotent request.

    UNKNOWN means that the request may have run.
    """

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Status(Enum):
    """Status of a command's result."""

    OK = "ok"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not-found"
    EXISTS = "exists"


@frozen
class ApplyText:
    """Replace the fleet configuration (the operators' text).

    The command is rejected unless ``base_revision`` is the revision in force.
    """

    change_id: str
    operator: str
    base_revision: int
    text: str


@frozen
class GiveKey:
    """Accept a caller's new key, of which only the keyed hash is stored."""

    change_id: str
    operator: str
    key_id: str
    organisation: str
    key_hash: bytes


@frozen
class WithdrawKey:
    """Stop accepting a caller's key, permanently."""

    change_id: str
    operator: str
    key_id: str


@frozen
class SetDrain:
    """Start or stop draining a target or VM; draining excludes new requests."""

    change_id: str
    operator: str
    subject: Subject
    name: str
    draining: bool


@frozen
class SetLifeState:
    """Report the life state of a VM or target that ``source`` observed."""

    subject: Subject
    name: str
    incarnation: str
    state: LifeState
    source: str


@frozen
class OpenClaim:
    """Claim the right to run a non-idempotent request once."""

    organisation: str
    idempotency_key: str
    fingerprint: bytes
    router: str
    attempt: str


@frozen
class CloseClaim:
    """Record the outcome of a claimed run; only the claim's ``attempt`` may do so."""

    organisation: str
    idempotency_key: str
    attempt: str
    state: ClaimState
    http_status: int = 0
    content_type: str = ""
    body: bytes = b""


@frozen
class SettleClaim:
    """Record the outcome that an operator found for a claim in state UNKNOWN."""

    change_id: str
    operator: str
    organisation: str
    idempotency_key: str
    state: ClaimState
    note: str = ""


@frozen
class ExpireClaims:
    """Delete claims that were closed before ``before_ms`` (Unix time, ms)."""

    before_ms: int


@frozen
class ReportCrash:
    """Report that a target was lost while running the request with this fingerprint."""

    fingerprint: bytes
    target: str
    incarnation: str


@frozen
class StartRollout:
    """Roll out weights to a service's engines, by orders to single engines."""

    change_id: str
    operator: str
    service: str
    version: str


@frozen
class IssueOrder:
    """Order one engine to load weights; the log index is the fencing token."""

    target: str
    service: str
    version: str


@frozen
class FinishOrder:
    """Record the result of the order with the fencing token ``fence``.

    With ``fence`` 0 the command reports the version that an engine without a running
    order holds.
    """

    target: str
    fence: int
    ok: bool
    version: str
    detail: str = ""


@frozen
class Proposal:
    """Content of a log entry of kind COMMAND.

    ``at_ms`` is the leader's Unix time in milliseconds. It is part of the entry so
    that every replica applies the command with the same time.
    """

    at_ms: int
    command: bytes


@frozen
class Result:
    """Result of a command.

    Parameters
    ----------
    status : Status
        Whether the command took effect.
    index : int
        Log index at which the command was first applied. The result of a resent
        command has the same index.
    revision : int
        Revision of the fleet configuration in force after the command.
    message : str
        Text for the operator, such as the reason of a rejection or who applied the
        revision that caused a conflict.
    claim : ClaimRecord or None
        State of the claim after a claim command; None after other commands.
    """

    status: Status
    index: int = 0
    revision: int = 0
    message: str = ""
    claim: ClaimRecord | None = None


@frozen
class ClaimRecord:
    """Stored claim on the run of a non-idempotent request.

    ``closed_ms`` is 0 while the claim is RUNNING. ``http_status``, ``content_type``
    and ``body`` are the stored answer. ``note`` is set once an operator has settled
    the claim.
    """

    organisation: str
    idempotency_key: str
    fingerprint: bytes
    router: str
    attempt: str
    state: ClaimState
    opened_ms: int
    closed_ms: int = 0
    http_status: int = 0
    content_type: str = ""
    body: bytes = b""
    note: str = ""


@frozen
class AuditRecord:
    """Record of the audit trail."""

    index: int
    at_ms: int
    operator: str
    action: str
    subject: str
    base_revision: int
    revision: int
    change_id: str
    status: Status
    detail: str = ""
