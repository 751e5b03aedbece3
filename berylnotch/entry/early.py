"""Requests that come to a router before it knows the configuration and the targets.

It answers this load: all processes start again at the same moment, callers return at
once, and the configuration follows some tenths of a second later. A request that is
kept for so long is served sooner than one that is told to come back, and its caller
keeps the retry.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from berylnotch.net.messages import HttpRequest
from berylnotch.net.server import ServerConnection
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Loop

#: Most requests that are kept, with their bodies; more are refused.
MAX_KEPT = 256

#: Part of the time that a caller waits for which its request is kept at the most.
KEPT_PART = 0.4

#: Takes a request that is not kept any longer.
Answer = Callable[[ServerConnection, HttpRequest], None]


@define(eq=False)
class _Kept:
    """A request that waits."""

    connection: ServerConnection
    request: HttpRequest


class EarlyRequests:
    """Keeps requests for a bounded time, and hands them on in the order they came.

    Parameters
    ----------
    loop : Loop
        Loop in which everything runs.
    until : float
        Boot time until which requests are kept.
    answer : callable
        Serves a request by what is known, or refuses it.
    """

    def __init__(self, loop: Loop, until: float, answer: Answer) -> None:
        self._loop = loop
        self._until = until
        self._answer = answer
        self._kept: list[_Kept] = []

    def __len__(self) -> int:
        return len(self._kept)

    def keep(
        self,
        connection: ServerConnection,
        request: HttpRequest,
        deadline_s: float | None,
    ) -> bool:
        """Keep a request; return whether there is time and room for it.

        Parameters
        ----------
        deadline_s : float or None
            How long the caller waits, None if it did not say.
        """
        now = boot_time()
        until = self._until
        if deadline_s is not None:
            until = min(until, request.received_at + KEPT_PART * deadline_s)
        if now >= until or len(self._kept) >= MAX_KEPT:
            return False
        kept = _Kept(connection, request)
        self._kept.append(kept)
        connection.on_gone = lambda: self._forget(kept)
        self._loop.call_later(until - now, lambda: self._hand_on(kept))
        return True

    def hand_on(self) -> None:
        """Let all be answered that are kept, and whose callers have not left."""
        for kept in tuple(self._kept):
            self._hand_on(kept)

    def _hand_on(self, kept: _Kept) -> None:
        if self._forget(kept):
            kept.connection.on_gone = None
            self._answer(kept.connection, kept.request)

    def _forget(self, kept: _Kept) -> bool:
        if kept not in self._kept:
            return False
        self._kept.remove(kept)
        return True
