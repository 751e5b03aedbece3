"""Generator of requests with nested shared prefixes."""

from __future__ import annotations

import bisect
import itertools
import random
from collections.abc import Iterator

from attrs import frozen

from benchmarks.shapes import Case, OrganisationShape, Shape

#: Bytes that represent one piece of a prompt.
PIECE_BYTES = 12

#: Exponent of the Zipf distribution of the documents' popularity.
ZIPF_EXPONENT = 0.9

#: Longest time in seconds between two turns of a session.
MAX_TURN_GAP_S = 6.0

#: Multiple of its ordinary traffic that an organisation sends in the overload case.
OVERLOAD_FACTOR = 5.0


@frozen
class Request:
    """A caller's request; each full piece of ``prompt`` has ``PIECE_BYTES``."""

    number: int
    at: float
    organisation: str
    prompt: bytes
    tail_tokens: int
    output_tokens: int

    @property
    def pieces(self) -> int:
        """Number of full pieces in the prompt."""
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
        self._requests: list[Request] = []

    def requests(self) -> Iterator[Request]:
        """Return an iterator over all requests, in order of arrival."""
        for index, organisation in enumerate(self._shape.organisations):
            self._add_organisation(organisation, is_overloading=index == 0)
        return iter(sorted(self._requests, key=lambda request: request.at))

    def _add_organisation(
        self, organisation: OrganisationShape, is_overloading: bool
    ) -> None:
        # A random generator for each organisation keeps its traffic independent of
        # the traffic of the others.
        self._random = random.Random(f"{self._seed} {organisation.name}")
        documents = [
            self._new_document(organisation) for _ in range(organisation.documents)
        ]
        shifted_documents = list(documents)
        self._random.shuffle(shifted_documents)
        weights = [(i + 1) ** -ZIPF_EXPONENT for i in range(len(documents))]
        cumulative_weights = list(itertools.accumulate(weights))
        opening = self._new_pieces(self._shape.system_pieces)
        shifted_opening = self._new_pieces(self._shape.system_pieces)
        short = self._new_pieces(self._shape.short_pieces)
        at = 0.0
        while at < self._until:
            is_middle = self._until / 10 <= at < 9 * self._until / 10
            at += self._random.expovariate(
                self._rate(organisation, is_overloading, is_middle)
            )
            if self._random.random() < self._shape.short_share:
                self._add_request(at, organisation.name, short)
                continue
            is_shifted = self._case is Case.HOT_SHIFT and at >= self._until / 3
            rank = bisect.bisect(
                cumulative_weights, self._random.random() * cumulative_weights[-1]
            )
            document = (shifted_documents if is_shifted else documents)[rank]
            prefix = (shifted_opening if is_shifted else opening) + document
            self._add_session(at, organisation.name, prefix)

    def _rate(
        self, organisation: OrganisationShape, is_overloading: bool, is_middle: bool
    ) -> float:
        """Return arrivals a second, counting a session of several turns once."""
        short = self._shape.short_share
        turns = short + (1.0 - short) * (1 + self._shape.turns) / 2
        rate = organisation.requests_per_s / turns
        if self._case is Case.OVERLOAD and is_overloading and is_middle:
            return rate * OVERLOAD_FACTOR
        return rate

    def _add_session(self, at: float, organisation: str, prefix: bytes) -> None:
        for _ in range(self._random.randint(1, self._shape.turns)):
            self._add_request(at, organisation, prefix)
            prefix += self._new_pieces(self._random.randint(*self._shape.turn_pieces))
            at += self._random.uniform(1.0, MAX_TURN_GAP_S)

    def _add_request(self, at: float, organisation: str, prompt: bytes) -> None:
        if at >= self._until:
            return
        tail = self._random.randint(50, 1000)
        output = self._random.randint(*self._shape.output_tokens)
        number = len(self._requests) + 1
        self._requests.append(Request(number, at, organisation, prompt, tail, output))

    def _new_document(self, organisation: OrganisationShape) -> bytes:
        return self._new_pieces(self._random.randint(*self._shape.document_pieces))

    def _new_pieces(self, pieces: int) -> bytes:
        return b"".join(
            next(self._ids).to_bytes(PIECE_BYTES, "big") for _ in range(pieces)
        )
