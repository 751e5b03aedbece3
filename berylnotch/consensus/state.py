"""Values exchanged between a replica, its storage and the embedding program."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from berylnotch.consensus.messages import Entry, Members


@frozen
class HardState:
    """Term and vote, which must be durable before a reply is sent.

    Parameters
    ----------
    term : int
        Highest term that the replica has seen.
    voted_for : str
        Replica id that got the vote in this term, or empty.
    followed : str
        Replica id of the leader whose entries or heartbeats this replica answered in
        this term, or empty.
    """

    term: int = 0
    voted_for: str = ""
    followed: str = ""

    def supports(self, replica: str) -> bool:
        """Whether ``replica`` is the followed leader or, with none, got the vote."""
        return (self.followed or self.voted_for) == replica


@frozen
class Snapshot:
    """State after the entry at ``last_index``; it replaces the log up to that entry."""

    last_index: int
    last_term: int
    members: Members
    data: bytes


@frozen
class Recovered:
    """Contents of a data folder at start."""

    identity: str
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


@frozen
class Outgoing:
    """A message to another replica and the address to send it to."""

    replica: str
    address: str
    message: Any


@frozen
class Ready:
    """Work for the embedding program: save, send and apply, then call `advance`.

    Parameters
    ----------
    hard_state : HardState or None
        New hard state to save, or None if it is unchanged.
    truncate_from : int or None
        Index from which the saved entries are void, or None.
    entries : tuple of Entry
        Entries to save.
    snapshot : Snapshot or None
        Snapshot from the leader; it replaces the whole log and the applied state.
    messages : tuple of Outgoing
        Messages to send once everything above is durable.
    committed : tuple of Entry
        Entries to apply, in order.
    """

    hard_state: HardState | None = None
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None
    messages: tuple[Outgoing, ...] = ()
    committed: tuple[Entry, ...] = ()

    @property
    def must_save(self) -> bool:
        """Whether something must become durable before messages are sent."""
        return bool(self.hard_state or self.entries or self.snapshot)

    @property
    def is_empty(self) -> bool:
        """Whether there is no work."""
        return not (self.must_save or self.messages or self.committed)
