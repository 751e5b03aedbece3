"""Events of the control state that routers apply to their view."""

from __future__ import annotations

from attrs import frozen

from berylnotch.control.commands import LifeState, Subject


@frozen
class TextChanged:
    """A new revision of the operators' text is in force."""

    revision: int
    text: str


@frozen
class KeyGiven:
    """A key is accepted."""

    key_id: str
    organisation: str
    key_hash: bytes


@frozen
class KeyWithdrawn:
    """A key is no longer accepted."""

    key_id: str


@frozen
class DrainChanged:
    """An operator drained a target or VM, or ended that."""

    subject: Subject
    name: str
    draining: bool


@frozen
class LifeStateChanged:
    """A VM or target changed its state."""

    subject: Subject
    name: str
    incarnation: str
    state: LifeState
    source: str


@frozen
class CrashReported:
    """One more target was lost while it ran this fingerprint."""

    fingerprint: bytes
    target: str
    at_ms: int


@frozen
class WeightsChanged:
    """Weights version of an engine; empty while it loads."""

    target: str
    service: str
    version: str
    fence: int


@frozen
class VersionedEvent:
    """An encoded event and the log index that brought it.

    Several events may share one index; a view applies all of them or none.
    """

    version: int
    event: bytes
