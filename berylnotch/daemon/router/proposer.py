"""Proposals of a router to the leader of the controllers."""

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

_ATTEMPT_TIMEOUT_S = 1.0
_RETRY_DELAY_S = 0.05

#: Receives the result, or None if the command was refused or timed out.
OnResult = Callable[["Result | None"], None]


class Proposer:
    """Retries a command until the leader answers; runs in the loop's thread.

    Commands must be idempotent, because a command may be applied more than once. A
    claim, the right to run a non-idempotent request once, is identified by the
    ``attempt`` field of its command. Setting a state to the same value again has no
    effect.

    Parameters
    ----------
    loop : Loop
        Event loop of the router.
    peers : Peers
        Connections to other processes.
    settings : RouterSettings
        Settings of the process.
    leader_address : callable
        Returns the last known address of the leader, empty if unknown.
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
        """Propose a command.

        Parameters
        ----------
        command : object
            Command to propose.
        timeout_s : float
            Time in seconds after which the proposal is abandoned.
        on_result : callable
            Called in the loop's thread with the result, or with None.
        """
        deadline = time.monotonic() + timeout_s
        request = ProposeRequest(encode(command))
        self._attempt(request, self._leader_address(), 0, deadline, on_result)

    def _attempt(
        self,
        request: ProposeRequest,
        address: str,
        attempts: int,
        deadline: float,
        on_result: OnResult,
    ) -> None:
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            on_result(None)
            return
        address = address or self._controllers[attempts % len(self._controllers)]
        future = self._peers.call(
            address, request, min(remaining_s, _ATTEMPT_TIMEOUT_S)
        )

        def on_answer(finished: Future[Any]) -> None:
            answer = None if finished.exception() is not None else finished.result()
            if isinstance(answer, ProposeReply):
                on_result(answer.result)
                return
            if isinstance(answer, Refused):
                on_result(None)
                return
            leader_hint = answer.leader_address if isinstance(answer, NotLeader) else ""
            if leader_hint == address:
                leader_hint = ""
            self._loop.call_later(
                _RETRY_DELAY_S,
                lambda: self._attempt(
                    request, leader_hint, attempts + 1, deadline, on_result
                ),
            )

        future.add_done_callback(on_answer)
