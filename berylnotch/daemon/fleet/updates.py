"""What a router takes over from the leader's messages."""

from __future__ import annotations

from collections.abc import Iterable

from berylnotch.entry.context import EntryContext
from berylnotch.group.columns import echo, is_store
from berylnotch.group.messages import (
    CrashMark,
    LoadsUpdate,
    PromptNote,
    TargetLoad,
    TargetsUpdate,
)
from berylnotch.quota.bounds import FLEET_QUOTA, HELD_PART, effective_limits
from berylnotch.util.clock import boot_time

#: Seconds between two requests for tokens in advance, for each router of the fleet: the
#: owner of limits takes no more than about 250 of them a second, with all
#: organisations in each. Those for work that waits come beside them.
ASK_PER_ROUTER_S = 0.004

#: Seconds between such requests until the number of routers is known: as of
#: 250 routers, which may all start again at the same moment.
UNKNOWN_FLEET_ASK_S = 1.0


def take_targets(context: EntryContext, update: TargetsUpdate) -> None:
    """Take over targets, named weights, and stores out of reach."""
    now = boot_time()
    gone = None if update.is_whole else update.gone
    for lost in context.targets.update(update.targets, gone):
        context.prompts.forget_engine(lost)
    for named in update.weights:
        at = now - named.age_ms / 1000
        if context.names.note(named.model, named.version, at):
            context.log.info(
                "weights",
                model=named.model,
                version=named.version,
                age_s=named.age_ms / 1000,
            )
    if context.down_stores != frozenset(update.down_stores):
        context.down_stores = frozenset(update.down_stores)
        context.prompts.forget_stores()


def take_loads(
    context: EntryContext, update: LoadsUpdate, own_loads: Iterable[TargetLoad]
) -> None:
    """Take over the other routers' loads: the sums without what this one reported."""
    own = {load.target_id: load for load in own_loads}
    totals = {load.target_id: load for load in update.loads}
    named = {*totals, *update.suspects}
    # Of thousands of targets most are named neither now nor the time before.
    for target_id in named | context.loaded_targets:
        target = context.targets.get(target_id)
        if target is None:
            continue
        none = TargetLoad(target_id, 0)
        total, mine = totals.get(target_id, none), own.get(target_id, none)
        target.others_in_flight = max(0, total.requests - mine.requests)
        target.others_unread = max(0, total.unread - mine.unread)
        target.is_suspect = target_id in update.suspects
    context.loaded_targets = named


def take_prompts(context: EntryContext, notes: Iterable[PromptNote]) -> None:
    """Take over where other routers had prompts read or saved.

    What a target has yet to read counts at once; the next sums of loads replace it.
    """
    now = boot_time()
    for note in notes:
        if echo(note) in context.own_notes:
            continue
        target = context.targets.get(note.holder)
        if target is not None and not note.is_ready:
            target.others_in_flight += 1
            target.others_unread += note.unread
            context.loaded_targets.add(note.holder)
        capacity = context.cache_tokens(target) if target else None
        if target is not None or is_store(note.holder):
            context.prompts.hear(now, note, capacity)


def take_crashes(context: EntryContext, crashes: Iterable[CrashMark]) -> None:
    """Take over the losses that other routers saw."""
    for mark in crashes:
        context.losses.add(mark.fingerprint, mark.target_id)


def share_limits(context: EntryContext) -> None:
    """Hold an even part of what routers may hold of each organisation's limit."""
    if context.routes is None:
        return
    organisations = context.routes.configuration.organisations or ()
    limits = effective_limits(organisations, context.fleet.bounds)
    quota = context.gate.quota
    part = HELD_PART / context.router_count
    paced_s = max(FLEET_QUOTA.ask_interval_s, ASK_PER_ROUTER_S * context.router_count)
    quota.pace(paced_s if context.is_roster_known else UNKNOWN_FLEET_ASK_S)
    for name, limit in limits.items():
        quota.keep(name, int(limit.burst * part))
