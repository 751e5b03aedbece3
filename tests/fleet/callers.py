"""Threads of callers that send requests until they are stopped."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable


class CallerThreads:
    """Callers that send requests, each with random draws of its own.

    Parameters
    ----------
    count : int
        Number of callers; each is the seed of its draws.
    send : callable
        Sends one request; called with the caller's random generator, the number of the
        caller and that of the request.
    pause_s : callable
        Returns the pause after a request in seconds, from the random generator.
    """

    def __init__(
        self,
        count: int,
        send: Callable[[random.Random, int, int], None],
        pause_s: Callable[[random.Random], float],
    ) -> None:
        self._send, self._pause_s = send, pause_s
        self._is_stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_all, args=(n,)) for n in range(count)
        ]

    def start(self) -> None:
        """Start to send requests."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop, and wait for the requests in flight."""
        self._is_stopping.set()
        for thread in self._threads:
            thread.join()

    def _send_all(self, caller: int) -> None:
        rng, number = random.Random(caller), 0
        while not self._is_stopping.is_set():
            number += 1
            self._send(rng, caller, number)
            time.sleep(self._pause_s(rng))
