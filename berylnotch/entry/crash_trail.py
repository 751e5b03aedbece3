"""Reports the attempts of one request to the crash guard."""

from __future__ import annotations

from berylnotch.entry.context import EntryContext
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.entry.targets import Target
from berylnotch.membership.crashes import checksum_fingerprint
from berylnotch.util.clock import boot_time


class CrashTracker:
    """Reports to the crash guard which target runs a request and how attempts end.

    The crash guard refuses a request after it has crashed several targets.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    routed : RoutedRequest
        The request.
    """

    def __init__(self, context: EntryContext, routed: RoutedRequest) -> None:
        self._context = context
        request = routed.request
        self._fingerprint = checksum_fingerprint(
            routed.organisation_name, request.target.encode() + b"\0" + request.body
        )
        self._target_id = ""

    @property
    def target_id(self) -> str:
        """Identity of the target that runs the request, empty if no target runs it."""
        return self._target_id

    @property
    def is_refused(self) -> bool:
        """Whether too many targets were lost while they ran the request."""
        context = self._context
        return context.crashes.is_refused(
            boot_time(), self._fingerprint, context.losses
        )

    def on_sent(self, target_id: str) -> None:
        """Record that the request is sent to a target."""
        self._target_id = target_id
        self._context.crashes.on_request_started(self._fingerprint, target_id)

    def on_target_lost(self, target: Target) -> None:
        """Record that a target was lost while it ran the request."""
        self._context.record_target_loss(target.target_id, self._fingerprint)
        self._context.loss_prober.on_connection_lost(target, lambda has_ended: None)

    def on_completed(self) -> None:
        """Record that the request completed without the loss of its target."""
        self._context.crashes.on_request_completed(self._fingerprint, boot_time())

    def on_attempt_end(self) -> None:
        """Record that no target runs the request any more."""
        if self._target_id:
            self._context.crashes.on_request_ended(self._fingerprint, self._target_id)
            self._target_id = ""
