"""Errors of calls to the job queue."""

from __future__ import annotations

from verbenastream import errors


class JobQueueError(errors.VerbenastreamError):
    """Base of the errors of a call to the job queue."""


class NoQueueError(JobQueueError):
    """No queue takes jobs at this host and path."""


class NoConfigurationError(JobQueueError):
    """The deployment has not been configured yet."""


class NeverRunsError(JobQueueError):
    """The job asks for more than any worker of its pool has."""


class UnavailableError(JobQueueError):
    """The call was not executed: no leader can take it now."""


class OutcomeUnknownError(JobQueueError):
    """The call may or may not take effect; it can be repeated."""
