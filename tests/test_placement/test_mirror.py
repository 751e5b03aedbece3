"""Mirror of the engines' memories."""

from berylnotch.group.messages import PromptNote
from berylnotch.placement.chains import prompt_mark
from berylnotch.placement.mirror import (
    PROMPTS_PART,
    READING_S,
    SAVED_S,
    Holding,
    PromptMemory,
    Run,
)


def note(part, holder="e1", tokens=1000, own=0, is_ready=True, salt="v1"):
    return PromptNote(prompt_mark(salt, part), tokens, holder, own, is_ready)


def test_reading_and_ready_are_told_apart():
    memory = PromptMemory()
    memory.read(1.0, note("a", is_ready=False), 10_000)
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.READING
    memory.read(1.0, note("a"), 10_000)
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.READY
    memory.read(1.0, note("a", is_ready=False), 10_000)
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.READY


def test_other_weights_and_other_engines_hold_nothing():
    memory = PromptMemory()
    memory.read(1.0, note("a"), 10_000)
    assert memory.holding(1.5, "e1", prompt_mark("v2", "a")) is Holding.NONE
    assert memory.holding(1.5, "e2", prompt_mark("v1", "a")) is Holding.NONE


def test_the_longest_unused_prompt_yields():
    memory = PromptMemory()
    capacity = int(3000 / PROMPTS_PART) + 1
    for part in ("a", "b", "c"):
        memory.read(1.0, note(part), capacity)
    memory.read(1.0, note("a"), capacity)
    memory.read(1.0, note("d"), capacity)
    assert memory.holding(1.5, "e1", prompt_mark("v1", "b")) is Holding.NONE
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.READY


def test_the_rest_of_prompts_fills_the_memory_too():
    memory = PromptMemory()
    capacity = int(3000 / PROMPTS_PART) + 1
    memory.read(1.0, note("a"), capacity)
    memory.read(1.0, note("b", own=1500), capacity)
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.NONE


def test_notes_reach_the_other_routers_once():
    one, other = PromptMemory(), PromptMemory()
    one.read(1.0, note("a"), 10_000)
    one.saved(5.0, note("a", holder="10.0.0.9:1"))
    read, saved = one.take_notes()
    assert one.take_notes() == ()
    other.hear(6.0, read, 10_000)
    other.hear(6.0, saved, None)
    assert other.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.READY
    assert other.is_saved(6.0, "10.0.0.9:1", prompt_mark("v1", "a"))
    assert not other.is_saved(6.0 + SAVED_S, "10.0.0.9:1", prompt_mark("v1", "a"))
    assert other.take_notes() == ()


def test_a_restart_empties_an_engine_and_a_loss_the_stores():
    memory = PromptMemory()
    memory.read(1.0, note("a"), 10_000)
    memory.saved(5.0, note("a", holder="10.0.0.9:1"))
    memory.forget_engine("e1")
    memory.forget_stores()
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.NONE
    assert not memory.is_saved(5.0, "10.0.0.9:1", prompt_mark("v1", "a"))


def test_a_prompt_that_was_never_read_is_not_held():
    memory = PromptMemory()
    memory.read(1.0, note("a", is_ready=False), 10_000)
    memory.not_read("e1", prompt_mark("v1", "a"))
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.NONE
    memory.read(1.0, note("b", is_ready=False), 10_000)
    assert memory.holding(1.0 + READING_S, "e1", prompt_mark("v1", "b")) is Holding.NONE
    memory.read(2.0, note("c"), 10_000)
    memory.not_read("e1", prompt_mark("v1", "c"))
    assert memory.holding(2.5, "e1", prompt_mark("v1", "c")) is Holding.READY


def test_the_longest_run_of_a_chain_is_what_is_held():
    memory = PromptMemory()
    for mark in (11, 12):
        memory.read(1.0, PromptNote(mark, 1000, "e1"), 10_000)
    memory.read(1.0, PromptNote(13, 1000, "e1", is_ready=False), 10_000)
    assert memory.run(1.5, "e1", (11, 12, 13)) == Run(2, 3)
    assert memory.run(1.5, "e1", (11, 21)) == Run(1, 1)
    # Whoever holds the end of a run holds what is before it.
    assert memory.run(1.5, "e1", (31, 12)) == Run(2, 2)
    assert memory.run(1.5, "e2", (11, 12)) == Run()


def holders(memory, *marks, limit=9):
    return memory.holders(marks, limit, lambda count: 0)


def test_holders_are_found_by_mark_and_forgotten_with_what_they_held():
    memory = PromptMemory()
    capacity = int(2000 / PROMPTS_PART) + 1
    memory.read(1.0, note("a"), capacity)
    memory.read(1.0, note("a", holder="e2"), capacity)
    mark = prompt_mark("v1", "a")
    assert holders(memory, mark) == {"e1", "e2"}
    memory.forget_engine("e2")
    assert holders(memory, mark) == {"e1"}
    memory.read(2.0, note("b", own=900), capacity)
    memory.read(3.0, note("c"), capacity)
    assert holders(memory, mark) == set()


def test_of_many_holders_those_with_the_longest_runs_come_first():
    memory = PromptMemory()
    for number in range(20):
        memory.read(1.0, PromptNote(11, 1000, f"e{number}"), 10_000)
    memory.read(1.0, PromptNote(12, 1000, "e7"), 10_000)
    found = holders(memory, 11, 12, limit=4)
    assert "e7" in found and 3 <= len(found) <= 4


def test_prompts_without_a_home_fill_the_memory_with_the_next_note():
    one, other = PromptMemory(), PromptMemory()
    capacity = int(3000 / PROMPTS_PART) + 1
    one.read(1.0, note("a"), capacity)
    one.fill("e1", 1500)
    one.read(2.0, note("b", is_ready=False), capacity)
    assert one.holding(2.0, "e1", prompt_mark("v1", "a")) is Holding.NONE
    for told in one.take_notes():
        other.hear(2.0, told, capacity)
    assert other.holding(2.0, "e1", prompt_mark("v1", "a")) is Holding.NONE


def test_a_store_holds_the_levels_that_it_was_sent():
    memory = PromptMemory()
    memory.saved(1.0, PromptNote(12, 1000, "10.0.0.9:1"))
    assert memory.saved_levels(1.5, "10.0.0.9:1", (11, 12, 13)) == 2
    assert memory.saved_levels(1.5, "10.0.0.9:1", (11, 22)) == 0
