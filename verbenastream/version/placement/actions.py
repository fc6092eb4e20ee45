"""Actions that the placement core asks its driver for."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.version.placement import jobs


class Start(msgspec.Struct, frozen=True):
    """Start a task; repeated with the same lease until it is confirmed.

    With ``resume`` it goes on from the checkpoint of the job.
    """

    lease: ids.LeaseId
    token: int
    instance: ids.InstanceId
    job: jobs.Job
    lease_s: float
    resume: bool = False


class Stop(msgspec.Struct, frozen=True):
    lease: ids.LeaseId
    instance: ids.InstanceId
    checkpoint: bool = False


class Throttle(msgspec.Struct, frozen=True):
    """Limit a task to ``cores``."""

    lease: ids.LeaseId
    instance: ids.InstanceId
    cores: float


class Fence(msgspec.Struct, frozen=True):
    """Make sure that the lease neither runs nor starts later."""

    lease: ids.LeaseId
    instance: ids.InstanceId


class Acknowledge(msgspec.Struct, frozen=True):
    """Tell the worker that its report of the end was taken in."""

    lease: ids.LeaseId
    instance: ids.InstanceId


class Answer(msgspec.Struct, frozen=True):
    """Tell the submitter how its job ended; ``detail`` names the remedy."""

    job: ids.JobId
    outcome: jobs.Outcome
    detail: str = ''


class Block(msgspec.Struct, frozen=True):
    """The worker fails what it starts and gets no work until ``until``."""

    instance: ids.InstanceId
    until: float
    reason: str


Action = Start | Stop | Throttle | Fence | Acknowledge | Answer | Block
