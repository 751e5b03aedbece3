"""Chains of a prompt's parts."""

import pytest

from berylnotch.placement.chains import (
    MAX_LEVELS,
    MAX_PARTS,
    MIN_HOME_TOKENS,
    PromptPart,
    make_chain,
)


def chain(*tokens, prompt_tokens=None):
    parts = [PromptPart(f"p{n}", count) for n, count in enumerate(tokens)]
    return make_chain(parts, sum(tokens) if prompt_tokens is None else prompt_tokens)


def test_levels_begin_where_a_trip_pays():
    made = chain(512, 4870, 300, 6610)
    assert [level.total for level in made.levels] == [5382, 5682]
    assert [level.tokens for level in made.levels] == [4870, 300]
    assert made.path == "p0/p1/p2" and made.shared_tokens == 5682
    assert made.total(0) == 0 and made.total(1) == 5382


def test_a_short_shared_part_has_no_home():
    assert not chain(MIN_HOME_TOKENS - 1, 9000).has_home
    assert chain(MIN_HOME_TOKENS, 9000).has_home
    assert not chain(9000).has_home


def test_marks_tell_prompts_with_the_same_first_part_apart():
    one = make_chain(
        [PromptPart("a", 2000), PromptPart("b", 2000), PromptPart("x", 1)], 0
    )
    two = make_chain(
        [PromptPart("a", 2000), PromptPart("c", 2000), PromptPart("x", 1)], 0
    )
    assert one.marks("v1")[0] == two.marks("v1")[0]
    assert one.marks("v1")[1] != two.marks("v1")[1]
    assert set(one.marks("v1")).isdisjoint(one.marks("v2"))


@pytest.mark.parametrize(
    "made",
    [
        chain(*[100] * (MAX_PARTS + 1)),
        chain(10**9, 10),
        chain(2000, 500, prompt_tokens=9000),
        make_chain([PromptPart("a", 2000)] * 3, 6000),
    ],
)
def test_parts_that_make_no_sense_give_no_home_and_say_why(made):
    assert made.problem and not made.has_home and made.path == ""


def test_only_the_deepest_levels_of_many_are_looked_for():
    made = chain(*[2000] * 20)
    assert len(made.levels) == MAX_LEVELS
    assert made.levels[-1].total == made.shared_tokens == 38_000


def test_prompts_of_one_branch_are_kept_by_one_store():
    one = make_chain(
        [PromptPart("a", 2000), PromptPart("b", 2000), PromptPart("x", 1)], 4001
    )
    two = make_chain(
        [PromptPart("a", 2000), PromptPart("c", 2000), PromptPart("x", 1)], 4001
    )
    assert one.store_key == two.store_key != ""
    assert make_chain([PromptPart("x", 9)], 9).store_key == ""
