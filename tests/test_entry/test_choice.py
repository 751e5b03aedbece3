"""Choice of a target by expected delay.

The tests guard against prompts that are processed at several engines although one holds
them, routers that all choose the same target at the same moment, requests sent to
unusable targets or outdated weights, and choices that scan a whole large fleet.
"""

import random
from collections import Counter

import pytest
from attrs import evolve

from berylnotch.entry.candidates import MAX_RING_STEPS
from berylnotch.entry.choice import choose, delay_until_usable_s
from berylnotch.placement.cache_model import CachedLevels, Holding
from berylnotch.placement.ring import Ring
from tests.test_entry.support import long_request, make_target, short_request


def make_engines(count):
    return [make_target(f"e{n}") for n in range(count)]


def held_by(*targets, state=Holding.READY):
    return lambda target: state if target in targets else Holding.NONE


def test_every_router_computes_the_same_home():
    engines = make_engines(5)
    first = choose(engines, long_request()).target.target_id
    again = choose(list(reversed(engines)), long_request()).target.target_id
    assert first == again
    homes = {
        choose(engines, long_request(shared_id=f"p{n}")).target.target_id
        for n in range(50)
    }
    assert len(homes) == 5


def test_engine_that_holds_the_prompt_is_preferred_to_the_home():
    engines = make_engines(5)
    home = choose(engines, long_request()).target
    holder = next(e for e in engines if e is not home)
    choice = choose(engines, long_request(holding=held_by(holder)))
    assert choice.target is holder and choice.uncached_tokens == 4000


def test_engine_that_processes_the_prompt_is_chosen_but_is_no_copy_source():
    engines = make_engines(3)
    reader = engines[0]
    reader.unread = 17_000
    holding = held_by(reader, state=Holding.PENDING)
    assert choose(engines, long_request(holding=holding)).target is reader
    reader.unread = 400_000
    moved = choose(engines, long_request(holding=holding))
    assert moved.target is not reader and moved.source is None


def test_idle_engine_copies_the_prompt_from_a_busy_holder():
    engines = make_engines(3)
    holder = engines[0]
    holder.unread = 200_000
    choice = choose(engines, long_request(holding=held_by(holder)))
    assert choice.target is not holder and choice.source is holder


def test_prompt_is_not_copied_from_other_weights():
    engines = [make_target("old", version=1), make_target("new", version=2)]
    engines[0].unread = 300_000
    inputs = long_request(wanted_version=2, holding=held_by(engines[0]))
    choice = choose(engines, inputs)
    assert choice.target is engines[1] and choice.source is None


def test_older_weights_are_chosen_only_if_newer_ones_are_too_slow():
    old, new = make_target("old", version=1), make_target("new", version=2)
    outdated = {1: 3.0, 2: 0.0}
    inputs = short_request(
        wanted_version=2, outdated_s=outdated.get, fresh_s=1.2, stale_s=12.0
    )
    assert choose([old, new], inputs).target is new
    new.in_flight, new.unread = 60, 250_000
    assert choose([old, new], inputs).target is old


def test_weights_outdated_beyond_the_limit_are_not_used():
    old = make_target("old", version=1)
    inputs = short_request(wanted_version=2, outdated_s=lambda v: 13.0, stale_s=12.0)
    assert choose([old], inputs) is None


def test_unusable_targets_are_excluded():
    loading, leaving, ejected, excluded, refused = make_engines(5)
    loading.is_loading = True
    leaving.is_leaving = True
    for number in range(2):
        ejected.ejection.on_failure(99.9, number)
    refused.refused_until = 100.5
    inputs = short_request(excluded={excluded.target_id})
    engines = [loading, leaving, ejected, excluded, refused]
    assert choose(engines, inputs) is None
    assert 0 < delay_until_usable_s([refused], inputs) <= 0.5


def test_failing_and_slow_plain_targets_get_fewer_requests():
    good, failing, slow = (make_target(n, version=None, slots=6) for n in "abc")
    for _ in range(8):
        failing.note_outcome(True, 0.05)
        good.note_outcome(False, 0.05)
        slow.note_outcome(False, 0.5)
    inputs = short_request(model="")
    assert choose([good, failing, slow], inputs).target is good
    good.in_flight = 40
    assert choose([good, failing, slow], inputs).target is not good


def test_suspect_targets_are_avoided_except_by_routers_that_probe_them():
    suspect, other = make_engines(2)
    suspect.is_suspect = True
    other.in_flight = 50
    inputs = short_request()
    assert choose([suspect, other], inputs).target is other
    assert choose([suspect], inputs).target is suspect
    for number in range(2):
        suspect.ejection.on_failure(90.0, number)
    assert choose([suspect, other], inputs).target is suspect


def test_many_routers_with_the_same_knowledge_do_not_choose_the_same_target():
    engines = make_engines(30)
    rng = random.Random(1)
    inputs = short_request(sample=3, draw=rng.randrange)
    chosen = Counter(choose(engines, inputs).target.target_id for _ in range(300))
    assert max(chosen.values()) < 300 * 0.15
    busy = engines[0]
    busy.unread = 500_000
    again = Counter(choose(engines, inputs).target.target_id for _ in range(300))
    assert again[busy.target_id] == 0


def test_long_prompts_spread_over_their_homes_and_follow_their_holders():
    engines = make_engines(30)
    for engine in engines[1:]:
        engine.unread = 1000
    chosen = {
        choose(engines, long_request(shared_id=f"p{n}", sample=3)).target.target_id
        for n in range(60)
    }
    assert len(chosen) > 15
    holder = choose(engines, long_request()).target
    inputs = long_request(sample=3, holding=held_by(holder))
    assert choose(engines, inputs).target is holder


@pytest.mark.parametrize("usable", [300, 20, 2, 1])
def test_sample_is_complete_however_few_of_many_targets_are_usable(usable):
    engines = make_engines(300)
    for unusable in engines[usable:]:
        unusable.is_leaving = True
    rng = random.Random(usable)
    inputs = short_request(sample=3, draw=rng.randrange)
    chosen = Counter(choose(engines, inputs).target.target_id for _ in range(200))
    assert set(chosen) <= {e.target_id for e in engines[:usable]}
    # Each choice takes the best target of a sample, so no engine gets most requests.
    assert len(chosen) >= min(usable, 15) - 1


def test_choice_from_a_sample_examines_few_of_many_targets():
    examined = []
    engines = make_engines(3000)
    inputs = short_request(
        sample=3,
        draw=random.Random(1).randrange,
        outdated_s=lambda version: examined.append(version) or 0.0,
    )
    assert choose(engines, inputs) is not None
    assert len(examined) < 30


TREE = [("common", 512), ("house", 4000), ("subject", 3000)]


def nested_request(cached_levels, **changes):
    return long_request(
        parts=TREE, prompt_tokens=12_000, cached_levels=cached_levels, **changes
    )


def test_engine_with_the_longest_prefix_is_chosen():
    engines = make_engines(4)
    runs = {"e1": CachedLevels(1, 1), "e2": CachedLevels(2, 2)}
    inputs = nested_request(lambda t: runs.get(t.target_id, CachedLevels()))
    choice = choose(engines, inputs)
    assert choice.target is engines[2] and choice.uncached_tokens == 12_000 - 7512


def test_prefix_that_no_engine_holds_is_not_counted_as_reprocessed():
    engines = make_engines(4)
    runs = {"e1": CachedLevels(1, 1)}
    choice = choose(
        engines, nested_request(lambda t: runs.get(t.target_id, CachedLevels()))
    )
    assert choice.target is engines[1] and choice.uncached_tokens == 12_000 - 4512
    assert choice.reprocessed_tokens == 0


def test_engine_with_a_partial_prefix_copies_the_rest():
    engines = make_engines(2)
    runs = {"e0": CachedLevels(1, 1), "e1": CachedLevels(2, 2)}
    engines[1].unread = 300_000
    choice = choose(engines, nested_request(lambda t: runs[t.target_id]))
    assert choice.target is engines[0] and choice.source is engines[1]
    assert choice.copied_tokens == 3000 and choice.uncached_tokens == 12_000 - 7512


def test_store_that_holds_more_than_an_engine_is_the_copy_source():
    engines = make_engines(2)
    runs = {"e0": CachedLevels(), "e1": CachedLevels(1, 1)}
    engines[1].unread = 300_000
    inputs = nested_request(lambda t: runs[t.target_id], stored_levels=lambda t: 2)
    choice = choose(engines, inputs)
    assert choice.source is None and choice.uncached_tokens == 12_000 - 7512


def test_request_is_not_sent_where_it_would_begin_on_stale_weights():
    old = make_target("old", version=1)
    inputs = short_request(wanted_version=2, outdated_s=lambda v: 8.0, stale_s=9.0)
    assert choose([old], inputs) is not None
    old.unread = 300_000
    waiting = long_request(wanted_version=2, outdated_s=lambda v: 8.0, stale_s=9.0)
    assert choose([old], waiting) is None


def test_short_prompts_with_the_same_shared_part_prefer_one_engine():
    engines = make_engines(5)

    def homes(count, **changes):
        return [
            choose(
                engines,
                short_request(
                    shared_id=f"s{n % 9}",
                    shared_tokens=600,
                    prompt_tokens=2400,
                    **changes,
                ),
            ).target.target_id
            for n in range(count)
        ]

    assert homes(9) == homes(9)
    assert len(set(homes(9))) > 1
    home = choose(
        engines, short_request(shared_id="s0", shared_tokens=600, prompt_tokens=2400)
    ).target
    home.in_flight = 20
    moved = choose(
        engines, short_request(shared_id="s0", shared_tokens=600, prompt_tokens=2400)
    )
    assert moved.target is not home


def test_choice_in_a_large_fleet_examines_few_engines():
    examined = []
    engines = make_engines(900)
    ring = Ring([(e.target_id, e) for e in engines])

    def cached_levels(target):
        examined.append(target)
        return CachedLevels(2, 2) if target is engines[7] else CachedLevels()

    inputs = nested_request(
        cached_levels,
        sample=3,
        ring_walk=ring.walk,
        holders=lambda: [engines[7]],
        draw=random.Random(1).randrange,
    )
    assert choose(engines, inputs).target is engines[7]
    # Three engines from the hash order, the holder, and three random engines.
    assert len(examined) <= 3 + 1 + 3


def test_emptying_engine_gets_long_requests_only_without_other_engines():
    emptying, other = make_engines(2)
    emptying.is_emptying = True
    other.in_flight, other.unread = 10, 60_000
    assert choose([emptying, other], long_request()).target is other
    assert choose([emptying, other], short_request()).target is emptying
    assert choose([emptying], long_request()).target is emptying


def test_earlier_overshoots_of_the_expected_delay_are_added():
    old = make_target("old", version=1)
    outdated = {"wanted_version": 2, "outdated_s": lambda v: 8.0, "stale_s": 9.0}
    assert choose([old], short_request(**outdated, max_overshoot_ms=500.0)) is not None
    assert choose([old], short_request(**outdated, max_overshoot_ms=1500.0)) is None


def many_router_request(engines, **changes):
    """Return the choice inputs of a short request at one of many routers.

    With many routers each choice compares a sample of the engines.
    """
    rng = random.Random(3)
    ring = Ring([(e.target_id, e) for e in engines])
    return short_request(
        shared_id="s0",
        shared_tokens=600,
        prompt_tokens=2400,
        sample=3,
        draw=rng.randrange,
        ring_walk=ring.walk,
        weights_samples=lambda: {e.listed.models: e for e in engines}.values(),
        **changes,
    )


def test_many_routers_compute_the_same_home_of_a_short_prompt():
    engines = make_engines(40)
    chosen = {
        choose(engines, many_router_request(engines)).target.target_id
        for _ in range(20)
    }
    assert len(chosen) == 1


def test_short_prompt_is_copied_from_its_home_without_notes():
    engines = make_engines(40)
    home = choose(engines, many_router_request(engines)).target
    home.in_flight = 60
    choice = choose(engines, many_router_request(engines))
    assert choice.target is not home and choice.source is home


def test_new_home_copies_from_the_previous_home():
    engines = make_engines(40)
    for engine in engines[20:]:
        engine.listed = make_target(engine.target_id, version=2).listed
    previous_home = choose(engines[20:], many_router_request(engines[20:])).target
    order = Ring([(e.target_id, e) for e in engines]).walk("s0")
    joined = next(e for e in order if e in engines[:20])
    joined.listed = make_target(joined.target_id, version=2).listed
    current = [*engines[20:], joined]
    choice = choose(current, many_router_request(current))
    if choice.target is joined:
        assert choice.source is previous_home
    else:
        assert choice.target is previous_home


def test_choice_for_a_short_prompt_in_a_large_fleet_examines_few_engines():
    engines, walked = make_engines(900), []
    loading = make_target("new", version=2)
    loading.is_loading, loading.loading_until = True, 200.0
    inputs = many_router_request([*engines, loading])
    ring = Ring([(e.target_id, e) for e in engines])

    def walk(key):
        for engine in ring.walk(key):
            walked.append(engine)
            yield engine

    samples = [engines[0], loading]
    inputs = evolve(inputs, ring_walk=walk, weights_samples=lambda: samples)
    assert choose([*engines, loading], inputs).target is walked[0]
    assert len(walked) <= 2 * MAX_RING_STEPS


def test_engine_with_recently_loaded_weights_is_the_last_copy_source():
    engines = make_engines(40)
    home = choose(engines, many_router_request(engines)).target
    home.in_flight, home.weights_at = 60, 99.0
    choice = choose(engines, many_router_request(engines))
    assert choice.source not in (home, None)
    for engine in engines:
        engine.weights_at = 99.0
    assert choose(engines, many_router_request(engines)).source is home


def test_short_prompt_is_not_copied_from_other_weights_or_a_suspect_engine():
    old, new = make_target("old"), make_target("new", version=2)
    inputs = many_router_request(
        [old, new], wanted_version=2, fresh_s=0.5, outdated_s=lambda v: 1.0
    )
    assert choose([new], many_router_request([new])).source is None
    new.is_loading = True
    assert choose([old, new], inputs).source is None
    suspect, other = make_engines(2)
    suspect.is_suspect = True
    assert (
        choose([suspect, other], many_router_request([suspect, other])).source is None
    )
