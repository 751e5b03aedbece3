"""Problems in the operators' text and the error that reports them."""

from __future__ import annotations

from attrs import frozen

from berylnotch.errors import ConfigurationError


@frozen
class Problem:
    """One problem in the operators' text or in a settings file.

    Parameters
    ----------
    line : int
        Line number from 1, or 0 if the problem belongs to no line.
    message : str
        Description of the problem and of the allowed values.
    """

    line: int
    message: str


class FleetTextError(ConfigurationError):
    """The operators' text or a settings file has problems.

    Parameters
    ----------
    problems : tuple of Problem
        All problems, at least one, in the order of their lines.
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
        """Return one ``path:line: message`` for each problem."""
        return tuple(
            str(ConfigurationError(problem.message, self.path or "text", problem.line))
            for problem in self.problems
        )
