"""Events of the control state that routers apply to their view."""

from __future__ import annotations

from attrs import frozen

from berylnotch.control.commands import LifeState, Subject


@frozen
class TextChanged:
    """A new revision of the fleet configuration is in force."""

    revision: int
    text: str


@frozen
class KeyGiven:
    """A key was added and is accepted from now on."""

    key_id: str
    organisation: str
    key_hash: bytes


@frozen
class KeyWithdrawn:
    """A key was withdrawn and is no longer accepted."""

    key_id: str


@frozen
class DrainChanged:
    """An operator started or stopped draining a target or VM."""

    subject: Subject
    name: str
    draining: bool


@frozen
class LifeStateChanged:
    """``source`` observed that the life state of a VM or target changed."""

    subject: Subject
    name: str
    incarnation: str
    state: LifeState
    source: str


@frozen
class CrashReported:
    """A target was lost while running the request with this fingerprint."""

    fingerprint: bytes
    target: str
    at_ms: int


@frozen
class WeightsChanged:
    """An engine's weights version changed.

    ``version`` is empty while the engine loads. ``fence`` is the fencing token of the
    engine's newest order, 0 if there was none.
    """

    target: str
    service: str
    version: str
    fence: int


@frozen
class VersionedEvent:
    """An encoded event with the log index of its command as its version.

    Several events may share one version; a view applies all of them or none.
    """

    version: int
    event: bytes
