"""Exit codes of the operators' tool."""

from __future__ import annotations

from berylnotch.control.commands import Status

#: The command did what was asked.
EXIT_OK = 0
#: It failed, or what it asks about does not exist.
EXIT_FAILURE = 1
#: The command line, a file or the operators' text is wrong.
EXIT_BAD_INPUT = 2
#: Somebody else's change was first, or the state forbids it.
EXIT_CONFLICT = 3
#: No controller that leads could be reached; the outcome may be unknown.
EXIT_UNREACHABLE = 4

_OF_STATUS = {
    Status.OK: EXIT_OK,
    Status.NOT_FOUND: EXIT_FAILURE,
    Status.INVALID: EXIT_BAD_INPUT,
    Status.CONFLICT: EXIT_CONFLICT,
    Status.EXISTS: EXIT_CONFLICT,
}


def of_status(status: Status) -> int:
    """Return the exit code for the result of a change."""
    return _OF_STATUS[status]
