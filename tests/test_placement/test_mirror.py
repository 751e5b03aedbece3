"""Model of the engines' and KV stores' cache contents."""

from berylnotch.group.messages import PromptNote
from berylnotch.placement.chains import prompt_mark
from berylnotch.placement.mirror import (
    PENDING_PREFILL_TTL_S,
    PROMPT_CACHE_SHARE,
    STORE_ENTRY_TTL_S,
    Holding,
    PromptMemory,
    Run,
)


def note(part, holder="e1", tokens=1000, own=0, is_ready=True, salt="v1"):
    return PromptNote(prompt_mark(salt, part), tokens, holder, own, is_ready)


def test_pending_and_complete_prefills_are_distinguished():
    memory = PromptMemory()
    memory.read(1.0, note("a", is_ready=False), 10_000)
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.READING
    memory.read(1.0, note("a"), 10_000)
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.READY
    memory.read(1.0, note("a", is_ready=False), 10_000)
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.READY


def test_entries_apply_to_one_salt_and_one_engine():
    memory = PromptMemory()
    memory.read(1.0, note("a"), 10_000)
    assert memory.holding(1.5, "e1", prompt_mark("v2", "a")) is Holding.NONE
    assert memory.holding(1.5, "e2", prompt_mark("v1", "a")) is Holding.NONE


def test_least_recently_used_prefix_is_evicted():
    memory = PromptMemory()
    capacity = int(3000 / PROMPT_CACHE_SHARE) + 1
    for part in ("a", "b", "c"):
        memory.read(1.0, note(part), capacity)
    memory.read(1.0, note("a"), capacity)
    memory.read(1.0, note("d"), capacity)
    assert memory.holding(1.5, "e1", prompt_mark("v1", "b")) is Holding.NONE
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.READY


def test_unshared_rests_of_prompts_take_up_cache_space():
    memory = PromptMemory()
    capacity = int(3000 / PROMPT_CACHE_SHARE) + 1
    memory.read(1.0, note("a"), capacity)
    memory.read(1.0, note("b", own=1500), capacity)
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.NONE


def test_notes_are_sent_to_other_routers_once():
    first, other = PromptMemory(), PromptMemory()
    first.read(1.0, note("a"), 10_000)
    first.saved(5.0, note("a", holder="10.0.0.9:1"))
    read, saved = first.take_notes()
    assert first.take_notes() == ()
    other.hear(6.0, read, 10_000)
    other.hear(6.0, saved, None)
    assert other.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.READY
    assert other.is_saved(6.0, "10.0.0.9:1", prompt_mark("v1", "a"))
    assert not other.is_saved(
        6.0 + STORE_ENTRY_TTL_S, "10.0.0.9:1", prompt_mark("v1", "a")
    )
    assert other.take_notes() == ()


def test_restart_clears_an_engine_and_loss_clears_the_stores():
    memory = PromptMemory()
    memory.read(1.0, note("a"), 10_000)
    memory.saved(5.0, note("a", holder="10.0.0.9:1"))
    memory.forget_engine("e1")
    memory.forget_stores()
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.NONE
    assert not memory.is_saved(5.0, "10.0.0.9:1", prompt_mark("v1", "a"))


def test_prefill_that_was_not_completed_is_removed_or_expires():
    memory = PromptMemory()
    memory.read(1.0, note("a", is_ready=False), 10_000)
    memory.not_read("e1", prompt_mark("v1", "a"))
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.NONE
    memory.read(1.0, note("b", is_ready=False), 10_000)
    assert (
        memory.holding(1.0 + PENDING_PREFILL_TTL_S, "e1", prompt_mark("v1", "b"))
        is Holding.NONE
    )
    memory.read(2.0, note("c"), 10_000)
    memory.not_read("e1", prompt_mark("v1", "c"))
    assert memory.holding(2.5, "e1", prompt_mark("v1", "c")) is Holding.READY


def test_run_is_the_deepest_cached_level_of_a_chain():
    memory = PromptMemory()
    for prefix_hash in (11, 12):
        memory.read(1.0, PromptNote(prefix_hash, 1000, "e1"), 10_000)
    memory.read(1.0, PromptNote(13, 1000, "e1", is_ready=False), 10_000)
    assert memory.run(1.5, "e1", (11, 12, 13)) == Run(2, 3)
    assert memory.run(1.5, "e1", (11, 21)) == Run(1, 1)
    # An engine that caches a level also caches all levels before it.
    assert memory.run(1.5, "e1", (31, 12)) == Run(2, 2)
    assert memory.run(1.5, "e2", (11, 12)) == Run()


def holders(memory, *marks, limit=9):
    return memory.holders(marks, limit, lambda count: 0)


def test_holders_are_removed_with_their_entries():
    memory = PromptMemory()
    capacity = int(2000 / PROMPT_CACHE_SHARE) + 1
    memory.read(1.0, note("a"), capacity)
    memory.read(1.0, note("a", holder="e2"), capacity)
    prefix_hash = prompt_mark("v1", "a")
    assert holders(memory, prefix_hash) == {"e1", "e2"}
    memory.forget_engine("e2")
    assert holders(memory, prefix_hash) == {"e1"}
    memory.read(2.0, note("b", own=900), capacity)
    memory.read(3.0, note("c"), capacity)
    assert holders(memory, prefix_hash) == set()


def test_holders_of_deeper_levels_are_preferred():
    memory = PromptMemory()
    for number in range(20):
        memory.read(1.0, PromptNote(11, 1000, f"e{number}"), 10_000)
    memory.read(1.0, PromptNote(12, 1000, "e7"), 10_000)
    selected = holders(memory, 11, 12, limit=4)
    assert "e7" in selected and 3 <= len(selected) <= 4


def test_next_note_carries_the_tokens_of_prompts_without_shared_levels():
    first, other = PromptMemory(), PromptMemory()
    capacity = int(3000 / PROMPT_CACHE_SHARE) + 1
    first.read(1.0, note("a"), capacity)
    first.fill("e1", 1500)
    first.read(2.0, note("b", is_ready=False), capacity)
    assert first.holding(2.0, "e1", prompt_mark("v1", "a")) is Holding.NONE
    for sent_note in first.take_notes():
        other.hear(2.0, sent_note, capacity)
    assert other.holding(2.0, "e1", prompt_mark("v1", "a")) is Holding.NONE


def test_store_caches_the_levels_up_to_the_deepest_sent_level():
    memory = PromptMemory()
    memory.saved(1.0, PromptNote(12, 1000, "10.0.0.9:1"))
    assert memory.saved_levels(1.5, "10.0.0.9:1", (11, 12, 13)) == 2
    assert memory.saved_levels(1.5, "10.0.0.9:1", (11, 22)) == 0
