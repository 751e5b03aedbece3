"""Model of the engines' and KV stores' cache contents."""

from berylnotch.group.messages import PromptNote
from berylnotch.placement.cache_model import (
    PENDING_PREFILL_TTL_S,
    PROMPT_CACHE_SHARE,
    STORE_ENTRY_TTL_S,
    CachedLevels,
    CacheModel,
    Holding,
)
from berylnotch.placement.chains import hash_prefix


def note(part, holder="e1", tokens=1000, own=0, is_ready=True, salt="v1"):
    return PromptNote(hash_prefix(salt, part), tokens, holder, own, is_ready)


def test_pending_and_complete_prefills_are_distinguished():
    memory = CacheModel()
    memory.record_prefill(1.0, note("a", is_ready=False), 10_000)
    assert memory.holding(1.5, "e1", hash_prefix("v1", "a")) is Holding.PENDING
    memory.record_prefill(1.0, note("a"), 10_000)
    assert memory.holding(1.5, "e1", hash_prefix("v1", "a")) is Holding.READY
    memory.record_prefill(1.0, note("a", is_ready=False), 10_000)
    assert memory.holding(1.5, "e1", hash_prefix("v1", "a")) is Holding.READY


def test_entries_apply_to_one_salt_and_one_engine():
    memory = CacheModel()
    memory.record_prefill(1.0, note("a"), 10_000)
    assert memory.holding(1.5, "e1", hash_prefix("v2", "a")) is Holding.NONE
    assert memory.holding(1.5, "e2", hash_prefix("v1", "a")) is Holding.NONE


def test_least_recently_used_prefix_is_evicted():
    memory = CacheModel()
    capacity = int(3000 / PROMPT_CACHE_SHARE) + 1
    for part in ("a", "b", "c"):
        memory.record_prefill(1.0, note(part), capacity)
    memory.record_prefill(1.0, note("a"), capacity)
    memory.record_prefill(1.0, note("d"), capacity)
    assert memory.holding(1.5, "e1", hash_prefix("v1", "b")) is Holding.NONE
    assert memory.holding(1.5, "e1", hash_prefix("v1", "a")) is Holding.READY


def test_unshared_rests_of_prompts_take_up_cache_space():
    memory = CacheModel()
    capacity = int(3000 / PROMPT_CACHE_SHARE) + 1
    memory.record_prefill(1.0, note("a"), capacity)
    memory.record_prefill(1.0, note("b", own=1500), capacity)
    assert memory.holding(1.5, "e1", hash_prefix("v1", "a")) is Holding.NONE


def test_notes_are_sent_to_other_routers_once():
    first, other = CacheModel(), CacheModel()
    first.record_prefill(1.0, note("a"), 10_000)
    first.record_store_transfer(5.0, note("a", holder="10.0.0.9:1"))
    read, saved = first.take_notes()
    assert first.take_notes() == ()
    other.apply_note(6.0, read, 10_000)
    other.apply_note(6.0, saved, None)
    assert other.holding(1.5, "e1", hash_prefix("v1", "a")) is Holding.READY
    assert other.is_stored(6.0, "10.0.0.9:1", hash_prefix("v1", "a"))
    assert not other.is_stored(
        6.0 + STORE_ENTRY_TTL_S, "10.0.0.9:1", hash_prefix("v1", "a")
    )
    assert other.take_notes() == ()


def test_restart_clears_an_engine_and_loss_clears_the_stores():
    memory = CacheModel()
    memory.record_prefill(1.0, note("a"), 10_000)
    memory.record_store_transfer(5.0, note("a", holder="10.0.0.9:1"))
    memory.forget_engine("e1")
    memory.forget_stores()
    assert memory.holding(1.5, "e1", hash_prefix("v1", "a")) is Holding.NONE
    assert not memory.is_stored(5.0, "10.0.0.9:1", hash_prefix("v1", "a"))


def test_prefill_that_was_not_completed_is_removed_or_expires():
    memory = CacheModel()
    memory.record_prefill(1.0, note("a", is_ready=False), 10_000)
    memory.cancel_prefill("e1", hash_prefix("v1", "a"))
    assert memory.holding(1.5, "e1", hash_prefix("v1", "a")) is Holding.NONE
    memory.record_prefill(1.0, note("b", is_ready=False), 10_000)
    assert (
        memory.holding(1.0 + PENDING_PREFILL_TTL_S, "e1", hash_prefix("v1", "b"))
        is Holding.NONE
    )
    memory.record_prefill(2.0, note("c"), 10_000)
    memory.cancel_prefill("e1", hash_prefix("v1", "c"))
    assert memory.holding(2.5, "e1", hash_prefix("v1", "c")) is Holding.READY


def test_run_is_the_deepest_cached_level_of_a_chain():
    memory = CacheModel()
    for prefix_hash in (11, 12):
        memory.record_prefill(1.0, PromptNote(prefix_hash, 1000, "e1"), 10_000)
    memory.record_prefill(1.0, PromptNote(13, 1000, "e1", is_ready=False), 10_000)
    assert memory.cached_levels(1.5, "e1", (11, 12, 13)) == CachedLevels(2, 3)
    assert memory.cached_levels(1.5, "e1", (11, 21)) == CachedLevels(1, 1)
    # An engine that caches a level also caches all levels before it.
    assert memory.cached_levels(1.5, "e1", (31, 12)) == CachedLevels(2, 2)
    assert memory.cached_levels(1.5, "e2", (11, 12)) == CachedLevels()


def holders(memory, *prefix_hashes, limit=9):
    return memory.holders(prefix_hashes, limit, lambda count: 0)


def test_holders_are_removed_with_their_entries():
    memory = CacheModel()
    capacity = int(2000 / PROMPT_CACHE_SHARE) + 1
    memory.record_prefill(1.0, note("a"), capacity)
    memory.record_prefill(1.0, note("a", holder="e2"), capacity)
    prefix_hash = hash_prefix("v1", "a")
    assert holders(memory, prefix_hash) == {"e1", "e2"}
    memory.forget_engine("e2")
    assert holders(memory, prefix_hash) == {"e1"}
    memory.record_prefill(2.0, note("b", own=900), capacity)
    memory.record_prefill(3.0, note("c"), capacity)
    assert holders(memory, prefix_hash) == set()


def test_holders_of_deeper_levels_are_preferred():
    memory = CacheModel()
    for number in range(20):
        memory.record_prefill(1.0, PromptNote(11, 1000, f"e{number}"), 10_000)
    memory.record_prefill(1.0, PromptNote(12, 1000, "e7"), 10_000)
    selected = holders(memory, 11, 12, limit=4)
    assert "e7" in selected and 3 <= len(selected) <= 4


def test_next_note_carries_the_tokens_of_prompts_without_shared_levels():
    first, other = CacheModel(), CacheModel()
    capacity = int(3000 / PROMPT_CACHE_SHARE) + 1
    first.record_prefill(1.0, note("a"), capacity)
    first.add_unshared_tokens("e1", 1500)
    first.record_prefill(2.0, note("b", is_ready=False), capacity)
    assert first.holding(2.0, "e1", hash_prefix("v1", "a")) is Holding.NONE
    for sent_note in first.take_notes():
        other.apply_note(2.0, sent_note, capacity)
    assert other.holding(2.0, "e1", hash_prefix("v1", "a")) is Holding.NONE


def test_store_caches_the_levels_up_to_the_deepest_sent_level():
    memory = CacheModel()
    memory.record_store_transfer(1.0, PromptNote(12, 1000, "10.0.0.9:1"))
    assert memory.stored_levels(1.5, "10.0.0.9:1", (11, 12, 13)) == 2
    assert memory.stored_levels(1.5, "10.0.0.9:1", (11, 22)) == 0
