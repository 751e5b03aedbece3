"""Requests with nested shared prefixes."""

from __future__ import annotations

import bisect
import itertools
import random
from collections.abc import Iterator

from attrs import frozen

from benchmarks.shapes import Case, OrganisationShape, Shape

#: Bytes that stand for one piece of a prompt.
PIECE_BYTES = 12

#: Popularity of documents falls with this power of their position.
ZIPF_EXPONENT = 0.9

#: Seconds between the turns of a session, at most.
THINK_S = 6.0

#: Number of times its ordinary traffic that an organisation sends in the
#: overload case.
OVERLOAD_FACTOR = 5.0


@frozen
class Request:
    """A caller's request; ``prompt`` has ``PIECE_BYTES`` for each full piece."""

    number: int
    at: float
    organisation: str
    prompt: bytes
    tail_tokens: int
    output_tokens: int

    @property
    def pieces(self) -> int:
        """Full pieces of the prompt."""
        return len(self.prompt) // PIECE_BYTES


class Workload:
    """Seeded generator of one run's requests."""

    def __init__(self, shape: Shape, case: Case, seed: int, until: float) -> None:
        self._shape = shape
        self._case = case
        self._seed = seed
        self._random = random.Random(seed)
        self._until = until
        self._ids = itertools.count()
        self._found: list[Request] = []

    def requests(self) -> Iterator[Request]:
        """Yield all requests in order of time."""
        for index, organisation in enumerate(self._shape.organisations):
            self._add_organisation(organisation, overload=index == 0)
        return iter(sorted(self._found, key=lambda request: request.at))

    def _add_organisation(
        self, organisation: OrganisationShape, overload: bool
    ) -> None:
        # Its own generator keeps an organisation's traffic the same whatever
        # the others send.
        self._random = random.Random(f"{self._seed} {organisation.name}")
        documents = [self._pieces(organisation) for _ in range(organisation.documents)]
        shifted = list(documents)
        self._random.shuffle(shifted)
        weights = [(i + 1) ** -ZIPF_EXPONENT for i in range(len(documents))]
        cumulated = list(itertools.accumulate(weights))
        opening = self._new(self._shape.system_pieces)
        late_opening = self._new(self._shape.system_pieces)
        short = self._new(self._shape.short_pieces)
        at = 0.0
        while at < self._until:
            middle = self._until / 10 <= at < 9 * self._until / 10
            at += self._random.expovariate(self._rate(organisation, overload, middle))
            if self._random.random() < self._shape.short_share:
                self._add(at, organisation.name, short)
                continue
            late = self._case is Case.HOT_SHIFT and at >= self._until / 3
            chosen = bisect.bisect(cumulated, self._random.random() * cumulated[-1])
            document = (shifted if late else documents)[chosen]
            prefix = (late_opening if late else opening) + document
            self._add_session(at, organisation.name, prefix)

    def _rate(
        self, organisation: OrganisationShape, overload: bool, middle: bool
    ) -> float:
        """Return arrivals a second; a session of several turns is one."""
        short = self._shape.short_share
        turns = short + (1.0 - short) * (1 + self._shape.turns) / 2
        rate = organisation.requests_per_s / turns
        if self._case is Case.OVERLOAD and overload and middle:
            return rate * OVERLOAD_FACTOR
        return rate

    def _add_session(self, at: float, organisation: str, prefix: bytes) -> None:
        for _ in range(self._random.randint(1, self._shape.turns)):
            self._add(at, organisation, prefix)
            prefix += self._new(self._random.randint(*self._shape.turn_pieces))
            at += self._random.uniform(1.0, THINK_S)

    def _add(self, at: float, organisation: str, prompt: bytes) -> None:
        if at >= self._until:
            return
        tail = self._random.randint(50, 1000)
        output = self._random.randint(*self._shape.output_tokens)
        number = len(self._found) + 1
        self._found.append(Request(number, at, organisation, prompt, tail, output))

    def _pieces(self, organisation: OrganisationShape) -> bytes:
        return self._new(self._random.randint(*self._shape.document_pieces))

    def _new(self, pieces: int) -> bytes:
        return b"".join(
            next(self._ids).to_bytes(PIECE_BYTES, "big") for _ in range(pieces)
        )
