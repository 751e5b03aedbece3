"""Placement of one router's requests."""

from __future__ import annotations

import random

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.fleet.model import Service, ServiceKind
from berylnotch.placement.hints import CacheEvent
from berylnotch.placement.homes import HomeRing
from berylnotch.placement.hot import HotPrefixes
from berylnotch.placement.model import Candidate
from berylnotch.placement.placer import PlacementRequest, Placer, Prompt
from berylnotch.placement.settings import PlacementSettings

BLOCK_BYTES = 8
SETTINGS = PlacementSettings(max_rates=64)
SERVICE = Service("coach-llm", ServiceKind.LANGUAGE, weights="v1")
ENGINES = tuple(
    Candidate(f"engine-{i}", incarnation="a", weights="v1") for i in range(5)
)
NAMES = tuple(f"engine-{i}" for i in range(100))

bodies = st.binary(min_size=BLOCK_BYTES, max_size=10 * BLOCK_BYTES)


def request(body: bytes, organisation="clinic", **changes) -> PlacementRequest:
    prompt = Prompt(organisation, SERVICE.name, body, BLOCK_BYTES)
    return PlacementRequest(prompt, **changes)


def cached_blocks(
    placer: Placer, placement_request: PlacementRequest, engines=ENGINES
) -> dict[str, int]:
    return {
        r.name: r.cached_blocks for r in placer.rank(1.0, placement_request, engines)
    }


@pytest.fixture
def placer() -> Placer:
    return Placer(SETTINGS)


@given(bodies, st.integers(0, 4))
def test_cache_events_apply_to_one_organisation_version_and_process(body, index):
    placer = Placer(SETTINGS)
    target = ENGINES[index].name
    chain = request(body).prompt.chain("v1")
    placer.cache_event(1.0, CacheEvent(target, "a", 1, chain))
    assert cached_blocks(placer, request(body))[target] == len(chain)
    other = request(body, organisation="school")
    newer = tuple(evolve(c, weights="v2") for c in ENGINES)
    restarted = tuple(evolve(c, incarnation="b") for c in ENGINES)
    new_placer = Placer(SETTINGS)
    assert cached_blocks(placer, other) == cached_blocks(new_placer, other)
    assert cached_blocks(placer, request(body), newer) == cached_blocks(
        new_placer, request(body), newer
    )
    assert cached_blocks(placer, request(body), restarted) == cached_blocks(
        new_placer, request(body), restarted
    )


@given(bodies, st.randoms(use_true_random=False))
def test_new_routers_rank_equally(body, rng):
    shuffled = rng.sample(ENGINES, len(ENGINES))
    first = Placer(SETTINGS).rank(1.0, request(body), ENGINES)
    assert Placer(SETTINGS).rank(9.0, request(body), shuffled) == first


def test_engines_are_ranked_by_the_chain_of_their_own_version(placer):
    body = b"x" * 4 * BLOCK_BYTES
    mixed = tuple(
        evolve(c, weights=("v1", "v2", "")[i % 3]) for i, c in enumerate(ENGINES)
    )
    ranked = placer.rank(1.0, request(body), mixed)
    assert {r.name: r.weights for r in ranked} == {
        c.name: c.weights for c in mixed if c.weights
    }
    same_version = placer.rank(1.0, request(body, weights="v1"), mixed)
    assert {r.weights for r in same_version} == {"v1"}


def test_prompt_returns_to_the_engine_that_took_it_from_a_busy_home(placer):
    placement_request = request(b"y" * 8 * BLOCK_BYTES)
    home = placer.rank(1.0, placement_request, ENGINES)[0].name
    busy = [evolve(c, queue_wait_s=60.0 * (c.name == home)) for c in ENGINES]
    second = placer.rank(1.0, placement_request, busy)[0]
    placer.record_sent(1.0, placement_request, second)
    slow = [evolve(c, queue_wait_s=1.0 * (c.name == home)) for c in ENGINES]
    assert placer.rank(1.5, placement_request, slow)[0].name == second.name


def test_hot_prompt_gets_more_homes_than_a_cold_one():
    hot = HotPrefixes(evolve(SETTINGS, retention_s=4.0, over_share_retention_s=1.0))
    warm, cold = request(b"w" * 32), request(b"c" * 32)
    for step in range(100):
        hot.record_request(step / 10.0, warm.prompt.chain("v1"))
    hot.record_request(10.0, cold.prompt.chain("v1"))
    assert hot.levels(10.0, warm.prompt.chain("v1"))[0].homes >= 64
    above = hot.levels(10.0, warm.prompt.chain("v1"), above_share=True)[0].homes
    assert above < hot.levels(10.0, warm.prompt.chain("v1"))[0].homes
    assert hot.levels(10.0, cold.prompt.chain("v1"))[0].homes == 1


@given(st.integers(1, 500))
def test_counted_prefixes_are_bounded(count):
    hot = HotPrefixes(SETTINGS)
    for number in range(count):
        prompt = request(number.to_bytes(BLOCK_BYTES, "big") * 4).prompt
        hot.record_request(1.0, prompt.chain("v1"))
    assert len(hot) <= SETTINGS.max_rates


@given(bodies)
def test_shortlist_is_equal_on_every_router(body):
    first = Placer(SETTINGS).shortlist(1.0, request(body), SERVICE, NAMES)
    assert first == Placer(SETTINGS).shortlist(5.0, request(body), SERVICE, NAMES)
    assert len(set(first)) == SETTINGS.max_candidates


def test_requests_of_a_hot_prompt_rotate_over_all_its_homes(placer):
    placement_request = request(b"h" * 2 * BLOCK_BYTES)
    chosen = placer.rank(0.0, placement_request, ENGINES)[0]
    for step in range(400):
        placer.record_sent(step / 50.0, placement_request, chosen)
    shortlists = {
        placer.shortlist(8.0, placement_request, SERVICE, NAMES) for _ in range(50)
    }
    assert len({name for names in shortlists for name in names}) > 50


def test_prompts_below_a_block_rotate_over_all_engines(placer):
    shortlists = [
        placer.shortlist(1.0, request(b""), SERVICE, NAMES) for _ in range(100)
    ]
    assert {name for names in shortlists for name in names} == set(NAMES)


def test_ring_is_even_and_reassigns_only_the_prefixes_of_a_lost_engine():
    rng = random.Random(1)
    prefixes = [rng.randbytes(16) for _ in range(2000)]
    ring, smaller_ring = HomeRing(NAMES, 1), HomeRing(NAMES[1:], 1)
    before = [ring.homes(prefix)[0] for prefix in prefixes]
    after = [smaller_ring.homes(prefix)[0] for prefix in prefixes]
    moved = [a for a, b in zip(before, after, strict=True) if a != b]
    assert set(moved) <= {NAMES[0]}
    assert max(before.count(name) for name in NAMES) < 60
