"""Interface to the platform that owns the instances."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from verbenastream import ids
from verbenastream.version.placement import jobs


class Operation(enum.Enum):
    """Operation of a request; all can be repeated under the same key."""

    DRAIN = 'drain'
    REBOOT = 'reboot'
    LEASE = 'lease'
    CHECKPOINT = 'checkpoint'
    THROTTLE = 'throttle'
    STOP = 'stop'
    FENCE = 'fence'
    USAGE = 'usage'


class Request(msgspec.Struct, frozen=True):
    """One call; a repetition with the same ``key`` has no further effect.

    ``token`` orders the leases of a job. The platform refuses a lease whose
    token is not above that of a fenced lease.
    """

    key: str
    operation: Operation
    instance: ids.InstanceId
    lease: ids.LeaseId | None = None
    job: jobs.Job | None = None
    token: int = 0
    cores: float | None = None
    lease_s: float = 0.0
    resume: bool = False


class Answer(msgspec.Struct, frozen=True):
    """Result of a request; only ``usage`` requests set ``usage_by_lease``."""

    key: str
    accepted: bool
    reason: str = ''
    at: float = 0.0
    usage_by_lease: dict[ids.LeaseId, jobs.Usage] = {}


class Platform(Protocol):
    """Client of the platform.

    Answers may be lost, late or duplicated. The outcome of a call that raises
    or times out is unknown; it can be repeated with the same key.
    """

    async def call(self, request: Request) -> Answer: ...
