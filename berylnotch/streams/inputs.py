"""Inputs, settings and requests that the server passes to an `Exchange`."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from attrs import field, frozen

from berylnotch.streams.actions import Header


class PauseReason(Enum):
    """Why delivery of a response is paused."""

    KEY = "key"
    QUOTA = "quota"
    CALLER = "caller"


@frozen
class ExchangeSettings:
    """Limits and timeouts of one exchange.

    Attributes
    ----------
    max_attempts : int
        Most attempts before the first event.
    max_attempts_total : int
        Most attempts, including those after the first event.
    retry_wait_s, retry_max_wait_s : float
        Back-off before the third consecutive attempt without progress, doubled for
        each further one, and its upper limit. The second attempt starts at once.
    resume_patience_s : float
        Time that a stream that has begun may spend without progress before the
        search for another target ends.
    first_event_timeout_s : float
        Timeout for the first event of a stream.
    idle_timeout_s : float
        Timeout between two events of a stream.
    key_wait_s : float
        Longest time that a whole answer that is ready, or the next attempt of a
        request without a stream, waits until the caller's key can be verified.
    max_answer_bytes : int
        Largest body of a buffered response.
    max_held_bytes : int
        Most bytes of a stream that are held while it is paused.
    max_event_bytes : int
        Largest number of bytes buffered for an incomplete event of a stream.
    """

    max_attempts: int = 3
    max_attempts_total: int = 64
    retry_wait_s: float = 0.1
    retry_max_wait_s: float = 1.0
    resume_patience_s: float = 10.0
    first_event_timeout_s: float = 60.0
    idle_timeout_s: float = 15.0
    key_wait_s: float = 2.0
    max_answer_bytes: int = 8 * 1024 * 1024
    max_held_bytes: int = 512 * 1024
    max_event_bytes: int = 1024 * 1024


def _accept_any_body(_body: bytes) -> bool:
    return True


def _allow_late_delivery(_now: float) -> bool:
    return True


def _empty_base(_weights: str) -> str:
    return ""


@frozen
class ExchangeRequest:
    """One caller's request.

    Attributes
    ----------
    request_id : str
        Identifier that targets echo.
    deadline : float
        Time in seconds after which the request is ended without a response.
    idempotent : bool
        Whether the request may be run more than once; True for text generation.
    stream : bool
        Whether the caller asked for a stream of events.
    echo_required : bool
        Whether a response without the request's identifier is rejected.
    resume_after : int
        Number of the last event that the caller received in an earlier exchange.
    weights : str
        Weights version of that earlier exchange; empty if there was none.
    sign_base : callable
        Takes the weights version and returns the signed part that the
        stream's event ids begin with (`berylnotch.streams.reference`).
    is_whole : callable
        Takes the body of a response with status 200 and returns whether it is
        complete.
    can_deliver_late : callable
        Takes the time in seconds and returns whether a whole answer may be delivered
        although the caller's key could not be verified since it was ready.
    """

    request_id: str
    deadline: float
    idempotent: bool
    stream: bool = False
    echo_required: bool = False
    resume_after: int = 0
    weights: str = ""
    sign_base: Callable[[str], str] = field(default=_empty_base, repr=False)
    is_whole: Callable[[bytes], bool] = field(default=_accept_any_body, repr=False)
    can_deliver_late: Callable[[float], bool] = field(
        default=_allow_late_delivery, repr=False
    )


@frozen
class ResponseHead:
    """Head of a target's response, as parsed by a gateway.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of Header
        Header fields that are passed to the caller.
    content_type : str
        Media type without parameters, in lower case.
    request_id : str
        Request identifier that the target echoed; empty if missing.
    weights : str
        Weights version that the engine reports; empty if missing.
    incarnation : str
        Incarnation that the engine reports; empty if missing.
    not_run : bool
        Whether the target states that it did not run the request.
    retry_after_s : float
        Time in seconds after which the target may accept the request; 0 if
        missing.
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
        Whether the response ended as its HTTP framing declares.
    sent : bool
        Whether a byte of the request may have reached the target.
    is_evicted : bool
        Whether the response was given up for lack of memory in this process.
    """

    complete: bool
    sent: bool = True
    is_evicted: bool = False
