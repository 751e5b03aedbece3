"""Commands that change the replicated state of a fleet."""

from __future__ import annotations

import sys

from attrs import frozen

from berylnotch.group.rollouts import RolloutPhase
from berylnotch.group.stream_records import VersionGroup
from berylnotch.transport.packing import message_classes


@frozen
class PutConfiguration:
    """Activate a configuration, unless the active version is equal or higher.

    ``sharing`` and ``isolated`` are the organisations that share cache entries and
    those that do not. If ``has_organisations`` is false, they are not known.
    """

    version: int
    content: bytes
    sharing: tuple[str, ...] = ()
    isolated: tuple[str, ...] = ()
    has_organisations: bool = False


@frozen
class NameWeights:
    """Announce the version of a model's weights that engines have to run."""

    model: str
    version: int


@frozen
class TakeOrders:
    """A controller acquires the right to send orders to engines."""

    holder: str


@frozen
class GiveBackOrders:
    """A controller releases the right to send orders to engines.

    It sends no further order, and has sent none for the length of an order lease.
    """

    holder: str


@frozen
class RefuseCause:
    """Refuse all requests that have all of these identities, since they crash targets.

    An identity is a request's fingerprint or a part of its prompt
    (`berylnotch.membership.crash_causes`). They are sorted.
    """

    identities: tuple[bytes, ...]


@frozen
class AllowCause:
    """End the refusal of the requests that have all of these identities."""

    identities: tuple[bytes, ...]


@frozen
class ServiceVersions:
    """Software versions at which streams of a service that still last may have begun.

    Without any, the service is forgotten. An empty version stands for streams whose
    version cannot be told.
    """

    service: str
    versions: tuple[str, ...]


@frozen
class ListSoftwareVersions:
    """Replace the software versions of some services.

    A version is listed before the first request is sent to an engine of it, and until
    no stream that began there can last.
    """

    services: tuple[ServiceVersions, ...]


@frozen
class RecordStreams:
    """Record the software versions of streams, and drop the batches before a number."""

    groups: tuple[VersionGroup, ...]
    keep_from: int = 0


@frozen
class StartRollout:
    """Start a rollout of a service to another software version.

    ``duration_s`` is the time in seconds within which it has to end, and ``started_ms``
    the Unix time in ms at which the leader took the order.
    """

    service: str
    version: str
    duration_s: float
    started_ms: int


@frozen
class MoveRollout:
    """Move the rollout of a service with a number to a later phase."""

    service: str
    number: int
    phase: RolloutPhase
    reason: str = ""


@frozen
class TakeOverLimits:
    """A leader becomes the owner of the organisations' limits.

    It grants nothing before this is committed, and then the share of the headroom that
    the state gives it.
    """

    controller: str


@frozen
class SettleLimits:
    """The tokens granted by an owner and those before it need no headroom any more."""

    owner: int


@frozen
class LimitRouter:
    """Name and incarnation of a router that may hold tokens of organisations."""

    name: str
    incarnation: str


@frozen
class ListLimitRouters:
    """Change the list of the routers that may hold tokens of organisations.

    A router is added before its first grant, and removed when it can hold none and its
    charges are older than the window. The incarnation of a router is replaced once the
    charges of the earlier one are older than the window.
    """

    routers: tuple[LimitRouter, ...]
    gone: tuple[str, ...] = ()


COMMANDS = message_classes(sys.modules[__name__])
