"""Errors of the command-line client; each has an exit code."""

from __future__ import annotations

from verbenastream import errors
from verbenastream.process.client import exit_codes
from verbenastream.process.control import messages


class ClientError(errors.VerbenastreamError):
    """A command failed; ``failure`` is the response of control, if any."""

    def __init__(
        self,
        code: exit_codes.ExitCode,
        message: str,
        remedy: str,
        failure: messages.Failure | None = None,
    ) -> None:
        super().__init__(message, remedy)
        self.code = code
        self.failure = failure


_CODES_BY_KIND = {
    'invalid': exit_codes.ExitCode.INVALID,
    'conflict': exit_codes.ExitCode.CONFLICT,
    'rejected': exit_codes.ExitCode.REJECTED,
    'submission_id_reused': exit_codes.ExitCode.CONFLICT,
    'unauthorized': exit_codes.ExitCode.UNAUTHORIZED,
    'forbidden': exit_codes.ExitCode.UNAUTHORIZED,
    'not_found': exit_codes.ExitCode.NOT_FOUND,
    'outcome_unknown': exit_codes.ExitCode.OUTCOME_UNKNOWN,
}


def from_failure(failure: messages.Failure) -> ClientError:
    """Return the error for a failure that control reported."""
    code = _CODES_BY_KIND.get(failure.kind, exit_codes.ExitCode.INTERNAL)
    return ClientError(code, failure.message, failure.remedy, failure)
