"""Replicated fleet state with configuration, weights and holder of the order lease."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import frozen

from berylnotch.group.cache_sharing import CacheSharing, SavedCacheSharing
from berylnotch.group.commands import (
    COMMANDS,
    AllowCause,
    GiveBackOrders,
    ListLimitRouters,
    ListSoftwareVersions,
    MoveRollout,
    NameWeights,
    PutConfiguration,
    RecordStreams,
    RefuseCause,
    ServiceVersions,
    SettleLimits,
    StartRollout,
    TakeOrders,
    TakeOverLimits,
)
from berylnotch.group.limit_owners import LimitOwners, SavedLimitOwners
from berylnotch.group.rollout_changes import move_rollout, start_rollout
from berylnotch.group.rollouts import ServiceRollout
from berylnotch.group.stream_records import RecordedStreams, SavedBatch
from berylnotch.membership.listing import ModelVersion
from berylnotch.membership.stream_versions import UNKNOWN_VERSION
from berylnotch.transport.packing import pack, unpack

#: Causes that are refused at the same time; the oldest are allowed first. Each costs
#: three targets, and a leader ends a refusal after 300 s, so that a fleet would have to
#: lose ten targets a second for more of them.
MAX_REFUSED_CAUSES = 1024


@frozen
class _Saved:
    """Serialised form of the state in a snapshot."""

    version: int
    content: bytes
    weights: tuple[ModelVersion, ...]
    order_holder: str
    refused: tuple[tuple[bytes, ...], ...] = ()
    software_versions: tuple[ServiceVersions, ...] = ()
    stream_batches: tuple[SavedBatch, ...] = ()
    next_stream_batch: int = 0
    rollouts: tuple[ServiceRollout, ...] = ()
    limit_owners: SavedLimitOwners = SavedLimitOwners()
    cache_sharing: SavedCacheSharing = SavedCacheSharing()


class FleetState:
    """State that every controller derives from the same replicated log."""

    def __init__(self) -> None:
        self._version = 0
        self._content = b""
        self._weights: dict[str, int] = {}
        self._order_holder = ""
        self._refused: dict[frozenset[bytes], None] = {}
        self._software_versions: dict[str, frozenset[str]] = {}
        self._recorded_streams = RecordedStreams()
        self._rollouts: dict[str, ServiceRollout] = {}
        self._limit_owners = LimitOwners()
        self._cache_sharing = CacheSharing()
        self._revision = 0

    @property
    def revision(self) -> int:
        """Number that grows with changes other than of stream records and owners."""
        return self._revision

    @property
    def software_versions(self) -> Mapping[str, frozenset[str]]:
        """Software versions at which streams of each service may have begun.

        An empty version stands for streams whose version cannot be told.
        """
        return self._software_versions

    @property
    def stream_batches(self) -> range:
        """Numbers of the batches of stream records, from the oldest to the newest."""
        return range(
            self._recorded_streams.first_number, self._recorded_streams.next_number
        )

    @property
    def version(self) -> int:
        """Version of the active configuration, 0 before the first one."""
        return self._version

    @property
    def content(self) -> bytes:
        """Active configuration, as the bytes that the operator submitted."""
        return self._content

    @property
    def cache_sharing(self) -> CacheSharing:
        """Generation of the cache entries that organisations share."""
        return self._cache_sharing

    @property
    def weights(self) -> tuple[ModelVersion, ...]:
        """Newest announced version of each model."""
        return tuple(ModelVersion(m, v) for m, v in sorted(self._weights.items()))

    @property
    def order_holder(self) -> str:
        """Controller that has the right to send orders; empty if none has it.

        Only orders of this controller can be in progress.
        """
        return self._order_holder

    @property
    def rollouts(self) -> Mapping[str, ServiceRollout]:
        """Newest rollout of each service."""
        return self._rollouts

    @property
    def limit_owners(self) -> LimitOwners:
        """Owners of the organisations' limits."""
        return self._limit_owners

    @property
    def refused(self) -> frozenset[frozenset[bytes]]:
        """Causes of crashes: requests with all identities of one are refused."""
        return frozenset(self._refused)

    def recorded_version(self, identity: bytes) -> str | None:
        """Return the recorded software version of a stream, None without a record."""
        return self._recorded_streams.version(identity)

    def stream_version(self, service: str, identity: bytes) -> str:
        """Return the software version at which a stream began, empty if unknown.

        A stream without a record began at the only version of its service.
        """
        recorded = self._recorded_streams.version(identity)
        if recorded is not None:
            return recorded
        versions = self._software_versions.get(service, frozenset())
        return next(iter(versions)) if len(versions) == 1 else UNKNOWN_VERSION

    @property
    def streams_dropped(self) -> int:
        """Number of records that this process dropped for lack of room."""
        return self._recorded_streams.dropped

    def wanted_version(self, model: str) -> int:
        """Return the newest announced version of a model, 0 if there is none."""
        return self._weights.get(model, 0)

    def apply(self, payload: bytes) -> None:
        """Apply a committed command."""
        command = unpack(payload, COMMANDS)
        if isinstance(command, RecordStreams):
            self._record_streams(command)
            return
        if isinstance(command, TakeOverLimits | SettleLimits | ListLimitRouters):
            self._limit_owners.apply(command)
            return
        self._revision += 1
        if isinstance(command, PutConfiguration):
            self._put_configuration(command)
        elif isinstance(command, NameWeights):
            current_version = self._weights.get(command.model, 0)
            self._weights[command.model] = max(current_version, command.version)
        elif isinstance(command, TakeOrders):
            self._order_holder = command.holder
        elif isinstance(command, GiveBackOrders):
            if self._order_holder == command.holder:
                self._order_holder = ""
        elif isinstance(command, RefuseCause):
            self._refused[frozenset(command.identities)] = None
            while len(self._refused) > MAX_REFUSED_CAUSES:
                del self._refused[next(iter(self._refused))]
        elif isinstance(command, AllowCause):
            self._refused.pop(frozenset(command.identities), None)
        elif isinstance(command, ListSoftwareVersions):
            for listed in command.services:
                self._software_versions[listed.service] = frozenset(listed.versions)
                if not listed.versions:
                    del self._software_versions[listed.service]
        elif isinstance(command, StartRollout):
            started = start_rollout(self._rollouts, command)
            if started is not None:
                self._rollouts[command.service] = started
        elif isinstance(command, MoveRollout):
            moved = move_rollout(self._rollouts.get(command.service), command)
            if moved is not None:
                self._rollouts[command.service] = moved

    def _put_configuration(self, command: PutConfiguration) -> None:
        if command.version <= self._version:
            return
        self._version = command.version
        self._content = command.content
        if command.has_organisations:
            self._cache_sharing.put_configuration(
                command.version, command.sharing, command.isolated
            )
        else:
            self._cache_sharing.put_unknown()

    def _record_streams(self, command: RecordStreams) -> None:
        self._recorded_streams.drop_before(command.keep_from)
        for service in self._recorded_streams.add(command.groups):
            # Streams of the service without a record may have had one.
            self._revision += 1
            versions = self._software_versions.get(service, frozenset())
            self._software_versions[service] = versions | {UNKNOWN_VERSION}

    def snapshot(self) -> bytes:
        """Return the serialised state."""
        return pack(
            _Saved(
                self._version,
                self._content,
                self.weights,
                self._order_holder,
                tuple(tuple(sorted(cause)) for cause in self._refused),
                tuple(
                    ServiceVersions(service, tuple(sorted(versions)))
                    for service, versions in sorted(self._software_versions.items())
                ),
                self._recorded_streams.save(),
                self._recorded_streams.next_number,
                tuple(self._rollouts[name] for name in sorted(self._rollouts)),
                self._limit_owners.save(),
                self._cache_sharing.save(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` serialised."""
        saved = unpack(data, (_Saved,))
        self._version = saved.version
        self._content = saved.content
        self._weights = {w.name: w.version for w in saved.weights}
        self._order_holder = saved.order_holder
        self._refused = {frozenset(cause): None for cause in saved.refused}
        self._software_versions = {
            s.service: frozenset(s.versions) for s in saved.software_versions
        }
        self._recorded_streams.restore(saved.stream_batches, saved.next_stream_batch)
        self._rollouts = {rollout.service: rollout for rollout in saved.rollouts}
        self._limit_owners = LimitOwners(saved.limit_owners)
        self._cache_sharing = CacheSharing(saved.cache_sharing)
        self._revision += 1
