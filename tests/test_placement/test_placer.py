"""Placement as one router does it."""

from __future__ import annotations

import random

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.fleet.model import Service, ServiceKind
from berylnotch.placement.hints import CacheEvent
from berylnotch.placement.homes import HomeTable
from berylnotch.placement.hot import HotPrefixes
from berylnotch.placement.model import Candidate
from berylnotch.placement.placer import PlacementRequest, Placer, Prompt
from berylnotch.placement.settings import PlacementSettings

PIECE_BYTES = 8
SETTINGS = PlacementSettings(hot_max=64)
SERVICE = Service("coach-llm", ServiceKind.LANGUAGE, weights="v1")
ENGINES = tuple(
    Candidate(f"engine-{i}", incarnation="a", weights="v1") for i in range(5)
)
NAMES = tuple(f"engine-{i}" for i in range(100))

bodies = st.binary(min_size=PIECE_BYTES, max_size=10 * PIECE_BYTES)


def request(body: bytes, organisation="clinic", **changes) -> PlacementRequest:
    prompt = Prompt(organisation, SERVICE.name, body, PIECE_BYTES)
    return PlacementRequest(prompt, **changes)


def cached(placer: Placer, wanted: PlacementRequest, engines=ENGINES) -> dict[str, int]:
    return {r.name: r.cached_pieces for r in placer.rank(1.0, wanted, engines)}


@pytest.fixture
def placer() -> Placer:
    return Placer(SETTINGS)


@given(bodies, st.integers(0, 4))
def test_events_count_for_one_organisation_version_and_process(body, index):
    placer = Placer(SETTINGS)
    target = ENGINES[index].name
    chain = request(body).prompt.chain("v1")
    placer.cache_event(1.0, CacheEvent(target, "a", 1, chain))
    assert cached(placer, request(body))[target] == len(chain)
    other = request(body, organisation="school")
    newer = tuple(evolve(c, weights="v2") for c in ENGINES)
    restarted = tuple(evolve(c, incarnation="b") for c in ENGINES)
    unknown = Placer(SETTINGS)
    assert cached(placer, other) == cached(unknown, other)
    assert cached(placer, request(body), newer) == cached(unknown, request(body), newer)
    assert cached(placer, request(body), restarted) == cached(
        unknown, request(body), restarted
    )


@given(bodies, st.randoms(use_true_random=False))
def test_new_routers_agree(body, rng):
    shuffled = rng.sample(ENGINES, len(ENGINES))
    one = Placer(SETTINGS).rank(1.0, request(body), ENGINES)
    assert Placer(SETTINGS).rank(9.0, request(body), shuffled) == one


def test_engines_of_two_versions_are_ranked_by_their_own_chain(placer):
    body = b"x" * 4 * PIECE_BYTES
    mixed = tuple(
        evolve(c, weights=("v1", "v2", "")[i % 3]) for i, c in enumerate(ENGINES)
    )
    ranked = placer.rank(1.0, request(body), mixed)
    assert {r.name: r.weights for r in ranked} == {
        c.name: c.weights for c in mixed if c.weights
    }
    only = placer.rank(1.0, request(body, weights="v1"), mixed)
    assert {r.weights for r in only} == {"v1"}


def test_own_requests_keep_a_spilled_prompt_where_it_went(placer):
    wanted = request(b"y" * 8 * PIECE_BYTES)
    home = placer.rank(1.0, wanted, ENGINES)[0].name
    busy = [evolve(c, queue_wait_s=60.0 * (c.name == home)) for c in ENGINES]
    second = placer.rank(1.0, wanted, busy)[0]
    placer.sent(1.0, wanted, second)
    slow = [evolve(c, queue_wait_s=1.0 * (c.name == home)) for c in ENGINES]
    assert placer.rank(1.5, wanted, slow)[0].name == second.name


def test_hot_prompt_gets_more_homes_than_a_cold_one():
    hot = HotPrefixes(evolve(SETTINGS, warm_s=4.0, busy_warm_s=1.0))
    warm, cold = request(b"w" * 32), request(b"c" * 32)
    for step in range(100):
        hot.count(step / 10.0, warm.prompt.chain("v1"))
    hot.count(10.0, cold.prompt.chain("v1"))
    assert hot.levels(10.0, warm.prompt.chain("v1"))[0].homes >= 64
    above = hot.levels(10.0, warm.prompt.chain("v1"), above_share=True)[0].homes
    assert above < hot.levels(10.0, warm.prompt.chain("v1"))[0].homes
    assert hot.levels(10.0, cold.prompt.chain("v1"))[0].homes == 1


@given(st.integers(1, 500))
def test_counted_prefixes_are_bounded(count):
    hot = HotPrefixes(SETTINGS)
    for number in range(count):
        prompt = request(number.to_bytes(PIECE_BYTES, "big") * 4).prompt
        hot.count(1.0, prompt.chain("v1"))
    assert len(hot) <= SETTINGS.hot_max


@given(bodies)
def test_shortlist_holds_the_same_few_on_every_router(body):
    one = Placer(SETTINGS).shortlist(1.0, request(body), SERVICE, NAMES)
    assert one == Placer(SETTINGS).shortlist(5.0, request(body), SERVICE, NAMES)
    assert len(set(one)) == SETTINGS.max_candidates


def test_prompt_that_is_hot_throughout_gets_all_its_homes(placer):
    wanted = request(b"h" * 2 * PIECE_BYTES)
    chosen = placer.rank(0.0, wanted, ENGINES)[0]
    for step in range(400):
        placer.sent(step / 50.0, wanted, chosen)
    lists = {placer.shortlist(8.0, wanted, SERVICE, NAMES) for _ in range(50)}
    assert len({name for names in lists for name in names}) > 50


def test_prompts_below_a_piece_go_round_all_engines(placer):
    lists = [placer.shortlist(1.0, request(b""), SERVICE, NAMES) for _ in range(100)]
    assert {name for names in lists for name in names} == set(NAMES)


def test_ring_is_even_and_moves_little_when_an_engine_goes():
    rng = random.Random(1)
    prefixes = [rng.randbytes(16) for _ in range(2000)]
    whole, rest = HomeTable(NAMES, 1), HomeTable(NAMES[1:], 1)
    before = [whole.homes(prefix)[0] for prefix in prefixes]
    after = [rest.homes(prefix)[0] for prefix in prefixes]
    moved = [a for a, b in zip(before, after, strict=True) if a != b]
    assert set(moved) <= {NAMES[0]}
    assert max(before.count(name) for name in NAMES) < 60
