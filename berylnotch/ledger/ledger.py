"""Ledger of non-idempotent requests: each claim runs at most once."""

from __future__ import annotations

from collections.abc import Iterator
from sys import intern

from attrs import evolve

from berylnotch.control.commands import (
    ClaimRecord,
    ClaimState,
    CloseClaim,
    OpenClaim,
    SettleClaim,
    Status,
)
from berylnotch.ledger.errors import ClaimError

#: How long a closed claim is kept, in milliseconds (24 h).
CLAIM_KEEP_MS = 24 * 3600 * 1000
#: Most claims held at once; beyond it new ones are refused as not run.
MAX_CLAIMS = 100_000
#: Largest answer that is stored with a claim, in bytes.
MAX_BODY_BYTES = 64 * 1024
#: Most bytes of answers held at once; beyond it the oldest answers go.
MAX_BODIES_BYTES = 16 * 1024 * 1024
#: Longest idempotency key, in characters.
MAX_KEY_CHARACTERS = 255

_OUTCOMES = (ClaimState.DONE, ClaimState.NOT_RUN, ClaimState.UNKNOWN)

_Key = tuple[str, str]


def router_id(vm: str, incarnation: str) -> str:
    """Return the ``router`` of a claim, ``VM/INCARNATION``."""
    return f"{vm}/{incarnation}"


class Ledger:
    """Claims by organisation and idempotency key."""

    def __init__(self) -> None:
        self._claims: dict[_Key, ClaimRecord] = {}
        # Claims with a stored answer, oldest outcome first.
        self._bodies: dict[_Key, int] = {}
        self._bodies_bytes = 0
        self._running: dict[_Key, ClaimRecord] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def __iter__(self) -> Iterator[ClaimRecord]:
        # Answers are evicted in the order of their outcomes, so that a restored
        # ledger has to learn them in this order.
        for key in sorted(self._claims):
            if key not in self._bodies:
                yield self._claims[key]
        for key in self._bodies:
            yield self._claims[key]

    @property
    def running(self) -> tuple[ClaimRecord, ...]:
        """Claims without an outcome, oldest first."""
        return tuple(self._running.values())

    def find(self, organisation: str, idempotency_key: str) -> ClaimRecord | None:
        """Return a claim."""
        return self._claims.get((organisation, idempotency_key))

    def open(self, at_ms: int, command: OpenClaim) -> ClaimRecord:
        """Claim the only run of a request.

        Returns
        -------
        ClaimRecord
            The running claim of this attempt; the attempt may run.

        Raises
        ------
        ClaimError
            With status EXISTS and the claim if the request ran, runs or may
            have run; CONFLICT if the key belongs to another request; INVALID if
            the claim cannot be stored.
        """
        claim = self.find(command.organisation, command.idempotency_key)
        if claim is None:
            self._check_room(command)
        else:
            _check_reopen(claim, command)
            if claim.state is ClaimState.RUNNING:
                return claim
        opened = ClaimRecord(
            organisation=command.organisation,
            idempotency_key=command.idempotency_key,
            fingerprint=command.fingerprint,
            router=command.router,
            attempt=command.attempt,
            state=ClaimState.RUNNING,
            opened_ms=at_ms,
        )
        self._store(opened)
        return opened

    def close(self, at_ms: int, command: CloseClaim) -> ClaimRecord:
        """Record the outcome of a run.

        An outcome that comes after the router was taken for lost replaces
        UNKNOWN, because the attempt itself knows best. A settled claim stays.

        Raises
        ------
        ClaimError
            If another attempt holds the claim, it is closed with another
            outcome, or the state is no outcome.
        """
        claim = self._get(command.organisation, command.idempotency_key)
        if command.state not in _OUTCOMES:
            raise ClaimError(Status.INVALID, f"{command.state.value} is no outcome")
        if claim.attempt != command.attempt:
            raise ClaimError(Status.CONFLICT, "another attempt holds the claim")
        is_open = claim.state in (ClaimState.RUNNING, ClaimState.UNKNOWN)
        if not is_open or claim.note:
            if claim.state is command.state:
                return claim
            message = f"the claim is closed as {claim.state.value}"
            raise ClaimError(Status.CONFLICT, message, claim)
        body = command.body if len(command.body) <= MAX_BODY_BYTES else b""
        closed = evolve(
            claim,
            state=command.state,
            closed_ms=at_ms,
            http_status=command.http_status,
            content_type=command.content_type,
            body=body,
        )
        self._store(closed)
        return closed

    def settle(self, at_ms: int, command: SettleClaim) -> ClaimRecord:
        """Record an operator's finding on an unknown outcome.

        Raises
        ------
        ClaimError
            If there is no such claim, its outcome is known, or the state is
            neither DONE nor NOT_RUN.
        """
        claim = self._get(command.organisation, command.idempotency_key)
        if command.state not in (ClaimState.DONE, ClaimState.NOT_RUN):
            raise ClaimError(Status.INVALID, "settle as done or not-run")
        if claim.state is not ClaimState.UNKNOWN:
            message = f"the claim is {claim.state.value}, not unknown"
            raise ClaimError(Status.CONFLICT, message, claim)
        note = command.note or "settled"
        note = f"{command.operator}: {note}"
        settled = evolve(claim, state=command.state, closed_ms=at_ms, note=note)
        self._store(settled)
        return settled

    def lose(self, at_ms: int, vm: str, incarnation: str, lost: bool) -> int:
        """Turn the running claims of lost routers into UNKNOWN.

        Parameters
        ----------
        at_ms : int
            Time of the observation.
        vm : str
            Name of the VM.
        incarnation : str
            Incarnation that was observed; if empty, any.
        lost : bool
            Whether this incarnation is lost; otherwise it is alive and all
            others of the VM are lost.

        Returns
        -------
        int
            How many claims became UNKNOWN.
        """
        if not lost and not incarnation:
            return 0
        router = router_id(vm, incarnation)
        found = [
            claim
            for claim in self._running.values()
            if claim.router.startswith(f"{vm}/")
            and (not incarnation or (claim.router == router) is lost)
        ]
        for claim in found:
            self._store(evolve(claim, state=ClaimState.UNKNOWN, closed_ms=at_ms))
        return len(found)

    def expire(self, before_ms: int) -> int:
        """Forget claims that were closed before a time.

        An unknown outcome is kept until an operator settles it. A claim that
        has run since before that time becomes UNKNOWN.

        Returns
        -------
        int
            How many claims were forgotten.
        """
        old = [claim for claim in self._claims.values() if claim.opened_ms < before_ms]
        forgotten = 0
        for claim in old:
            if claim.state is ClaimState.RUNNING:
                unknown = evolve(claim, state=ClaimState.UNKNOWN, closed_ms=before_ms)
                self._store(unknown)
            elif claim.state is not ClaimState.UNKNOWN and claim.closed_ms < before_ms:
                self._forget(claim)
                forgotten += 1
        return forgotten

    def restore(self, claim: ClaimRecord) -> None:
        """Take a claim over from a snapshot."""
        self._store(claim)

    def _get(self, organisation: str, idempotency_key: str) -> ClaimRecord:
        claim = self.find(organisation, idempotency_key)
        if claim is None:
            raise ClaimError(Status.NOT_FOUND, "there is no such claim")
        return claim

    def _check_room(self, command: OpenClaim) -> None:
        if not 1 <= len(command.idempotency_key) <= MAX_KEY_CHARACTERS:
            message = f"an idempotency key has 1 to {MAX_KEY_CHARACTERS} characters"
            raise ClaimError(Status.INVALID, message)
        if len(self._claims) >= MAX_CLAIMS:
            raise ClaimError(Status.INVALID, f"{MAX_CLAIMS} claims are held already")

    def _store(self, claim: ClaimRecord) -> None:
        # Few organisations and routers share many claims.
        organisation, router = intern(claim.organisation), intern(claim.router)
        claim = evolve(claim, organisation=organisation, router=router)
        key = (organisation, claim.idempotency_key)
        self._bodies_bytes -= self._bodies.pop(key, 0)
        self._claims[key] = claim
        if claim.state is ClaimState.RUNNING:
            self._running[key] = claim
        else:
            self._running.pop(key, None)
        if claim.body:
            self._bodies[key] = len(claim.body)
            self._bodies_bytes += len(claim.body)
        while self._bodies_bytes > MAX_BODIES_BYTES:
            oldest = next(iter(self._bodies))
            self._bodies_bytes -= self._bodies.pop(oldest)
            self._claims[oldest] = evolve(self._claims[oldest], body=b"")

    def _forget(self, claim: ClaimRecord) -> None:
        key = (claim.organisation, claim.idempotency_key)
        self._bodies_bytes -= self._bodies.pop(key, 0)
        self._running.pop(key, None)
        del self._claims[key]


def _check_reopen(claim: ClaimRecord, command: OpenClaim) -> None:
    if claim.fingerprint != command.fingerprint:
        message = "the idempotency key was used for another request"
        raise ClaimError(Status.CONFLICT, message)
    is_same_attempt = claim.attempt == command.attempt
    if claim.state is ClaimState.RUNNING and is_same_attempt:
        return
    if claim.state is ClaimState.NOT_RUN and not is_same_attempt:
        return
    messages = {
        ClaimState.RUNNING: "the request is in progress",
        ClaimState.DONE: "the request ran; this is its answer",
        ClaimState.NOT_RUN: "this attempt is over; the request did not run",
        ClaimState.UNKNOWN: "the request may have run; its outcome is unknown",
    }
    raise ClaimError(Status.EXISTS, messages[claim.state], claim)
