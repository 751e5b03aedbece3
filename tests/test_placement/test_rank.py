"""Ranking of targets."""

from __future__ import annotations

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.placement.chain import Scope, hash_chain
from berylnotch.placement.hints import CacheEvent, CacheHints
from berylnotch.placement.model import Candidate, Level, Query
from berylnotch.placement.rank import expected_blocks, rank
from berylnotch.placement.settings import PlacementSettings

SETTINGS = PlacementSettings()
SCOPE = Scope("clinic", "coach-llm", "v1")
CANDIDATES = tuple(Candidate(f"engine-{i}", weights="v1") for i in range(5))

scopes = st.builds(Scope, *[st.sampled_from(["", "a", "b", "ab"])] * 3)
prompts = st.binary(max_size=64)


def query(prompt: bytes, **changes) -> Query:
    chain = hash_chain(SCOPE, prompt, 8)
    return Query(chain, len(chain) + 1, weights="v1", **changes)


@given(scopes, scopes, prompts, prompts)
def test_chains_share_hashes_only_for_the_same_scope_and_prefix(
    scope, other_scope, prompt, other_prompt
):
    hashes, other_hashes = (
        hash_chain(scope, prompt, 4),
        hash_chain(other_scope, other_prompt, 4),
    )
    for depth, (a, b) in enumerate(zip(hashes, other_hashes, strict=False), start=1):
        is_shared = (
            scope == other_scope and prompt[: 4 * depth] == other_prompt[: 4 * depth]
        )
        assert (a == b) == is_shared


@given(prompts, st.permutations(CANDIDATES))
def test_order_of_candidates_does_not_matter(prompt, shuffled):
    request_query = query(prompt)
    assert rank(SETTINGS, request_query, CANDIDATES) == rank(
        SETTINGS, request_query, shuffled
    )


@given(prompts, st.sets(st.integers(0, 4)), st.sets(st.integers(0, 4)))
def test_unusable_targets_are_never_ranked(prompt, draining, excluded):
    candidates = [
        evolve(c, draining=i in draining, ejected=i == 4, weights=f"v{1 + (i == 3)}")
        for i, c in enumerate(CANDIDATES)
    ]
    request_query = query(prompt, exclude=frozenset(f"engine-{i}" for i in excluded))
    names = {r.name for r in rank(SETTINGS, request_query, candidates)}
    assert names == {f"engine-{i}" for i in {0, 1, 2} - draining - excluded}


@given(st.binary(min_size=8, max_size=64), st.integers(0, 4))
def test_loss_of_an_engine_reassigns_only_its_own_prefixes(prompt, lost):
    request_query = query(prompt)
    homes = expected_blocks(SETTINGS, request_query, [c.name for c in CANDIDATES])
    before = rank(SETTINGS, request_query, CANDIDATES)[0].name
    rest = [c for i, c in enumerate(CANDIDATES) if i != lost]
    after = rank(SETTINGS, request_query, rest)[0].name
    assert after == before or f"engine-{lost}" in homes


def test_a_long_queue_outweighs_affinity():
    request_query = query(b"x" * 64)
    home = rank(SETTINGS, request_query, CANDIDATES)[0].name
    busy = [evolve(c, queue_wait_s=60.0 * (c.name == home)) for c in CANDIDATES]
    assert rank(SETTINGS, request_query, busy)[0].name != home


def cache_hints(blocks: int, target: str, request_query: Query) -> CacheHints:
    hints = CacheHints()
    hints.apply(0.0, CacheEvent(target, "", 1, request_query.chain[:blocks]))
    return hints


@pytest.mark.parametrize(("rate", "source"), [(40_000.0, "store"), (0.0, "")])
def test_blocks_are_imported_if_that_is_cheaper(rate, source):
    request_query = query(b"z" * 64, stores=("store",))
    settings = evolve(SETTINGS, import_tokens_per_s=rate)
    best = rank(
        settings, request_query, CANDIDATES, cache_hints(8, "store", request_query)
    )[0]
    assert best.import_from == source
    assert best.import_blocks == (8 if source else 0)


def test_short_import_costs_more_than_computing():
    request_query = query(b"z" * 8, stores=("store",))
    settings = evolve(SETTINGS, import_tokens_per_s=1.0)
    best = rank(
        settings, request_query, CANDIDATES, cache_hints(1, "store", request_query)
    )[0]
    assert best.import_from == ""


def test_only_confirmed_blocks_are_imported():
    request_query = query(b"z" * 64, stores=("store",))
    settings = evolve(SETTINGS, import_tokens_per_s=40_000.0)
    hints = cache_hints(8, "store", request_query)
    hints.apply(1.0, CacheEvent("store", "", 3))
    assert rank(settings, request_query, CANDIDATES, hints)[0].import_from == ""


def test_nearer_of_two_equal_targets_is_chosen():
    request_query = query(b"", failure_domain="howrah")
    far = Candidate("engine-0", failure_domain="kolkata-a", weights="v1")
    near = Candidate("engine-1", failure_domain="howrah", weights="v1")
    assert rank(SETTINGS, request_query, [far, near])[0].name == "engine-1"


def test_prompts_spread_over_targets_of_equal_score():
    settings = evolve(SETTINGS, default_home_depth=1)
    level = (Level(1, 5),)
    first = {
        rank(settings, query(bytes([i]) * 16, levels=level), CANDIDATES)[0].name
        for i in range(40)
    }
    assert first == {c.name for c in CANDIDATES}
