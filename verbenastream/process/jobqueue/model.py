"""Jobs with their steps and tasks, and the queues and pools they use."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from verbenastream import ids


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Resources that a task reserves or that a worker has."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Identical tasks of a job that start once earlier steps have ended.

    ``after`` holds the positions of the steps that this one depends on.
    ``per_worker`` limits the tasks of one occurrence on the same worker; 0
    means no limit. The tasks of a ``long_running`` step are long-running: they
    run until the job is cancelled. ``max_unavailable`` is how many of them
    planned work may make unavailable at the same time. ``tail_target_ms`` is
    the target tail latency of a task that serves requests; 0 means none. The
    tasks of a ``best_effort`` step are best-effort: they reserve no cores and
    use those that other tasks leave idle.
    """

    count: int
    need: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    can_checkpoint: bool = msgspec.field(default=False, name='checkpoints')
    gang: bool = False
    rack_local: bool = False
    label: str = ''
    data_rack: str = ''
    per_worker: int = 0
    speculative: bool = False
    long_running: bool = msgspec.field(default=False, name='lasting')
    max_unavailable: int = msgspec.field(default=0, name='may_miss')
    image: str = ''
    tail_target_ms: int = 0
    best_effort: bool = msgspec.field(default=False, name='fills')


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Specification of a job, as a client submits it.

    ``occurrences`` above 0 makes the job periodic: its steps run that many
    times, and occurrence k is due at the Unix time
    ``first_at_s + k * interval_s``.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_at_s: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrence_count(self) -> int:
        """How many times the steps run in total."""
        return max(1, self.occurrences)


class TaskKey(NamedTuple):
    """Identifies one task of one occurrence of a job."""

    job: ids.JobId
    occurrence: int
    step: int
    position: int


class Run(msgspec.Struct, frozen=True, array_like=True):
    """One start of a task on one incarnation of a worker.

    ``heartbeat_sequence`` is the sequence number of the heartbeat whose
    response carried the start order. If a later heartbeat does not list the
    run, the order was lost. ``started_at`` is the latest time of any command
    at the start, 0 for a run that an earlier build started.
    """

    number: int
    worker: ids.WorkerId
    incarnation: int = msgspec.field(name='born')
    heartbeat_sequence: int = msgspec.field(name='beat')
    started_at: float = 0.0


class EndKind(enum.Enum):
    """Reason that a worker reports for the end of a run."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
    REFUSED = 'refused'


class TaskPhase(enum.Enum):
    """Phase of the life cycle of a task."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'


class Task(msgspec.Struct, omit_defaults=True):
    """Durable state of a task.

    ``last_run_number`` is the highest run number assigned so far;
    ``live_runs`` are the runs that may still be in progress. All tasks of a
    gang count the same ``failures``: one for each run of the gang that failed,
    up to ``last_failed_run``. They share the crashes in the same way.

    ``crashes`` is how many workers crashed while the task ran, in
    ``suspected_crashes`` of them the task may have been the cause, and in
    ``isolated_crashes`` of these it was the only suspect.
    """

    phase: TaskPhase = TaskPhase.WAITING
    last_run_number: int = msgspec.field(default=0, name='runs')
    failures: int = 0
    checkpoint: str = ''
    live_runs: tuple[Run, ...] = msgspec.field(default=(), name='live')
    last_failed_run: int = 0
    crashes: int = 0
    suspected_crashes: int = 0
    isolated_crashes: int = 0
    last_crashed_run: int = 0


class JobPhase(enum.Enum):
    """Phase of the life cycle of a job; ``ENDED_PHASES`` are final."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


ENDED_PHASES = frozenset(
    {JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED}
)


class Job(msgspec.Struct):
    """Durable state of one accepted job.

    ``tasks[occurrence][step][position]`` is one task, and
    ``done[occurrence][step]`` the number of tasks that have succeeded.
    ``spec`` is None for a job that was cancelled before its submission
    arrived.
    """

    id: ids.JobId
    queue: ids.QueueId
    pool: ids.PoolId
    submitted_at: float
    spec: JobSpec | None
    max_attempts: int = 1
    phase: JobPhase = JobPhase.QUEUED
    ended_at: float = msgspec.field(default=0.0, name='over_at')
    tasks: list[list[list[Task]]] = []
    done: list[list[int]] = []

    def task(self, key: TaskKey) -> Task | None:
        """Return the task with this key, None if the job has no such task."""
        try:
            return self.tasks[key.occurrence][key.step][key.position]
        except IndexError:
            return None

    def siblings(self, key: TaskKey) -> dict[TaskKey, Task]:
        """Return all tasks of the step and occurrence of an existing task."""
        return {
            key._replace(position=position): task
            for position, task in enumerate(
                self.tasks[key.occurrence][key.step]
            )
        }

    def dependencies_done(self, occurrence: int, step: int) -> bool:
        """Whether every task that ``step`` depends on has succeeded."""
        assert self.spec is not None
        done = self.done[occurrence]
        steps = self.spec.steps
        return all(done[i] >= steps[i].count for i in steps[step].after)

    def undone_count(self) -> int:
        """Return how many tasks have not succeeded."""
        assert self.spec is not None
        total = sum(step.count for step in self.spec.steps)
        return total * self.spec.occurrence_count - sum(map(sum, self.done))


class PolicyTimings(msgspec.Struct, frozen=True):
    """Times of the policy service of a queue, in seconds.

    A call takes ``decide_s`` and ``each_s`` more for each worker it asks
    about; a ticket in the response is valid for ``valid_s``.
    """

    decide_s: float
    each_s: float
    valid_s: float


class Queue(msgspec.Struct, frozen=True, omit_defaults=True):
    """A queue, selected by host and path prefix; priority 0 is the highest.

    The deadline of a job is its submission time plus ``stretch`` times the
    length of its critical path plus ``objective_s``.
    """

    id: ids.QueueId
    host: str
    prefix: str
    pool: ids.PoolId
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_s: float = 0.0
    timeout_s: float = 0.0
    policy_timings: PolicyTimings | None = msgspec.field(
        default=None, name='advice'
    )


class Pool(msgspec.Struct, frozen=True, omit_defaults=True):
    """A pool of instances; those of a ``spare`` pool are switched off.

    The workers of a ``guarded`` pool reject tasks that exceed their capacity.
    """

    id: ids.PoolId
    guarded: bool = True
    spare: bool = False


class Configuration(msgspec.Struct, frozen=True):
    """One version of the definitions of all queues and pools.

    ``source`` is the text that the operator submitted; reads return it
    unchanged.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    source: str
    max_body_bytes: int = 1_048_576
