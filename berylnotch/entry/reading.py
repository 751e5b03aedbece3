"""Tracks the prompt of a request while an engine processes it."""

from __future__ import annotations

from attrs import evolve

from berylnotch.entry.context import EntryContext
from berylnotch.entry.model import Choice
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.group.messages import PromptNote
from berylnotch.placement.cache_model import Holding
from berylnotch.platform.requests import TargetHeaders
from berylnotch.util.clock import boot_time


class PromptTracker:
    """Tracks the processing of one request's prompt at one target.

    The tracker adds the prompt's unprocessed tokens to those of the target, notes the
    shared parts that the target will hold, and passes the measured delay to the
    service's prefill estimator.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    choice : Choice
        Target that the request is sent to.
    routed : RoutedRequest
        The request.
    target_headers : TargetHeaders
        Headers that the target receives with the request.
    """

    def __init__(
        self,
        context: EntryContext,
        choice: Choice,
        routed: RoutedRequest,
        target_headers: TargetHeaders,
    ) -> None:
        self._context = context
        self._target = choice.target
        self._caller = routed.caller
        self._routed = routed
        self._target_headers = target_headers
        self._uncached_tokens = self._unread_tokens = choice.uncached_tokens
        #: Number of prompt tokens that the target has to process before this prompt.
        self._tokens_ahead = choice.target.total_unread
        self._queue_ms = choice.queue_ms
        self._expected_ms = choice.delay_ms
        self._speed_factor = choice.speed_factor
        #: Number of other requests at the target.
        self._load = choice.target.load
        self._is_processed = False

    def begin(self) -> None:
        """Count the prompt as unprocessed, and note that the target will hold it."""
        self._target.unread += self._unread_tokens
        if self._target_headers.run_origin:
            # The KV cache of a resumed run is not reusable for other prompts.
            tokens = self._caller.prompt_tokens
            self._context.prompts.add_unshared_tokens(self._target.target_id, tokens)
            return
        if self._note_prompt(is_ready=False):
            # Other routers choose the same engine until they receive the notes.
            self._context.schedule_report()

    def on_processed(self, sent_at: float) -> None:
        """Record that the target has processed the prompt; later calls have no effect.

        Parameters
        ----------
        sent_at : float
            Boot time at which the request was sent.
        """
        if self._is_processed or self._target_headers.run_origin:
            return
        self._is_processed = True
        self._subtract_unread_tokens()
        self._note_prompt(is_ready=True)
        self._record_delay(1000 * (boot_time() - sent_at))

    def on_answered(self, status: int, took_s: float) -> None:
        """Record the time of a plain target's whole answer, if it is a success.

        A target that fails does so faster than it works.
        """
        if status < 300 and not self._target.listed.models:
            self._context.speeds.record_answer(
                boot_time(), self._target, self._routed.route.name, self._load, took_s
            )

    def close(self) -> None:
        """End the tracking; the target counts as not holding an unprocessed prompt."""
        if not self._is_processed and not self._target_headers.run_origin:
            for prefix_hash in self._prefix_hashes():
                self._context.prompts.cancel_prefill(
                    self._target.target_id, prefix_hash
                )
        self._subtract_unread_tokens()

    def _subtract_unread_tokens(self) -> None:
        self._target.unread -= self._unread_tokens
        self._unread_tokens = 0

    def _record_delay(self, first_event_ms: float) -> None:
        estimator = self._context.estimator(self._target.listed.service)
        estimator.record_overshoot(self._expected_ms, first_event_ms)
        routed, factor = self._routed, self._speed_factor
        queue_share = estimator.queue_share(routed.priority, routed.is_urgent)
        if self._target_headers.resume_after is None and self._expected_ms:
            self._context.speeds.record_first_event(
                boot_time(),
                self._target,
                routed.route.name,
                self._expected_ms / factor,
                1 - queue_share * self._queue_ms / self._expected_ms,
                first_event_ms,
            )
        # The share is estimated in the times of an engine of the usual speed.
        estimator.record_queue_wait(
            routed.priority,
            routed.is_urgent,
            self._uncached_tokens,
            self._queue_ms / factor,
            first_event_ms / factor,
        )
        if self._tokens_ahead <= self._uncached_tokens:
            estimator.record_prefill(
                self._uncached_tokens + self._tokens_ahead, first_event_ms
            )

    def _prefix_hashes(self) -> tuple[int, ...]:
        return self._caller.chain.prefix_hashes(self._target_headers.cache_salt)

    def _note_prompt(self, is_ready: bool) -> bool:
        """Note which target and store will hold the shared parts of the prompt.

        The deepest level is noted with every request, because a note marks the
        prompt as recently used in the LRU order. The other levels are noted only if
        they are new.

        Parameters
        ----------
        is_ready : bool
            Whether the target has processed the prompt, False before it does so.

        Returns
        -------
        bool
            Whether other routers should learn of the notes soon.
        """
        caller, prompts, now = self._caller, self._context.prompts, boot_time()
        chain, holder = caller.chain, self._target.target_id
        capacity_tokens = self._context.cache_tokens(self._target)
        if not chain.has_affinity:
            if not is_ready and capacity_tokens:
                prompts.add_unshared_tokens(holder, caller.prompt_tokens)
            return False
        own_tokens = (
            0 if is_ready else max(0, caller.prompt_tokens - chain.shared_tokens)
        )
        noted_states = (Holding.READY, Holding.READY if is_ready else Holding.PENDING)
        for level, prefix_hash in zip(chain.levels, self._prefix_hashes(), strict=True):
            is_deepest = level is chain.levels[-1]
            if (
                not is_deepest
                and prompts.holding(now, holder, prefix_hash) in noted_states
            ):
                continue
            note = PromptNote(prefix_hash, level.tokens, holder, is_ready=is_ready)
            if is_deepest:
                note = evolve(note, own_tokens=own_tokens, unread=self._unread_tokens)
            prompts.record_prefill(now, note, capacity_tokens)
            if is_ready and self._target_headers.save_to:
                prompts.record_store_transfer(
                    now,
                    PromptNote(prefix_hash, level.tokens, self._target_headers.save_to),
                )
        return True
