"""Errors of the operators' text."""

from __future__ import annotations

from attrs import frozen

from berylnotch.errors import ConfigurationError


@frozen
class Problem:
    """One mistake in the operators' text.

    Parameters
    ----------
    line : int
        Line number from 1, or 0 if the mistake has no line.
    message : str
        What is wrong and what is allowed.
    """

    line: int
    message: str


class FleetTextError(ConfigurationError):
    """The operators' text is wrong.

    Parameters
    ----------
    problems : tuple of Problem
        All mistakes, in the order of their lines.
    path : str, default=""
        File that holds the text.
    """

    def __init__(self, problems: tuple[Problem, ...], path: str = "") -> None:
        first = problems[0]
        super().__init__(first.message, path, first.line)
        self.problems = problems

    def __str__(self) -> str:
        return "\n".join(self.lines())

    def lines(self) -> tuple[str, ...]:
        """Return one ``path:line: message`` for each mistake."""
        return tuple(
            str(ConfigurationError(problem.message, self.path or "text", problem.line))
            for problem in self.problems
        )
