"""Ranking of targets."""

from __future__ import annotations

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.placement.chain import Scope, hash_chain
from berylnotch.placement.model import Candidate, Query
from berylnotch.placement.rank import expected_pieces, rank
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
def test_chains_meet_only_in_one_scope_and_prefix(one, other, prompt, second):
    left, right = hash_chain(one, prompt, 4), hash_chain(other, second, 4)
    for depth, (a, b) in enumerate(zip(left, right, strict=False), start=1):
        same = one == other and prompt[: 4 * depth] == second[: 4 * depth]
        assert (a == b) == same


@given(prompts, st.permutations(CANDIDATES))
def test_order_of_candidates_does_not_matter(prompt, shuffled):
    asked = query(prompt)
    assert rank(SETTINGS, asked, CANDIDATES) == rank(SETTINGS, asked, shuffled)


@given(prompts, st.sets(st.integers(0, 4)), st.sets(st.integers(0, 4)))
def test_unusable_targets_are_never_ranked(prompt, draining, excluded):
    candidates = [
        evolve(c, draining=i in draining, ejected=i == 4, weights=f"v{1 + (i == 3)}")
        for i, c in enumerate(CANDIDATES)
    ]
    asked = query(prompt, exclude=frozenset(f"engine-{i}" for i in excluded))
    names = {r.name for r in rank(SETTINGS, asked, candidates)}
    assert names == {f"engine-{i}" for i in {0, 1, 2} - draining - excluded}


@given(st.binary(min_size=8, max_size=64), st.integers(0, 4))
def test_only_prefixes_at_home_on_a_lost_engine_move(prompt, lost):
    asked = query(prompt)
    homes = expected_pieces(SETTINGS, asked, [c.name for c in CANDIDATES])
    before = rank(SETTINGS, asked, CANDIDATES)[0].name
    rest = [c for i, c in enumerate(CANDIDATES) if i != lost]
    after = rank(SETTINGS, asked, rest)[0].name
    assert after == before or f"engine-{lost}" in homes


def test_a_long_queue_outweighs_affinity():
    asked = query(b"x" * 64)
    home = rank(SETTINGS, asked, CANDIDATES)[0].name
    busy = [evolve(c, queue_wait_s=60.0 * (c.name == home)) for c in CANDIDATES]
    assert rank(SETTINGS, asked, busy)[0].name != home
