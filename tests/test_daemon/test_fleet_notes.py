"""Rate limit of the prompt notes that go to all routers."""

import random

import pytest

from berylnotch.daemon.fleet.notes import (
    NEW_NOTES_RESERVE,
    NOTES_BURST,
    NOTES_PER_S,
    NoteFilter,
)
from berylnotch.group.messages import PromptNote
from berylnotch.placement.cache_model import CacheModel, Holding

CACHE_TOKENS = 142_992
STORE = "10.0.0.9:8604"

#: Size that the users require: engines, and long prompts per second, one per engine.
ENGINES = 850
LONG_PER_S = 850

#: Shared prefixes in use, each cached at one home engine, and the tokens of a prefix
#: and of the rest of a prompt.
PREFIXES = 4000
PREFIX_TOKENS, SUFFIX_TOKENS = 13_300, 3_720


def _capacity(holder):
    return None if holder == STORE else CACHE_TOKENS


def _prefill_started(prompt, holder="e1", own=SUFFIX_TOKENS):
    return PromptNote(prompt, PREFIX_TOKENS, holder, own, False, own)


def _ready(prompt, holder="e1"):
    return PromptNote(prompt, PREFIX_TOKENS, holder)


@pytest.fixture
def notes():
    return NoteFilter(_capacity)


def _exhaust_burst(notes, now):
    """Use up the unreserved burst, so that only notes of unknown prefixes pass."""
    many = range(1000, 1000 + int(NOTES_BURST * NEW_NOTES_RESERVE))
    assert len(notes.select_notes(now, [_ready(n, f"other-{n}") for n in many])) == len(
        many
    )


def test_all_notes_of_a_small_fleet_are_forwarded(notes):
    sent = [
        _prefill_started(1),
        _ready(1),
        _prefill_started(1),
        _ready(1),
        _ready(1, STORE),
    ]
    assert notes.select_notes(5.0, sent) == tuple(sent)
    assert notes.dropped == 0


def test_notes_of_unknown_prefixes_are_preferred(notes):
    notes.select_notes(
        5.0, [_prefill_started(1), _ready(1), _ready(1, STORE), _prefill_started(2)]
    )
    _exhaust_burst(notes, 5.0)
    assert (
        notes.select_notes(5.0, [_prefill_started(1), _ready(1), _ready(1, STORE)])
        == ()
    )
    assert notes.dropped == 3
    news = (_ready(2), _ready(1, "e2"), _prefill_started(3, "e3"))
    forwarded = notes.select_notes(5.0, news)
    assert [(note.prompt, note.holder) for note in forwarded] == [
        (2, "e1"),
        (1, "e2"),
        (3, "e3"),
    ]


def test_tokens_of_dropped_notes_are_added_to_the_next_note(notes):
    notes.select_notes(5.0, [_prefill_started(1), _ready(1)])
    _exhaust_burst(notes, 5.0)
    assert notes.select_notes(5.0, [_prefill_started(1), _prefill_started(1)]) == ()
    (forwarded,) = notes.select_notes(5.0, [_ready(2)])
    assert forwarded.own_tokens == 2 * SUFFIX_TOKENS
    (forwarded,) = notes.select_notes(5.0, [_ready(3)])
    assert forwarded.own_tokens == 0


def test_notes_of_finished_prefills_are_preferred_to_those_of_started_ones(notes):
    many = [_ready(n, f"e{n}") for n in range(1000, 1000 + int(NOTES_BURST) - 10)]
    notes.select_notes(5.0, many)
    assert notes.select_notes(5.0, [_prefill_started(1)]) == ()
    (forwarded,) = notes.select_notes(5.0, [_ready(1)])
    assert forwarded.own_tokens == SUFFIX_TOKENS


def test_notes_of_a_restarted_engine_are_forwarded_again(notes):
    notes.select_notes(5.0, [_ready(1)])
    _exhaust_burst(notes, 5.0)
    assert notes.select_notes(5.0, [_ready(1)]) == ()
    notes.forget_engine("e1")
    assert notes.select_notes(5.0, [_ready(1)]) == (_ready(1),)


def test_notes_of_unknown_prefixes_are_rate_limited_too(notes):
    many = [_ready(n, f"e{n}") for n in range(5000)]
    assert len(notes.select_notes(5.0, many)) == NOTES_BURST
    assert len(notes.select_notes(5.5, many)) == 0.5 * NOTES_PER_S
    assert notes.dropped == 10_000 - NOTES_BURST - 0.5 * NOTES_PER_S


def _simulate(seed, select_notes):
    """Return the share of correct predictions of a router, and the notes per second.

    A router that gets the selected notes predicts for each request whether the home
    engine holds the prefix.
    """
    draw = random.Random(seed)
    truth, router = CacheModel(), CacheModel()
    homes = [f"e{draw.randrange(ENGINES)}" for _ in range(PREFIXES)]
    # A few prefixes get most of the requests.
    popularity = [1 / (n + 1) for n in range(PREFIXES)]
    now, forwarded, correct, checked, until_s = 0.0, 0, 0, 0, 10.0
    while now < until_s:
        now += 0.25
        batch = []
        for prefix in draw.choices(range(PREFIXES), popularity, k=LONG_PER_S // 4):
            home = homes[prefix]
            is_held = truth.holding(now, home, prefix) is not Holding.NONE
            is_predicted = router.holding(now, home, prefix) is not Holding.NONE
            if now > until_s / 2:
                correct += is_held == is_predicted
                checked += 1
            own = draw.randrange(2 * SUFFIX_TOKENS)
            for note in (_prefill_started(prefix, home, own), _ready(prefix, home)):
                truth.apply_note(now, note, CACHE_TOKENS)
                batch.append(note)
        for note in select_notes(now, batch):
            router.apply_note(now, note, CACHE_TOKENS)
            forwarded += 1
    return correct / checked, forwarded / until_s


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_routers_of_a_large_fleet_know_cached_prefixes(seed):
    note_filter = NoteFilter(_capacity)

    def select_first(now, batch):
        return batch[: int(NOTES_PER_S / 4)]

    correct, rate = _simulate(seed, note_filter.select_notes)
    correct_by_order, _ = _simulate(seed, select_first)
    assert rate <= NOTES_PER_S + NOTES_BURST / 10
    assert 1 - correct < (1 - correct_by_order) / 2
