"""Commands that the replicated log carries, and their results."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class Subject(Enum):
    """What a drain or state names."""

    TARGET = "target"
    VM = "vm"


class LifeState(Enum):
    """Whether a VM or target may get new work."""

    LIVE = "live"
    LEAVING = "leaving"
    LOST = "lost"


class ClaimState(Enum):
    """State of a non-idempotent request."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Status(Enum):
    """Result of a command."""

    OK = "ok"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not-found"
    EXISTS = "exists"


@frozen
class ApplyText:
    """Replace the operators' text, if ``base_revision`` is in force."""

    change_id: str
    operator: str
    base_revision: int
    text: str


@frozen
class GiveKey:
    """Accept a caller's key; only its keyed hash is stored."""

    change_id: str
    operator: str
    key_id: str
    organisation: str
    key_hash: bytes


@frozen
class WithdrawKey:
    """Stop accepting a key."""

    change_id: str
    operator: str
    key_id: str


@frozen
class SetDrain:
    """Operator's order that a target or VM gets no new work, or does again."""

    change_id: str
    operator: str
    subject: Subject
    name: str
    draining: bool


@frozen
class SetLifeState:
    """Observed state of a VM or target; ``source`` says who observed it."""

    subject: Subject
    name: str
    incarnation: str
    state: LifeState
    source: str


@frozen
class OpenClaim:
    """Claim the only run of a non-idempotent request."""

    organisation: str
    idempotency_key: str
    fingerprint: bytes
    router: str
    attempt: str


@frozen
class CloseClaim:
    """Outcome of a claimed run; only the claim's ``attempt`` may close it."""

    organisation: str
    idempotency_key: str
    attempt: str
    state: ClaimState
    http_status: int = 0
    content_type: str = ""
    body: bytes = b""


@frozen
class SettleClaim:
    """Operator's finding on an unknown outcome."""

    change_id: str
    operator: str
    organisation: str
    idempotency_key: str
    state: ClaimState
    note: str = ""


@frozen
class ExpireClaims:
    """Forget closed claims older than ``before_ms`` (Unix time)."""

    before_ms: int


@frozen
class ReportCrash:
    """A target was lost while it ran the request with this fingerprint."""

    fingerprint: bytes
    target: str
    incarnation: str


@frozen
class StartRollout:
    """Bring a service's engines to a weights version, one order at a time."""

    change_id: str
    operator: str
    service: str
    version: str


@frozen
class IssueOrder:
    """Leader's order to one engine; its log index is the fencing number."""

    target: str
    service: str
    version: str


@frozen
class FinishOrder:
    """Result of the order that was fenced with ``fence``."""

    target: str
    fence: int
    ok: bool
    version: str
    detail: str = ""


@frozen
class Proposal:
    """What one log entry of kind COMMAND holds.

    ``at_ms`` is the leader's Unix time in milliseconds, so that every replica
    applies the same time.
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
        Log index at which it was applied first; a resend repeats it.
    revision : int
        Revision of the operators' text in force after it.
    message : str
        For people: what was wrong, or by whom the revision was taken.
    claim : ClaimRecord
        For claim commands, the claim as it now stands.
    """

    status: Status
    index: int = 0
    revision: int = 0
    message: str = ""
    claim: ClaimRecord | None = None


@frozen
class ClaimRecord:
    """A claim as stored."""

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
    """One line of the audit trail."""

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
