"""Exceptions that calls to the job queue raise."""

from __future__ import annotations

from verbenastream import errors


class JobQueueError(errors.VerbenastreamError):
    """Base class of the exceptions of the job queue."""


class NoQueueError(JobQueueError):
    """No queue is configured for this host and path."""


class NoConfigurationError(JobQueueError):
    """The deployment has not been configured yet."""


class NeverRunsError(JobQueueError):
    """A step needs more resources than any worker of the pool has."""


class TooLargeError(JobQueueError):
    """The call holds more than the log can replicate."""


class InvalidHeartbeatError(JobQueueError):
    """The heartbeat names no worker that can be used."""


class UnavailableError(JobQueueError):
    """The call was not executed: no leader is available."""


class OutcomeUnknownError(JobQueueError):
    """The call may or may not take effect; it is safe to retry."""
