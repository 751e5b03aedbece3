"""Choice of the target for a request.

It answers this load: long prompts that share beginnings as the branches of a tree do,
mixed with many short ones. An engine reads one prompt after the other, so a long
prompt of which it holds little delays all that comes after; and its memory holds few.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from attrs import evolve

from berylnotch.entry.candidates import (
    drawn_targets,
    homes_by_weights,
    near_targets,
    ring_source,
)
from berylnotch.entry.model import Choice, Placing
from berylnotch.entry.pricing import Holders, begins_in_time, price, priced, worth_ms
from berylnotch.entry.targets import Target
from berylnotch.placement.mixing import mix

#: Cost of a copy, beside its transfer, in ms for 1,000 tokens: it displaces another
#: prompt.
COPY_MS_PER_K = 6.0

#: Cost, in ms for 1,000 tokens, of reading a shared prompt that another engine has
#: read or reads: it takes the time of that many other prompts.
READ_AGAIN_MS_PER_K = 240.0

#: Advantage, in ms, of the engine that all routers compute as home of a prompt
#: which none holds.
HOME_MS = 80.0

#: Shared tokens of a short prompt from which it has a home too.
MIN_AFFINITY_TOKENS = 128

#: Cost of reading the shared parts of a short prompt elsewhere than at its home, in ms
#: for 1,000 tokens: where the home has not read them yet, it does so again later.
AWAY_MS_PER_K = 120.0


def choose(targets: Collection[Target], placing: Placing) -> Choice | None:
    """Return the target with the least expected delay, or None.

    A long prompt that no engine holds goes to an engine that every router computes
    alike, so that it is read once. Later requests follow the longest run of its parts,
    and the queue of unread prompts moves them on to other engines, which copy it.
    """
    if not placing.chain.has_home:
        return _choose_anywhere(targets, placing)
    home, usable = near_targets(targets, placing)
    holders = Holders(usable, placing)
    choices = [price(t, placing, holders) for t in usable]
    choices = [c for c in choices if begins_in_time(c, placing)]

    def cost_ms(choice: Choice) -> float:
        cost = worth_ms(choice, placing) + COPY_MS_PER_K * choice.copied / 1000
        cost += READ_AGAIN_MS_PER_K * choice.read_again / 1000
        is_first = choice.target is home and choice.unread > holders.own_tokens
        return cost - HOME_MS if is_first else cost

    return min(choices, key=lambda c: (cost_ms(c), c.target is not home), default=None)


def _choose_anywhere(targets: Collection[Target], placing: Placing) -> Choice | None:
    """Return the best target for a request that belongs to no engine, or None.

    A short prompt has a home that all routers compute alike from its shared parts,
    among the engines with the same weights. Other engines copy from it, whether it
    holds them or not: to ask costs less than to read, and nobody needs to be told.
    """
    usable = drawn_targets(targets, placing)
    homes: dict[int | None, Target] = {}
    if placing.model and placing.chain.shared_tokens >= MIN_AFFINITY_TOKENS:
        homes = homes_by_weights(targets, placing)
        known = {target.target_id for target in usable}
        usable += [t for t in homes.values() if t.target_id not in known]
    unread, costs = placing.prompt_tokens, placing.costs
    choices = [
        priced(t, placing, costs.read_ms(unread, t.load), unread=unread) for t in usable
    ]
    choices = [c for c in choices if begins_in_time(c, placing)]
    away_ms = AWAY_MS_PER_K * placing.chain.shared_tokens / 1000

    def cost_ms(choice: Choice) -> float:
        home = homes.get(choice.target.version(placing.model), choice.target)
        return worth_ms(choice, placing) + (away_ms if home is not choice.target else 0)

    best = min(
        choices,
        key=lambda c: (cost_ms(c), mix(c.target.target_id, "")),
        default=None,
    )
    if best is None or not homes:
        return best
    return evolve(best, source=ring_source(targets, placing, best.target))


def usable_in_s(targets: Iterable[Target], placing: Placing) -> float | None:
    """Return seconds until the first target may be usable, None if unknown."""
    times = [
        target.usable_at(placing.now)
        for target in targets
        if not target.is_leaving and target.target_id not in placing.excluded
    ]
    if not times:
        return None
    return max(0.0, min(times) - placing.now)
