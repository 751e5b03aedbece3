"""Errors of the ledger of non-idempotent requests."""

from __future__ import annotations

from berylnotch.control.commands import ClaimRecord, Status
from berylnotch.errors import ControlError


class ClaimError(ControlError):
    """A claim command was refused.

    Parameters
    ----------
    status : Status
        Status to answer with.
    message : str
        What is wrong.
    claim : ClaimRecord or None, default=None
        The claim as it stands, if the asker may see it.
    """

    def __init__(
        self, status: Status, message: str, claim: ClaimRecord | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.claim = claim
