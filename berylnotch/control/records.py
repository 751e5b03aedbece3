"""Records of the control state's snapshots."""

from __future__ import annotations

from attrs import frozen


@frozen
class ViewHeader:
    """First record of a view's snapshot."""

    version: int
    revision: int
    group: str = ""


@frozen
class KeyBlock:
    """Keys of one organisation; ``key_hashes`` are joined in the same order."""

    organisation: str
    key_ids: tuple[str, ...]
    key_hashes: bytes


@frozen
class StateHeader:
    """First record of a state's snapshot.

    ``view_records`` tells how many of the next records belong to the view.
    """

    index: int
    at_ms: int
    text_operator: str
    text_at_ms: int
    view_records: int


@frozen
class KeyTimes:
    """When keys were given, in Unix milliseconds."""

    key_ids: tuple[str, ...]
    given_ms: tuple[int, ...]


@frozen
class AuditBlock:
    """Encoded `AuditRecord` with the fields that they are found by."""

    indexes: tuple[int, ...]
    change_ids: tuple[str, ...]
    records: tuple[bytes, ...]


@frozen
class RolloutRecord:
    """Weights version that a service's engines shall hold."""

    service: str
    version: str
    index: int
    operator: str
    at_ms: int


@frozen
class OrderRecord:
    """Newest order to an engine.

    ``finished_ms`` is 0 while it runs. ``failures`` counts the orders of this
    version that failed in a row.
    """

    target: str
    service: str
    version: str
    fence: int
    issued_ms: int
    finished_ms: int = 0
    ok: bool = False
    failures: int = 0
    detail: str = ""
