"""Actions that an `Exchange` returns and its driver, the server, carries out."""

from __future__ import annotations

from enum import Enum

from attrs import define, frozen


class RunStatus(Enum):
    """Whether a target ran a request, as reported to the caller."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class FailureCause(Enum):
    """Cause of the failure of an attempt."""

    CONNECT = "connect"
    LOST = "lost"
    TRUNCATED = "truncated"
    EMPTY = "empty"
    GAP = "gap"
    TIMEOUT = "timeout"
    WEIGHTS = "weights"
    WRONG_REQUEST = "wrong-request"
    REFUSED = "refused"
    ERROR_STATUS = "error-status"
    TOO_LARGE = "too-large"
    NO_MEMORY = "no-memory"


class FinishReason(Enum):
    """Why an exchange ended."""

    COMPLETE = "complete"
    NO_TARGET = "no-target"
    TARGET_FAILED = "target-failed"
    DEADLINE = "deadline"
    KEY_WITHDRAWN = "key-withdrawn"
    KEYS_UNVERIFIED = "keys-unverified"
    WEIGHTS_CHANGED = "weights-changed"
    CALLER_GONE = "caller-gone"
    STOPPING = "stopping"


@frozen
class StartAttempt:
    """Select a target and send the request to it.

    Attributes
    ----------
    number : int
        Number of the attempt, from 1; the inputs that concern this attempt carry the
        same number.
    exclude : frozenset of str
        Targets that failed this request since the last event was delivered.
    resume_after : int
        Number of the last event that the caller has received.
    weights : str
        Weights version that the target must serve; empty if any version is allowed.
    """

    number: int
    exclude: frozenset[str]
    resume_after: int
    weights: str


@frozen
class WaitUntil:
    """Call `Exchange.tick` at this time, in seconds, to start the next attempt."""

    time: float


@frozen
class CancelAttempt:
    """Abort the attempt's transfer; its connection must not be reused."""

    number: int


@frozen
class AttemptFailed:
    """An attempt failed; reported for health checks and crash accounting.

    Attributes
    ----------
    number : int
        Number of the attempt.
    target : str
        Target that failed.
    cause : FailureCause
        Why the attempt failed.
    """

    number: int
    target: str
    cause: FailureCause


@frozen
class PauseUpstream:
    """Stop reading the attempt's response."""

    number: int


@frozen
class ResumeUpstream:
    """Continue reading the attempt's response."""

    number: int


@frozen
class Header:
    """One header field; the name is in lower case."""

    name: str
    value: str


@frozen
class SendHead:
    """Send the response head to the caller.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of Header
        Header fields of the target's response that are passed to callers.
    run_status : RunStatus
        Whether a target ran the request.
    content_length : int or None
        Length of the body in bytes; None for a stream of events.
    """

    status: int
    headers: tuple[Header, ...]
    run_status: RunStatus
    content_length: int | None


@define
class SendBytes:
    """Send bytes of the body to the caller.

    An instance is created for each chunk of a stream. The class is not frozen,
    because creating an instance of a frozen class takes twice as long.

    Attributes
    ----------
    data : bytes
        Complete events of a stream, or the complete body of a buffered response.
    events : int
        Number of events in ``data`` that an engine generated.
    """

    data: bytes
    events: int


@frozen
class Finish:
    """The exchange is over.

    Attributes
    ----------
    run_status : RunStatus
        Whether a target ran the request.
    reason : FinishReason
        Why the exchange ended.
    message : str
        Human-readable description of the reason.
    status : int
        HTTP status of the refusal to send; 0 if a response head was already sent.
    retry_after_s : float
        Time in seconds after which the caller may retry; 0 if unknown.
    position : int
        Number of the last event delivered.
    attempts : int
        Number of attempts made.
    keep_connection : bool
        Whether the caller's connection can be used for another request.
    """

    run_status: RunStatus
    reason: FinishReason
    message: str = ""
    status: int = 0
    retry_after_s: float = 0.0
    position: int = 0
    attempts: int = 0
    keep_connection: bool = True


Action = (
    StartAttempt
    | WaitUntil
    | CancelAttempt
    | AttemptFailed
    | PauseUpstream
    | ResumeUpstream
    | SendHead
    | SendBytes
    | Finish
)
