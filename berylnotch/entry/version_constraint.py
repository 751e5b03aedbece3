"""Limits the stream of one request to the software version that began it.

Targets of two software versions write different text for one request, and do not
check which version wrote the events that they go on from.
"""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.entry.context import EntryContext
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.entry.targets import Target
from berylnotch.membership.stream_versions import UNKNOWN_VERSION, stream_identity
from berylnotch.util.clock import boot_time


class VersionConstraint:
    """Software version at which the stream of one request may go on.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    routed : RoutedRequest
        The request.
    service : str
        Service that the request is sent to.
    """

    def __init__(
        self, context: EntryContext, routed: RoutedRequest, service: str
    ) -> None:
        self._context = context
        self._routed = routed
        self._service = service
        self._version: str | None = None
        self._run_version = UNKNOWN_VERSION
        self._has_event = False

    @property
    def version(self) -> str | None:
        """Software version that wrote the stream, None before its first event.

        It is empty if the version is unknown; the stream then goes on nowhere.
        """
        return self._version

    def allows(self, target: Target) -> bool:
        """Return whether the stream may begin or go on at a target."""
        return self._version is None or target.has_software(self._version, boot_time())

    def resolve(self, on_resolved: Callable[[str], None]) -> None:
        """Find out the version of a stream that the caller resumes.

        ``on_resolved`` is called with the problem, empty if the request may be sent.
        """
        caller = self._routed.caller
        if not self._routed.is_resumption:
            on_resolved("")
            return

        def on_version(version: str, is_answered: bool) -> None:
            self._version = version
            if version != UNKNOWN_VERSION:
                on_resolved("")
            elif is_answered:
                on_resolved("the software version that began the stream is unknown")
            else:
                on_resolved("no reply on the software version that began the stream")

        # Without the first request, only a version that wrote all streams is certain.
        identity = self._identity(caller.resumes) if caller.resumes else b""
        self._context.streams.find(boot_time(), self._service, identity, on_version)

    def on_sent(self, target: Target) -> None:
        """Record the target that the request is sent to."""
        # The target's entry may be replaced by one of another version during the run.
        self._run_version = target.software_version(boot_time())

    def on_event(self) -> None:
        """Record that the caller gets a numbered event of the target's stream."""
        if self._has_event:
            return
        self._has_event = True
        if self._version is None:
            self._version = self._run_version
        if not self._routed.route.is_retryable:
            return
        caller, streams, now = self._routed.caller, self._context.streams, boot_time()
        for request_id in {caller.request_id, caller.resumes} - {""}:
            identity = self._identity(request_id)
            streams.record(now, self._service, identity, self._version)

    def _identity(self, request_id: str) -> bytes:
        organisation = self._routed.organisation_name
        return stream_identity(organisation, self._service, request_id)
