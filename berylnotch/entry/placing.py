"""What a choice goes by for one request, and what its target is told."""

from __future__ import annotations

import random
from collections.abc import Collection

from berylnotch.entry.admitted import Admitted
from berylnotch.entry.candidates import MAX_HOLDERS
from berylnotch.entry.context import EntryContext
from berylnotch.entry.model import Choice, Placing
from berylnotch.entry.targets import Target
from berylnotch.placement.chains import NO_CHAIN
from berylnotch.placement.mirror import Run
from berylnotch.placement.mixing import mix
from berylnotch.platform.requests import TargetHeaders
from berylnotch.routing.model import Service
from berylnotch.util.clock import boot_time


def make_placing(
    context: EntryContext,
    admitted: Admitted,
    service: Service,
    excluded: Collection[str],
) -> Placing:
    """Return what the choice of a target goes by."""
    caller, names, settings = admitted.caller, context.names, context.settings
    now = boot_time()
    model = caller.model if service.engine is not None else ""
    chain, prompts, targets = caller.chain, context.prompts, context.targets
    store = store_of(context, service, chain.store_key) if chain.has_home else ""

    def marks(target: Target) -> tuple[int, ...]:
        return chain.marks(cache_salt(admitted, target, model))

    def run(target: Target) -> Run:
        return prompts.run(now, target.target_id, marks(target))

    def holders() -> list[Target]:
        names = {
            name
            for sample in targets.weights_samples(service.name)
            for name in prompts.holders(marks(sample), MAX_HOLDERS, random.randrange)
        }
        return [t for t in map(targets.get, names) if t is not None]

    def saved(target: Target) -> int:
        return prompts.saved_levels(now, store, marks(target))

    is_crowded = context.router_count > settings.crowd_routers
    return Placing(
        now=now,
        model=model,
        wanted_version=names.newest(model),
        outdated_s=lambda version: names.outdated_s(now, model, version),
        fresh_s=settings.fresh_weights_s,
        stale_s=context.fleet.bounds.weights_s - settings.weights_margin_s,
        target_latency_s=admitted.route.target_latency_s,
        chain=chain if model else NO_CHAIN,
        prompt_tokens=caller.prompt_tokens if model else 0,
        wait_part=context.meter(service.name).wait_part(
            admitted.priority, admitted.is_urgent
        ),
        overshoot_ms=context.meter(service.name).overshoot_ms,
        sample=settings.sample if is_crowded else 0,
        draw=random.randrange,
        run=run,
        holders=holders,
        saved=saved,
        weights_samples=lambda: targets.weights_samples(service.name),
        walk=lambda key: targets.ring(service.name).walk(key),
        costs=context.costs(service),
        failure_domain=context.fleet.failure_domain,
        excluded=excluded,
    )


def make_told(
    context: EntryContext,
    admitted: Admitted,
    service: Service,
    placing: Placing,
    choice: Choice,
    left_s: float,
    last_event: int | None,
    run_origin: str = "",
) -> TargetHeaders:
    """Return what the chosen target is told beside the request.

    Parameters
    ----------
    left_s : float
        Time until the request's deadline.
    last_event : int or None
        Last event of a stream that the caller has from this router.
    run_origin : str, default=""
        Where the memory of a stopped run is, if it goes on with that.
    """
    target = choice.target
    fetch_from = save_to = ""
    if placing.chain.has_home and not run_origin:
        # A store that lacks the prompt costs about a ms.
        store = store_of(context, service, placing.chain.store_key)
        fetch_from = choice.source.listed.address if choice.source else store
        if store and placing.saved(target) < len(placing.chain.levels):
            save_to = store
    elif choice.source is not None and not run_origin:
        # A source that lacks the prompt costs about a ms too.
        fetch_from = choice.source.listed.address
    is_first = last_event is None
    return TargetHeaders(
        deadline_s=left_s,
        target_id=target.target_id,
        organisation=admitted.organisation_name,
        priority=admitted.priority if placing.model else None,
        weights_version=target.version(placing.model) if placing.model else None,
        cache_salt=cache_salt(admitted, target, placing.model) if placing.model else "",
        fetch_from=fetch_from,
        save_to=save_to,
        resume_after=admitted.caller.resume_after if is_first else last_event,
        run_origin=run_origin,
    )


def store_of(context: EntryContext, service: Service, part_id: str) -> str:
    """Return the address of the store that keeps a prompt, or empty.

    All routers choose alike, so that each prompt is kept once.
    """
    if service.engine is None:
        return ""
    addresses = [s.store_address for s in context.routes.stores]
    up = [address for address in addresses if address not in context.down_stores]
    return min(up, key=lambda address: mix(address, part_id), default="")


def cache_salt(admitted: Admitted, target: Target, model: str) -> str:
    """Return what separates cache entries that may not be shared."""
    salt = f"v{target.version(model)}"
    organisation = admitted.organisation
    if organisation is not None and organisation.is_isolated:
        salt += f"/{organisation.name}"
    return salt
