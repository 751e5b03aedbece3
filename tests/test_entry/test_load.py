"""Plays the load that the choice and the admission answer, and counts what callers get.

Five engines serve long prompts that share openings, and short ones, while new weights
are rolled out, so that two engines at a time are away and come back empty. Engines read
one prompt after the other, short urgent ones before the rest; an opening that they
hold, or take over from another engine, is not read again.
"""

import random
from collections import OrderedDict

from attrs import define, field

from berylnotch.entry.admission import judge
from berylnotch.entry.choice import choose
from berylnotch.entry.model import Choice
from berylnotch.group.messages import PromptNote
from berylnotch.placement.chains import prompt_mark
from berylnotch.placement.mirror import PromptMemory
from tests.test_entry.support import long_request, make_target, short_request

#: Prompt tokens that an engine reads in a step, and the time of that, in ms.
CHUNK_TOKENS, CHUNK_MS, STEP_MS = 1024, 17.0, 4.5

#: Tokens of an engine's memory, of an opening and of the rest of a long prompt.
MEMORY, OPENING, REST = 154_000, 13_300, 3_700

#: Openings in use, and requests a second.
OPENINGS, LONG_PER_S, SHORT_PER_S = 59, 12.0, 100.0

#: Seconds in which the first event should come, and after which callers leave.
TARGET_S, LEAVE_S = 1.0, 4.0

#: Times at which engines go away and are back, empty.
AWAY = {0: (2.0, 4.2), 1: (2.0, 4.2), 2: (5.0, 7.2), 3: (7.5, 9.7), 4: (10.0, 12.2)}


@define(eq=False)
class Engine:
    """What an engine does: reads prompts in turn, and holds the last ones."""

    target: object
    free_at: float = 0.0
    held: OrderedDict = field(factory=OrderedDict)

    def take(self, now, opening, tokens, is_copied):
        """Return when the first event of a request comes, and the tokens read."""
        unread = tokens
        if opening is not None:
            if opening in self.held or is_copied:
                unread -= OPENING
            self.held[opening] = True
            self.held.move_to_end(opening)
            while len(self.held) * (OPENING + REST) > MEMORY:
                self.held.popitem(last=False)
        read_ms = unread / CHUNK_TOKENS * (CHUNK_MS + STEP_MS)
        self.free_at = max(now, self.free_at) + read_ms / 1000
        if opening is None:
            return now + (CHUNK_MS + STEP_MS + read_ms) / 1000, unread
        return self.free_at, unread


def least_requests(targets, _placing):
    """Return the target with the fewest requests: the baseline."""
    usable = [t for t in targets if not t.is_loading]
    return min(usable, key=lambda t: t.load)


def play(policy, seed):
    """Return the shares of long and short requests in time, and the tokens read."""
    rng = random.Random(seed)
    engines = [Engine(make_target(f"e{n}")) for n in range(5)]
    targets = [e.target for e in engines]
    by_target = {e.target.target_id: e for e in engines}
    memory, ends = PromptMemory(), []
    in_time = {True: 0, False: 0}
    asked = {True: 0, False: 0}
    read, now, late = 0, 0.0, []
    arrivals = []
    while now < 14.0:
        now += rng.expovariate(LONG_PER_S + SHORT_PER_S)
        is_long = rng.random() < LONG_PER_S / (LONG_PER_S + SHORT_PER_S)
        arrivals.append((now, is_long, rng.randrange(OPENINGS), now))
    while arrivals:
        arrivals.sort()
        now, is_long, opening, first_at = arrivals.pop(0)
        for end in [e for e in ends if e[0] <= now]:
            ends.remove(end)
            end[1].in_flight -= 1
            end[1].unread -= end[2]
            if end[3] is not None:
                memory.read(end[0], end[3], MEMORY)
        for number, (start, back) in AWAY.items():
            target = targets[number]
            was_away, target.is_loading = target.is_loading, start <= now < back
            if was_away and not target.is_loading:
                engines[number].held.clear()
                memory.forget_engine(target.target_id)
        if now == first_at:
            asked[is_long] += 1
        part = f"p{opening}" if is_long else None
        placing = (long_request if is_long else short_request)(
            now=now,
            shared_id=part or "short",
            shared_tokens=OPENING if is_long else 55,
            prompt_tokens=OPENING + REST if is_long else 380,
            holding=lambda t, p=part, at=now: memory.holding(
                at, t.target_id, prompt_mark("v1", p)
            ),
        )
        choice, retry_s = policy(targets, placing, now - first_at)
        if choice is None:
            if now == first_at:
                arrivals.append((now + retry_s, is_long, opening, first_at))
            continue
        target, unread = choice.target, choice.unread
        is_copied = (
            choice.source is not None
            and part in by_target[choice.source.target_id].held
        )
        engine = by_target[target.target_id]
        done, truly_read = engine.take(now, part, placing.prompt_tokens, is_copied)
        read += truly_read
        target.in_flight += 1
        target.unread += unread
        ready = None
        if is_long:
            mark = prompt_mark("v1", part)
            first = PromptNote(mark, OPENING, target.target_id, REST, False)
            memory.read(now, first, MEMORY)
            ready = PromptNote(mark, OPENING, target.target_id)
        ends.append((done, target, unread, ready))
        in_time[is_long] += done - first_at <= TARGET_S
        late.append(done - now > LEAVE_S)
    long_share = in_time[True] / asked[True]
    short_share = in_time[False] / asked[False]
    return long_share, short_share, read, sum(late) / len(late)


def by_delay(targets, placing, waited_s):
    choice = choose(targets, placing)
    verdict = judge(choice, TARGET_S, 10.0 - waited_s)
    if not verdict.is_admitted:
        return None, verdict.retry_after_s
    return choice, 0.0


def by_requests(targets, placing, waited_s):
    target = least_requests(targets, placing)
    return Choice(target, 0.0, unread=placing.prompt_tokens), 0.0


def test_callers_get_more_in_time_and_engines_read_less():
    for seed in range(5):
        long_new, short_new, read_new, left_new = play(by_delay, seed)
        long_old, short_old, read_old, _ = play(by_requests, seed)
        assert long_new > long_old
        assert short_new >= short_old
        assert read_new < 0.9 * read_old
        assert left_new <= 0.01


def test_short_requests_stay_in_time_beside_long_ones():
    for seed in range(5):
        _, short_new, _, _ = play(by_delay, seed)
        assert short_new > 0.95
