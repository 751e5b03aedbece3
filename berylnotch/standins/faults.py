"""Fault injection for the stand-ins."""

from __future__ import annotations

import json

import attrs
from attrs import define


class BadFaultsError(Exception):
    """The request body is not a JSON object of known faults."""


@define
class Faults:
    """Faults to inject; zero, false or an empty string turns a fault off.

    Attributes
    ----------
    die_after_events, close_after_events : int
        Number of events after which the connection is reset, or the stream ends
        cleanly without the end marker.
    empty : bool
        Respond with status 200 and an empty body.
    late_ms : int
        Delay before the response starts, in milliseconds.
    refuse : bool
        Respond with status 503 and the header for a request that was not run.
    error_status : int
        Respond with this HTTP status.
    hang : bool
        Accept the request and never respond.
    close_before_answer : bool
        Close the connection without a response. A plain service runs the request
        first.
    wrong_request_id : bool
        Return a request id that differs from that of the request.
    skip_event, repeat_event : int
        Number of the event that is omitted, or sent twice.
    crash_marker : str
        Text in a request body that triggers a simulated crash: all connections are
        reset, and cache and queue are lost.
    restart_ms : int
        Time from a crash until the engine listens again, in milliseconds.
    drop_cache_events : int
        Omit every cache event whose number is a multiple of this one.
    ignore_orders : bool
        Acknowledge orders without executing them.
    times : int
        Number of requests that the faults affect; 0 means no limit.
    """

    die_after_events: int = 0
    close_after_events: int = 0
    empty: bool = False
    late_ms: int = 0
    refuse: bool = False
    error_status: int = 0
    hang: bool = False
    close_before_answer: bool = False
    wrong_request_id: bool = False
    skip_event: int = 0
    repeat_event: int = 0
    crash_marker: str = ""
    restart_ms: int = 500
    drop_cache_events: int = 0
    ignore_orders: bool = False
    times: int = 0


def parse_faults(body: bytes) -> Faults:
    """Parse the JSON object that sets the faults.

    Raises
    ------
    BadFaultsError
        If the body is not a JSON object of known faults.
    """
    try:
        return Faults(**json.loads(body or b"{}"))
    except (ValueError, TypeError) as error:
        raise BadFaultsError(str(error)) from error


class FaultInjector:
    """Holds the active faults and counts the requests that they affect."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._remaining_requests = 0
        self._affected_requests = 0

    @property
    def affected_requests(self) -> int:
        """Number of requests that the active faults have affected."""
        return self._affected_requests

    @property
    def current(self) -> Faults:
        """Active faults, without regard to the request limit."""
        return self._faults

    def set(self, faults: Faults) -> None:
        """Replace the active faults and reset the counts."""
        self._faults = faults
        self._remaining_requests = faults.times
        self._affected_requests = 0

    def next_request_faults(self) -> Faults:
        """Return the faults for the next request, and count the request.

        The crash marker applies beyond the request limit too.
        """
        faults = self._faults
        if faults.times and not self._remaining_requests:
            return attrs.evolve(Faults(), crash_marker=faults.crash_marker)
        self._remaining_requests = max(0, self._remaining_requests - 1)
        self._affected_requests += 1
        return faults
