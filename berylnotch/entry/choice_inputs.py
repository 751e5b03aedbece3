"""Builds the inputs to the choice of a target and the headers for the chosen target."""

from __future__ import annotations

import random
from collections.abc import Collection

from berylnotch.entry.candidates import MAX_HOLDERS
from berylnotch.entry.context import EntryContext
from berylnotch.entry.model import Choice, ChoiceInputs
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.entry.targets import Target
from berylnotch.placement.cache_model import CachedLevels
from berylnotch.placement.chains import EMPTY_CHAIN
from berylnotch.placement.mixing import rendezvous_weight
from berylnotch.platform.requests import TargetHeaders
from berylnotch.routing.model import Service
from berylnotch.util.clock import boot_time


def make_choice_inputs(
    context: EntryContext,
    routed: RoutedRequest,
    service: Service,
    excluded: Collection[str],
    software_version: str | None = None,
) -> ChoiceInputs:
    """Return the inputs to the choice of a target.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    routed : RoutedRequest
        The request.
    service : Service
        Service that the request is sent to.
    excluded : collection of str
        Identities of targets that must not be chosen.
    software_version : str, optional
        Software version that the target must have.
    """
    caller, announced_weights, settings = (
        routed.caller,
        context.announced_weights,
        context.settings,
    )
    now = boot_time()
    model = caller.model if service.engine is not None else ""
    chain, prompts, targets = caller.chain, context.prompts, context.targets
    cache_group = context.routes.cache_group(routed.organisation)
    store = (
        select_store(context, service, chain.store_key) if chain.has_affinity else ""
    )

    def level_hashes(target: Target) -> tuple[int, ...]:
        return chain.prefix_hashes(cache_salt(target, model, cache_group))

    def cached_levels(target: Target) -> CachedLevels:
        return prompts.cached_levels(now, target.target_id, level_hashes(target))

    def find_holders() -> list[Target]:
        target_ids = {
            target_id
            for sample in targets.weights_samples(service.name)
            for target_id in prompts.holders(
                level_hashes(sample), MAX_HOLDERS, random.randrange
            )
        }
        return [t for t in map(targets.get, target_ids) if t is not None]

    def stored_levels(target: Target) -> int:
        return prompts.stored_levels(now, store, level_hashes(target))

    has_many_routers = context.router_count > settings.max_routers_unsampled
    return ChoiceInputs(
        now=now,
        model=model,
        wanted_version=announced_weights.newest(model),
        outdated_s=lambda version: announced_weights.outdated_s(now, model, version),
        fresh_s=settings.fresh_weights_s,
        stale_s=context.fleet.bounds.weights_s - settings.weights_margin_s,
        target_latency_s=routed.route.target_latency_s,
        chain=chain if model else EMPTY_CHAIN,
        prompt_tokens=caller.prompt_tokens if model else 0,
        queue_share=context.estimator(service.name).queue_share(
            routed.priority, routed.is_urgent
        ),
        max_overshoot_ms=context.estimator(service.name).max_overshoot_ms,
        max_silence_s=_max_silence_s(context, routed),
        sample=settings.sample_size if has_many_routers else 0,
        draw=random.randrange,
        cached_levels=cached_levels,
        holders=find_holders,
        stored_levels=stored_levels,
        weights_samples=lambda: targets.weights_samples(service.name),
        ring_walk=lambda key: targets.ring(service.name).walk(key),
        costs=context.costs(service),
        usual_latency_s=context.speeds.usual_latency_s(service.name),
        failure_domain=context.fleet.failure_domain,
        excluded=excluded,
        software_version=software_version,
    )


def _max_silence_s(context: EntryContext, routed: RoutedRequest) -> float:
    """Return the time without an answer that is usual for the targets of a route."""
    stall_s = context.settings.stall_s
    if routed.is_stream:
        return stall_s
    longest_s = context.answer_times.longest_s(
        routed.route.name, routed.caller.output_tokens, factor=1.0
    )
    return max(stall_s, longest_s or 0.0)


def make_target_headers(
    context: EntryContext,
    routed: RoutedRequest,
    service: Service,
    inputs: ChoiceInputs,
    choice: Choice,
    remaining_s: float,
    last_event: int | None,
    cache_group: str,
    run_origin: str = "",
) -> TargetHeaders:
    """Return the headers that the chosen target receives with the request.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    routed : RoutedRequest
        The request.
    service : Service
        Service that the request is sent to.
    inputs : ChoiceInputs
        Inputs to the choice.
    choice : Choice
        The chosen target.
    remaining_s : float
        Seconds until the request's deadline.
    last_event : int or None
        Number of the last event of the stream that this router sent to the caller.
    cache_group : str
        Group of requests with which the request shares cache entries.
    run_origin : str, default=""
        Location of the KV cache from which a stopped run resumes, empty if the
        request does not resume a stopped run.
    """
    target = choice.target
    fetch_from = save_to = ""
    if inputs.chain.has_affinity and not run_origin:
        # Asking a store that lacks the prompt costs about 1 ms.
        store = select_store(context, service, inputs.chain.store_key)
        fetch_from = choice.source.listed.address if choice.source else store
        if store and inputs.stored_levels(target) < len(inputs.chain.levels):
            save_to = store
    elif choice.source is not None and not run_origin:
        # Asking an engine that lacks the prompt also costs about 1 ms.
        fetch_from = choice.source.listed.address
    is_first = last_event is None
    return TargetHeaders(
        deadline_s=remaining_s,
        target_id=target.target_id,
        organisation=routed.organisation_name,
        priority=routed.priority if inputs.model else None,
        weights_version=target.version(inputs.model) if inputs.model else None,
        cache_salt=cache_salt(target, inputs.model, cache_group)
        if inputs.model
        else "",
        fetch_from=fetch_from,
        save_to=save_to,
        resume_after=routed.caller.resume_after if is_first else last_event,
        run_origin=run_origin,
    )


def select_store(context: EntryContext, service: Service, store_key: str) -> str:
    """Return the address of the store that keeps a prompt, empty if none is reachable.

    All routers select the same store for a key by rendezvous hashing, so that each
    prompt is stored once.
    """
    if service.engine is None:
        return ""
    addresses = [s.store_address for s in context.routes.stores]
    reachable = [address for address in addresses if address not in context.down_stores]
    return min(
        reachable, key=lambda address: rendezvous_weight(address, store_key), default=""
    )


def cache_salt(target: Target, model: str, cache_group: str) -> str:
    """Return the cache salt, which keeps apart entries that must not be shared.

    Entries of different weights versions are always separate, and so are those of
    different groups of requests (`RouteTable.cache_group`).
    """
    return f"v{target.version(model)}{cache_group}"
