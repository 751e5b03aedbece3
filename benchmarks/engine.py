"""A fake engine: continuous batching, a prefix cache and its events."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, OrderedDict
from collections.abc import Callable

from attrs import define, field

from benchmarks.loop import Loop
from benchmarks.shapes import EngineShape
from berylnotch.membership.targets import LoadReport
from berylnotch.placement.hints import CacheEvent

#: Rest of a prefill in seconds that comes from rounding.
_ROUNDING_S = 1e-9


@define(eq=False)
class Job:
    """A request at an engine.

    ``cached`` and ``wasted`` count its pieces when the prompt was computed;
    wasted ones had been computed before, anywhere. ``left_s`` is what is left
    of a begun prefill. ``import_pieces`` leading pieces may be imported.
    """

    chain: tuple[bytes, ...]
    tail_tokens: int
    output_tokens: int
    priority: int
    on_first: Callable[[Job], None]
    on_done: Callable[[Job], None]
    on_fail: Callable[[Job], None]
    import_from: Engine | None = None
    import_pieces: int = 0
    cached: int = 0
    imported: int = 0
    wasted: int = 0
    left_s: float | None = None


@define
class _CacheChange:
    """Pieces stored and removed since the last event."""

    stored: list[bytes] = field(factory=list)
    removed: list[bytes] = field(factory=list)


class Engine:
    """One engine process; a crash empties it and changes its incarnation.

    Parameters
    ----------
    shape : EngineShape
        Speed and size.
    name : str
        Name of the target.
    failure_domain : str
        Where it runs.
    loop : Loop
        Clock and timers.
    """

    def __init__(
        self, shape: EngineShape, name: str, failure_domain: str, loop: Loop
    ) -> None:
        self.shape = shape
        self.name = name
        self.failure_domain = failure_domain
        self.weights = "v1"
        self.alive = True
        self.seen: set[bytes] = set()
        self._loop = loop
        self._incarnation = 1
        self._order = itertools.count()
        self._chunk_s = shape.chunk_pieces * shape.piece_tokens
        self._chunk_s /= shape.prefill_tokens_per_s
        self._clear()

    @property
    def incarnation(self) -> str:
        """Identity of the process."""
        return str(self._incarnation)

    @property
    def running(self) -> int:
        """Requests in prefill or decoding."""
        return len(self._running)

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs or waits."""
        return not self._running and not self._queue

    def submit(self, job: Job) -> None:
        """Queue a request."""
        if not self.alive:
            job.on_fail(job)
            return
        heapq.heappush(self._queue, (job.priority, next(self._order), job))
        self._start_next()

    def cached_pieces(self, chain: tuple[bytes, ...]) -> int:
        """Return the leading pieces held."""
        for index, prefix in enumerate(chain):
            if prefix not in self._cache:
                return index
        return len(chain)

    def expected_pieces(self, chain: tuple[bytes, ...]) -> int:
        """Return the leading pieces held once the queue is done."""
        coming = {prefix for _, _, job in self._queue for prefix in job.chain}
        if self._prefilling:
            coming.update(self._prefilling.chain)
        for index, prefix in enumerate(chain):
            if prefix not in self._cache and prefix not in coming:
                return index
        return len(chain)

    def queue_wait_s(self) -> float:
        """Return the prefill work ahead of a new request."""
        wait = max(0.0, self._chunk_until - self._loop.now)
        coming: set[bytes] = set()
        for _, _, job in self._queue:
            if job.left_s is not None:
                wait += job.left_s
            else:
                held = sum(p in self._cache or p in coming for p in job.chain)
                wait += self._prefill_s(job, held)
            coming.update(job.chain)
        return wait

    def report(self) -> LoadReport:
        """Return the load as it is now."""
        return LoadReport(
            self.incarnation, self._loop.now, self.queue_wait_s(), self.running
        )

    def take_event(self) -> CacheEvent | None:
        """Return the changes since the last event, if there are any."""
        changes = self._changes
        if not (changes.stored or changes.removed):
            return None
        self._changes = _CacheChange()
        self._sequence += 1
        return CacheEvent(
            self.name,
            self.incarnation,
            self._sequence,
            tuple(changes.stored),
            tuple(changes.removed),
        )

    def crash(self) -> None:
        """Lose everything; the running requests fail."""
        waiting = [job for _, _, job in self._queue if job.left_s is None]
        lost = list(self._running) + waiting
        self._incarnation += 1
        self._clear()
        self.alive = False
        for job in lost:
            job.on_fail(job)

    def restart(self) -> None:
        """Come back empty."""
        self.alive = True

    def load(self, weights: str) -> None:
        """Take new weights; entries of the old ones are dropped."""
        self.weights = weights
        self._changes.removed.extend(self._cache)
        self._cache.clear()

    def _clear(self) -> None:
        self._queue: list[tuple[int, int, Job]] = []
        self._running: dict[Job, None] = {}
        self._cache: OrderedDict[bytes, None] = OrderedDict()
        self._pins: Counter[bytes] = Counter()
        self._prefilling: Job | None = None
        self._chunk_until = 0.0
        self._changes = _CacheChange()
        self._sequence = 0

    def _prefill_s(self, job: Job, cached: int) -> float:
        uncached = (len(job.chain) - cached) * self.shape.piece_tokens
        return (uncached + job.tail_tokens) / self.shape.prefill_tokens_per_s

    def _start_next(self) -> None:
        """Compute a chunk of the first prompt by priority, then by arrival."""
        if self._prefilling:
            return
        entry = self._next_entry()
        if entry is None:
            return
        job = entry[2]
        if job.left_s is None:
            self._begin(job)
        chunk_s = min(job.left_s, self._chunk_s)
        self._prefilling = job
        self._chunk_until = self._loop.now + chunk_s
        self._at(chunk_s, lambda: self._end_chunk(entry, chunk_s))

    def _next_entry(self) -> tuple[int, int, Job] | None:
        if len(self._running) < self.shape.slots:
            return heapq.heappop(self._queue) if self._queue else None
        # Without a free slot only begun prompts go on.
        begun = [entry for entry in self._queue if entry[2].left_s is not None]
        if not begun:
            return None
        entry = min(begun)
        self._queue.remove(entry)
        heapq.heapify(self._queue)
        return entry

    def _begin(self, job: Job) -> None:
        self._running[job] = None
        job.cached = self.cached_pieces(job.chain)
        self._touch(job.chain[: job.cached])
        self._pins.update(job.chain)
        job.imported = self._importable(job)
        job.left_s = self._prefill_s(job, job.cached + job.imported)
        if job.imported:
            tokens = job.imported * self.shape.piece_tokens
            job.left_s += self.shape.import_overhead_s
            job.left_s += tokens / self.shape.import_tokens_per_s

    def _importable(self, job: Job) -> int:
        """Return the pieces that the source still holds and this engine lacks."""
        if job.import_from is None or not job.import_from.alive:
            return 0
        held = job.import_from.cached_pieces(job.chain[: job.import_pieces])
        return max(0, held - job.cached)

    def _end_chunk(self, entry: tuple[int, int, Job], chunk_s: float) -> None:
        job = entry[2]
        self._prefilling = None
        job.left_s -= chunk_s
        if job.left_s > _ROUNDING_S:
            heapq.heappush(self._queue, entry)
        else:
            self._end_prefill(job)
        self._start_next()

    def _end_prefill(self, job: Job) -> None:
        missed = job.chain[job.cached + job.imported :]
        job.wasted = sum(prefix in self.seen for prefix in missed)
        self.seen.update(missed)
        self._store(job.chain)
        job.on_first(job)
        token_s = self.shape.token_s + self.shape.token_s_per_running * self.running
        self._at(job.output_tokens * token_s, lambda: self._end(job))

    def _end(self, job: Job) -> None:
        self._running.pop(job, None)
        for prefix in job.chain:
            self._pins[prefix] -= 1
            if not self._pins[prefix]:
                del self._pins[prefix]
        job.on_done(job)
        self._start_next()

    def _touch(self, chain: tuple[bytes, ...]) -> None:
        # The deepest piece is touched first, so that it is evicted first.
        for prefix in reversed(chain):
            self._cache.move_to_end(prefix)

    def _store(self, chain: tuple[bytes, ...]) -> None:
        for prefix in reversed(chain):
            if prefix not in self._cache:
                self._changes.stored.append(prefix)
            self._cache[prefix] = None
            self._cache.move_to_end(prefix)
        self._evict()

    def _evict(self) -> None:
        excess = len(self._cache) - self.shape.cache_pieces
        if excess <= 0:
            return
        free = (prefix for prefix in self._cache if prefix not in self._pins)
        for prefix in list(itertools.islice(free, excess)):
            del self._cache[prefix]
            self._changes.removed.append(prefix)

    def _at(self, delay: float, action: Callable[[], None]) -> None:
        incarnation = self._incarnation

        def run() -> None:
            if incarnation == self._incarnation:
                action()

        self._loop.after(delay, run)
