"""Writing an answer to the caller, charged to the organisation first."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from werkzeug.datastructures import Headers

from berylnotch.gateways.engine import completion_tokens
from berylnotch.server import responses
from berylnotch.server.job import Unpaid
from berylnotch.streams.actions import RunMark, SendBytes, SendHead
from berylnotch.util.metrics import Label

if TYPE_CHECKING:
    from berylnotch.server.context import Context
    from berylnotch.server.job import Job
    from berylnotch.server.needs import TokenNeeds

_GAP_METRIC = "berylnotch_event_gap_seconds"
#: Seconds for which a finished answer waits for tokens.
_UNPAID_LIMIT_S = 60.0


class Delivery:
    """Charges generated tokens as they are delivered.

    Bytes whose tokens the organisation does not have yet wait in the job, and
    the stream is paused; nothing is delivered on credit.

    Parameters
    ----------
    context : Context
        Shared state.
    needs : TokenNeeds
        Told what is missing.
    pause, resume : callable
        Pause and resume a job's exchange for want of tokens.
    """

    def __init__(
        self,
        context: Context,
        needs: TokenNeeds,
        pause: Callable[[Job], None],
        resume: Callable[[Job], None],
    ) -> None:
        self._context = context
        self._needs = needs
        self._pause = pause
        self._resume = resume
        self._owing: dict[str, Job] = {}
        self._gap_timers: dict[str, Callable[[float], None]] = {}

    def send_head(self, job: Job, action: SendHead) -> None:
        """Write the head of a target's answer."""
        headers = Headers([(h.name, h.value) for h in action.headers])
        headers[responses.REQUEST_ID_HEADER] = job.request.request_id
        headers[responses.RUN_HEADER] = action.mark.value
        if action.content_length is None:
            job.chunked = True
            headers["Transfer-Encoding"] = "chunked"
            headers["Cache-Control"] = "no-cache"
        else:
            headers["Content-Length"] = str(action.content_length)
        self._note_first_byte(job)
        job.caller.write(responses.head(action.status, headers))

    def send(self, job: Job, action: SendBytes) -> None:
        """Write bytes once their tokens are charged."""
        unpaid = Unpaid(action, _tokens(job, action))
        if job.unpaid or not self._charge(job, unpaid):
            self._owe(job, unpaid)
            return
        self._write(job, action)

    def finish(self, job: Job, then: Callable[[], None]) -> None:
        """Run ``then`` after all bytes were written."""
        if not job.unpaid:
            self._end(job, then)
            return
        job.finish = lambda: self._end(job, then)
        self._context.loop.call_later(_UNPAID_LIMIT_S, lambda: self._give_up(job))

    def drop_unpaid(self, job: Job) -> None:
        """Forget bytes that will not be delivered."""
        job.unpaid.clear()
        self._settle(job)

    def retry(self) -> None:
        """Try the jobs that wait for tokens again, after a grant."""
        for job in tuple(self._owing.values()):
            self._pay(job)

    def _charge(self, job: Job, unpaid: Unpaid) -> bool:
        """Charge as much as the organisation has; return whether that is all."""
        if job.organisation is None or not unpaid.tokens:
            return True
        now = time.monotonic()
        quota, name = self._context.quota, job.organisation.name
        tokens = min(unpaid.tokens, quota.balance(now, name))
        if tokens and quota.charge(now, name, tokens):
            unpaid.tokens -= tokens
            job.charged_tokens += tokens
        return not unpaid.tokens

    def _owe(self, job: Job, unpaid: Unpaid) -> None:
        job.unpaid.append(unpaid)
        self._owing[job.request.request_id] = job
        self._need(job)
        self._pause(job)

    def _need(self, job: Job) -> None:
        tokens = sum(unpaid.tokens for unpaid in job.unpaid)
        # Any part of them helps, so that one token is enough to go on.
        self._needs.add(job.organisation_name, job.request.request_id, tokens, 1)

    def _pay(self, job: Job) -> None:
        while job.unpaid:
            if not self._charge(job, job.unpaid[0]):
                self._need(job)
                return
            self._write(job, job.unpaid.pop(0).action)
        self._settle(job)
        if job.finish is not None:
            job.finish()
        else:
            self._resume(job)

    def _settle(self, job: Job) -> None:
        if self._owing.pop(job.request.request_id, None) is not None:
            self._needs.remove(job.organisation_name, job.request.request_id)

    def _write(self, job: Job, action: SendBytes) -> None:
        if action.events:
            self._note_events(job)
        data = responses.chunk(action.data) if job.chunked else action.data
        job.caller.write(data)

    def _end(self, job: Job, then: Callable[[], None]) -> None:
        job.finish = None
        if job.chunked:
            job.caller.write(responses.LAST_CHUNK)
        job.caller.finish()
        then()

    def _give_up(self, job: Job) -> None:
        finish = job.finish
        if finish is None:
            return
        job.finish = None
        self.drop_unpaid(job)
        # Without the last chunk the caller sees that the answer is not whole.
        job.caller.close()

    def _note_first_byte(self, job: Job) -> None:
        job.first_byte_at = time.monotonic()
        self._context.metrics.observe(
            "berylnotch_first_byte_seconds",
            job.first_byte_at - job.arrived_at,
            Label("service", job.service.name),
        )

    def _note_events(self, job: Job) -> None:
        now = time.monotonic()
        if job.last_event_at:
            self._gap_timer(job.service.name)(now - job.last_event_at)
        job.last_event_at = now

    def _gap_timer(self, service: str) -> Callable[[float], None]:
        timer = self._gap_timers.get(service)
        if timer is None:
            label = Label("service", service)
            timer = self._context.metrics.timer(_GAP_METRIC, label)
            self._gap_timers[service] = timer
        return timer


def _tokens(job: Job, action: SendBytes) -> int:
    if action.events or job.language is None or job.chunked:
        return action.events
    return completion_tokens(action.data)


def replay_head(job: Job, status: int, content_type: str, length: int) -> bytes:
    """Return the head of a stored answer."""
    headers = Headers()
    headers["Content-Type"] = content_type or "application/octet-stream"
    headers["Content-Length"] = str(length)
    headers["Idempotent-Replayed"] = "true"
    headers[responses.REQUEST_ID_HEADER] = job.request.request_id
    headers[responses.RUN_HEADER] = RunMark.RAN.value
    return responses.head(status, headers)
