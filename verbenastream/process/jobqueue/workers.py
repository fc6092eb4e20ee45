"""Heartbeats of workers, the responses to them, and worker state."""

from __future__ import annotations

import dataclasses

from verbenastream import ids
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import model

# The clock of a worker may run slower than that of the leader by this factor.
CLOCK_RATE_MARGIN = 1.03
# Covers the timer granularity on both sides.
LEASE_MARGIN_S = 0.1
# How long the start time of a run that is no longer listed is kept. Its end
# is reported well within this time.
_START_TIME_RETENTION_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunReport:
    """A run in progress, as a heartbeat lists it.

    ``percent`` is its progress; a long-running task reports 100 once it is
    available. ``measurement`` is the tail latency in ms of a task that serves
    requests and the CPU usage in millicores of any other task.
    """

    task: model.TaskKey
    run: int
    checkpoint: str = ''
    percent: float = 0.0
    measurement: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndReport:
    """End of a run, repeated in each heartbeat until acknowledged.

    ``number`` increases with each end on the same worker.
    """

    number: int
    task: model.TaskKey
    run: int
    kind: model.EndKind
    checkpoint: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic report of a worker.

    ``incarnation`` is the start time of the worker process in ms, which
    identifies its incarnation: a restarted worker has the same id and a higher
    ``incarnation``.
    """

    worker: ids.WorkerId
    incarnation: int
    sequence: int
    pool: ids.PoolId
    data_centre: ids.DataCentreId
    instance: ids.InstanceId
    rack: ids.RackId
    labels: frozenset[str]
    capacity: model.Resources
    draining: bool
    leaves_in_s: float | None
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    # Whether the worker has more ends than one heartbeat can list.
    ended_truncated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A task that the next response to its worker will start."""

    task: model.TaskKey
    need: model.Resources
    gang_run: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Orders a worker to start a task, from its checkpoint if it has one."""

    task: model.TaskKey
    run: int
    payload: str
    checkpoint: str
    ticket: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Orders:
    """The response to a heartbeat.

    ``lease_s`` is the duration of the renewed worker lease, ``fence`` the
    fencing token of the leader, and ``acknowledged`` the highest number of an
    end that is durable. ``paces`` holds rows of task, run number and percent.
    The worker sends its next heartbeat after ``retry_s`` if that is set.
    """

    lease_s: float
    fence: int
    acknowledged: int
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[tuple[model.TaskKey, int], ...] = ()
    paces: tuple[tuple[model.TaskKey, int, int], ...] = ()
    retry_s: float | None = None


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of one run since the first heartbeat that listed it."""

    first_at: float
    first_percent: float
    updated_at: float
    percent: float
    # When the percentage last increased.
    last_increase_at: float

    def remaining_s(self) -> float | None:
        """Estimate the remaining time by extrapolation, None if unknown."""
        gained = self.percent - self.first_percent
        if gained <= 0.0 or self.updated_at <= self.first_at:
            return None
        return (
            (100.0 - self.percent) * (self.updated_at - self.first_at) / gained
        )


class Worker:
    """One incarnation of a worker and the tasks assigned to it."""

    def __init__(self, heartbeat: Heartbeat) -> None:
        self.id = heartbeat.worker
        # The largest capacity that it has reported; it may shrink for a while.
        self.largest_capacity = heartbeat.capacity
        # The incarnation before this one, if this leader knew it.
        self.predecessor: Worker | None = None
        self.incarnation = heartbeat.incarnation
        self.heartbeat = heartbeat
        self.sequence = -1
        # Sequence number of the first heartbeat that this leader received.
        self.first_sequence = heartbeat.sequence
        self.acknowledged = 0
        self.seen_at = 0.0
        self.lease_until = 0.0
        self.first_seen_at: float | None = None
        self.assigned_by_task: dict[model.TaskKey, Assignment] = {}
        # Assignments whose start is being committed to the log.
        self.starting_by_task: dict[model.TaskKey, Assignment] = {}
        # Runs that are to be stopped for maintenance, draining or preemption.
        self.stops: set[tuple[model.TaskKey, int]] = set()
        self.paces_by_run: dict[tuple[model.TaskKey, int], int] = {}
        self.progress_by_run: dict[tuple[model.TaskKey, int], Progress] = {}
        self.started_at_by_run: dict[tuple[model.TaskKey, int], float] = {}
        # Ages of the runs in the first heartbeat that this leader received; an
        # earlier leader may have started them.
        self.inherited_age_s_by_run: dict[
            tuple[model.TaskKey, int], float
        ] = {}
        # A closed worker gets no new tasks because its instance is to be
        # taken down for maintenance.
        self.closed_for_maintenance = False
        # When the worker announced that it is shutting down, None if not.
        self.shutdown_announced_at: float | None = None
        # Its instance belongs to a wave and has not been taken down yet.
        self.due_for_maintenance = False
        # The platform was asked to take down or move its instance.
        self.is_being_taken_down = False
        # Set by ``capacity``, None if it must be recomputed.
        self.cached_usage: capacity.Usage | None = None
        # Whether a heartbeat of the worker is waiting for its response.
        self.has_waiting_heartbeat = False

    @property
    def pool(self) -> ids.PoolId:
        """The pool in the latest heartbeat."""
        return self.heartbeat.pool

    @property
    def is_open(self) -> bool:
        """Whether new tasks may be assigned to the worker."""
        return not (
            self.heartbeat.draining
            or self.closed_for_maintenance
            or self.shutdown_announced_at is not None
            or self.is_being_taken_down
        )

    def update(self, heartbeat: Heartbeat, now: float) -> None:
        """Update the state from a newer heartbeat."""
        self.heartbeat = heartbeat
        self.largest_capacity = capacity.max_per_resource(
            (self.largest_capacity, heartbeat.capacity)
        )
        self.sequence = heartbeat.sequence
        self.seen_at = now
        if self.first_seen_at is None:
            self.first_seen_at = now
        if not heartbeat.draining:
            # The announced shutdown was that of an earlier incarnation.
            self.shutdown_announced_at = None
        self.cached_usage = None
        self._update_progress(heartbeat, now)
        listed = {(row.task, row.run) for row in heartbeat.running}
        self.stops &= listed
        for run in [key for key in self.paces_by_run if key not in listed]:
            del self.paces_by_run[run]
        self.started_at_by_run = {
            key: at
            for key, at in self.started_at_by_run.items()
            if key in listed or now < at + _START_TIME_RETENTION_S
        }

    def _update_progress(self, heartbeat: Heartbeat, now: float) -> None:
        kept = {}
        for row in heartbeat.running:
            key = (row.task, row.run)
            progress = self.progress_by_run.get(key)
            if progress is None or row.percent < progress.percent:
                progress = Progress(now, row.percent, now, row.percent, now)
            elif row.percent > progress.percent:
                progress.updated_at = progress.last_increase_at = now
                progress.percent = row.percent
            else:
                progress.updated_at = now
            kept[key] = progress
        self.progress_by_run = kept

    def survived_s(self, key: model.TaskKey, number: int) -> float:
        """Return how long a run has lasted, 0 if it was never reported."""
        progress = self.progress_by_run.get((key, number))
        if progress is None:
            return 0.0
        age_s = self.inherited_age_s_by_run.get((key, number), 0.0)
        return age_s + self.seen_at - progress.first_at

    def extend_lease(self, lease_s: float, now: float) -> None:
        """Renew the lease of the worker for ``lease_s`` from ``now``."""
        until = now + lease_s * CLOCK_RATE_MARGIN + LEASE_MARGIN_S
        self.lease_until = max(self.lease_until, until)

    def time_to_next_end_s(self) -> float | None:
        """Return the time until a run is expected to end, None if unknown."""
        estimates = [
            remaining
            for progress in self.progress_by_run.values()
            if progress.percent < 100.0
            and (remaining := progress.remaining_s()) is not None
        ]
        return min(estimates, default=None)


def new_ends(worker: Worker, heartbeat: Heartbeat) -> list[commands.RunEnd]:
    """Return the ends in ``heartbeat`` that are not acknowledged yet."""
    return [
        commands.RunEnd(end.task, end.run, end.kind, end.checkpoint)
        for end in heartbeat.ended
        if end.number > worker.acknowledged
    ]
