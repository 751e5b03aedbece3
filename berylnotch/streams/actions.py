"""What an exchange asks its shell to do."""

from __future__ import annotations

from enum import Enum

from attrs import define, frozen


class RunMark(Enum):
    """Whether a target ran a request, as the caller is told."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class FailureCause(Enum):
    """Why an attempt failed."""

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


class FinishReason(Enum):
    """Why an exchange ended."""

    COMPLETE = "complete"
    NO_TARGET = "no-target"
    TARGET_FAILED = "target-failed"
    DEADLINE = "deadline"
    KEY_WITHDRAWN = "key-withdrawn"
    WEIGHTS_CHANGED = "weights-changed"
    CALLER_GONE = "caller-gone"


@frozen
class StartAttempt:
    """Choose a target and send it the request.

    Attributes
    ----------
    number : int
        Number of the attempt, from 1; every later input names it.
    exclude : frozenset of str
        Targets that just failed this request.
    resume_after : int
        Number of the last event that the caller has.
    weights : str
        Weights version that the target must have; empty if any will do.
    """

    number: int
    exclude: frozenset[str]
    resume_after: int
    weights: str


@frozen
class WaitUntil:
    """Call ``tick`` at this time, in seconds; the next attempt waits for it."""

    time: float


@frozen
class CancelAttempt:
    """Stop the attempt's transfer; its connection must not be used again."""

    number: int


@frozen
class AttemptFailed:
    """An attempt ended without an answer; for health and crash accounting.

    Attributes
    ----------
    number : int
        Number of the attempt.
    target : str
        Target that failed.
    cause : FailureCause
        What was seen.
    """

    number: int
    target: str
    cause: FailureCause


@frozen
class PauseUpstream:
    """Stop reading the attempt's answer."""

    number: int


@frozen
class ResumeUpstream:
    """Read the attempt's answer again."""

    number: int


@frozen
class Header:
    """One header field; the name is in lower case."""

    name: str
    value: str


@frozen
class SendHead:
    """Send the answer's head to the caller.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of Header
        Fields of the target's answer that callers may see.
    mark : RunMark
        Whether a target ran the request.
    content_length : int or None
        Length of the body in bytes; None for a stream.
    """

    status: int
    headers: tuple[Header, ...]
    mark: RunMark
    content_length: int | None


@define
class SendBytes:
    """Send bytes of the body to the caller.

    One is made for each chunk of a stream, and a class that isn't frozen is
    made in half the time.

    Attributes
    ----------
    data : bytes
        Whole events of a stream, or a whole answer.
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
    mark : RunMark
        Whether a target ran the request.
    reason : FinishReason
        Why it ended.
    message : str
        For people.
    status : int
        HTTP status of the refusal to write; 0 if a head was sent.
    retry_after_s : float
        When the caller may come back; 0 if unknown.
    position : int
        Number of the last event delivered.
    attempts : int
        Attempts made.
    keep_connection : bool
        Whether the caller's connection can take another request.
    """

    mark: RunMark
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
