"""Jobs, their leases, and the reports of workers about them."""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids
from verbenastream.version import fleet


class Priority(enum.IntEnum):
    """Priority of a job; urgent jobs may displace those of larger values."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class Job(msgspec.Struct, frozen=True):
    """Work that runs as one task on one worker.

    ``need`` is declared by the team and often inaccurate. ``kind`` groups
    jobs whose declarations deviate in the same way. Without ``racks`` every
    rack is allowed. A job that is not ``restartable`` is never started again
    once it may have run.
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
    """State of a lease.

    The start of a ``starting`` lease is not confirmed yet. The task of a
    ``fencing`` lease may still be running.
    """

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    FENCING = 'fencing'


class Lease(msgspec.Struct):
    """Permission for one worker to run one job.

    ``token`` increases with each lease of the job, so that results under an
    older lease are recognised. ``renewed_at`` is the latest time from which
    the worker may count its lease. ``granted`` is the corrected need that is
    charged to the worker's capacity.
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
    """Average usage of one task since the last report."""

    cores: float
    memory_gb: float


class Result(enum.Enum):
    """How a task ended, as reported by its worker."""

    DONE = 'done'
    FAILED = 'failed'
    CHECKPOINTED = 'checkpointed'
    STOPPED = 'stopped'


class Outcome(enum.Enum):
    """Final outcome that is reported to the submitter of a job."""

    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
