"""Compact encodings of the leader's messages to every router."""

import pytest

from berylnotch.group.columns import (
    STEPS_PER_DOUBLING,
    TOKEN_UNIT,
    NumberedTargets,
    TargetNumbers,
    load_columns,
    note_key,
    note_records,
)
from berylnotch.group.messages import (
    ROUTER_MESSAGES,
    LoadsUpdate,
    PromptNote,
    TargetEntry,
    TargetLoad,
    TargetsUpdate,
)
from berylnotch.membership.listing import ListedTarget
from berylnotch.transport.packing import pack, unpack

#: Number of engines that the fleet must support within two years.
ENGINES = 850

#: Relative error of half a step on the scale of unread tokens.
UNREAD_TOLERANCE = 2 ** (0.5 / STEPS_PER_DOUBLING) - 1

STORE = "10.0.0.9:8604"


def _update(names, **changes):
    entries = (
        TargetEntry(ListedTarget(name, "llm", "10.0.0.1:80", "d")) for name in names
    )
    return TargetsUpdate(tuple(entries), (), **changes)


@pytest.fixture
def numbers():
    return TargetNumbers()


@pytest.fixture
def send_numbers(numbers):
    """Return a function that sends the numbers of targets to a router."""
    router = NumberedTargets()

    def send(names, **changes):
        numbers.add(names)
        update = numbers.with_numbers(_update(names, **changes))
        router.store_numbers(unpack(pack(update), ROUTER_MESSAGES))
        return router

    return send


def test_loads_are_decoded_by_target_identity(numbers, send_numbers):
    router = send_numbers(["a", "b", "c"])
    update = LoadsUpdate((TargetLoad("a", 5, 900), TargetLoad("c", 0, 17_000)), ("b",))
    read = router.loads(load_columns(update, numbers))
    assert [(load.target_id, load.requests) for load in read.loads] == [
        ("a", 5),
        ("c", 0),
    ]
    assert [load.unread for load in read.loads] == [
        pytest.approx(900, rel=UNREAD_TOLERANCE),
        pytest.approx(17_000, rel=UNREAD_TOLERANCE),
    ]
    assert read.suspects == ("b",)


def test_unread_tokens_decode_to_zero_only_if_there_are_none(numbers, send_numbers):
    router = send_numbers(["a", "b"])
    update = LoadsUpdate((TargetLoad("a", 1, 0), TargetLoad("b", 1, 1)))
    without_tokens, with_tokens = router.loads(load_columns(update, numbers)).loads
    assert without_tokens.unread == 0
    assert 0 < with_tokens.unread <= TOKEN_UNIT


def test_values_above_the_range_of_a_byte_are_limited(numbers, send_numbers):
    router = send_numbers(["a"])
    update = LoadsUpdate((TargetLoad("a", 1000, 10_000_000),))
    (load,) = router.loads(load_columns(update, numbers)).loads
    assert load.requests == 255
    assert load.unread > 900_000


def test_unlisted_targets_are_omitted(numbers, send_numbers):
    router = send_numbers(["a"])
    update = LoadsUpdate((TargetLoad("x", 3, 100),), ("x",))
    assert router.loads(load_columns(update, numbers)) == LoadsUpdate(())


def test_numbers_of_another_leader_are_ignored(numbers, send_numbers):
    router = send_numbers(["a"])
    other = TargetNumbers()
    other.add(["b"])
    columns = load_columns(LoadsUpdate((TargetLoad("b", 3),)), other)
    assert router.loads(columns) is None
    notes = [PromptNote(7, 13_312, "b"), PromptNote(8, 13_312, STORE)]
    assert router.notes(note_records(notes, other)) == (notes[1],)


def test_numbers_of_a_new_leader_replace_the_old_ones(numbers, send_numbers):
    router = send_numbers(["a", "b"])
    other = TargetNumbers()
    other.add(["b"])
    router.store_numbers(other.with_numbers(_update(["b"], is_whole=False)))
    columns = load_columns(LoadsUpdate((TargetLoad("b", 3),)), other)
    assert router.loads(columns) == LoadsUpdate((TargetLoad("b", 3),))


def test_a_freed_number_is_assigned_to_the_next_target(numbers, send_numbers):
    router = send_numbers(["a", "b", "c"])
    numbers.keep(["a", "c"])
    assert numbers.number("b") is None
    numbers.keep(["a", "c", "d"])
    assert numbers.count == 3
    router.store_numbers(
        numbers.with_numbers(_update(["d"], gone=("b",), is_whole=False))
    )
    columns = load_columns(LoadsUpdate((TargetLoad("d", 2),)), numbers)
    assert router.loads(columns) == LoadsUpdate((TargetLoad("d", 2),))


def test_a_router_recognises_its_own_decoded_notes(numbers, send_numbers):
    router = send_numbers(["a", "b"])
    notes = (
        PromptNote(7, 13_300, "b", 3_721, is_ready=False, unread=17_021),
        PromptNote(2**32 - 1, 13_300, "a"),
        PromptNote(8, 5_000, STORE),
        PromptNote(9, 5_000, "x"),
    )
    records = unpack(pack(note_records(notes, numbers)), ROUTER_MESSAGES)
    read = router.notes(records)
    assert [note_key(note) for note in read] == [note_key(note) for note in notes[:3]]
    for before, after in zip(notes, read, strict=False):
        assert 0 <= after.tokens - before.tokens < TOKEN_UNIT
        assert 0 <= after.own_tokens - before.own_tokens < TOKEN_UNIT
        assert 0 <= after.unread - before.unread < TOKEN_UNIT


def test_load_columns_of_the_largest_fleet_are_small(numbers):
    names = [f"i-{n:010x}" for n in range(ENGINES)]
    numbers.add(names)
    loads = (TargetLoad(name, n % 24, n * 37 % 40_000) for n, name in enumerate(names))
    assert len(pack(load_columns(LoadsUpdate(tuple(loads)), numbers))) < 2.1 * ENGINES
