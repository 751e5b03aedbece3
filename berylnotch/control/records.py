"""Records in snapshots of the control state."""

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
    """Keys of an organisation; ``key_hashes`` is concatenated in ``key_ids`` order."""

    organisation: str
    key_ids: tuple[str, ...]
    key_hashes: bytes


@frozen
class StateHeader:
    """First record of a state's snapshot.

    ``view_records`` is the number of records after this one that belong to the view.
    """

    index: int
    at_ms: int
    text_operator: str
    text_at_ms: int
    view_records: int


@frozen
class KeyTimes:
    """Unix times in milliseconds at which keys were added."""

    key_ids: tuple[str, ...]
    given_ms: tuple[int, ...]


@frozen
class AuditBlock:
    """Encoded `AuditRecord` instances with their log indexes and change IDs."""

    indexes: tuple[int, ...]
    change_ids: tuple[str, ...]
    records: tuple[bytes, ...]


@frozen
class RolloutRecord:
    """Newest rollout of a weights version to a service's engines."""

    service: str
    version: str
    index: int
    operator: str
    at_ms: int


@frozen
class OrderRecord:
    """Newest order to an engine.

    ``finished_ms`` is 0 while the order runs. ``failures`` is the number of
    consecutive orders of this version that failed.
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
