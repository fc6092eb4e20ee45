"""Base error kinds; each message names what was found and the remedy."""

from __future__ import annotations

import dataclasses


class VerbenastreamError(Exception):
    """Base of all errors that the project raises.

    ``remedy`` is a sentence that tells the reader what to do. It is part of
    the message, so a log line or a client's answer needs nothing else.
    """

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f'{message}. {remedy}')
        self.message = message
        self.remedy = remedy


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a settings file or document.

    ``path`` is a JSON path such as ``$.listener.port``; ``found`` is the
    offending value as JSON text, cut to 80 characters.
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
    """A value in a settings file or document is not acceptable."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(
            f'{problem.path}: {problem.message}, found {problem.found}',
            problem.remedy,
        )
        self.problem = problem


class InvalidInputGroup(ExceptionGroup[InvalidInputError]):
    """All faults of one settings file or document."""

    @classmethod
    def from_problems(
        cls, name: str, problems: list[Problem]
    ) -> InvalidInputGroup:
        """Return one error for all ``problems`` of the input ``name``."""
        return cls(
            f'{name} has {len(problems)} problems',
            [InvalidInputError(problem) for problem in problems],
        )

    @property
    def problems(self) -> list[Problem]:
        """The problems of all errors in the group."""
        found = []
        for error in self.exceptions:
            if isinstance(error, InvalidInputError):
                found.append(error.problem)
        return found
