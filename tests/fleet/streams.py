"""Callers that read streams, lose them, and take them up again."""

from __future__ import annotations

import http.client
import re
import threading
import time
import zlib

from attrs import define, field

from tests.fleet.platform import MODEL
from tests.fleet.processes import KEY, FleetProcess

#: Seconds without data after which a caller gives up an attempt.
READ_TIMEOUT_S = 6.0

_EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+(?: of (\S+))?\n\n")


@define(eq=False)
class CallerStream:
    """A stream that one caller asks for, over several attempts.

    ``statuses`` has the status of each attempt, 0 if its connection failed.
    ``first_id`` is the request id of the newest attempt that began without an event.
    """

    name: str
    key: str = KEY
    data: bytes = b""
    statuses: list[int] = field(factory=list)
    is_whole: bool = False
    first_id: str = ""
    #: Seconds from the newest attempt's begin to its answer's head.
    answered_s: float = 0.0
    _thread: threading.Thread | None = None

    @property
    def events(self) -> list[int]:
        """Numbers of the events, in the order of their arrival."""
        return [int(number) for number, _ in _EVENT.findall(self.data)]

    @property
    def versions(self) -> set[str]:
        """Software versions of the targets that wrote events."""
        return {version.decode() for _, version in _EVENT.findall(self.data)}

    def begin(self, router: FleetProcess, **headers: str) -> None:
        """Start an attempt in a thread, which goes on after the last event."""
        if not self.events:
            self.first_id = f"{self.name}-{len(self.statuses)}"
        self._thread = threading.Thread(
            target=self._attempt, args=(router, headers), daemon=True
        )
        self._thread.start()

    def join(self) -> None:
        """Wait for the end of the attempt, and drop an event that was cut in two."""
        self._thread.join()
        self.data = self.data[: self.data.rfind(b"\n\n") + 2]

    def take_up(self, router: FleetProcess, **headers: str) -> int:
        """Make one more attempt, and return its status."""
        headers.setdefault("Resumes", self.first_id)
        headers = {name: value for name, value in headers.items() if value}
        self.begin(router, **{"Last-Event-Id": str(self.events[-1])}, **headers)
        self.join()
        return self.statuses[-1]

    def _attempt(self, router: FleetProcess, headers: dict[str, str]) -> None:
        opening_id = f"{zlib.crc32(self.name.encode()):08x}"
        values = {
            "Host": "app.example",
            "Authorization": f"Bearer {self.key}",
            "Berylnotch-Request-Id": f"{self.name}-{len(self.statuses)}",
            "Berylnotch-Deadline-Ms": "4000",
            "Berylnotch-Model": MODEL,
            "Berylnotch-Token-Count": "3000,20",
            "Berylnotch-Prefix-Hash": f"{opening_id}:2000,bb02:1000",
        }
        values.update(headers)
        self.statuses.append(0)
        began_at = time.monotonic()
        connection = http.client.HTTPConnection(
            router.ip, router.port, timeout=READ_TIMEOUT_S
        )
        try:
            connection.request("POST", "/chat/x", body=b"{}", headers=values)
            response = connection.getresponse()
            self.statuses[-1] = response.status
            self.answered_s = time.monotonic() - began_at
            while chunk := response.read1():
                if response.status == 200:
                    self.data += chunk
            self.is_whole = response.status == 200
        except (OSError, http.client.HTTPException):
            self.is_whole = False
        finally:
            connection.close()
