"""Exit codes of the operators' tool."""

from __future__ import annotations

from berylnotch.control.commands import Status

#: The command succeeded.
EXIT_OK = 0
#: The command failed, or the object that it names does not exist.
EXIT_FAILURE = 1
#: The command line, a file or the operators' text is invalid.
EXIT_BAD_INPUT = 2
#: Another operator's change came first, or the current state forbids the change.
EXIT_CONFLICT = 3
#: No leader could be reached; the outcome of a change may be unknown.
EXIT_UNREACHABLE = 4

_EXIT_CODES_BY_STATUS = {
    Status.OK: EXIT_OK,
    Status.NOT_FOUND: EXIT_FAILURE,
    Status.INVALID: EXIT_BAD_INPUT,
    Status.CONFLICT: EXIT_CONFLICT,
    Status.EXISTS: EXIT_CONFLICT,
}


def exit_code_of_status(status: Status) -> int:
    """Return the exit code for the status of a change."""
    return _EXIT_CODES_BY_STATUS[status]
