"""Wait of one request for a token of a target that limits its requests."""

from __future__ import annotations

from collections.abc import Callable, Collection

from attrs import frozen

from berylnotch.entry.choice import delay_until_token_s, delay_until_usable_s
from berylnotch.entry.context import EntryContext
from berylnotch.entry.model import ChoiceInputs
from berylnotch.entry.refusals import Reason
from berylnotch.entry.targets import Target


@frozen
class NoTarget:
    """Why no target takes a request, and when one may do so.

    ``retry_after_s`` is in seconds, None if it is not known.
    """

    reason: Reason
    detail: str
    retry_after_s: float | None


class TokenWait:
    """Lets one request wait briefly for a token of a limited target.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    send : callable
        Chooses a target again and sends the request.
    """

    def __init__(self, context: EntryContext, send: Callable[[], None]) -> None:
        self._context = context
        self._send = send
        #: Boot time until which the request may wait, None before the first wait.
        self.expires_at: float | None = None

    def begin(
        self, targets: Collection[Target], inputs: ChoiceInputs
    ) -> NoTarget | None:
        """Wait for a token; return why the request cannot wait, None if it waits."""
        token_delay_s = delay_until_token_s(targets, inputs)
        if token_delay_s is None:
            delay_s = delay_until_usable_s(targets, inputs)
            detail = "no target of the service is usable"
            return NoTarget(Reason.NO_TARGET, detail, delay_s)
        settings = self._context.settings
        if self.expires_at is None:
            self.expires_at = inputs.now + settings.quota_wait_s
        if inputs.now >= self.expires_at:
            detail = "no tokens of limited targets in time"
            return NoTarget(Reason.TARGET_LIMIT, detail, settings.grant_retry_s)
        if inputs.now + token_delay_s > self.expires_at:
            detail = "the targets have reached their limits"
            return NoTarget(Reason.TARGET_LIMIT, detail, token_delay_s)
        self._context.target_limits.wait(self.expires_at, self._send)
        return None
