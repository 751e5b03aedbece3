"""What a soak saw, and the promises that it must keep."""

from __future__ import annotations

import json
import threading

from attrs import define, field

from tests.fleet.processes import Answer


@define
class Seen:
    """Answers of callers and operators, with what they mean for the promises."""

    answers: int = 0
    served: int = 0
    refused: set[str] = field(factory=set)
    booked: set[str] = field(factory=set)
    acked_version: int = 0
    breaks: list[str] = field(factory=list)
    _lock: threading.Lock = field(factory=threading.Lock)

    def caller(self, request_id: str, kind: str, answer: Answer | None) -> None:
        """Check one answer to a caller."""
        with self._lock:
            self.answers += 1
            if kind == "book":
                self.booked.add(request_id)
            if answer is None:
                return
            if answer.status in (429, 503):
                self.refused.add(request_id)
            if answer.status == 200 and answer.is_whole:
                self.served += 1
                self._check_body(request_id, kind, answer.body)

    def acked(self, version: int) -> None:
        """Note that a configuration was acknowledged."""
        with self._lock:
            self.acked_version = max(self.acked_version, version)

    def read_back(self, acked_before: int, answer: Answer | None) -> None:
        """Check a read of the configuration against what was acknowledged before."""
        if answer is None or answer.status != 200:
            return
        version = json.loads(answer.body)["version"]
        if version < acked_before:
            self.fail(f"read version {version} after {acked_before} was acknowledged")

    def targets(self, targets) -> None:
        """Check what the targets ran."""
        runs = [run for target in targets for run in target.runs]
        for request_id in self.booked:
            if runs.count(request_id) > 1:
                self.fail(f"{request_id} ran {runs.count(request_id)} times")
        for request_id in self.refused:
            if request_id in self.booked and request_id in runs:
                self.fail(f"{request_id} was refused as not run, and ran")
        for target in targets:
            if any("authorization" in headers for headers in target.seen):
                self.fail(f"{target.target_id} saw a key")

    def fail(self, what: str) -> None:
        """Note a broken promise."""
        self.breaks.append(what)

    def _check_body(self, request_id: str, kind: str, body: bytes) -> None:
        if kind == "chat":
            count = body.count(b"\n\n")
            pieces = [
                b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, count + 1)
            ]
            if body != b"".join(pieces) or count == 0:
                self.breaks.append(f"{request_id}: stream is not in order")
        elif body != b"answer to " + request_id.encode():
            self.breaks.append(f"{request_id}: got {body[:60]!r}")
