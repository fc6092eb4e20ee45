"""Errors of the control process."""

from __future__ import annotations

from verbenastream import errors


class ControlError(errors.VerbenastreamError):
    """Base class of the errors that a call of an operator can get.

    ``status`` is the HTTP status, ``kind`` a stable name for scripts.
    """

    status = 500
    kind = 'internal'


class UnauthorizedError(ControlError):
    """The call has no known team key."""

    status = 401
    kind = 'unauthorized'


class ForbiddenError(ControlError):
    """The team may not write this service."""

    status = 403
    kind = 'forbidden'


class NotFoundError(ControlError):
    """There is no such service, revision or instance."""

    status = 404
    kind = 'not_found'


class NotReadyError(ControlError):
    """The leader has not caught up, or control is overloaded."""

    status = 503
    kind = 'not_ready'


class ReplicaOutcomeUnknownError(ControlError):
    """Leadership was lost before a proposed command was committed."""

    status = 504
    kind = 'outcome_unknown'
