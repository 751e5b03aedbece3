"""Bounds of what a command may hold, so that the state stays bounded."""

from __future__ import annotations

from typing import Any

import attrs

from berylnotch.control.commands import ApplyText, CloseClaim, Status
from berylnotch.control.errors import CommandError

#: Longest text field of a command, the operators' text aside, in characters.
MAX_FIELD_CHARACTERS = 512
#: Longest bytes field of a command, a stored answer aside, in bytes.
MAX_FIELD_BYTES = 64
#: Longest message of a result, in characters.
MAX_MESSAGE_CHARACTERS = 4000

_UNBOUNDED = {(ApplyText, "text"), (CloseClaim, "body")}


def check_sizes(command: Any) -> None:
    """Refuse a command with a field that is too long.

    Raises
    ------
    CommandError
        With status INVALID, naming the field.
    """
    for field in attrs.fields(type(command)):
        value = getattr(command, field.name)
        if (type(command), field.name) in _UNBOUNDED:
            continue
        if isinstance(value, str) and len(value) > MAX_FIELD_CHARACTERS:
            message = f"{field.name} is over {MAX_FIELD_CHARACTERS} characters"
            raise CommandError(Status.INVALID, message)
        if isinstance(value, bytes) and len(value) > MAX_FIELD_BYTES:
            message = f"{field.name} is over {MAX_FIELD_BYTES} bytes"
            raise CommandError(Status.INVALID, message)


def shorten(message: str) -> str:
    """Return a message, cut at a line if it is too long."""
    if len(message) <= MAX_MESSAGE_CHARACTERS:
        return message
    head = message[:MAX_MESSAGE_CHARACTERS].rpartition("\n")[0]
    left = message.count("\n") - head.count("\n")
    return f"{head or message[:MAX_MESSAGE_CHARACTERS]}\n({left} more lines)"
