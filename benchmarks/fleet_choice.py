"""Measures the time of a router's choice of an engine for a prompt of several parts.

Run with ``python -m benchmarks.fleet_choice``.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from berylnotch.entry.candidates import MAX_HOLDERS
from berylnotch.entry.choice import choose
from berylnotch.entry.model import ChoiceInputs
from berylnotch.entry.targets import Target
from berylnotch.group.messages import PromptNote
from berylnotch.membership.ejection import Ejection
from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.membership.settings import MembershipSettings
from berylnotch.placement.cache_model import CacheModel
from berylnotch.placement.chains import PrefixChain, PromptPart, make_prefix_chain
from berylnotch.placement.ring import Ring

#: Longest time that the histogram records, in microseconds.
MAX_RECORDED_US = 1_000_000

#: Tokens of each part of a prompt, and of an engine's cache.
PART_TOKENS, CACHE_TOKENS = 2_000, 300_000


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="benchmarks.fleet_choice", description=__doc__
    )
    parser.add_argument("--engines", type=int, default=850)
    parser.add_argument("--parts", type=int, default=5)
    parser.add_argument("--subjects", type=int, default=400)
    parser.add_argument("--decisions", type=int, default=20_000)
    parser.add_argument("--sample", type=int, default=3)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Measure and print the percentiles."""
    args = get_parser().parse_args(argv)
    rng = random.Random(1)
    engines = [_make_target(number) for number in range(args.engines)]
    by_id = {engine.target_id: engine for engine in engines}
    ring = Ring([(engine.target_id, engine) for engine in engines])
    cache_model, choice_times_us = CacheModel(), HdrHistogram(1, MAX_RECORDED_US, 3)
    for number in range(args.decisions):
        chain = _make_chain(rng.randrange(args.subjects), args.parts)
        prefix_hashes = chain.prefix_hashes("v1")
        inputs = ChoiceInputs(
            now=float(number) / 1000,
            model="m",
            target_latency_s=1.0,
            chain=chain,
            prompt_tokens=args.parts * PART_TOKENS,
            sample=args.sample,
            draw=rng.randrange,
            cached_levels=lambda t, m=prefix_hashes: cache_model.cached_levels(
                0.0, t.target_id, m
            ),
            holders=lambda m=prefix_hashes: [
                by_id[name]
                for name in cache_model.holders(m, MAX_HOLDERS, rng.randrange)
            ],
            ring_walk=ring.walk,
        )
        started = time.perf_counter()
        choice = choose(engines, inputs)
        choice_times_us.record_value(max(1, int(1e6 * (time.perf_counter() - started))))
        for level, prefix_hash in zip(chain.levels, prefix_hashes, strict=True):
            note = PromptNote(prefix_hash, level.tokens, choice.target.target_id)
            cache_model.record_prefill(0.0, note, CACHE_TOKENS)
        cache_model.take_notes()
    for percentile in (50.0, 99.0, 99.9):
        value = choice_times_us.get_value_at_percentile(percentile)
        print(f"engines={args.engines} parts={args.parts} p{percentile:g}={value} us")
    return 0


def _make_target(number: int) -> Target:
    models = (ModelVersion("m", 1),)
    listed = ListedTarget(f"e{number}", "llm", "10.0.0.1:1", "d", 64, models=models)
    return Target(listed, Ejection(MembershipSettings()))


def _make_chain(subject: int, parts: int) -> PrefixChain:
    """Return the chain of a subject.

    The chains form a tree: every 8**depth-th subject shares the part at a depth.
    """
    names = [f"{depth}-{subject % 2 ** (3 * depth)}" for depth in range(parts - 1)]
    shared = [PromptPart(name, PART_TOKENS) for name in names]
    unshared = PromptPart("own", PART_TOKENS)
    return make_prefix_chain((*shared, unshared), parts * PART_TOKENS)


if __name__ == "__main__":
    sys.exit(main())
