"""Mirror of the engines' memories."""

from berylnotch.entry.prompts import (
    LONG_PART,
    READING_S,
    SAVED_S,
    Holding,
    PromptMemory,
)
from berylnotch.group.messages import PromptNote
from berylnotch.placement.mixing import prompt_mark


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
    capacity = int(3000 / LONG_PART) + 1
    for part in ("a", "b", "c"):
        memory.read(1.0, note(part), capacity)
    memory.read(1.0, note("a"), capacity)
    memory.read(1.0, note("d"), capacity)
    assert memory.holding(1.5, "e1", prompt_mark("v1", "b")) is Holding.NONE
    assert memory.holding(1.5, "e1", prompt_mark("v1", "a")) is Holding.READY


def test_the_rest_of_prompts_fills_the_memory_too():
    memory = PromptMemory()
    capacity = int(3000 / LONG_PART) + 1
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
