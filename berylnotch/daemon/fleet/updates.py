"""Functions that apply the leader's messages to the state of a router."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from berylnotch.entry.announcements import note_limit
from berylnotch.entry.context import EntryContext
from berylnotch.group.columns import is_store, note_key
from berylnotch.group.messages import (
    CrashesUpdate,
    LoadsUpdate,
    PromptNote,
    TargetEntry,
    TargetLoad,
    TargetsUpdate,
)
from berylnotch.group.rollouts import RolloutPolicy
from berylnotch.membership.crash_causes import describe_identities
from berylnotch.quota.bounds import (
    FLEET_QUOTA,
    HELD_SHARE,
    effective_limits,
    is_limited,
)
from berylnotch.util.clock import boot_time

#: Factor, in seconds, by which the number of routers in a large fleet is multiplied to
#: get the interval between a router's requests for tokens in advance. The quota owner
#: thus receives at most about 250 of these requests a second, each with all
#: organisations. Requests for tokens that work already waits for are sent in addition.
GRANT_REQUEST_PER_ROUTER_S = 0.004

#: Interval between two requests for tokens in advance while the number of routers is
#: unknown, in seconds. It equals the interval of a fleet of 250 routers, since all
#: routers may restart at the same time.
INITIAL_GRANT_REQUEST_INTERVAL_S = 1.0

#: Seconds after the time to stop at which the routers that left are not counted any
#: more when tokens are divided.
EXIT_MARGIN_S = 0.1


def apply_targets(context: EntryContext, update: TargetsUpdate) -> None:
    """Apply targets, rollouts, announced weight versions and the stores that are down.

    A candidate engine and the policy of its rollout take effect together.
    """
    now = boot_time()
    _apply_policies(context, now, update.rollouts)
    removed_ids = None if update.is_whole else update.gone
    for removed_id in context.targets.update(update.targets, removed_ids):
        context.prompts.forget_engine(removed_id)
    _apply_target_limits(context, now, update.targets)
    for named in update.weights:
        named_at = now - named.age_ms / 1000
        if context.announced_weights.record(named.model, named.version, named_at):
            context.log.info(
                "weights",
                model=named.model,
                version=named.version,
                age_s=named.age_ms / 1000,
            )
    if context.down_stores != frozenset(update.down_stores):
        context.down_stores = frozenset(update.down_stores)
        context.prompts.forget_stores()


def _apply_policies(
    context: EntryContext, now: float, policies: Iterable[RolloutPolicy]
) -> None:
    """Apply the policies of rollouts, and log those that changed."""
    for change in context.rollouts.apply(now, policies):
        policy, previous = change.current or change.previous, change.previous
        context.log.info(
            "rollout_policy",
            service=policy.service,
            version=policy.version,
            number=policy.number,
            phase=policy.phase.value if change.current else "unknown",
            share=policy.share,
            engines=policy.engines,
            was_number=previous.number if previous else 0,
            was_phase=previous.phase.value if previous else "",
            was_share=previous.share if previous else 0.0,
        )


def _apply_target_limits(
    context: EntryContext, now: float, entries: Iterable[TargetEntry]
) -> None:
    """Apply the limits that targets announced to any router."""
    limits, targets = context.target_limits, context.targets
    limits.retain(lambda target: targets.get(target.target_id) is target)
    for entry in entries:
        target = targets.get(entry.target.target_id)
        # A leader that does not know of a limit may not have heard of it yet.
        if target is None or entry.limit_per_s is None:
            continue
        was_per_s = target.limit_per_s
        if limits.set_limit(now, target, entry.limit_per_s):
            note_limit(context, target, was_per_s)


def apply_loads(
    context: EntryContext, update: LoadsUpdate, own_loads: Iterable[TargetLoad]
) -> None:
    """Apply the other routers' loads: the leader's sums less this router's report."""
    own_by_id = {load.target_id: load for load in own_loads}
    total_by_id = {load.target_id: load for load in update.loads}
    listed_ids = {*total_by_id, *update.suspects}
    # Most of the thousands of targets are in neither this update nor the previous one.
    for target_id in listed_ids | context.loaded_targets:
        target = context.targets.get(target_id)
        if target is None:
            continue
        no_load = TargetLoad(target_id, 0)
        total_load, own_load = (
            total_by_id.get(target_id, no_load),
            own_by_id.get(target_id, no_load),
        )
        target.others_in_flight = max(0, total_load.requests - own_load.requests)
        target.others_unread = max(0, total_load.unread - own_load.unread)
        target.is_suspect = target_id in update.suspects
    context.loaded_targets = listed_ids


def apply_speeds(context: EntryContext, log_factors: Mapping[str, float]) -> None:
    """Apply the leader's estimates of how fast targets are.

    A leader that has just started has no estimates, and routers keep what they have.
    """
    context.speeds.apply(boot_time(), log_factors, context.targets.get)


def apply_prompt_notes(context: EntryContext, notes: Iterable[PromptNote]) -> None:
    """Record which targets prefilled, and which stores saved, other routers' prompts.

    Tokens that a target has yet to prefill are added to its load immediately. The next
    load sums replace them.
    """
    now = boot_time()
    for note in notes:
        if note_key(note) in context.own_note_keys:
            continue
        target = context.targets.get(note.holder)
        if target is not None and not note.is_ready:
            target.others_in_flight += 1
            target.others_unread += note.unread
            context.loaded_targets.add(note.holder)
        capacity = context.cache_tokens(target) if target else None
        if target is not None or is_store(note.holder):
            context.prompts.apply_note(now, note, capacity)


def apply_crashes(context: EntryContext, update: CrashesUpdate) -> bool:
    """Apply suspects and causes of crashes; return whether the causes changed."""
    known = context.crash_watch.refused
    if context.crash_watch.apply(update):
        context.schedule_report()
    refused = context.crash_watch.refused
    for cause in refused - known:
        context.log.warning("cause_refused", identities=describe_identities(cause))
    for cause in known - refused:
        context.log.warning("cause_allowed", identities=describe_identities(cause))
    return refused != known


def apply_roster(context: EntryContext, router_count: int) -> None:
    """Divide retries and tokens among a number of routers.

    Routers that left the roster hold tokens until they exit. The tokens are divided
    again afterwards.
    """
    context.set_router_count(router_count)
    apply_limits(context)
    if context.recent_router_count > context.router_count:
        context.loop.call_later(
            context.fleet.bounds.stop_s + EXIT_MARGIN_S, lambda: apply_limits(context)
        )


def apply_limits(context: EntryContext) -> None:
    """Set how many tokens of each organisation's limit this router holds in advance.

    The part of a burst that routers may hold is divided evenly among them. The
    function also sets the interval between requests for these tokens. Requests that
    wait for tokens go on if their organisation has no limit any more, because the quota
    owner grants it none.
    """
    if context.routes is None:
        return
    organisations = context.routes.configuration.organisations or ()
    limits = effective_limits(organisations, context.fleet.bounds)
    quota = context.gate.quota
    share = HELD_SHARE / context.recent_router_count
    interval_s = max(
        FLEET_QUOTA.ask_interval_s, GRANT_REQUEST_PER_ROUTER_S * context.router_count
    )
    quota.pace(
        interval_s if context.is_roster_known else INITIAL_GRANT_REQUEST_INTERVAL_S
    )
    for name, limit in limits.items():
        quota.keep(name, int(limit.burst * share))
    context.gate.release(o.name for o in organisations if not is_limited(o))
