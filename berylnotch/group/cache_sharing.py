"""Organisations that may have shared cache entries with others, over all versions."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

#: Largest number of organisations that left the configuration and are remembered. With
#: one more, a new generation begins, so that none of them has to be remembered.
MAX_DEPARTED_SHARERS = 4096


@frozen
class SavedCacheSharing:
    """Serialised form in a snapshot.

    If ``is_known`` is false, any organisation may have shared entries: the snapshot was
    written before the first configuration, or by an earlier version of this program.
    """

    generation: int = 0
    sharers: tuple[str, ...] = ()
    is_known: bool = False


class CacheSharing:
    """Generation of the cache entries that organisations share.

    Targets do not tell which organisation made a cache entry. If an organisation that
    may have made shared entries becomes isolated, no other organisation may use any
    entry of that time, so a new generation begins. Organisations that left the
    configuration count too, since they may return as isolated ones.

    Parameters
    ----------
    saved : SavedCacheSharing, optional
        State to continue from.
    """

    def __init__(self, saved: SavedCacheSharing = SavedCacheSharing()) -> None:
        self._generation = saved.generation
        #: Organisations that may have shared entries in this generation; None if any
        #: organisation may have.
        self._sharers = frozenset(saved.sharers) if saved.is_known else None
        self._reason = ""

    @property
    def generation(self) -> int:
        """Version of the configuration that began the generation, 0 if unknown."""
        return self._generation

    @property
    def reason(self) -> str:
        """Reason for which the generation began, empty if this process cannot tell."""
        return self._reason

    def put_configuration(
        self, version: int, sharing: Iterable[str], isolated: Iterable[str]
    ) -> None:
        """Record the organisations of a new configuration.

        Parameters
        ----------
        version : int
            Version of the configuration, above those of all earlier ones.
        sharing : iterable of str
            Organisations that share cache entries.
        isolated : iterable of str
            Organisations that do not.
        """
        sharing = frozenset(sharing)
        reason = self._find_reason(sharing, isolated)
        if reason:
            self._generation, self._sharers = version, sharing
            self._reason = reason
        else:
            self._sharers |= sharing

    def put_unknown(self) -> None:
        """Record a configuration of which the organisations are not known."""
        self._sharers = None

    def save(self) -> SavedCacheSharing:
        """Return the state for a snapshot."""
        sharers = tuple(sorted(self._sharers or ()))
        return SavedCacheSharing(self._generation, sharers, self._sharers is not None)

    def _find_reason(self, sharing: frozenset[str], isolated: Iterable[str]) -> str:
        """Return why a configuration begins a generation, empty if it does not."""
        if self._sharers is None:
            return "earlier organisations are unknown"
        newly_isolated = sorted(self._sharers.intersection(isolated))
        if newly_isolated:
            return f"isolated: {','.join(newly_isolated)}"
        departed_count = len(self._sharers - sharing)
        if departed_count > MAX_DEPARTED_SHARERS:
            return f"{departed_count} organisations left"
        return ""
