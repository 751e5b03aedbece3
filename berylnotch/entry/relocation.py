"""Decides whether a run migrates to another engine, and to which.

An engine that has to load weights or to leave must first be idle. Its long runs may
last for seconds, and no other request may begin at this engine in the meantime. Copying
the KV cache of a run takes a few ms. The stream then continues at the other engine
after the last event that was sent.
"""

from __future__ import annotations

from collections.abc import Collection

from berylnotch.entry.candidates import is_allowed
from berylnotch.entry.choice_inputs import make_choice_inputs
from berylnotch.entry.context import EntryContext
from berylnotch.entry.migration import StoppedRun
from berylnotch.entry.model import ChoiceInputs
from berylnotch.entry.rollout_choice import RequestRollout
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.entry.targets import Target
from berylnotch.routing.model import Service
from berylnotch.util.clock import boot_time

#: Remaining time, in seconds, below which a run is not migrated any more.
MIN_REST_S = 0.15

#: Fraction of an engine's slots. Only an engine with a lower load receives migrated
#: runs, because each run lengthens the steps of the others, and new requests also need
#: free slots.
MAX_SLOT_FRACTION = 0.75


def choose_destination(
    targets: Collection[Target], inputs: ChoiceInputs, source: Target
) -> Target | None:
    """Return the engine to which a run migrates, None if the run stays.

    The engine must run the same weights and the same software, and must neither be
    draining itself nor limit its requests. A run stays if its weights are too old for
    new requests. Of several engines, the one with the lowest load is selected.
    """
    version = source.version(inputs.model)
    if version is None or inputs.outdated_s(version) >= inputs.stale_s:
        return None

    def is_eligible(target: Target) -> bool:
        if target is source or target.is_emptying or target.limit is not None:
            return False
        if not is_allowed(target, inputs):
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
        #: Group of requests with which the current run shares cache entries.
        self._cache_group = ""
        #: The stopped run that the current attempt resumes.
        self._stopped_run: StoppedRun | None = None
        #: Whether the retry budget was charged for a send that has not happened yet.
        self._is_charged = False

    @property
    def origin(self) -> str:
        """Location of the KV cache from which the current attempt resumes, or empty."""
        return self._stopped_run.origin if self._stopped_run is not None else ""

    def cache_group_for_send(self) -> str:
        """Return the cache group of the next run, or that of a run that is resumed.

        A resumed run goes on with the cache entries that it began with.
        """
        if self._stopped_run is None:
            self._cache_group = self._current_cache_group()
        return self._cache_group

    def _current_cache_group(self) -> str:
        return self._context.routes.cache_group(self._routed.organisation)

    def choose_destination(
        self,
        service: Service,
        source: Target | None,
        excluded: Collection[str],
        software_version: str | None,
        rollout: RequestRollout,
    ) -> Target | None:
        """Return the engine to which the run should migrate, None if the run stays."""
        if service.engine is None or source is None:
            return None
        if not service.engine.supports_migration:
            return None
        if not rollout.allows_migration(software_version):
            return None
        if self._cache_group != self._current_cache_group():
            # The run may have read entries of organisations that are isolated now.
            return None
        inputs = make_choice_inputs(
            self._context, self._routed, service, excluded, software_version
        )
        targets = self._context.targets.of(service.name)
        destination = choose_destination(targets, rollout.restrict(inputs), source)
        return (
            destination
            if destination is not None and self._charge_budget(service.name)
            else None
        )

    def begin(self, stopped_run: StoppedRun) -> None:
        """Record the stopped run that the next attempt resumes."""
        self._stopped_run, self._is_charged = stopped_run, False

    def end(self) -> StoppedRun | None:
        """Clear and return the stopped run that the ended attempt resumed."""
        stopped_run, self._stopped_run = self._stopped_run, None
        return stopped_run

    def can_resume_at_source(
        self, stopped_run: StoppedRun, service_name: str, refusing_target: Target
    ) -> bool:
        """Return whether a run that an engine refused may resume at its source."""
        source = stopped_run.source
        if refusing_target is source or source.is_leaving:
            return False
        if source.limit is not None and not source.limit.has_room(boot_time()):
            return False
        return self._charge_budget(service_name)

    def _charge_budget(self, service_name: str) -> bool:
        """Charge the retry budget for one send, unless an earlier charge is unused."""
        if not self._is_charged:
            self._is_charged = self._context.retries.spend(boot_time(), service_name)
        return self._is_charged
