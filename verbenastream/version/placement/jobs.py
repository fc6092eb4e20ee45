"""Jobs, leases and what workers report about them."""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids
from verbenastream.version import fleet


class Priority(enum.IntEnum):
    """Smaller values go first and may displace larger ones."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class Job(msgspec.Struct, frozen=True):
    """A piece of work that runs as one task on one worker.

    ``need`` is declared by the team and often wrong; ``kind`` groups jobs
    whose needs err alike. Empty ``racks`` allow every rack. A job that is
    not ``restartable`` never starts again once it may have run.
    """

    id: ids.JobId
    team: ids.TeamId
    kind: str
    need: fleet.Resources
    priority: Priority = Priority.NORMAL
    racks: frozenset[ids.RackId] = frozenset()
    restartable: bool = True
    can_checkpoint: bool = False


class LeaseState(enum.Enum):
    """``starting`` is not confirmed; ``fencing`` may still be running."""

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    FENCING = 'fencing'


class Lease(msgspec.Struct):
    """The right of one worker to run one job.

    ``token`` grows with each lease of the job, so that a result under an
    older lease is recognised. ``renewed_at`` is the last time the worker
    can count its lease from. ``granted`` is the corrected need that the
    worker's capacity is charged with.
    """

    id: ids.LeaseId
    job: Job
    token: int
    instance: ids.InstanceId
    granted: fleet.Resources
    granted_at: float
    sent_at: float
    renewed_at: float
    state: LeaseState = LeaseState.STARTING
    throttled: bool = False
    cancelled: bool = False
    restart: bool = False


class Usage(msgspec.Struct, frozen=True):
    """What one task used on average since the last report."""

    cores: float
    memory_gb: float


class Result(enum.Enum):
    """How a task ended, as its worker reports it."""

    DONE = 'done'
    FAILED = 'failed'
    CHECKPOINTED = 'checkpointed'
    STOPPED = 'stopped'


class Outcome(enum.Enum):
    """The answer that the submitter of a job gets."""

    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
