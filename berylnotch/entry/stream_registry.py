"""Provides the software versions at which streams began.

A router remembers the streams that it began itself and asks the leader for the others.
It sends records of its own streams to the leader, so that other routers can learn them,
while targets of several versions serve. With one version, no record is necessary.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

from attrs import frozen

from berylnotch.group.messages import StreamRecords, VersionQuery, VersionReply
from berylnotch.membership.stream_versions import (
    UNKNOWN_VERSION,
    join_identities,
    stream_lifetime_s,
)

#: Largest number of streams that are remembered, about 4 MB. It is the number of
#: streams that begin in their lifetime at 600 a second.
MAX_KNOWN_STREAMS = 20_000

#: Largest number of identities in one message, which keeps it under 10 KB.
MAX_IDENTITIES = 1_000

#: Called with the version, empty if it is unknown, and with whether it was found out.
OnVersion = Callable[[str, bool], None]


@frozen
class _KnownStream:
    service: str
    version: str
    expires_at: float


@frozen
class _PendingQuery:
    message: VersionQuery
    expires_at: float
    on_version: OnVersion
    #: Version that this router remembers, empty if it remembers none.
    own_version: str


class StreamRegistry:
    """Remembers and looks up the software versions at which streams began.

    Parameters
    ----------
    send : callable
        Sends a message to the leader.
    schedule_flush : callable
        Schedules a call of `flush`, which gathers records that are made at about the
        same time into one message.
    wait_s : float
        Longest time in seconds for which a request waits for the leader's reply.
    """

    def __init__(
        self,
        send: Callable[[object], None],
        schedule_flush: Callable[[], None],
        wait_s: float,
    ) -> None:
        self._send = send
        self._schedule_flush = schedule_flush
        self._wait_s = wait_s
        self._lifetime_s = stream_lifetime_s(0.0)
        #: Streams by identity, in the order in which they were last recorded.
        self._known: OrderedDict[bytes, _KnownStream] = OrderedDict()
        self._unsent: dict[bytes, _KnownStream] = {}
        self._mixed_services: frozenset[str] = frozenset()
        self._queries: dict[int, _PendingQuery] = {}
        self._newest_number = 0

    @property
    def mixed_services(self) -> tuple[str, ...]:
        """Services whose records the leader has been sent and gets from now on."""
        return tuple(sorted(self._mixed_services))

    def set_longest_timeout(self, timeout_s: float) -> None:
        """Set the longest time-out of all routes in seconds."""
        self._lifetime_s = stream_lifetime_s(timeout_s)

    def record(self, now: float, service: str, identity: bytes, version: str) -> None:
        """Record the version at which a stream began, empty if it is unknown.

        A stream with records of two versions is unknown, since a caller used one id
        twice.
        """
        previous = self._known.pop(identity, None)
        if previous is not None and previous.version != version:
            version = UNKNOWN_VERSION
        stream = _KnownStream(service, version, now + self._lifetime_s)
        self._known[identity] = stream
        self._drop_old(now)
        if self._is_reported(stream):
            self._unsent[identity] = stream
            self._schedule_flush()

    def find(
        self, now: float, service: str, identity: bytes, on_version: OnVersion
    ) -> None:
        """Find out at which version a stream began, at once or when the leader replies.

        An empty identity asks for the version of all streams of the service. While
        several versions serve, the leader is also asked for a remembered stream, since
        its id may have begun one of another version at another router.
        """
        stream = self._known.get(identity)
        own_version = UNKNOWN_VERSION
        if stream is not None and now < stream.expires_at:
            own_version = stream.version
            if own_version == UNKNOWN_VERSION or service not in self._mixed_services:
                on_version(own_version, True)
                return
            # The leader replies after the records that reached it before the query.
            self.flush()
        self._newest_number += 1
        query = VersionQuery(self._newest_number, service, identity)
        self._queries[query.number] = _PendingQuery(
            query, now + self._wait_s, on_version, own_version
        )
        self._send(query)

    def receive(self, reply: VersionReply) -> None:
        """Apply a reply of the leader."""
        pending = self._queries.pop(reply.number, None)
        if pending is None:
            return
        is_other = pending.own_version not in (UNKNOWN_VERSION, reply.version)
        pending.on_version(UNKNOWN_VERSION if is_other else reply.version, True)

    def serve(self, now: float) -> None:
        """End the queries that waited too long with what this router remembers."""
        for number, pending in tuple(self._queries.items()):
            if now >= pending.expires_at:
                del self._queries[number]
                is_remembered = pending.own_version != UNKNOWN_VERSION
                pending.on_version(pending.own_version, is_remembered)

    def set_mixed_services(self, now: float, services: Iterable[str]) -> bool:
        """Set the services at which targets of several versions may serve.

        The leader gets the records of the streams that began before. The method returns
        whether there are further services, which the leader waits for.
        """
        previous, self._mixed_services = self._mixed_services, frozenset(services)
        added = self._mixed_services - previous
        if added:
            self._drop_old(now)
            self._collect(lambda stream: stream.service in added)
            self.flush()
        return bool(added)

    def on_link_open(self, now: float) -> None:
        """Send all records and open queries, of which a new leader may know none."""
        self._drop_old(now)
        self._collect(self._is_reported)
        self.flush()
        for pending in self._queries.values():
            self._send(pending.message)

    def flush(self) -> None:
        """Send the records that were not sent yet."""
        identities: dict[tuple[str, str], list[bytes]] = {}
        for identity, stream in self._unsent.items():
            identities.setdefault((stream.service, stream.version), []).append(identity)
        self._unsent = {}
        for (service, version), group in identities.items():
            for start in range(0, len(group), MAX_IDENTITIES):
                joined = join_identities(group[start : start + MAX_IDENTITIES])
                self._send(StreamRecords(service, version, joined))

    def _is_reported(self, stream: _KnownStream) -> bool:
        is_mixed = stream.service in self._mixed_services
        return is_mixed or stream.version == UNKNOWN_VERSION

    def _collect(self, is_collected: Callable[[_KnownStream], bool]) -> None:
        self._unsent.update(
            (identity, stream)
            for identity, stream in self._known.items()
            if is_collected(stream)
        )

    def _drop_old(self, now: float) -> None:
        while self._known:
            identity, stream = next(iter(self._known.items()))
            if now < stream.expires_at and len(self._known) <= MAX_KNOWN_STREAMS:
                return
            del self._known[identity]
