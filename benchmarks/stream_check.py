"""Check of one stream as its caller sees it, independent of the router's code."""

from __future__ import annotations

from attrs import define

_BOUNDARY = b"\n\n"
_END = b"data: [DONE]"


@define
class StreamCheck:
    """Counts what is wrong with a stream of a stand-in engine.

    Attributes
    ----------
    tokens : int
        Tokens that were asked for; one more event tells the end.
    last : int
        Highest event number seen.
    events, duplicated, out_of_order, wrong : int
        Events seen, repeated numbers, skipped numbers, and events whose text
        isn't that of their number.
    ended : bool
        Whether the end marker was seen.
    error : str
        Error event, if there was one.
    """

    tokens: int
    last: int = 0
    events: int = 0
    duplicated: int = 0
    out_of_order: int = 0
    wrong: int = 0
    ended: bool = False
    error: str = ""
    _tail: bytes = b""

    @property
    def expected(self) -> int:
        """Events of the whole stream."""
        return self.tokens + 1

    @property
    def lost(self) -> int:
        """Events that didn't come."""
        return max(0, self.expected - (self.events - self.duplicated))

    @property
    def is_whole(self) -> bool:
        """Whether every event came once, in order, up to the end marker."""
        faults = self.duplicated or self.out_of_order or self.wrong or self.lost
        return self.ended and not faults and not self.error

    def feed(self, data: bytes) -> int:
        """Take bytes and return how many events they completed."""
        *events, self._tail = (self._tail + data).split(_BOUNDARY)
        before = self.events
        for event in events:
            self._take(event)
        return self.events - before

    def _take(self, event: bytes) -> None:
        if event.endswith(_END):
            self.ended = True
            return
        head, _, rest = event.partition(b"\n")
        if not head.startswith(b"id: "):
            self.error = event.decode("utf-8", "replace")
            return
        number = int(head[4:].rpartition(b".")[2])
        self.events += 1
        if number <= self.last:
            self.duplicated += 1
            return
        if number != self.last + 1:
            self.out_of_order += 1
        self.last = number
        if number <= self.tokens and b'-%d "' % number not in rest:
            self.wrong += 1
