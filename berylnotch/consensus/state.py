"""Values that pass between a replica, its storage and the shell."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from berylnotch.consensus.messages import Entry, Members


@frozen
class HardState:
    """Term and vote, which must be durable before a reply leaves.

    Parameters
    ----------
    term : int
        Newest term that the replica has seen.
    voted_for : str
        Replica that got the vote in this term, or empty.
    followed : str
        Leader of this term whose entries or heartbeats were answered, or empty.
    """

    term: int = 0
    voted_for: str = ""
    followed: str = ""

    def supports(self, replica: str) -> bool:
        """Whether no other replica got the vote, or was followed, in this term."""
        return (self.followed or self.voted_for) == replica


@frozen
class Snapshot:
    """State after the entry ``last_index``, which replaces the log up to it."""

    last_index: int
    last_term: int
    members: Members
    data: bytes


@frozen
class Recovered:
    """What a data folder held at start."""

    identity: str
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


@frozen
class Outgoing:
    """A message for another replica."""

    replica: str
    address: str
    message: Any


@frozen
class Ready:
    """Work for the shell: save, then send, then apply, then `advance`.

    Parameters
    ----------
    hard_state : HardState or None
        New term or vote to save.
    truncate_from : int or None
        Index from which saved entries are void.
    entries : tuple of Entry
        Entries to save.
    snapshot : Snapshot or None
        Snapshot from the leader; it replaces the whole log and the state.
    messages : tuple of Outgoing
        Messages to send once all above is durable.
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
        """Whether something has to be durable before messages leave."""
        return bool(self.hard_state or self.entries or self.snapshot)

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to do."""
        return not (self.must_save or self.messages or self.committed)
