"""What is known and learned while an engine reads a prompt."""

from __future__ import annotations

from attrs import evolve

from berylnotch.entry.admitted import Admitted
from berylnotch.entry.context import EntryContext
from berylnotch.entry.model import Choice
from berylnotch.group.messages import PromptNote
from berylnotch.placement.mirror import Holding
from berylnotch.platform.requests import TargetHeaders
from berylnotch.util.clock import boot_time


class PromptReading:
    """The reading of one request's prompt at one target.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    choice : Choice
        Where the request is sent.
    admitted : Admitted
        The request.
    told : TargetHeaders
        What the target is told beside it.
    """

    def __init__(
        self,
        context: EntryContext,
        choice: Choice,
        admitted: Admitted,
        told: TargetHeaders,
    ) -> None:
        self._context = context
        self._target = choice.target
        self._caller = admitted.caller
        self._admitted = admitted
        self._told = told
        self._tokens = self._unread = choice.unread
        #: Prompt tokens that the target had to read before this request's.
        self._ahead = choice.target.total_unread
        self._queue_ms = choice.queue_ms
        self._expected_ms = choice.delay_ms
        self._has_begun = False

    def begin(self) -> None:
        """Count the prompt as unread, and note where its parts will be held."""
        self._target.unread += self._unread
        if self._told.run_origin:
            # Its memory comes with it and holds no prompt for others.
            tokens = self._caller.prompt_tokens
            self._context.prompts.fill(self._target.target_id, tokens)
            return
        if self._note(is_ready=False):
            # Other routers choose the same engine until they know of this one.
            self._context.report_soon()

    def done(self, sent_at: float) -> None:
        """Note that the target has read the prompt; later calls do nothing.

        Parameters
        ----------
        sent_at : float
            Boot time at which the request was sent.
        """
        if self._has_begun or self._told.run_origin:
            return
        self._has_begun = True
        self._settle()
        self._note(is_ready=True)
        self._measure(1000 * (boot_time() - sent_at))

    def close(self) -> None:
        """End it; a prompt that was not read by now is held nowhere."""
        if not self._has_begun and not self._told.run_origin:
            for mark in self._marks():
                self._context.prompts.not_read(self._target.target_id, mark)
        self._settle()

    def _settle(self) -> None:
        self._target.unread -= self._unread
        self._unread = 0

    def _measure(self, took_ms: float) -> None:
        meter = self._context.meter(self._target.listed.service)
        meter.note_overshoot(self._expected_ms, took_ms)
        admitted = self._admitted
        meter.note_wait(
            admitted.priority,
            admitted.is_urgent,
            self._tokens,
            self._queue_ms,
            took_ms,
        )
        if self._ahead <= self._tokens:
            meter.note(self._tokens + self._ahead, took_ms)

    def _marks(self) -> tuple[int, ...]:
        return self._caller.chain.marks(self._told.cache_salt)

    def _note(self, is_ready: bool) -> bool:
        """Note where the shared parts of the prompt are read, and saved.

        The deepest level is always told, for its place among the least recently used
        ones; those above it only where they are new.

        Returns
        -------
        bool
            Whether there is something that other routers should know soon.
        """
        caller, prompts, now = self._caller, self._context.prompts, boot_time()
        chain, holder = caller.chain, self._target.target_id
        capacity = self._context.cache_tokens(self._target)
        if not chain.has_home:
            if not is_ready and capacity:
                prompts.fill(holder, caller.prompt_tokens)
            return False
        own = 0 if is_ready else max(0, caller.prompt_tokens - chain.shared_tokens)
        known = (Holding.READY, Holding.READY if is_ready else Holding.READING)
        for level, mark in zip(chain.levels, self._marks(), strict=True):
            is_deepest = level is chain.levels[-1]
            if not is_deepest and prompts.holding(now, holder, mark) in known:
                continue
            note = PromptNote(mark, level.tokens, holder, is_ready=is_ready)
            if is_deepest:
                note = evolve(note, own_tokens=own, unread=self._unread)
            prompts.read(now, note, capacity)
            if is_ready and self._told.save_to:
                prompts.saved(now, PromptNote(mark, level.tokens, self._told.save_to))
        return True
