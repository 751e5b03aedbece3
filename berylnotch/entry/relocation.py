"""Decides whether a run migrates to another engine, and to which.

An engine that has to load weights or to leave must first be idle. Its long runs may
last for seconds, and no other request may begin there in the meantime. To copy a run's
KV cache takes a few ms; the stream then continues at the other engine from the event
at which it stopped.
"""

from __future__ import annotations

from collections.abc import Collection

from berylnotch.entry.choice_inputs import make_choice_inputs
from berylnotch.entry.context import EntryContext
from berylnotch.entry.migration import StoppedRun
from berylnotch.entry.model import ChoiceInputs
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.entry.targets import Target
from berylnotch.util.clock import boot_time

#: Seconds before the deadline below which a run is not migrated any more.
MIN_REST_S = 0.15

#: Fraction of an engine's slots in use below which it accepts migrated runs: each run
#: lengthens the steps of the others, and new requests need free slots too.
MAX_SLOT_FRACTION = 0.75


def choose_destination(
    targets: Collection[Target], inputs: ChoiceInputs, source: Target
) -> Target | None:
    """Return the engine to which a run migrates, or None if it stays.

    The engine must run the same weights and must not be draining itself. A run
    stays if its weights are too old for new requests. Of several engines the least
    loaded one is selected.
    """
    version = source.version(inputs.model)
    if version is None or inputs.outdated_s(version) >= inputs.stale_s:
        return None

    def is_eligible(target: Target) -> bool:
        if target is source or target.is_emptying:
            return False
        if target.target_id in inputs.excluded:
            return False
        if target.version(inputs.model) != version:
            return False
        if not target.is_usable(inputs.now) or target.is_avoided(inputs.now):
            return False
        return target.load < MAX_SLOT_FRACTION * max(1, target.listed.slots)

    eligible = (target for target in targets if is_eligible(target))
    return min(
        eligible, key=lambda t: (t.load, t.total_unread, t.target_id), default=None
    )


class Relocation:
    """Migrations of one request's run.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    routed : RoutedRequest
        The request.
    """

    def __init__(self, context: EntryContext, routed: RoutedRequest) -> None:
        self._context = context
        self._routed = routed
        #: The stopped run that the current attempt resumes.
        self._moved: StoppedRun | None = None
        #: Whether the retry budget was charged for a migration that has not begun.
        self._is_charged = False

    @property
    def origin(self) -> str:
        """Location of the KV cache that the current attempt resumes from, or empty."""
        return self._moved.origin if self._moved is not None else ""

    def choose_destination(
        self, service_name: str, source: Target | None, excluded: Collection[str]
    ) -> Target | None:
        """Return the engine to which the run should migrate, None if it stays."""
        service = self._context.routes.service(service_name)
        if service is None or service.engine is None or source is None:
            return None
        if not service.engine.moves_runs:
            return None
        inputs = make_choice_inputs(self._context, self._routed, service, excluded)
        targets = self._context.targets.of(service_name)
        destination = choose_destination(targets, inputs, source)
        return (
            destination
            if destination is not None and self._charge_budget(service_name)
            else None
        )

    def begin(self, moved: StoppedRun) -> None:
        """Record the stopped run that the next attempt resumes."""
        self._moved, self._is_charged = moved, False

    def end(self) -> StoppedRun | None:
        """Clear and return the stopped run that the ended attempt resumed."""
        moved, self._moved = self._moved, None
        return moved

    def can_resume_at_source(
        self, moved: StoppedRun, service_name: str, refused: Target
    ) -> bool:
        """Return whether a run may resume at its source after a refusal elsewhere."""
        if refused is moved.source or moved.source.is_leaving:
            return False
        return self._charge_budget(service_name)

    def _charge_budget(self, service_name: str) -> bool:
        """Charge the retry budget for one send, unless an earlier charge is unused."""
        if not self._is_charged:
            budget = self._context.budget(service_name)
            self._is_charged = budget.spend(boot_time())
        return self._is_charged
