"""Actions that the placement core requests from its driver."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.version.placement import jobs


class Start(msgspec.Struct, frozen=True):
    """Start a task; repeated with the same lease until it is confirmed.

    With ``resume`` the task continues from the checkpoint of the job.
    """

    lease: ids.LeaseId
    token: int
    instance: ids.InstanceId
    job: jobs.Job
    lease_s: float
    resume: bool = False


class Stop(msgspec.Struct, frozen=True):
    """Stop a task, after a checkpoint of its job with ``checkpoint``."""

    lease: ids.LeaseId
    instance: ids.InstanceId
    checkpoint: bool = False


class Throttle(msgspec.Struct, frozen=True):
    """Limit a task to ``cores``."""

    lease: ids.LeaseId
    instance: ids.InstanceId
    cores: float


class Fence(msgspec.Struct, frozen=True):
    """Ensure that the task of a lease neither runs nor starts later."""

    lease: ids.LeaseId
    instance: ids.InstanceId


class Acknowledge(msgspec.Struct, frozen=True):
    """Confirm to a worker that its report of an end was processed."""

    lease: ids.LeaseId
    instance: ids.InstanceId


class Answer(msgspec.Struct, frozen=True):
    """Tell the submitter how its job ended.

    ``detail`` gives the cause and, where there is one, the remedy.
    """

    job: ids.JobId
    outcome: jobs.Outcome
    detail: str = ''


class Block(msgspec.Struct, frozen=True):
    """Report that a failing worker gets no work until ``until``."""

    instance: ids.InstanceId
    until: float
    reason: str


Action = Start | Stop | Throttle | Fence | Acknowledge | Answer | Block
