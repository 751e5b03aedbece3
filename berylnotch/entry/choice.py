"""Choice of the target for a request.

It answers this load: long prompts that share beginnings as the branches of a tree do,
mixed with many short ones. An engine reads one prompt after the other, so a long
prompt of which it holds little delays all that comes after; and its memory holds few.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from berylnotch.entry.candidates import drawn_targets, near_targets
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

#: Shared tokens of a short prompt from which it has a home too, and the advantage of
#: that, as a multiple of the time to read them.
MIN_AFFINITY_TOKENS = 128
AFFINITY_FACTOR = 2.0


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

    A short prompt leans to an engine that all routers compute alike from its shared
    parts, as far as the time to read them counts.
    """
    usable = drawn_targets(targets, placing)
    unread, costs = placing.prompt_tokens, placing.costs
    choices = [
        priced(t, placing, costs.read_ms(unread, t.load), unread=unread) for t in usable
    ]
    choices = [c for c in choices if begins_in_time(c, placing)]
    home, gain_ms = None, 0.0
    if placing.model and placing.chain.shared_tokens >= MIN_AFFINITY_TOKENS:
        path = placing.chain.path
        gain_ms = AFFINITY_FACTOR * costs.read_ms(placing.chain.shared_tokens, 0)
        home = min(usable, key=lambda t: mix(t.target_id, path), default=None)

    def cost_ms(choice: Choice) -> float:
        return worth_ms(choice, placing) - (gain_ms if choice.target is home else 0.0)

    return min(
        choices,
        key=lambda c: (cost_ms(c), mix(c.target.target_id, "")),
        default=None,
    )


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
