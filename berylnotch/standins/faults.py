"""Faults that a test switches on in a stand-in."""

from __future__ import annotations

import json

import attrs
from attrs import define


class BadFaultsError(Exception):
    """The text doesn't name known faults."""


@define
class Faults:
    """Faults in force; zero, false or empty is off.

    Attributes
    ----------
    die_after_events, close_after_events : int
        Reset, or end cleanly without the end marker, after this many events.
    empty : bool
        Answer 200 with nothing in it.
    late_ms : int
        Delay before an answer begins, in milliseconds.
    refuse : bool
        Answer 503 and say that the request was not run.
    error_status : int
        Answer with this status.
    hang : bool
        Take the request and never answer.
    close_before_answer : bool
        Run the request, then close the connection without an answer.
    wrong_request_id : bool
        Echo another request's id.
    skip_event, repeat_event : int
        Leave out, or send twice, the event with this number.
    crash_marker : str
        Lose the whole process's work when a prompt holds this text.
    restart_ms : int
        Time until the process serves again after a crash.
    drop_cache_events : int
        Lose each n-th cache event.
    ignore_orders : bool
        Answer orders and do nothing.
    times : int
        Number of requests that the faults strike; 0 is no limit.
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
    """Read the JSON object that switches faults; raises `BadFaultsError`."""
    try:
        return Faults(**json.loads(body or b"{}"))
    except (ValueError, TypeError) as error:
        raise BadFaultsError(str(error)) from error


class FaultSwitch:
    """Holds the faults in force and counts the requests they strike."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._left = 0
        self._struck = 0

    @property
    def struck(self) -> int:
        """Requests that the faults in force have struck."""
        return self._struck

    @property
    def standing(self) -> Faults:
        """Faults in force, whichever request comes."""
        return self._faults

    def set(self, faults: Faults) -> None:
        """Replace the faults in force."""
        self._faults = faults
        self._left = faults.times
        self._struck = 0

    def strike(self) -> Faults:
        """Return the faults for one request."""
        faults = self._faults
        if faults.times and not self._left:
            return attrs.evolve(Faults(), crash_marker=faults.crash_marker)
        self._left = max(0, self._left - 1)
        self._struck += 1
        return faults
