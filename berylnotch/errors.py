"""Root of the exception tree."""

from __future__ import annotations


class BerylnotchError(Exception):
    """Base of every error that this package raises on purpose."""


class ConfigurationError(BerylnotchError):
    """A settings file or the operators' text is wrong.

    Parameters
    ----------
    message : str
        What is wrong and what is allowed.
    path : str, default=""
        File that holds the mistake.
    line : int, default=0
        Line number from 1, or 0 if the mistake has no line.
    """

    def __init__(self, message: str, path: str = "", line: int = 0) -> None:
        super().__init__(message)
        self.message = message
        self.path = path
        self.line = line

    def __str__(self) -> str:
        if not self.path:
            return self.message
        if not self.line:
            return f"{self.path}: {self.message}"
        return f"{self.path}:{self.line}: {self.message}"


class ConsensusError(BerylnotchError):
    """The replicated log cannot do what was asked."""


class StorageError(BerylnotchError):
    """Durable state is damaged or cannot be written."""


class ControlError(BerylnotchError):
    """A command to the control state was refused."""


class TransportError(BerylnotchError):
    """A connection between the system's processes failed."""


class CodecError(TransportError):
    """Bytes do not hold a valid message."""


class GatewayError(BerylnotchError):
    """A system outside did not answer as it should."""


class RequestError(BerylnotchError):
    """A caller's request is refused or failed."""
