"""Leader that a controller without a replica hears of."""

from __future__ import annotations

from berylnotch.consensus.messages import AppendRequest, SnapshotRequest


class HeardLeader:
    """Leader whose messages reach a controller while its disk fails.

    The address is a hint for operators and routers. Without it, they are refused for
    as long as the disk is full, although another controller leads.

    Parameters
    ----------
    valid_s : float
        Seconds for which the hint is valid after a message. A leader sends heartbeats
        to a member whose disk fails too.
    """

    def __init__(self, valid_s: float) -> None:
        self._valid_s = valid_s
        self._term = 0
        self._address = ""
        self._heard_at = float("-inf")

    def record(self, now: float, message: object, known_term: int) -> None:
        """Record a message that the controller cannot process.

        A message of a term below ``known_term`` comes from a leader that was replaced.
        """
        if not isinstance(message, AppendRequest | SnapshotRequest):
            return
        if message.term >= max(self._term, known_term) and message.address:
            self._term, self._address = message.term, message.address
            self._heard_at = now

    def address(self, now: float) -> str:
        """Return the address at which the leader accepts links, empty if unknown."""
        return self._address if now - self._heard_at < self._valid_s else ""
