"""Identities that requests had together when the targets that ran them were lost."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterator

#: A target and the time of its loss.
Loss = tuple[str, float]

#: Largest number of alternatives that are told apart. More requests than that run
#: together on several lost targets only if these end for another cause, such as a loss
#: of power.
MAX_ALTERNATIVES = 64

#: Largest number of identities that count as those of one request if its entry was
#: dropped. The entry comes back with the next loss of a target that runs the request.
MAX_UNRECORDED = 64


def count_separate(losses: Collection[Loss], interval_s: float) -> int:
    """Return the number of losses that come an interval or more after the one before.

    Parameters
    ----------
    losses : collection of tuple
        Targets and times of the losses.
    interval_s : float
        Least time in seconds between two losses that count.
    """
    count, counted_at = 0, float("-inf")
    for lost_at in sorted(lost_at for _, lost_at in losses):
        if lost_at - counted_at >= interval_s:
            count, counted_at = count + 1, lost_at
    return count


class LostRuns:
    """Requests that ran on lost targets; requests with equal identities are one entry.

    Parameters
    ----------
    max_identities : int
        Largest number of identities of all entries; the oldest entries are dropped.
    """

    def __init__(self, max_identities: int) -> None:
        self._max_identities = max_identities
        self._losses: OrderedDict[frozenset[bytes], set[Loss]] = OrderedDict()
        self._identity_count = 0

    def __iter__(self) -> Iterator[tuple[frozenset[bytes], Loss]]:
        """Yield the identities of each entry with each of its losses, oldest first."""
        for identities, losses in self._losses.items():
            for loss in sorted(losses, key=lambda loss: loss[1]):
                yield identities, loss

    def record(self, identities: frozenset[bytes], loss: Loss) -> None:
        """Record that a target was lost while it ran a request with these identities.

        The newest entry is kept, also if it alone exceeds the limit.
        """
        if identities not in self._losses:
            self._losses[identities] = set()
            self._identity_count += len(identities)
        self._losses[identities].add(loss)
        self._losses.move_to_end(identities)
        while self._identity_count > self._max_identities and len(self._losses) > 1:
            self._remove(next(iter(self._losses)))

    def remove_before(self, oldest_at: float) -> None:
        """Remove the oldest entries whose losses were all before a time."""
        while self._losses:
            identities, losses = next(iter(self._losses.items()))
            if max(lost_at for _, lost_at in losses) >= oldest_at:
                return
            self._remove(identities)

    def alternatives(
        self, group: frozenset[bytes], losses: Collection[Loss]
    ) -> tuple[frozenset[bytes], ...]:
        """Return the largest parts of a group that a request had on these losses.

        Parameters
        ----------
        group : frozenset of bytes
            Identities that explain the losses equally well.
        losses : collection of tuple
            Targets and times of the losses.

        Returns
        -------
        tuple of frozenset
            Parts of the group, none of which contains another one; no parts if there
            are more than `MAX_ALTERNATIVES`. The whole group if the entry of a request
            was dropped.
        """
        parts = {
            group & identities
            for identities, own_losses in self._losses.items()
            if not own_losses.isdisjoint(losses)
        }
        parts.discard(frozenset())
        if group != frozenset().union(*parts):
            return (group,) if len(group) <= MAX_UNRECORDED else ()
        largest: list[frozenset[bytes]] = []
        for part in sorted(parts, key=len, reverse=True):
            if any(part < other for other in largest):
                continue
            largest.append(part)
            if len(largest) > MAX_ALTERNATIVES:
                return ()
        return tuple(largest)

    def _remove(self, identities: frozenset[bytes]) -> None:
        del self._losses[identities]
        self._identity_count -= len(identities)
