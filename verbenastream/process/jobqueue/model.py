"""Jobs, their steps and tasks, and the queues and pools they go to."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from verbenastream import ids


class Need(msgspec.Struct, frozen=True, array_like=True):
    """What one task reserves on a worker."""

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """Equal tasks of a job that start once earlier steps have ended.

    ``after`` holds positions of earlier steps. ``per_worker`` bounds the
    tasks of one occurrence on a worker, 0 means no bound. ``may_miss`` is
    how many tasks of a lasting step planned work may keep away at once.
    ``tail_target_ms`` is the latency target of a task that serves callers;
    0 means none. A ``fills`` step uses cores that others leave free.
    """

    count: int
    need: Need
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    rack_local: bool = False
    label: str = ''
    data_rack: str = ''
    per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    may_miss: int = 0
    image: str = ''
    tail_target_ms: int = 0
    fills: bool = False


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a caller submits.

    With ``occurrences`` above 0 the steps run that many times; occurrence k
    is due at ``first_at_s + k * interval_s`` in Unix time.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_at_s: float = 0.0
    interval_s: float = 0.0

    @property
    def rounds(self) -> int:
        """How often the steps run in all."""
        return max(1, self.occurrences)


class TaskKey(NamedTuple):
    """Names one task of one occurrence of a job."""

    job: ids.JobId
    occurrence: int
    step: int
    position: int


class Run(msgspec.Struct, frozen=True, array_like=True):
    """One start of a task on one life of a worker.

    ``beat`` is the sequence number of the heartbeat whose answer carried the
    start: a later heartbeat that does not list the run shows that the start
    never took effect.
    """

    number: int
    worker: ids.WorkerId
    born: int
    beat: int


class EndKind(enum.Enum):
    """How a worker says that a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
    REFUSED = 'refused'


class TaskPhase(enum.Enum):
    """Where a task is in its life."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'


class Task(msgspec.Struct):
    """Durable state of a task; ``runs`` is the highest run number given."""

    phase: TaskPhase = TaskPhase.WAITING
    runs: int = 0
    failures: int = 0
    checkpoint: str = ''
    live: tuple[Run, ...] = ()


class JobPhase(enum.Enum):
    """Where a job is in its life; see ``OVER``."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


OVER = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


class Job(msgspec.Struct):
    """Durable state of one accepted job.

    ``tasks[occurrence][step][index]`` are the tasks; ``done`` counts the
    ended ones by occurrence and step. ``spec`` is None for a job that was
    cancelled before it was submitted.
    """

    id: ids.JobId
    queue: ids.QueueId
    pool: ids.PoolId
    submitted_at: float
    spec: JobSpec | None
    max_attempts: int = 1
    phase: JobPhase = JobPhase.QUEUED
    over_at: float = 0.0
    tasks: list[list[list[Task]]] = []
    done: list[list[int]] = []

    def task(self, key: TaskKey) -> Task | None:
        """Return the task that ``key`` names, None if there is none."""
        try:
            return self.tasks[key.occurrence][key.step][key.position]
        except IndexError:
            return None

    def step_is_open(self, occurrence: int, step: int) -> bool:
        """Whether all steps that ``step`` depends on have ended."""
        assert self.spec is not None
        done = self.done[occurrence]
        steps = self.spec.steps
        return all(done[i] >= steps[i].count for i in steps[step].after)

    def is_done(self) -> bool:
        """Whether every task has ended well."""
        assert self.spec is not None
        return all(
            count >= step.count
            for done in self.done
            for count, step in zip(done, self.spec.steps)
        )


class Advice(msgspec.Struct, frozen=True):
    """How long the policy service of a queue takes, in seconds."""

    decide_s: float
    each_s: float
    valid_s: float


class Queue(msgspec.Struct, frozen=True, omit_defaults=True):
    """One route of jobs; priority 0 comes first.

    A job is in time when it ends within ``stretch`` times its longest chain
    of work and ``objective_s`` more.
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
    advice: Advice | None = None


class Pool(msgspec.Struct, frozen=True, omit_defaults=True):
    """A pool of instances; a ``spare`` pool's instances are off.

    ``guarded`` workers reject what exceeds their capacity.
    """

    id: ids.PoolId
    guarded: bool = True
    spare: bool = False


class Configuration(msgspec.Struct, frozen=True):
    """All queues and pools of one version.

    ``source`` is the text that the operator sent, to be read back unchanged.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    source: str
    max_body_bytes: int = 1_048_576
