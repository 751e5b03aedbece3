"""Reports the attempts of one request to the crash watch."""

from __future__ import annotations

from berylnotch.entry.context import EntryContext
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.entry.targets import Target
from berylnotch.membership.crash_causes import part_identity
from berylnotch.membership.crashes import checksum_fingerprint
from berylnotch.net.listener_probe import ListenerState
from berylnotch.util.clock import boot_time

#: Seconds from the first event of a run to an event that shows that writing the answer
#: does not crash the target: about ten token steps of a busy engine.
WRITING_S = 0.3


class CrashTracker:
    """Reports to the crash watch which targets ended while they ran a request.

    The request and each shared part of its prompt can be the cause of a crash.

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
        fingerprint = checksum_fingerprint(
            routed.organisation_name, request.target.encode() + b"\0" + request.body
        )
        part_identities = map(part_identity, routed.caller.part_ids)
        self._identities = frozenset((fingerprint, *part_identities))
        self._target_id = ""
        self._first_event_at = 0.0
        self._is_writing = False

    @property
    def target_id(self) -> str:
        """Identity of the target that runs the request, empty if no target runs it."""
        return self._target_id

    @property
    def has_begun(self) -> bool:
        """Whether the target that runs the request has sent an event."""
        return self._first_event_at > 0

    @property
    def is_refused(self) -> bool:
        """Whether requests like this one crash the targets that run them."""
        return self._context.crash_watch.is_refused(boot_time(), self._identities)

    def on_sent(self, target_id: str) -> None:
        """Record that the request is sent to a target."""
        self._target_id = target_id
        self._first_event_at = 0.0
        self._is_writing = False

    def on_event(self) -> None:
        """Record that the target sent an event of its answer."""
        if self._is_writing:
            return
        now = boot_time()
        self._first_event_at = self._first_event_at or now
        if now - self._first_event_at >= WRITING_S:
            self._is_writing = True
            self._record_completion(now)

    def on_target_lost(self, target: Target) -> None:
        """Record that the connection to a target broke while it ran the request."""
        lost_at, is_suspect = boot_time(), not self._is_writing

        def on_probed(state: ListenerState) -> None:
            if is_suspect and state is ListenerState.REFUSED:
                self._context.record_target_loss(target, lost_at, self._identities)

        self._context.loss_prober.probe(target, on_probed)

    def on_completed(self, target: Target, is_delimited: bool) -> None:
        """Record that a target answered the request.

        Parameters
        ----------
        target : Target
            Target that answered.
        is_delimited : bool
            Whether the answer's end differs from the end of its connection. If it does
            not, the answer is no sign that the target went on.
        """
        ended_at = boot_time()

        def on_probed(state: ListenerState) -> None:
            if state is ListenerState.REFUSED:
                self._context.record_target_loss(target, ended_at, self._identities)
            elif state is ListenerState.LISTENING:
                self._record_completion(ended_at)

        if is_delimited or self._is_writing:
            self._record_completion(ended_at)
        else:
            self._context.loss_prober.probe(target, on_probed)

    def on_attempt_end(self) -> None:
        """Record that no target runs the request any more."""
        self._target_id = ""
        self._first_event_at = 0.0

    def _record_completion(self, now: float) -> None:
        if self._context.crash_watch.record_completion(now, self._identities):
            self._context.schedule_report()
