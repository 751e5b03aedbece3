"""Limit on the memory that a process holds for all of its callers together.

Small input (heads, small bodies, pipelined bytes, unsent output) shares one part. When
it is full, the connections that hold the most for the longest time are closed, unless
their request runs. Costly requests may run only while a reserve is left to others. A
large body needs a grant from another part before it is read, so that large bodies wait
for each other, and small requests never wait for them. A client with a grant that sends
little while others wait loses the grant. If its body had waited and has hardly begun,
the body waits again, else it is refused.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from berylnotch.net.held_input import HeldInput
from berylnotch.net.request_limits import (
    CONNECTION_BYTES,
    CONTROL_CONNECTIONS,
    GRANT_GRACE_S,
    MAX_WAIT_S,
    MAX_WAITING_AGAIN_BYTES,
    MIN_GRANTED_BYTES_PER_S,
    ORDINARY_BYTES,
    PENALTY_S,
    RESERVED_FRACTION,
    RequestLimits,
)


@define(eq=False)
class RequestMemory:
    """Input of all callers' connections of a process.

    Parameters
    ----------
    limits : RequestLimits
        Limits on its size.
    """

    limits: RequestLimits
    _held: dict[HeldInput, None] = field(factory=dict)
    _waiting: dict[HeldInput, None] = field(factory=dict)
    _penalties: dict[str, float] = field(factory=dict)
    small_bytes: int = 0
    #: Part of the small input that belongs to running requests and is not evicted.
    running_bytes: int = 0
    granted_bytes: int = 0
    #: Number of connections closed or refused for lack of memory, by reason.
    evicted_count: int = 0
    _is_evicting: bool = False

    @property
    def waiting_count(self) -> int:
        """Number of bodies that wait for a grant."""
        return len(self._waiting)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._held)

    @property
    def is_full(self) -> bool:
        """Whether small input takes all of its part, after all evictions."""
        return self.small_bytes > self.limits.small_bytes

    @property
    def is_scarce(self) -> bool:
        """Whether small input takes more than half of its part."""
        return 2 * self.small_bytes > self.limits.small_bytes

    def open(
        self,
        client: str,
        is_control: bool,
        now: float,
        on_granted: Callable[[], None],
        on_evicted: Callable[[str], None],
        on_grant_lost: Callable[[], None] = lambda: None,
    ) -> HeldInput | None:
        """Return the memory of a new connection, None if there is no room for it.

        Parameters
        ----------
        client : str
            IP address of the caller.
        is_control : bool
            Whether the port is for operators, metrics or readiness.
        now : float
            Time in seconds since boot.
        on_granted : callable
            Called when a body that waited may be read.
        on_evicted : callable
            Called with the reason if the connection has to be refused or closed.
        on_grant_lost : callable
            Called when a body that is being read has to wait again.
        """
        limit = self.limits.connections + (CONTROL_CONNECTIONS if is_control else 0)
        if len(self._held) >= limit:
            self._evict_longest_unused(now)
        if len(self._held) >= limit:
            return None
        callbacks = (on_granted, on_evicted, on_grant_lost)
        held = HeldInput(client, is_control, self, *callbacks, now)
        # The new connection may not be evicted before it is returned.
        self.small_bytes += CONNECTION_BYTES
        if self.is_full:
            self._evict_costly()
        if self.is_full and not is_control:
            self.small_bytes -= CONNECTION_BYTES
            return None
        held.size_bytes = CONNECTION_BYTES
        self._held[held] = None
        return held

    def tick(self, now: float) -> None:
        """Take grants from slow clients while others wait, and end long waits."""
        for client, since in tuple(self._penalties.items()):
            if now - since > PENALTY_S:
                del self._penalties[client]
        for held in tuple(self._waiting):
            if now - held._waits_since > MAX_WAIT_S:
                self._evict(held, "no memory for the body")
        if self._waiting:
            for held in tuple(self._held):
                if self._is_slow(held, now) and not self._wait_again(held):
                    self._penalties[held.client] = now
                    self._evict(held, "body too slow while others wait")
        self._grant(now)

    def _wait_again(self, held: HeldInput) -> bool:
        """Let a body wait again instead of refusing it; return whether that is fair.

        If the window update after a wait is lost, the sender's next probe comes after
        about the time waited, so a body that has hardly begun may still be sound.
        """
        if not (held._has_waited and 0 < held._received_bytes):
            return False
        if held._received_bytes > MAX_WAITING_AGAIN_BYTES:
            return False
        size_bytes = held.grant_bytes
        self._release(held)
        held._wants_bytes = size_bytes
        held._has_lost_grant = True
        self._waiting[held] = None
        held._on_grant_lost()
        return True

    def _is_slow(self, held: HeldInput, now: float) -> bool:
        if not held.grant_bytes or held.is_running:
            return False
        age_s = now - held._granted_at
        expected_bytes = (age_s - GRANT_GRACE_S) * MIN_GRANTED_BYTES_PER_S
        is_slow = age_s > GRANT_GRACE_S and held._received_bytes < expected_bytes
        return is_slow or now - held._received_at > GRANT_GRACE_S

    def _resize(self, held: HeldInput, size_bytes: int) -> None:
        if held not in self._held:
            return
        self.small_bytes += size_bytes - held.size_bytes
        if held.is_running:
            self.running_bytes += size_bytes - held.size_bytes
        held.size_bytes = size_bytes
        if self.is_full and not self._is_evicting:
            self._evict_costly()

    def _admits(self, size_bytes: int) -> bool:
        is_ordinary = size_bytes <= ORDINARY_BYTES
        share = 1.0 if is_ordinary else 1.0 - RESERVED_FRACTION
        return self.running_bytes + size_bytes <= share * self.limits.small_bytes

    def _evict_costly(self) -> None:
        """Evict what costs the most for the longest time.

        Afterwards a tenth of what running requests leave is free.
        """
        newest = max((held.since for held in self._held), default=0.0)
        left_bytes = max(0, self.limits.small_bytes - self.running_bytes)
        wanted_bytes = self.running_bytes + 0.9 * left_bytes
        candidates = [h for h in self._held if self._is_evictable(h, newest)]
        candidates.sort(
            key=lambda h: h.size_bytes * (1.0 + newest - h.since), reverse=True
        )
        self._is_evicting = True
        try:
            for held in candidates:
                if self.small_bytes <= wanted_bytes:
                    break
                self._evict(held, "no memory for callers")
        finally:
            self._is_evicting = False

    def _is_evictable(self, held: HeldInput, now: float) -> bool:
        return not held.is_running and held.protected_until <= now

    def _evict_longest_unused(self, now: float) -> None:
        candidates = [
            h for h in self._held if self._is_evictable(h, now) and not h.is_control
        ]
        if candidates:
            victim = min(candidates, key=lambda h: (h.grant_bytes > 0, h.since))
            self._evict(victim, "too many connections")

    def _evict(self, held: HeldInput, reason: str) -> None:
        self.evicted_count += 1
        self._release(held)
        held._on_evicted(reason)

    def _ask(self, held: HeldInput, size_bytes: int, now: float) -> bool:
        held._wants_bytes = size_bytes
        held._waits_since = now
        held._received_bytes, held._has_lost_grant = 0, False
        self._waiting[held] = None
        is_first = len(self._waiting) == 1
        held._has_waited = not (is_first and self._fits(size_bytes))
        if not held._has_waited:
            self._give(held, now)
        return not held._has_waited

    def _fits(self, size_bytes: int) -> bool:
        is_room = self.granted_bytes + size_bytes <= self.limits.large_bytes
        # The largest body is served even if it is larger than the part.
        return is_room or not self.granted_bytes

    def _give(self, held: HeldInput, now: float) -> None:
        self._waiting.pop(held, None)
        held.grant_bytes, held._wants_bytes = held._wants_bytes, 0
        held._granted_at = held._received_at = now
        self.granted_bytes += held.grant_bytes

    def _grant(self, now: float) -> None:
        while self._waiting:
            held = min(
                self._waiting,
                key=lambda h: (h.client in self._penalties, h._has_lost_grant),
            )
            if not self._fits(held._wants_bytes):
                return
            self._give(held, now)
            held._on_granted()

    def _release(self, held: HeldInput) -> None:
        self._waiting.pop(held, None)
        held._wants_bytes = 0
        self.granted_bytes -= held.grant_bytes
        held.grant_bytes = 0

    def _close(self, held: HeldInput) -> None:
        if self._held.pop(held, self) is self:
            return
        self.small_bytes -= held.size_bytes
        if held.is_running:
            self.running_bytes -= held.size_bytes
        held.size_bytes = 0
