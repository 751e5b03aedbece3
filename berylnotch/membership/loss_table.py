"""Losses of targets by the identities that may be their cause, in bounded memory."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping

from berylnotch.membership.lost_runs import Loss


class LossTable:
    """Losses by identity, in three parts that do not displace each other.

    Identities with several losses are what a cause is looked for among. Of those with
    one loss, a crash may bring thousands of prompt parts, which must not displace the
    requests that had few parts.

    Parameters
    ----------
    max_identities : int
        Largest number of identities. Half of them may have several losses, a quarter
        may be requests with one loss, and a quarter prompt parts with one loss.
    is_part : callable
        Returns whether an identity is that of a prompt part.
    """

    def __init__(self, max_identities: int, is_part: Callable[[bytes], bool]) -> None:
        self._is_part = is_part
        self._repeated: OrderedDict[bytes, set[Loss]] = OrderedDict()
        self._requests: OrderedDict[bytes, set[Loss]] = OrderedDict()
        self._parts: OrderedDict[bytes, set[Loss]] = OrderedDict()
        quarter = max(1, max_identities // 4)
        self._limits = (
            (self._repeated, 2 * quarter),
            (self._requests, quarter),
            (self._parts, quarter),
        )

    def __len__(self) -> int:
        return sum(len(table) for table, _ in self._limits)

    def __iter__(self) -> Iterator[bytes]:
        for table, _ in self._limits:
            yield from table

    @property
    def repeated(self) -> Mapping[bytes, set[Loss]]:
        """Identities with several losses."""
        return self._repeated

    def get(self, identity: bytes) -> set[Loss]:
        """Return the losses of an identity, none if it is unknown."""
        for table, _ in self._limits:
            if identity in table:
                return table[identity]
        return set()

    def add(self, identity: bytes, loss: Loss) -> None:
        """Add a loss; the identities with the oldest losses make room if needed."""
        self.replace(identity, {*self.get(identity), loss})
        for table, limit in self._limits:
            while len(table) > limit:
                table.popitem(last=False)

    def replace(self, identity: bytes, losses: set[Loss]) -> None:
        """Replace the losses of an identity; without losses it is forgotten."""
        for table, _ in self._limits:
            table.pop(identity, None)
        if len(losses) > 1:
            self._repeated[identity] = losses
        elif losses and self._is_part(identity):
            self._parts[identity] = losses
        elif losses:
            self._requests[identity] = losses

    def remove_before(self, oldest_at: float) -> None:
        """Remove the losses before a time, in each part from the oldest identity on."""
        for table, _ in self._limits:
            while table:
                identity, losses = next(iter(table.items()))
                if max(lost_at for _, lost_at in losses) >= oldest_at:
                    break
                table.pop(identity)
        for identity, losses in tuple(self._repeated.items()):
            kept = {loss for loss in losses if loss[1] >= oldest_at}
            if len(kept) < len(losses):
                self.replace(identity, kept)
