"""Proposals of a router to whichever controller leads."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any

from berylnotch.control.protocol import NotLeader, ProposeReply, ProposeRequest, Refused
from berylnotch.transport.codec import encode

if TYPE_CHECKING:
    from berylnotch.control.commands import Result
    from berylnotch.settings.router import RouterSettings
    from berylnotch.transport.peers import Peers
    from berylnotch.util.loop import Loop

_TRY_S = 1.0
_RETRY_S = 0.05

#: Gets the result, or None if none came in time.
OnResult = Callable[["Result | None"], None]


class Proposer:
    """Repeats a command until the leader answers; runs in the loop's thread.

    Commands must be idempotent: a claim by its attempt, a state by its value.

    Parameters
    ----------
    loop : Loop
        Loop of the router.
    peers : Peers
        Connections to other processes.
    settings : RouterSettings
        Settings of the process.
    leader_address : callable
        Address of the leader as the follower knows it.
    """

    def __init__(
        self,
        loop: Loop,
        peers: Peers,
        settings: RouterSettings,
        leader_address: Callable[[], str],
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._controllers = tuple(c.address for c in settings.controllers)
        self._leader_address = leader_address

    def propose(self, command: object, timeout_s: float, on_result: OnResult) -> None:
        """Propose a command; ``on_result`` is called in the loop's thread."""
        deadline = time.monotonic() + timeout_s
        request = ProposeRequest(encode(command))
        self._try(request, self._leader_address(), 0, deadline, on_result)

    def _try(
        self,
        request: ProposeRequest,
        address: str,
        tries: int,
        deadline: float,
        on_result: OnResult,
    ) -> None:
        left = deadline - time.monotonic()
        if left <= 0:
            on_result(None)
            return
        address = address or self._controllers[tries % len(self._controllers)]
        future = self._peers.call(address, request, min(left, _TRY_S))

        def answered(done: Future[Any]) -> None:
            answer = None if done.exception() is not None else done.result()
            if isinstance(answer, ProposeReply):
                on_result(answer.result)
                return
            if isinstance(answer, Refused):
                on_result(None)
                return
            hint = answer.leader_address if isinstance(answer, NotLeader) else ""
            if hint == address:
                hint = ""
            self._loop.call_later(
                _RETRY_S,
                lambda: self._try(request, hint, tries + 1, deadline, on_result),
            )

        future.add_done_callback(answered)
