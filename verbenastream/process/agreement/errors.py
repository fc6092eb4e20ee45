"""Errors of the replicated log."""

from __future__ import annotations

from verbenastream import errors


class CommandTooLargeError(errors.VerbenastreamError):
    """The command does not fit into a message and was not appended."""

    def __init__(self, size: int, limit: int) -> None:
        super().__init__(
            f'the command has {size} bytes and may have {limit}',
            'Make what it contains smaller; a repeated call is refused too.',
        )


class OutcomeUnknownError(errors.VerbenastreamError):
    """Leadership was lost before the command was known to be committed."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f'the outcome of the command is unknown: {reason}',
            'Read the state back before sending the command again.',
        )
