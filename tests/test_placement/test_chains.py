"""Chains of shared prompt prefixes."""

import pytest

from berylnotch.placement.chains import (
    MAX_LEVELS,
    MAX_PARTS,
    MIN_HOME_TOKENS,
    PromptPart,
    make_prefix_chain,
)


def chain_of(*tokens, prompt_tokens=None):
    parts = [PromptPart(f"p{n}", count) for n, count in enumerate(tokens)]
    return make_prefix_chain(
        parts, sum(tokens) if prompt_tokens is None else prompt_tokens
    )


def test_levels_begin_at_the_least_shared_tokens():
    chain = chain_of(512, 4870, 300, 6610)
    assert [level.total for level in chain.levels] == [5382, 5682]
    assert [level.tokens for level in chain.levels] == [4870, 300]
    assert chain.path == "p0/p1/p2" and chain.shared_tokens == 5682
    assert chain.total(0) == 0 and chain.total(1) == 5382


def test_a_short_shared_part_gives_no_affinity():
    assert not chain_of(MIN_HOME_TOKENS - 1, 9000).has_affinity
    assert chain_of(MIN_HOME_TOKENS, 9000).has_affinity
    assert not chain_of(9000).has_affinity


def test_hashes_differ_where_prompts_with_the_same_first_part_differ():
    first = make_prefix_chain(
        [PromptPart("a", 2000), PromptPart("b", 2000), PromptPart("x", 1)], 0
    )
    second = make_prefix_chain(
        [PromptPart("a", 2000), PromptPart("c", 2000), PromptPart("x", 1)], 0
    )
    assert first.prefix_hashes("v1")[0] == second.prefix_hashes("v1")[0]
    assert first.prefix_hashes("v1")[1] != second.prefix_hashes("v1")[1]
    assert set(first.prefix_hashes("v1")).isdisjoint(first.prefix_hashes("v2"))


@pytest.mark.parametrize(
    "made",
    [
        chain_of(*[100] * (MAX_PARTS + 1)),
        chain_of(10**9, 10),
        chain_of(2000, 500, prompt_tokens=9000),
        make_prefix_chain([PromptPart("a", 2000)] * 3, 6000),
    ],
)
def test_invalid_parts_give_a_reason_and_no_affinity(made):
    assert made.problem and not made.has_affinity and made.path == ""


def test_only_the_deepest_levels_are_kept():
    chain = chain_of(*[2000] * 20)
    assert len(chain.levels) == MAX_LEVELS
    assert chain.levels[-1].total == chain.shared_tokens == 38_000


def test_prompts_of_one_branch_have_the_same_store_key():
    first = make_prefix_chain(
        [PromptPart("a", 2000), PromptPart("b", 2000), PromptPart("x", 1)], 4001
    )
    second = make_prefix_chain(
        [PromptPart("a", 2000), PromptPart("c", 2000), PromptPart("x", 1)], 4001
    )
    assert first.store_key == second.store_key != ""
    assert make_prefix_chain([PromptPart("x", 9)], 9).store_key == ""
