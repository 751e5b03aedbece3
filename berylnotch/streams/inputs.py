"""What an exchange is told by its shell."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from attrs import field, frozen

from berylnotch.streams.actions import Header


class PauseReason(Enum):
    """Why an answer may not go on at present."""

    KEY = "key"
    QUOTA = "quota"
    CALLER = "caller"


@frozen
class ExchangeSettings:
    """Bounds of one exchange.

    Attributes
    ----------
    max_attempts : int
        Attempts before the first event.
    max_attempts_total : int
        Attempts in all.
    retry_wait_s, retry_max_wait_s : float
        Wait before the third attempt in a row that brings nothing, doubled for
        each further one, and the longest wait. The second starts at once.
    resume_patience_s : float
        How long a stream that has begun looks for a target to go on with.
    first_event_timeout_s : float
        Time until a stream's first event.
    idle_timeout_s : float
        Time between two chunks of a stream.
    max_answer_bytes : int
        Longest answer that is buffered whole.
    max_held_bytes : int
        Most bytes of a stream held while it is paused.
    max_event_bytes : int
        Longest event of a stream.
    """

    max_attempts: int = 3
    max_attempts_total: int = 64
    retry_wait_s: float = 0.1
    retry_max_wait_s: float = 1.0
    resume_patience_s: float = 10.0
    first_event_timeout_s: float = 60.0
    idle_timeout_s: float = 15.0
    max_answer_bytes: int = 8 * 1024 * 1024
    max_held_bytes: int = 512 * 1024
    max_event_bytes: int = 1024 * 1024


def _accept_any(_body: bytes) -> bool:
    return True


def _no_base(_weights: str) -> str:
    return ""


@frozen
class ExchangeRequest:
    """One caller's request.

    Attributes
    ----------
    request_id : str
        Identifier that targets echo.
    deadline : float
        Time after which the caller gets no answer, in seconds.
    idempotent : bool
        Whether a second run does no harm; true of generations.
    stream : bool
        Whether the caller asked for a stream of events.
    echo_required : bool
        Whether an answer without the request's id is refused.
    resume_after : int
        Number of the last event that the caller has from an earlier exchange.
    weights : str
        Weights version of that earlier exchange; empty if there was none.
    sign_base : callable
        Takes the weights version and returns the first part of event ids.
    is_whole : callable
        Whether the body of an answer with status 200 is a whole answer.
    """

    request_id: str
    deadline: float
    idempotent: bool
    stream: bool = False
    echo_required: bool = False
    resume_after: int = 0
    weights: str = ""
    sign_base: Callable[[str], str] = field(default=_no_base, repr=False)
    is_whole: Callable[[bytes], bool] = field(default=_accept_any, repr=False)


@frozen
class ResponseHead:
    """Head of a target's answer, as a gateway read it.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of Header
        Fields that the caller may see.
    content_type : str
        Media type without parameters, in lower case.
    request_id : str
        Echo of the request's id; empty if missing.
    weights : str
        Weights version of an engine; empty if missing.
    incarnation : str
        Incarnation of an engine; empty if missing.
    not_run : bool
        Whether the target says that it didn't run the request.
    retry_after_s : float
        When the target would take the request; 0 if missing.
    """

    status: int
    headers: tuple[Header, ...] = ()
    content_type: str = ""
    request_id: str = ""
    weights: str = ""
    incarnation: str = ""
    not_run: bool = False
    retry_after_s: float = 0.0


@frozen
class UpstreamEnd:
    """End of an attempt's transfer.

    Attributes
    ----------
    complete : bool
        Whether the answer ended as its framing says.
    sent : bool
        Whether a byte of the request may have reached the target.
    """

    complete: bool
    sent: bool = True
