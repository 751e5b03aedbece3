"""Provides a simulated engine: continuous batching, a prefix cache and its events."""

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

#: Remaining prefill time in seconds that is attributed to rounding errors.
_ROUNDING_S = 1e-9


@define(eq=False)
class Job:
    """A request at an engine.

    ``cached`` counts the pieces of its prompt that were cached when the prefill
    started. ``wasted`` counts the computed pieces that some engine had computed
    before. ``remaining_prefill_s`` is the remaining time of a started prefill in
    seconds, and None before its start. The leading ``import_blocks`` pieces may be
    imported from another engine; ``imported`` counts those that are.
    """

    chain: tuple[bytes, ...]
    tail_tokens: int
    output_tokens: int
    priority: int
    on_first: Callable[[Job], None]
    on_done: Callable[[Job], None]
    on_fail: Callable[[Job], None]
    import_from: Engine | None = None
    import_blocks: int = 0
    cached: int = 0
    imported: int = 0
    wasted: int = 0
    remaining_prefill_s: float | None = None


@define
class _CacheChange:
    """Pieces stored and removed since the last event."""

    stored: list[bytes] = field(factory=list)
    removed: list[bytes] = field(factory=list)


class Engine:
    """A simulated engine; a crash empties its cache and changes its incarnation.

    Parameters
    ----------
    shape : EngineShape
        Speed and size.
    name : str
        Name of the target.
    failure_domain : str
        Failure domain that the engine runs in.
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
        self._arrival_numbers = itertools.count()
        self._chunk_s = shape.chunk_pieces * shape.piece_tokens
        self._chunk_s /= shape.prefill_tokens_per_s
        self._reset()

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
        heapq.heappush(self._queue, (job.priority, next(self._arrival_numbers), job))
        self._start_next_chunk()

    def cached_blocks(self, chain: tuple[bytes, ...]) -> int:
        """Return the number of leading pieces that are cached."""
        for index, prefix in enumerate(chain):
            if prefix not in self._cache:
                return index
        return len(chain)

    def expected_pieces(self, chain: tuple[bytes, ...]) -> int:
        """Return the number of leading pieces cached once the queue is empty."""
        pending = {prefix for _, _, job in self._queue for prefix in job.chain}
        if self._prefilling:
            pending.update(self._prefilling.chain)
        for index, prefix in enumerate(chain):
            if prefix not in self._cache and prefix not in pending:
                return index
        return len(chain)

    def queue_wait_s(self) -> float:
        """Return the time in seconds of the prefills ahead of a new request."""
        wait = max(0.0, self._chunk_ends_at - self._loop.now)
        pending: set[bytes] = set()
        for _, _, job in self._queue:
            if job.remaining_prefill_s is not None:
                wait += job.remaining_prefill_s
            else:
                cached = sum(p in self._cache or p in pending for p in job.chain)
                wait += self._prefill_s(job, cached)
            pending.update(job.chain)
        return wait

    def report(self) -> LoadReport:
        """Return a report of the current load."""
        return LoadReport(
            self.incarnation, self._loop.now, self.queue_wait_s(), self.running
        )

    def take_event(self) -> CacheEvent | None:
        """Return an event with the cache changes since the last event, if any."""
        changes = self._pending_changes
        if not (changes.stored or changes.removed):
            return None
        self._pending_changes = _CacheChange()
        self._sequence += 1
        return CacheEvent(
            self.name,
            self.incarnation,
            self._sequence,
            tuple(changes.stored),
            tuple(changes.removed),
        )

    def crash(self) -> None:
        """Drop the cache and the queue, and fail all requests."""
        waiting = [job for _, _, job in self._queue if job.remaining_prefill_s is None]
        lost = list(self._running) + waiting
        self._incarnation += 1
        self._reset()
        self.alive = False
        for job in lost:
            job.on_fail(job)

    def restart(self) -> None:
        """Accept requests again, with an empty cache."""
        self.alive = True

    def load_weights(self, weights: str) -> None:
        """Load new weights and drop the cache entries of the old weights."""
        self.weights = weights
        self._pending_changes.removed.extend(self._cache)
        self._cache.clear()

    def _reset(self) -> None:
        self._queue: list[tuple[int, int, Job]] = []
        self._running: dict[Job, None] = {}
        self._cache: OrderedDict[bytes, None] = OrderedDict()
        self._pin_counts: Counter[bytes] = Counter()
        self._prefilling: Job | None = None
        self._chunk_ends_at = 0.0
        self._pending_changes = _CacheChange()
        self._sequence = 0

    def _prefill_s(self, job: Job, cached: int) -> float:
        uncached = (len(job.chain) - cached) * self.shape.piece_tokens
        return (uncached + job.tail_tokens) / self.shape.prefill_tokens_per_s

    def _start_next_chunk(self) -> None:
        """Start a chunk of the next prompt, by priority and then by arrival."""
        if self._prefilling:
            return
        entry = self._pop_next_entry()
        if entry is None:
            return
        job = entry[2]
        if job.remaining_prefill_s is None:
            self._start_prefill(job)
        chunk_s = min(job.remaining_prefill_s, self._chunk_s)
        self._prefilling = job
        self._chunk_ends_at = self._loop.now + chunk_s
        self._schedule(chunk_s, lambda: self._finish_chunk(entry, chunk_s))

    def _pop_next_entry(self) -> tuple[int, int, Job] | None:
        if len(self._running) < self.shape.slots:
            return heapq.heappop(self._queue) if self._queue else None
        # While all slots are in use, only started prefills continue.
        started = [
            entry for entry in self._queue if entry[2].remaining_prefill_s is not None
        ]
        if not started:
            return None
        entry = min(started)
        self._queue.remove(entry)
        heapq.heapify(self._queue)
        return entry

    def _start_prefill(self, job: Job) -> None:
        self._running[job] = None
        job.cached = self.cached_blocks(job.chain)
        self._mark_used(job.chain[: job.cached])
        self._pin_counts.update(job.chain)
        job.imported = self._count_importable(job)
        job.remaining_prefill_s = self._prefill_s(job, job.cached + job.imported)
        if job.imported:
            tokens = job.imported * self.shape.piece_tokens
            job.remaining_prefill_s += self.shape.import_overhead_s
            job.remaining_prefill_s += tokens / self.shape.import_tokens_per_s

    def _count_importable(self, job: Job) -> int:
        """Return the number of pieces cached at the source and not at this engine."""
        if job.import_from is None or not job.import_from.alive:
            return 0
        importable = job.import_from.cached_blocks(job.chain[: job.import_blocks])
        return max(0, importable - job.cached)

    def _finish_chunk(self, entry: tuple[int, int, Job], chunk_s: float) -> None:
        job = entry[2]
        self._prefilling = None
        job.remaining_prefill_s -= chunk_s
        if job.remaining_prefill_s > _ROUNDING_S:
            heapq.heappush(self._queue, entry)
        else:
            self._finish_prefill(job)
        self._start_next_chunk()

    def _finish_prefill(self, job: Job) -> None:
        computed = job.chain[job.cached + job.imported :]
        job.wasted = sum(prefix in self.seen for prefix in computed)
        self.seen.update(computed)
        self._store(job.chain)
        job.on_first(job)
        token_s = self.shape.token_s + self.shape.token_s_per_running * self.running
        self._schedule(job.output_tokens * token_s, lambda: self._finish(job))

    def _finish(self, job: Job) -> None:
        self._running.pop(job, None)
        for prefix in job.chain:
            self._pin_counts[prefix] -= 1
            if not self._pin_counts[prefix]:
                del self._pin_counts[prefix]
        job.on_done(job)
        self._start_next_chunk()

    def _mark_used(self, chain: tuple[bytes, ...]) -> None:
        # The deepest piece is marked first, so that it is evicted first.
        for prefix in reversed(chain):
            self._cache.move_to_end(prefix)

    def _store(self, chain: tuple[bytes, ...]) -> None:
        for prefix in reversed(chain):
            if prefix not in self._cache:
                self._pending_changes.stored.append(prefix)
            self._cache[prefix] = None
            self._cache.move_to_end(prefix)
        self._evict()

    def _evict(self) -> None:
        excess = len(self._cache) - self.shape.cache_pieces
        if excess <= 0:
            return
        unpinned = (prefix for prefix in self._cache if prefix not in self._pin_counts)
        for prefix in list(itertools.islice(unpinned, excess)):
            del self._cache[prefix]
            self._pending_changes.removed.append(prefix)

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        incarnation = self._incarnation

        def run() -> None:
            if incarnation == self._incarnation:
                action()

        self._loop.after(delay, run)
