"""Limit on the memory of all responses that a process holds at the same time.

A response is held until it is complete, and then until its caller has taken it. When
memory becomes scarce, most connections with large responses are paused, so that sound
responses wait instead of failing. A few go on, the oldest of the sources that hold the
least, so that a source that never completes a response does not keep the others from
completing theirs. While callers take complete responses, the rest of the memory has to
be enough for those that go on.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

from attrs import define, frozen

#: Maximum size of one response in bytes, unless the memory of the process is too small.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

#: Share of a process's memory that responses may take.
MEMORY_FRACTION = 0.4

#: Number of large responses that are read on while memory is scarce, each of another
#: source.
MAX_SCARCE_READERS = 2

#: Largest share of the memory for responses that one of them may take.
MAX_RESPONSE_FRACTION = 0.25

#: Size in bytes up to which a response is never paused. It holds almost all responses.
SMALL_RESPONSE_BYTES = 256 * 1024

#: Memory in megabytes that a process may use if the settings state none.
DEFAULT_MEMORY_MB = 256

#: Megabyte as in settings, in bytes.
_MB = 1_000_000


@frozen
class ResponseLimits:
    """Limits on the memory of responses, in bytes.

    Parameters
    ----------
    total_bytes : int
        Maximum size of all responses together.
    response_bytes : int
        Maximum size of one response.
    """

    total_bytes: int
    response_bytes: int

    @property
    def scarce_bytes(self) -> int:
        """Size of all responses together from which memory is scarce.

        The rest is enough for the responses that are read on to their largest size.
        """
        return self.total_bytes - MAX_SCARCE_READERS * self.response_bytes


def response_limits(memory_mb: float) -> ResponseLimits:
    """Return the limits in a process that may use a number of megabytes."""
    total_bytes = int(MEMORY_FRACTION * memory_mb * _MB)
    response_bytes = min(MAX_RESPONSE_BYTES, int(MAX_RESPONSE_FRACTION * total_bytes))
    return ResponseLimits(total_bytes, response_bytes)


@define(eq=False)
class HeldResponse:
    """Memory of one response; `close` frees it.

    Parameters
    ----------
    source : str
        Identity of the server that sends the response.
    is_paused : bool
        Whether the response waits for memory.
    """

    source: str
    _memory: ResponseMemory
    _number: int
    _set_paused: Callable[[bool], None]
    _on_evicted: Callable[[], None]
    _size_bytes: int = 0
    is_paused: bool = False
    _is_complete: bool = False

    def resize(self, size_bytes: int) -> None:
        """Set the number of bytes held, which may pause or evict a response."""
        self._memory._resize(self, size_bytes)

    def complete(self) -> None:
        """Record that the response is whole and waits for its caller."""
        self._is_complete = True
        self._memory._update_pauses()

    def close(self) -> None:
        """Free the memory; further calls have no effect."""
        self._memory._remove(self)


class ResponseMemory:
    """Responses that a process holds.

    Parameters
    ----------
    limits : ResponseLimits
        Limits on their sizes.
    """

    def __init__(self, limits: ResponseLimits) -> None:
        self.limits = limits
        self._numbers = itertools.count()
        self._responses: dict[int, HeldResponse] = {}
        self._total_bytes = 0
        self._paused_count = 0

    @property
    def total_bytes(self) -> int:
        """Number of bytes of all responses."""
        return self._total_bytes

    @property
    def paused_count(self) -> int:
        """Number of responses that wait for memory."""
        return self._paused_count

    def open(
        self,
        source: str,
        set_paused: Callable[[bool], None],
        on_evicted: Callable[[], None],
    ) -> HeldResponse:
        """Return the memory of a response that is being received.

        Parameters
        ----------
        source : str
            Identity of the server that sends the response.
        set_paused : callable
            Called with whether reading has to pause.
        on_evicted : callable
            Called once, if there is no memory for the response. The response must be
            given up.
        """
        number = next(self._numbers)
        response = HeldResponse(source, self, number, set_paused, on_evicted)
        self._responses[number] = response
        return response

    def keep(self, source: str, size_bytes: int) -> HeldResponse:
        """Return the memory of a complete response that its caller has to take."""
        response = self.open(source, lambda is_paused: None, lambda: None)
        response._is_complete = True
        response.resize(size_bytes)
        return response

    def _resize(self, response: HeldResponse, size_bytes: int) -> None:
        if response._number not in self._responses:
            return
        self._total_bytes += size_bytes - response._size_bytes
        response._size_bytes = size_bytes
        while self._total_bytes > self.limits.total_bytes and self._evict():
            continue
        self._update_pauses()

    def _remove(self, response: HeldResponse) -> None:
        if self._responses.pop(response._number, None) is None:
            return
        self._total_bytes -= response._size_bytes
        self._paused_count -= response.is_paused
        response.is_paused = False
        self._update_pauses()

    def _evict(self) -> bool:
        """Give up the newest response of the source that holds the most."""
        candidates = self._large_incomplete() or {
            response
            for response in self._responses.values()
            if not response._is_complete and response._size_bytes
        }
        if not candidates:
            return False
        sizes = self._sizes_by_source()
        victim = max(candidates, key=lambda r: (sizes[r.source], r._number))
        self._remove(victim)
        victim._on_evicted()
        return True

    def _update_pauses(self) -> None:
        is_scarce = self._total_bytes > self.limits.scarce_bytes
        if not is_scarce and not self._paused_count:
            return
        waiting = self._large_incomplete() if is_scarce else set()
        readers = self._choose_readers(waiting)
        for response in tuple(self._responses.values()):
            must_wait = response in waiting and response not in readers
            if must_wait != response.is_paused:
                self._paused_count += 1 if must_wait else -1
                response.is_paused = must_wait
                response._set_paused(must_wait)

    def _large_incomplete(self) -> set[HeldResponse]:
        return {
            response
            for response in self._responses.values()
            if not response._is_complete and response._size_bytes > SMALL_RESPONSE_BYTES
        }

    def _choose_readers(self, waiting: set[HeldResponse]) -> list[HeldResponse]:
        """Return the responses that are read on although memory is scarce."""
        sizes = self._sizes_by_source()
        oldest: dict[str, HeldResponse] = {}
        for response in sorted(waiting, key=lambda r: r._number):
            oldest.setdefault(response.source, response)
        by_size = sorted(oldest.values(), key=lambda r: sizes[r.source])
        has_complete = any(r._is_complete for r in self._responses.values())
        free_bytes = self.limits.total_bytes - self._total_bytes
        readers: list[HeldResponse] = []
        for response in by_size[:MAX_SCARCE_READERS]:
            free_bytes -= self.limits.response_bytes - response._size_bytes
            # Complete responses that slow callers have not taken add up. Without them,
            # nothing is freed if no response goes on.
            if free_bytes < 0 and (has_complete or readers):
                break
            readers.append(response)
        return readers

    def _sizes_by_source(self) -> dict[str, int]:
        sizes: dict[str, int] = {}
        for response in self._responses.values():
            size_bytes = sizes.get(response.source, 0) + response._size_bytes
            sizes[response.source] = size_bytes
        return sizes
