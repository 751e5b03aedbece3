"""Ledger of claims on non-idempotent requests, each of which runs at most once."""

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

#: Retention period of a closed claim, in milliseconds (24 h).
CLAIM_RETENTION_MS = 24 * 3600 * 1000
#: Maximum number of stored claims; above it, new claims are refused and their
#: requests do not run.
MAX_CLAIMS = 100_000
#: Maximum size of an answer that is stored with a claim, in bytes.
MAX_BODY_BYTES = 64 * 1024
#: Maximum total size of the stored answers, in bytes; the oldest are evicted first.
MAX_BODIES_BYTES = 16 * 1024 * 1024
#: Maximum length of an idempotency key, in characters.
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255

_OUTCOMES = (ClaimState.DONE, ClaimState.NOT_RUN, ClaimState.UNKNOWN)

_ClaimKey = tuple[str, str]


def router_id(vm: str, incarnation: str) -> str:
    """Return the identity of a router in a claim, ``VM/INCARNATION``."""
    return f"{vm}/{incarnation}"


class Ledger:
    """Claims, indexed by organisation and idempotency key."""

    def __init__(self) -> None:
        self._claims: dict[_ClaimKey, ClaimRecord] = {}
        # Size of each stored answer in bytes, in the order in which they were stored.
        self._body_bytes: dict[_ClaimKey, int] = {}
        self._total_body_bytes = 0
        self._running: dict[_ClaimKey, ClaimRecord] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def __iter__(self) -> Iterator[ClaimRecord]:
        # Answers are evicted in the order in which their outcomes were recorded. A
        # restored ledger evicts the same answers only if it stores them in this order.
        for key in sorted(self._claims):
            if key not in self._body_bytes:
                yield self._claims[key]
        for key in self._body_bytes:
            yield self._claims[key]

    @property
    def running(self) -> tuple[ClaimRecord, ...]:
        """Claims in state RUNNING, oldest first."""
        return tuple(self._running.values())

    def find(self, organisation: str, idempotency_key: str) -> ClaimRecord | None:
        """Return the claim with an idempotency key, or None if there is none."""
        return self._claims.get((organisation, idempotency_key))

    def open(self, at_ms: int, command: OpenClaim) -> ClaimRecord:
        """Claim the right to run a request once.

        Returns
        -------
        ClaimRecord
            The RUNNING claim of this attempt, which permits it to run the request.

        Raises
        ------
        ClaimError
            With status EXISTS and the claim if the request ran, is running or may
            have run, or this attempt is closed as NOT_RUN; with CONFLICT if the
            idempotency key belongs to another request; with INVALID if the claim
            cannot be stored.
        """
        claim = self.find(command.organisation, command.idempotency_key)
        if claim is None:
            self._check_new_claim(command)
        else:
            _check_existing_claim(claim, command)
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
        """Record the outcome of a claimed request.

        An outcome that arrives after the router was considered lost replaces UNKNOWN,
        because the attempt itself has the most reliable information. A claim that an
        operator has settled is not changed.

        Raises
        ------
        ClaimError
            If the claim does not exist, belongs to another attempt or is closed
            with another outcome, or if the command's state is not an outcome.
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
        """Record the outcome that an operator found for a claim in state UNKNOWN.

        Raises
        ------
        ClaimError
            If the claim does not exist or is not UNKNOWN, or if the command's state
            is neither DONE nor NOT_RUN.
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

    def mark_claims_unknown(
        self, at_ms: int, vm: str, incarnation: str, is_lost: bool
    ) -> int:
        """Change the RUNNING claims of lost routers to UNKNOWN.

        Parameters
        ----------
        at_ms : int
            Unix time of the observation, in milliseconds.
        vm : str
            Name of the router's VM.
        incarnation : str
            Incarnation that was observed; if empty, all incarnations.
        is_lost : bool
            Whether this incarnation is lost; otherwise it is alive and all other
            incarnations of the VM are lost.

        Returns
        -------
        int
            Number of claims that became UNKNOWN.
        """
        if not is_lost and not incarnation:
            return 0
        router = router_id(vm, incarnation)
        lost_claims = [
            claim
            for claim in self._running.values()
            if claim.router.startswith(f"{vm}/")
            and (not incarnation or (claim.router == router) is is_lost)
        ]
        for claim in lost_claims:
            self._store(evolve(claim, state=ClaimState.UNKNOWN, closed_ms=at_ms))
        return len(lost_claims)

    def expire(self, before_ms: int) -> int:
        """Delete claims that were closed before a time.

        A claim in state UNKNOWN is kept until an operator settles it. A claim that was
        opened before the time and is still RUNNING becomes UNKNOWN.

        Returns
        -------
        int
            Number of deleted claims.
        """
        opened_before = [
            claim for claim in self._claims.values() if claim.opened_ms < before_ms
        ]
        deleted = 0
        for claim in opened_before:
            if claim.state is ClaimState.RUNNING:
                unknown = evolve(claim, state=ClaimState.UNKNOWN, closed_ms=before_ms)
                self._store(unknown)
            elif claim.state is not ClaimState.UNKNOWN and claim.closed_ms < before_ms:
                self._delete(claim)
                deleted += 1
        return deleted

    def restore(self, claim: ClaimRecord) -> None:
        """Store a claim of a snapshot."""
        self._store(claim)

    def _get(self, organisation: str, idempotency_key: str) -> ClaimRecord:
        claim = self.find(organisation, idempotency_key)
        if claim is None:
            raise ClaimError(Status.NOT_FOUND, "there is no such claim")
        return claim

    def _check_new_claim(self, command: OpenClaim) -> None:
        if not 1 <= len(command.idempotency_key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS:
            message = (
                "an idempotency key has "
                f"1 to {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
            )
            raise ClaimError(Status.INVALID, message)
        if len(self._claims) >= MAX_CLAIMS:
            raise ClaimError(Status.INVALID, f"{MAX_CLAIMS} claims are held already")

    def _store(self, claim: ClaimRecord) -> None:
        # Many claims have the same organisation and router. Interning keeps one copy of
        # each name.
        organisation, router = intern(claim.organisation), intern(claim.router)
        claim = evolve(claim, organisation=organisation, router=router)
        key = (organisation, claim.idempotency_key)
        self._total_body_bytes -= self._body_bytes.pop(key, 0)
        self._claims[key] = claim
        if claim.state is ClaimState.RUNNING:
            self._running[key] = claim
        else:
            self._running.pop(key, None)
        if claim.body:
            self._body_bytes[key] = len(claim.body)
            self._total_body_bytes += len(claim.body)
        while self._total_body_bytes > MAX_BODIES_BYTES:
            oldest = next(iter(self._body_bytes))
            self._total_body_bytes -= self._body_bytes.pop(oldest)
            self._claims[oldest] = evolve(self._claims[oldest], body=b"")

    def _delete(self, claim: ClaimRecord) -> None:
        key = (claim.organisation, claim.idempotency_key)
        self._total_body_bytes -= self._body_bytes.pop(key, 0)
        self._running.pop(key, None)
        del self._claims[key]


def _check_existing_claim(claim: ClaimRecord, command: OpenClaim) -> None:
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
