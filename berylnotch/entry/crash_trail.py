"""At which targets one request runs, for the guard against requests that crash them."""

from __future__ import annotations

from berylnotch.entry.admitted import Admitted
from berylnotch.entry.context import EntryContext
from berylnotch.membership.crashes import light_fingerprint
from berylnotch.util.clock import boot_time


class CrashTrail:
    """One request as the guard of a router sees it.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    admitted : Admitted
        The request.
    """

    def __init__(self, context: EntryContext, admitted: Admitted) -> None:
        self._context = context
        request = admitted.request
        self._fingerprint = light_fingerprint(
            admitted.organisation_name, request.target.encode() + b"\0" + request.body
        )
        self._target_id = ""

    @property
    def target_id(self) -> str:
        """Target that runs the request, empty if none does."""
        return self._target_id

    @property
    def is_refused(self) -> bool:
        """Whether so many targets were lost with it that it must not run again."""
        context = self._context
        return context.crashes.is_refused(
            boot_time(), self._fingerprint, context.losses
        )

    def began(self, target_id: str) -> None:
        """Note that a target gets the request."""
        self._target_id = target_id
        self._context.crashes.began(self._fingerprint, target_id)

    def lost(self, target_id: str) -> None:
        """Note that a target was lost while it ran the request."""
        self._context.lost_target(target_id, self._fingerprint)

    def completed(self) -> None:
        """Note that the request ran without a loss."""
        self._context.crashes.completed(self._fingerprint, boot_time())

    def ended(self) -> None:
        """Note that no target runs the request any more."""
        if self._target_id:
            self._context.crashes.ended(self._fingerprint, self._target_id)
            self._target_id = ""
