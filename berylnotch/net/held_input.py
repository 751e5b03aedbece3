"""Memory that one connection of a caller takes."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define

from berylnotch.net.request_limits import MIN_SENT_BYTES_PER_S, SENDING_GRACE_S

if TYPE_CHECKING:
    from berylnotch.net.request_memory import RequestMemory


@define(eq=False)
class HeldInput:
    """Memory that one connection of a caller takes.

    Parameters
    ----------
    client : str
        IP address of the caller.
    is_control : bool
        Whether the connection is at a port for operators, metrics or readiness.
    """

    client: str
    is_control: bool
    _memory: RequestMemory
    _on_granted: Callable[[], None]
    _on_evicted: Callable[[str], None]
    _on_grant_lost: Callable[[], None]
    #: Time of the last change between running and not, or of the first byte.
    since: float
    size_bytes: int = 0
    is_running: bool = False
    grant_bytes: int = 0
    #: Time up to which the connection is not evicted, as it sends a response.
    protected_until: float = 0.0
    _wants_bytes: int = 0
    _granted_at: float = 0.0
    _waits_since: float = 0.0
    _received_bytes: int = 0
    _received_at: float = 0.0
    _has_waited: bool = False
    _has_lost_grant: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether the body waits for a grant."""
        return self._wants_bytes > 0

    def resize(self, size_bytes: int) -> None:
        """Set the cost of what the connection holds, which may evict connections."""
        self._memory._resize(self, size_bytes)

    def set_running(self, is_running: bool, now: float) -> None:
        """Record whether a request runs; it may not be evicted then."""
        if is_running != self.is_running:
            self._memory.running_bytes += self.size_bytes * (1 if is_running else -1)
        self.is_running = is_running
        self.since = now

    def protect(self, response_bytes: int, now: float) -> None:
        """Do not evict the connection while its caller takes a response."""
        send_s = SENDING_GRACE_S + response_bytes / MIN_SENT_BYTES_PER_S
        self.protected_until = now + send_s

    def admits(self, size_bytes: int) -> bool:
        """Whether a request of a cost may run; costly ones leave a reserve."""
        return self.is_control or self._memory._admits(size_bytes)

    def ask(self, size_bytes: int, now: float) -> bool:
        """Ask for a grant; return whether it was given at once."""
        return self._memory._ask(self, size_bytes, now)

    def note_received(self, size_bytes: int, now: float) -> None:
        """Record how much of a granted body has arrived."""
        self._received_bytes, self._received_at = size_bytes, now

    def shrink(self, size_bytes: int, now: float) -> None:
        """Give back what a grant exceeds a size by."""
        if self.grant_bytes > size_bytes:
            self._memory.granted_bytes -= self.grant_bytes - size_bytes
            self.grant_bytes = size_bytes
            self._memory._grant(now)

    def release(self, now: float) -> None:
        """Give back the grant, or cease to wait for one."""
        if self.grant_bytes or self.is_waiting:
            self._memory._release(self)
            self._memory._grant(now)

    def close(self, now: float) -> None:
        """Free all memory of the connection."""
        self.release(now)
        self._memory._close(self)
