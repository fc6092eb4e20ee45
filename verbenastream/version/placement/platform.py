"""What the system asks of the platform that owns the instances."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from verbenastream import ids
from verbenastream.version.placement import jobs


class Operation(enum.Enum):
    """All operations can be repeated: the key identifies the request."""

    DRAIN = 'drain'
    REBOOT = 'reboot'
    LEASE = 'lease'
    CHECKPOINT = 'checkpoint'
    THROTTLE = 'throttle'
    STOP = 'stop'
    FENCE = 'fence'
    USAGE = 'usage'


class Request(msgspec.Struct, frozen=True):
    """One call; a repeated ``key`` has the effect of the first call.

    ``token`` orders the leases of a job: the platform refuses a lease with
    a token at or below one that was fenced.
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
    """The effect of a request; ``usage_by_lease`` answers ``usage`` only."""

    key: str
    accepted: bool
    reason: str = ''
    at: float = 0.0
    usage_by_lease: dict[ids.LeaseId, jobs.Usage] = {}


class Platform(Protocol):
    """Answers may be lost, late or duplicated.

    A call that raises or times out leaves the outcome unknown; repeat it
    with the same key.
    """

    async def call(self, request: Request) -> Answer: ...
