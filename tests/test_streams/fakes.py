"""Scripted attempts and a driver that carries out the actions of an exchange."""

from __future__ import annotations

import attrs
from attrs import define, field, frozen

from berylnotch.streams.actions import (
    AttemptFailed,
    CancelAttempt,
    Finish,
    PauseUpstream,
    ResumeUpstream,
    SendBytes,
    SendHead,
    StartAttempt,
)
from berylnotch.streams.exchange import Exchange
from berylnotch.streams.inputs import (
    ExchangeRequest,
    ExchangeSettings,
    ResponseHead,
    UpstreamEnd,
)

REQUEST_ID = "r1"
END_MARKER = b"data: [DONE]\n\n"


def engine_event(number):
    return b'id: %d\ndata: {"n": %d}\n\n' % (number, number)


def caller_event(number):
    return engine_event(number).replace(b"id: ", b"id: B-v1.", 1)


@frozen
class AttemptScript:
    """Outcome of one attempt; its response may be truncated or damaged."""

    kind: str = "serve"
    events: int = 99
    chunk_bytes: int = 7
    ends_cleanly: bool = False
    skipped_event: int = 0
    repeated_event: int = 0
    weights: str = "v1"
    request_id: str = REQUEST_ID


@define
class ExchangeDriver:
    """Carries out the actions of an exchange with scripted attempts."""

    exchange: Exchange
    scripts: list[AttemptScript]
    total: int
    stream: bool = True
    sent_body: bytes = b""
    head: SendHead | None = None
    finish: Finish | None = None
    reached_targets: int = 0
    run_count: int = 0
    not_run_refusals: int = 0
    max_buffered_bytes: int = 0
    starts: list[StartAttempt] = field(factory=list)
    failures: list[AttemptFailed] = field(factory=list)
    cancelled: set[int] = field(factory=set)
    paused: bool = False
    now: float = 0.0

    def run(self) -> ExchangeDriver:
        self.perform(self.exchange.start(self.now))
        while not self.exchange.is_finished:
            self.now = max(self.now, self.exchange.next_tick())
            self.perform(self.exchange.tick(self.now))
        return self

    def perform(self, actions):
        self.max_buffered_bytes = max(
            self.max_buffered_bytes, self.exchange.buffered_bytes
        )
        for action in actions:
            assert self.finish is None, "an action after the end"
            self._perform_action(action)

    def _perform_action(self, action):
        if isinstance(action, StartAttempt):
            self.starts.append(action)
            self._run_attempt(action)
        elif isinstance(action, SendHead):
            assert self.head is None
            self.head = action
        elif isinstance(action, SendBytes):
            assert self.head is not None
            self.sent_body += action.data
        elif isinstance(action, Finish):
            self.finish = action
        elif isinstance(action, AttemptFailed):
            self.failures.append(action)
        elif isinstance(action, CancelAttempt):
            self.cancelled.add(action.number)
        elif isinstance(action, PauseUpstream | ResumeUpstream):
            self.paused = isinstance(action, PauseUpstream)

    def _run_attempt(self, start):
        exchange, number = self.exchange, start.number
        if not self.scripts:
            self.perform(exchange.on_no_target(self.now, number, "none left"))
            return
        script = self.scripts.pop(0)
        self.perform(exchange.attempt_started(self.now, number, f"E{number}"))
        if script.kind == "connect":
            self.perform(
                exchange.on_transfer_end(
                    self.now, number, UpstreamEnd(False, sent=False)
                )
            )
            return
        self.reached_targets += 1
        if script.kind == "refuse":
            self.not_run_refusals += 1
            self.perform(
                exchange.on_response_head(
                    self.now, number, ResponseHead(503, not_run=True)
                )
            )
            return
        self.run_count += 1
        if script.kind == "lost":
            self.perform(exchange.on_transfer_end(self.now, number, UpstreamEnd(False)))
            return
        self.perform(
            exchange.on_response_head(self.now, number, self._response_head(script))
        )
        for chunk in self._response_chunks(script, start.resume_after):
            self.perform(exchange.on_response_chunk(self.now, number, chunk))
        end = UpstreamEnd(script.ends_cleanly or script.events > self.total)
        self.perform(exchange.on_transfer_end(self.now, number, end))

    def _response_head(self, script):
        kind = "text/event-stream" if self.stream else "application/json"
        head = ResponseHead(200, (), kind, script.request_id, script.weights)
        if script.kind == "error":
            return attrs.evolve(head, status=500, content_type="application/json")
        return head

    def _response_chunks(self, script, resume_after):
        if script.kind == "error":
            return [b'{"error": {}}']
        if script.kind == "empty":
            return []
        parts = []
        for number in range(
            resume_after + 1, min(self.total, resume_after + script.events) + 1
        ):
            if number != script.skipped_event:
                parts.append(
                    engine_event(number) * (2 if number == script.repeated_event else 1)
                )
        data = b"".join(parts)
        if resume_after + script.events >= self.total:
            data += b"id: %d\n" % (self.total + 1) + END_MARKER
        elif not script.ends_cleanly:
            data += engine_event(resume_after + script.events + 1)[:-3]
        return [
            data[i : i + script.chunk_bytes]
            for i in range(0, len(data), script.chunk_bytes)
        ]


def make_exchange(settings=None, **kwargs):
    values = {
        "request_id": REQUEST_ID,
        "deadline": 100.0,
        "idempotent": True,
        "stream": True,
        "sign_base": lambda weights: f"B-{weights}",
        **kwargs,
    }
    return Exchange(settings or ExchangeSettings(), ExchangeRequest(**values))
