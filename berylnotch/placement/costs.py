"""How long engines take to read prompts, learned from their first events."""

from __future__ import annotations

from attrs import define, field, frozen

#: Time to read a prompt token, and until the first event beside it, before any answer
#: was measured; in ms. Engines of the users' sheets read 40 to 80 tokens in a ms.
START_TOKEN_MS = 0.021
START_BASE_MS = 25.0

#: Bounds of what is learned, in ms.
MIN_TOKEN_MS, MAX_TOKEN_MS = 1 / 400, 1 / 5
MAX_BASE_MS = 500.0

#: Part of its weight that a measurement keeps when the next one comes: about the last
#: fifty count.
KEPT_PART = 0.98

#: Weight of the start values, in measurements, and the prompts that they stand for.
START_WEIGHT = 0.5
START_TOKENS = (500.0, 12_000.0)

#: Multiple of the usual time above which a measurement is cut.
LONGEST_FACTOR = 4.0

#: Prompt tokens below which a measurement says little of the time to read.
MIN_TOKENS = 200

#: Part of the queue of unread prompts that an urgent request waits for, before any
#: answer was measured, since engines admit it before the others; that of others; and
#: the least that is expected.
START_URGENT_PART = 0.3
START_PART = 1.0
MIN_PART = 0.03

#: Queue in ms from which the wait of a request tells something, and the weight of the
#: newest one.
MIN_QUEUE_MS = 50.0
PART_STEP = 0.1

#: Part that is kept, with each answer, of the most by which one came later than
#: expected: half of it after about 70 answers in time.
OVERSHOOT_KEPT = 0.99

#: Tokens in a ms that an engine takes over from another, or from a store, where the
#: configuration does not state its links.
DEFAULT_COPY_PER_MS = 1500.0
DEFAULT_STORE_PER_MS = 100.0

#: How much longer a transfer takes between failure domains.
FAR_FACTOR = 2.0

#: Part by which each request that runs beside it lengthens the reading of a prompt.
LOAD_PART = 0.008


@frozen
class EngineCosts:
    """Times of the engines of one service.

    Parameters
    ----------
    token_ms : float
        Time to read a prompt token, in ms.
    base_ms : float
        Time until the first event beside it, in ms.
    copy_per_ms : float
        Tokens that an engine takes over from another in a ms.
    store_per_ms : float
        Tokens that an engine takes from a store in a ms.
    """

    token_ms: float = START_TOKEN_MS
    base_ms: float = START_BASE_MS
    copy_per_ms: float = DEFAULT_COPY_PER_MS
    store_per_ms: float = DEFAULT_STORE_PER_MS

    def read_ms(self, tokens: int, load: int) -> float:
        """Return the time to read so many tokens beside so many requests."""
        return tokens * self.token_ms * (1 + LOAD_PART * load)

    def copy_ms(self, tokens: int, is_far: bool) -> float:
        """Return the time to take tokens over from another engine."""
        return tokens / self.copy_per_ms * (FAR_FACTOR if is_far else 1.0)

    def store_ms(self, tokens: int) -> float:
        """Return the time to take tokens from a store, which may be far."""
        return tokens / self.store_per_ms * FAR_FACTOR


@define
class CostMeter:
    """Line through the measured times to the first event of one service.

    Older measurements lose their weight, so that it follows a change of the engines.
    """

    _weight: float = 0.0
    _x: float = 0.0
    _y: float = 0.0
    _xx: float = 0.0
    _xy: float = 0.0
    _parts: dict[int, float] = field(factory=dict)
    _overshoot_ms: float = 0.0
    _line: tuple[float, float] = field(default=(START_BASE_MS, START_TOKEN_MS))

    @property
    def base_ms(self) -> float:
        """Time until the first event beside the reading, in ms."""
        return self._line[0]

    @property
    def token_ms(self) -> float:
        """Time to read a prompt token, in ms."""
        return self._line[1]

    @property
    def overshoot_ms(self) -> float:
        """Time by which first events came later than expected, in ms, at worst."""
        return self._overshoot_ms

    def note_overshoot(self, expected_ms: float, took_ms: float) -> None:
        """Take when a first event came, and when it was expected."""
        kept = OVERSHOOT_KEPT * self._overshoot_ms
        self._overshoot_ms = max(kept, took_ms - expected_ms)

    def wait_part(self, priority: int, is_urgent: bool) -> float:
        """Return the part of the queue that requests of a priority wait for."""
        start = START_URGENT_PART if is_urgent else START_PART
        return self._parts.get(priority, start)

    def note_wait(
        self,
        priority: int,
        is_urgent: bool,
        tokens: int,
        queue_ms: float,
        took_ms: float,
    ) -> None:
        """Take a first event, and the queue that was before the request.

        Parameters
        ----------
        priority : int
            Priority that the engine was told.
        is_urgent : bool
            Whether engines were expected to admit it before most others.
        tokens : int
            Prompt tokens that were read for it.
        queue_ms : float
            Time to read what was before it, if nothing went first.
        took_ms : float
            Time until the first event.
        """
        if queue_ms < MIN_QUEUE_MS:
            return
        waited_ms = took_ms - self.base_ms - tokens * self.token_ms
        part = min(START_PART, max(MIN_PART, waited_ms / queue_ms))
        usual = self.wait_part(priority, is_urgent)
        self._parts[priority] = usual + (part - usual) * PART_STEP

    def note(self, tokens: int, took_ms: float) -> None:
        """Take a first event that came after reading so many tokens."""
        if tokens < MIN_TOKENS or took_ms <= 0:
            return
        # A request that waited for others tells little of the reading.
        usual_ms = self.base_ms + tokens * self.token_ms
        took_ms = min(took_ms, LONGEST_FACTOR * usual_ms)
        self._weight = KEPT_PART * self._weight + 1
        self._x = KEPT_PART * self._x + tokens
        self._y = KEPT_PART * self._y + took_ms
        self._xx = KEPT_PART * self._xx + tokens * tokens
        self._xy = KEPT_PART * self._xy + tokens * took_ms
        self._solve()

    def _solve(self) -> None:
        weight, x, y, xx, xy = self._weight, self._x, self._y, self._xx, self._xy
        for tokens in START_TOKENS:
            expected = START_BASE_MS + tokens * START_TOKEN_MS
            weight += START_WEIGHT
            x += START_WEIGHT * tokens
            y += START_WEIGHT * expected
            xx += START_WEIGHT * tokens * tokens
            xy += START_WEIGHT * tokens * expected
        slope = (weight * xy - x * y) / (weight * xx - x * x)
        slope = min(MAX_TOKEN_MS, max(MIN_TOKEN_MS, slope))
        base = min(MAX_BASE_MS, max(0.0, (y - slope * x) / weight))
        self._line = (base, slope)
