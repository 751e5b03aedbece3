"""Which notes of prompts go to all routers."""

import random

import pytest

from berylnotch.daemon.fleet.notes import (
    NEWS_PART,
    NOTES_AT_ONCE,
    NOTES_PER_S,
    NoteFilter,
)
from berylnotch.group.messages import PromptNote
from berylnotch.placement.mirror import Holding, PromptMemory

MEMORY = 142_992
STORE = "10.0.0.9:8604"

#: The users' target: engines, and long prompts a second, one for each of them.
ENGINES = 850
LONG_PER_S = 850

#: Openings in use, of which each has a home engine, and tokens of opening and rest.
OPENINGS = 4000
OPENING, REST = 13_300, 3_720


def _capacity(holder):
    return None if holder == STORE else MEMORY


def _reading(prompt, holder="e1", own=REST):
    return PromptNote(prompt, OPENING, holder, own, False, own)


def _ready(prompt, holder="e1"):
    return PromptNote(prompt, OPENING, holder)


@pytest.fixture
def notes():
    return NoteFilter(_capacity)


def _spend(notes, now):
    """Pass on so many notes that only news are passed on after them."""
    many = range(1000, 1000 + int(NOTES_AT_ONCE * NEWS_PART))
    assert len(notes.take(now, [_ready(n, f"other-{n}") for n in many])) == len(many)


def test_all_notes_of_a_small_fleet_pass(notes):
    told = [_reading(1), _ready(1), _reading(1), _ready(1), _ready(1, STORE)]
    assert notes.take(5.0, told) == tuple(told)
    assert notes.dropped == 0


def test_of_many_notes_those_pass_that_tell_something_new(notes):
    notes.take(5.0, [_reading(1), _ready(1), _ready(1, STORE), _reading(2)])
    _spend(notes, 5.0)
    assert notes.take(5.0, [_reading(1), _ready(1), _ready(1, STORE)]) == ()
    assert notes.dropped == 3
    news = (_ready(2), _ready(1, "e2"), _reading(3, "e3"))
    passed = notes.take(5.0, news)
    assert [(note.prompt, note.holder) for note in passed] == [
        (2, "e1"),
        (1, "e2"),
        (3, "e3"),
    ]


def test_what_a_note_left_out_filled_goes_with_the_next_one(notes):
    notes.take(5.0, [_reading(1), _ready(1)])
    _spend(notes, 5.0)
    assert notes.take(5.0, [_reading(1), _reading(1)]) == ()
    (passed,) = notes.take(5.0, [_ready(2)])
    assert passed.own_tokens == 2 * REST
    (passed,) = notes.take(5.0, [_ready(3)])
    assert passed.own_tokens == 0


def test_of_very_many_ends_of_readings_go_before_their_beginnings(notes):
    many = [_ready(n, f"e{n}") for n in range(1000, 1000 + int(NOTES_AT_ONCE) - 10)]
    notes.take(5.0, many)
    assert notes.take(5.0, [_reading(1)]) == ()
    (passed,) = notes.take(5.0, [_ready(1)])
    assert passed.own_tokens == REST


def test_an_engine_that_started_again_is_news(notes):
    notes.take(5.0, [_ready(1)])
    _spend(notes, 5.0)
    assert notes.take(5.0, [_ready(1)]) == ()
    notes.forget_engine("e1")
    assert notes.take(5.0, [_ready(1)]) == (_ready(1),)


def test_news_is_bounded_too(notes):
    many = [_ready(n, f"e{n}") for n in range(5000)]
    assert len(notes.take(5.0, many)) == NOTES_AT_ONCE
    assert len(notes.take(5.5, many)) == 0.5 * NOTES_PER_S
    assert notes.dropped == 10_000 - NOTES_AT_ONCE - 0.5 * NOTES_PER_S


def _play(seed, passes):
    """Return how often a router rightly expects a prompt at its home, and notes/s."""
    draw = random.Random(seed)
    truth, router = PromptMemory(), PromptMemory()
    homes = [f"e{draw.randrange(ENGINES)}" for _ in range(OPENINGS)]
    # Few openings have most of the requests.
    popular = [1 / (n + 1) for n in range(OPENINGS)]
    now, passed, right, looked, until_s = 0.0, 0, 0, 0, 10.0
    while now < until_s:
        now += 0.25
        batch = []
        for opening in draw.choices(range(OPENINGS), popular, k=LONG_PER_S // 4):
            home = homes[opening]
            is_held = truth.holding(now, home, opening) is not Holding.NONE
            is_expected = router.holding(now, home, opening) is not Holding.NONE
            if now > until_s / 2:
                right += is_held == is_expected
                looked += 1
            own = draw.randrange(2 * REST)
            for note in (_reading(opening, home, own), _ready(opening, home)):
                truth.hear(now, note, MEMORY)
                batch.append(note)
        for note in passes(now, batch):
            router.hear(now, note, MEMORY)
            passed += 1
    return right / looked, passed / until_s


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_routers_of_a_large_fleet_know_where_prompts_are(seed):
    filtered = NoteFilter(_capacity)

    def first_come(now, batch):
        return batch[: int(NOTES_PER_S / 4)]

    right, rate = _play(seed, filtered.take)
    right_by_order, _ = _play(seed, first_come)
    assert rate <= NOTES_PER_S + NOTES_AT_ONCE / 10
    assert 1 - right < (1 - right_by_order) / 2
