"""Errors of the replicated log."""

from __future__ import annotations

from verbenastream import errors


class OutcomeUnknownError(errors.VerbenastreamError):
    """Leadership was lost before the command was known to be committed."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'the outcome of the command is unknown: {reason}',
            'Read the state back before sending the command again.',
        )
