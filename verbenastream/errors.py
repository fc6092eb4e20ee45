"""Base classes of errors; each message says what is wrong and the remedy."""

from __future__ import annotations

import dataclasses


class VerbenastreamError(Exception):
    """Base of all errors that the project raises.

    ``remedy`` is a sentence that says how to resolve the error. It is part of
    the message, so log lines and responses need nothing else.
    """

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f'{message}. {remedy}')
        self.message = message
        self.remedy = remedy


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem in a settings file or document.

    ``path`` is a JSON path such as ``$.listener.port``; ``found`` is the
    invalid value as JSON text, truncated to 80 characters.
    """

    path: str
    found: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return (
            f'{self.path}: {self.message}, found {self.found}. {self.remedy}'
        )


class InvalidInputError(VerbenastreamError):
    """A value in a settings file or document is not valid."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(
            f'{problem.path}: {problem.message}, found {problem.found}',
            problem.remedy,
        )
        self.problem = problem


class InvalidInputGroup(ExceptionGroup[InvalidInputError]):
    """All problems of one settings file or document."""

    @classmethod
    def from_problems(
        cls, name: str, problems: list[Problem]
    ) -> InvalidInputGroup:
        """Return the group for all ``problems`` of the input ``name``."""
        return cls(
            f'{name} has {len(problems)} problems',
            [InvalidInputError(problem) for problem in problems],
        )

    @property
    def problems(self) -> list[Problem]:
        """The problems of all errors in the group."""
        problems = []
        for error in self.exceptions:
            if isinstance(error, InvalidInputError):
                problems.append(error.problem)
        return problems
