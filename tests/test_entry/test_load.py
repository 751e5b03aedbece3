"""Simulates a rollout of weights, and counts first events in time for two policies.

Guards against a choice by the number of requests alone: engines then read the same
prefixes again, and prompts wait in long queues. Five engines serve short prompts and
long ones with shared prefixes. During the rollout up to two engines at a time are
unavailable, and return with empty caches. An engine reads one prompt after the other,
short urgent ones first. It does not read a prefix again that it holds or copies from
another engine.
"""

import random
from collections import OrderedDict

from attrs import define, field

from berylnotch.entry.admission import decide_admission
from berylnotch.entry.choice import choose
from berylnotch.entry.model import Choice
from berylnotch.group.messages import PromptNote
from berylnotch.placement.cache_model import CacheModel
from berylnotch.placement.chains import hash_prefix
from tests.test_entry.support import long_request, make_target, short_request

#: Prompt tokens that an engine reads in a step, the time to read them, and the fixed
#: time of a step; times in ms.
CHUNK_TOKENS, CHUNK_MS, STEP_MS = 1024, 17.0, 4.5

#: Tokens of an engine's cache, of a shared prefix and of the rest of a long prompt.
CACHE_TOKENS, PREFIX_TOKENS, REST_TOKENS = 154_000, 13_300, 3_700

#: Number of shared prefixes, and long and short requests per second.
PREFIXES, LONG_PER_S, SHORT_PER_S = 59, 12.0, 100.0

#: Target latency of the first event, and time after which callers leave, in seconds.
TARGET_S, LEAVE_S = 1.0, 4.0

#: Times between which each engine is unavailable; it returns with an empty cache.
OUTAGES = {0: (2.0, 4.2), 1: (2.0, 4.2), 2: (5.0, 7.2), 3: (7.5, 9.7), 4: (10.0, 12.2)}


@define(eq=False)
class Engine:
    """Engine that reads prompts in turn, and caches the most recently used prefixes."""

    target: object
    free_at: float = 0.0
    held: OrderedDict = field(factory=OrderedDict)

    def process(self, now, prefix, tokens, is_copied):
        """Return the time of a request's first event, and the number of tokens read."""
        unread = tokens
        if prefix is not None:
            if prefix in self.held or is_copied:
                unread -= PREFIX_TOKENS
            self.held[prefix] = True
            self.held.move_to_end(prefix)
            while len(self.held) * (PREFIX_TOKENS + REST_TOKENS) > CACHE_TOKENS:
                self.held.popitem(last=False)
        prefill_ms = unread / CHUNK_TOKENS * (CHUNK_MS + STEP_MS)
        self.free_at = max(now, self.free_at) + prefill_ms / 1000
        if prefix is None:
            return now + (CHUNK_MS + STEP_MS + prefill_ms) / 1000, unread
        return self.free_at, unread


def least_requests(targets, _inputs):
    """Return the target with the fewest requests, as the baseline."""
    usable = [t for t in targets if not t.is_loading]
    return min(usable, key=lambda t: t.load)


def simulate(policy, seed):
    """Return the outcomes of a simulation under a policy.

    The values are the fractions of long and short requests in time, the number of
    tokens read, and the fraction of requests whose first event comes after the caller
    has left.
    """
    rng = random.Random(seed)
    engines = [Engine(make_target(f"e{n}")) for n in range(5)]
    targets = [e.target for e in engines]
    by_id = {e.target.target_id: e for e in engines}
    memory, ends = CacheModel(), []
    in_time = {True: 0, False: 0}
    requests = {True: 0, False: 0}
    read, now, left = 0, 0.0, []
    arrivals = []
    while now < 14.0:
        now += rng.expovariate(LONG_PER_S + SHORT_PER_S)
        is_long = rng.random() < LONG_PER_S / (LONG_PER_S + SHORT_PER_S)
        arrivals.append((now, is_long, rng.randrange(PREFIXES), now))
    while arrivals:
        arrivals.sort()
        now, is_long, prefix, arrived_at = arrivals.pop(0)
        for end in [e for e in ends if e[0] <= now]:
            ends.remove(end)
            end[1].in_flight -= 1
            end[1].unread -= end[2]
            if end[3] is not None:
                memory.record_prefill(end[0], end[3], CACHE_TOKENS)
        for number, (start, back) in OUTAGES.items():
            target = targets[number]
            was_unavailable, target.is_loading = target.is_loading, start <= now < back
            if was_unavailable and not target.is_loading:
                engines[number].held.clear()
                memory.forget_engine(target.target_id)
        if now == arrived_at:
            requests[is_long] += 1
        part = f"p{prefix}" if is_long else None
        inputs = (long_request if is_long else short_request)(
            now=now,
            shared_id=part or "short",
            shared_tokens=PREFIX_TOKENS if is_long else 55,
            prompt_tokens=PREFIX_TOKENS + REST_TOKENS if is_long else 380,
            holding=lambda t, p=part, at=now: memory.holding(
                at, t.target_id, hash_prefix("v1", p)
            ),
        )
        choice, retry_s = policy(targets, inputs, now - arrived_at)
        if choice is None:
            if now == arrived_at:
                arrivals.append((now + retry_s, is_long, prefix, arrived_at))
            continue
        target, unread = choice.target, choice.uncached_tokens
        is_copied = (
            choice.source is not None and part in by_id[choice.source.target_id].held
        )
        engine = by_id[target.target_id]
        done, tokens_read = engine.process(now, part, inputs.prompt_tokens, is_copied)
        read += tokens_read
        target.in_flight += 1
        target.unread += unread
        ready = None
        if is_long:
            prefix_hash = hash_prefix("v1", part)
            first = PromptNote(
                prefix_hash, PREFIX_TOKENS, target.target_id, REST_TOKENS, False
            )
            memory.record_prefill(now, first, CACHE_TOKENS)
            ready = PromptNote(prefix_hash, PREFIX_TOKENS, target.target_id)
        ends.append((done, target, unread, ready))
        in_time[is_long] += done - arrived_at <= TARGET_S
        left.append(done - now > LEAVE_S)
    long_share = in_time[True] / requests[True]
    short_share = in_time[False] / requests[False]
    return long_share, short_share, read, sum(left) / len(left)


def by_delay(targets, inputs, waited_s):
    choice = choose(targets, inputs)
    verdict = decide_admission(choice, TARGET_S, 10.0 - waited_s)
    if not verdict.is_admitted:
        return None, verdict.retry_after_s
    return choice, 0.0


def by_requests(targets, inputs, waited_s):
    target = least_requests(targets, inputs)
    return Choice(target, 0.0, uncached_tokens=inputs.prompt_tokens), 0.0


def test_callers_get_more_in_time_and_engines_read_less():
    for seed in range(5):
        long_new, short_new, read_new, left_share = simulate(by_delay, seed)
        long_old, short_old, read_old, _ = simulate(by_requests, seed)
        assert long_new > long_old
        assert short_new >= short_old
        assert read_new < 0.9 * read_old
        assert left_share <= 0.01


def test_short_requests_stay_in_time_beside_long_ones():
    for seed in range(5):
        _, short_new, _, _ = simulate(by_delay, seed)
        assert short_new > 0.95
