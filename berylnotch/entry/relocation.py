"""Whether a run goes on at another engine, and where.

It answers this load: engines that shall be free, to load weights or to leave, while
their long runs would last for seconds and nothing else may begin there. A copy of a
run's memory takes some ms; its stream goes on at the other engine where it stopped.
"""

from __future__ import annotations

from collections.abc import Collection

from berylnotch.entry.admitted import Admitted
from berylnotch.entry.context import EntryContext
from berylnotch.entry.model import Placing
from berylnotch.entry.moving import MovedRun
from berylnotch.entry.placing import make_placing
from berylnotch.entry.targets import Target
from berylnotch.util.clock import boot_time

#: Seconds below which a run that would move ends where it is.
MIN_REST_S = 0.15

#: Part of an engine's slots up to which it takes runs of others: each of its own
#: steps gets longer, and new requests need room too.
FULL_PART = 0.75


def choose_refuge(
    targets: Collection[Target], placing: Placing, source: Target
) -> Target | None:
    """Return the engine at which a run goes on, or None if it stays.

    The engine runs the same weights, is not emptied itself, and is not about to be
    too old. Of several the least loaded one is taken.
    """
    version = source.version(placing.model)
    if version is None or placing.outdated_s(version) >= placing.stale_s:
        return None

    def is_fit(target: Target) -> bool:
        if target is source or target.is_emptying:
            return False
        if target.target_id in placing.excluded:
            return False
        if target.version(placing.model) != version:
            return False
        if not target.is_usable(placing.now) or target.is_avoided(placing.now):
            return False
        return target.load < FULL_PART * max(1, target.listed.slots)

    fit = (target for target in targets if is_fit(target))
    return min(fit, key=lambda t: (t.load, t.total_unread, t.target_id), default=None)


class Relocation:
    """The moves of one request's run.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    admitted : Admitted
        The request.
    """

    def __init__(self, context: EntryContext, admitted: Admitted) -> None:
        self._context = context
        self._admitted = admitted
        #: The stopped run that the present attempt goes on with.
        self._moved: MovedRun | None = None
        #: Whether the budget has given what the next move needs.
        self._is_paid = False

    @property
    def origin(self) -> str:
        """Where the memory is that the present attempt goes on with, or empty."""
        return self._moved.origin if self._moved is not None else ""

    def refuge(
        self, service_name: str, source: Target | None, excluded: Collection[str]
    ) -> Target | None:
        """Return the engine at which a run should go on, None if it stays."""
        service = self._context.routes.service(service_name)
        if service is None or service.engine is None or source is None:
            return None
        if not service.engine.moves_runs:
            return None
        placing = make_placing(self._context, self._admitted, service, excluded)
        targets = self._context.targets.of(service_name)
        refuge = choose_refuge(targets, placing, source)
        return refuge if refuge is not None and self._pay(service_name) else None

    def begin(self, moved: MovedRun) -> None:
        """Note what the next attempt goes on with."""
        self._moved, self._is_paid = moved, False

    def end(self) -> MovedRun | None:
        """Forget what the attempt that has ended went on with, and return it."""
        moved, self._moved = self._moved, None
        return moved

    def may_go_back(self, moved: MovedRun, service_name: str, refused: Target) -> bool:
        """Tell whether a run goes on where it stopped, as nobody else took it."""
        if refused is moved.source or moved.source.is_leaving:
            return False
        return self._pay(service_name)

    def _pay(self, service_name: str) -> bool:
        """Take one sending from the budget, unless the one before was not used."""
        if not self._is_paid:
            budget = self._context.budget(service_name)
            self._is_paid = budget.spend(boot_time())
        return self._is_paid
