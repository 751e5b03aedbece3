"""Check of a stream at its caller, independent of the router's code."""

from __future__ import annotations

from attrs import define

_BOUNDARY = b"\n\n"
_END = b"data: [DONE]"


@define
class StreamCheck:
    """Counts the faults in a stream of a stand-in engine.

    Attributes
    ----------
    tokens : int
        Requested tokens; one more event reports the end of the generation.
    last_number : int
        Highest event number received.
    events, duplicated, out_of_order, wrong : int
        Events received, repeated numbers, gaps in the numbers, and events whose
        text does not match their number.
    has_ended : bool
        Whether the end marker was received.
    error : str
        Last error event; empty if there was none.
    """

    tokens: int
    last_number: int = 0
    events: int = 0
    duplicated: int = 0
    out_of_order: int = 0
    wrong: int = 0
    has_ended: bool = False
    error: str = ""
    _incomplete: bytes = b""

    @property
    def expected_events(self) -> int:
        """Number of events in a complete stream."""
        return self.tokens + 1

    @property
    def lost(self) -> int:
        """Number of events that were not received."""
        return max(0, self.expected_events - (self.events - self.duplicated))

    @property
    def is_whole(self) -> bool:
        """Whether each event arrived once, in order, and the end marker after them."""
        faults = self.duplicated or self.out_of_order or self.wrong or self.lost
        return self.has_ended and not faults and not self.error

    def feed(self, data: bytes) -> int:
        """Check received bytes and return the number of events that they complete."""
        *events, self._incomplete = (self._incomplete + data).split(_BOUNDARY)
        before = self.events
        for event in events:
            self._check_event(event)
        return self.events - before

    def _check_event(self, event: bytes) -> None:
        if event.endswith(_END):
            self.has_ended = True
            return
        id_line, _, data_lines = event.partition(b"\n")
        if not id_line.startswith(b"id: "):
            self.error = event.decode("utf-8", "replace")
            return
        number = int(id_line[4:].rpartition(b".")[2])
        self.events += 1
        if number <= self.last_number:
            self.duplicated += 1
            return
        if number != self.last_number + 1:
            self.out_of_order += 1
        self.last_number = number
        if number <= self.tokens and b'-%d "' % number not in data_lines:
            self.wrong += 1
