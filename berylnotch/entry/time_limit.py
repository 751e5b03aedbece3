"""Time limit of one request: its deadline, or the planned stop of its router."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.entry.context import EntryContext
from berylnotch.entry.model import Choice
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.entry.stopping import longest_answer_s
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Timer


class TimeLimit:
    """Time by which one request must be answered.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    routed : RoutedRequest
        The request.
    on_expired : callable
        Called once the time is over.
    """

    def __init__(
        self,
        context: EntryContext,
        routed: RoutedRequest,
        on_expired: Callable[[], None],
    ) -> None:
        self._context = context
        self._routed = routed
        self._on_expired = on_expired
        timeout_s = routed.route.timeout_s
        if routed.caller.deadline_s is not None:
            timeout_s = min(timeout_s, routed.caller.deadline_s)
        self._deadline = routed.request.received_at + timeout_s
        self._timer: Timer | None = None

    @property
    def remaining_s(self) -> float:
        """Seconds until the request must be answered, negative afterwards."""
        return min(self._deadline, self._context.answer_by) - boot_time()

    @property
    def is_set_by_stop(self) -> bool:
        """Whether the router stops before the request's deadline."""
        return self._context.answer_by < self._deadline

    @property
    def own_remaining_s(self) -> float:
        """Seconds until the request's own deadline, also if the router stops before."""
        return self._deadline - boot_time()

    @property
    def is_too_late(self) -> bool:
        """Whether the request came too late to be taken by an estimate of its answer.

        The stop of the router must not be able to end such a request.
        """
        stop = self._context.stop
        if stop is None or not self.is_set_by_stop:
            return False
        return self._routed.request.read_at > stop.estimate_until

    def start(self) -> None:
        """Start the timer, or set it anew after the router's stop was planned."""
        self.cancel()
        grace_s = self._context.settings.deadline_grace_s
        self._timer = self._context.loop.call_later(
            max(0.0, self.remaining_s) + grace_s, self._on_expired
        )

    def cancel(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def allows(self, choice: Choice, is_repeat: bool = False) -> bool:
        """Whether the answer of a target will end before this router stops."""
        if not self.is_set_by_stop:
            return True
        longest_s = longest_answer_s(self._context, self._routed, choice, is_repeat)
        return longest_s <= self._context.answer_by - boot_time()
