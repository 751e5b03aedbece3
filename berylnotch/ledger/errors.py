"""Errors of the claim ledger."""

from __future__ import annotations

from berylnotch.control.commands import ClaimRecord, Status
from berylnotch.errors import ControlError


class ClaimError(ControlError):
    """A claim command was refused.

    Parameters
    ----------
    status : Status
        Status of the command's result.
    message : str
        Reason of the refusal.
    claim : ClaimRecord or None, default=None
        Current claim, if it may be shown to the sender of the command.
    """

    def __init__(
        self, status: Status, message: str, claim: ClaimRecord | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.claim = claim
