"""Limits on the size of commands, so that the size of the state stays bounded."""

from __future__ import annotations

from typing import Any

import attrs

from berylnotch.control.commands import ApplyText, CloseClaim, Status
from berylnotch.control.errors import CommandError

#: Maximum length of a text field, in characters. The fleet configuration is exempt.
MAX_FIELD_CHARACTERS = 512
#: Maximum length of a bytes field, in bytes. The body of a stored answer is exempt.
MAX_FIELD_BYTES = 64
#: Maximum length of a result's message, in characters.
MAX_MESSAGE_CHARACTERS = 4000

_EXEMPT_FIELDS = {(ApplyText, "text"), (CloseClaim, "body")}


def check_field_sizes(command: Any) -> None:
    """Check that no field of a command is too long.

    Raises
    ------
    CommandError
        If a field is too long; the status is INVALID and the message names the field.
    """
    for field in attrs.fields(type(command)):
        value = getattr(command, field.name)
        if (type(command), field.name) in _EXEMPT_FIELDS:
            continue
        if isinstance(value, str) and len(value) > MAX_FIELD_CHARACTERS:
            message = f"{field.name} is over {MAX_FIELD_CHARACTERS} characters"
            raise CommandError(Status.INVALID, message)
        if isinstance(value, bytes) and len(value) > MAX_FIELD_BYTES:
            message = f"{field.name} is over {MAX_FIELD_BYTES} bytes"
            raise CommandError(Status.INVALID, message)


def truncate_message(message: str) -> str:
    """Return a message, truncated at the end of a line if it is too long."""
    if len(message) <= MAX_MESSAGE_CHARACTERS:
        return message
    kept_lines = message[:MAX_MESSAGE_CHARACTERS].rpartition("\n")[0]
    omitted = message.count("\n") - kept_lines.count("\n")
    return f"{kept_lines or message[:MAX_MESSAGE_CHARACTERS]}\n({omitted} more lines)"
