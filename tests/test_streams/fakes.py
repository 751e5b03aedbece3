"""Fake engine that follows a script, and a shell that drives an exchange."""

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
END = b"data: [DONE]\n\n"


def event(number):
    return b'id: %d\ndata: {"n": %d}\n\n' % (number, number)


def for_caller(number):
    return event(number).replace(b"id: ", b"id: B-v1.", 1)


@frozen
class Script:
    """What one attempt meets; the answer may be cut short or damaged."""

    kind: str = "serve"
    events: int = 99
    chunk: int = 7
    clean: bool = False
    skip: int = 0
    repeat: int = 0
    weights: str = "v1"
    request_id: str = REQUEST_ID


@define
class Shell:
    """Performs an exchange's actions against scripted attempts."""

    exchange: Exchange
    scripts: list[Script]
    total: int
    stream: bool = True
    out: bytes = b""
    head: SendHead | None = None
    finish: Finish | None = None
    reached: int = 0
    runs: int = 0
    said_not_run: int = 0
    max_buffered: int = 0
    starts: list[StartAttempt] = field(factory=list)
    failures: list[AttemptFailed] = field(factory=list)
    cancelled: set[int] = field(factory=set)
    paused: bool = False
    now: float = 0.0

    def run(self) -> Shell:
        self.perform(self.exchange.start(self.now))
        while not self.exchange.is_finished:
            self.now = max(self.now, self.exchange.next_tick())
            self.perform(self.exchange.tick(self.now))
        return self

    def perform(self, actions):
        self.max_buffered = max(self.max_buffered, self.exchange.buffered)
        for action in actions:
            assert self.finish is None, "an action after the end"
            self._perform(action)

    def _perform(self, action):
        if isinstance(action, StartAttempt):
            self.starts.append(action)
            self._attempt(action)
        elif isinstance(action, SendHead):
            assert self.head is None
            self.head = action
        elif isinstance(action, SendBytes):
            assert self.head is not None
            self.out += action.data
        elif isinstance(action, Finish):
            self.finish = action
        elif isinstance(action, AttemptFailed):
            self.failures.append(action)
        elif isinstance(action, CancelAttempt):
            self.cancelled.add(action.number)
        elif isinstance(action, PauseUpstream | ResumeUpstream):
            self.paused = isinstance(action, PauseUpstream)

    def _attempt(self, start):
        x, n = self.exchange, start.number
        if not self.scripts:
            self.perform(x.no_target(self.now, n, "none left"))
            return
        script = self.scripts.pop(0)
        self.perform(x.attempt_started(self.now, n, f"E{n}"))
        if script.kind == "connect":
            self.perform(x.upstream_end(self.now, n, UpstreamEnd(False, sent=False)))
            return
        self.reached += 1
        if script.kind == "refuse":
            self.said_not_run += 1
            self.perform(x.head(self.now, n, ResponseHead(503, not_run=True)))
            return
        self.runs += 1
        if script.kind == "lost":
            self.perform(x.upstream_end(self.now, n, UpstreamEnd(False)))
            return
        self.perform(x.head(self.now, n, self._head(script)))
        for chunk in self._chunks(script, start.resume_after):
            self.perform(x.body(self.now, n, chunk))
        end = UpstreamEnd(script.clean or script.events > self.total)
        self.perform(x.upstream_end(self.now, n, end))

    def _head(self, script):
        kind = "text/event-stream" if self.stream else "application/json"
        head = ResponseHead(200, (), kind, script.request_id, script.weights)
        if script.kind == "error":
            return attrs.evolve(head, status=500, content_type="application/json")
        return head

    def _chunks(self, script, after):
        if script.kind == "error":
            return [b'{"error": {}}']
        if script.kind == "empty":
            return []
        parts = []
        for number in range(after + 1, min(self.total, after + script.events) + 1):
            if number != script.skip:
                parts.append(event(number) * (2 if number == script.repeat else 1))
        data = b"".join(parts)
        if after + script.events >= self.total:
            data += b"id: %d\n" % (self.total + 1) + END
        elif not script.clean:
            data += event(after + script.events + 1)[:-3]
        return [data[i : i + script.chunk] for i in range(0, len(data), script.chunk)]


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
