"""What the leader knows about workers from their heartbeats."""

from __future__ import annotations

import dataclasses

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import model

# A worker's clock may run this much slower than the leader's.
CLOCK_RATE_MARGIN = 1.03
# Covers the granularity of timers on both sides.
LEASE_MARGIN_S = 0.1
# A run that ended is reported well within this time.
_REMEMBER_START_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunReport:
    """One run that a worker lists.

    ``percent`` is its progress, or 100 once a lasting task is at work.
    ``gauge`` is the latency tail in ms of a task that serves callers and the
    millicores in use of any other.
    """

    task: model.TaskKey
    run: int
    checkpoint: str = ''
    percent: float = 0.0
    gauge: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndReport:
    """An end that a worker lists until it is acknowledged by ``number``."""

    number: int
    task: model.TaskKey
    run: int
    kind: model.EndKind
    checkpoint: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """One report of a worker about itself; ``born`` is its start in ms."""

    worker: ids.WorkerId
    born: int
    sequence: int
    pool: ids.PoolId
    data_centre: ids.DataCentreId
    instance: ids.InstanceId
    rack: ids.RackId
    labels: frozenset[str]
    capacity: model.Need
    draining: bool
    leaves_in_s: float | None
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    # More ends wait than the worker lists in one report.
    ended_is_cut: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A task that will start with the worker's next answer."""

    task: model.TaskKey
    need: model.Need
    gang_run: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Tells a worker to start a task, from a checkpoint if it has one."""

    task: model.TaskKey
    run: int
    payload: str
    checkpoint: str
    ticket: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Orders:
    """The answer to a heartbeat; ``hold_s`` extends the worker's lease.

    ``acknowledged`` is the highest number of an end that is durable.
    """

    hold_s: float
    fence: int
    acknowledged: int
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[tuple[model.TaskKey, int], ...] = ()
    paces: tuple[tuple[model.TaskKey, int, int], ...] = ()
    retry_s: float | None = None


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of one run, from the first report that showed any."""

    first_at: float
    first_percent: float
    at: float
    percent: float
    # When the percentage last rose.
    moved_at: float

    def remaining_s(self) -> float | None:
        """Time to the end at the rate seen so far, None if unknown."""
        gained = self.percent - self.first_percent
        if gained <= 0.0 or self.at <= self.first_at:
            return None
        return (100.0 - self.percent) * (self.at - self.first_at) / gained


class Worker:
    """One life of a worker and the work that the leader has given it."""

    def __init__(self, beat: Heartbeat) -> None:
        self.id = beat.worker
        self.born = beat.born
        self.beat = beat
        self.sequence = -1
        self.acknowledged = 0
        self.seen_at = 0.0
        self.lease_until = 0.0
        self.first_seen_at: float | None = None
        self.assigned_by_task: dict[model.TaskKey, Assignment] = {}
        # Assignments on their way through the log.
        self.starting_by_task: dict[model.TaskKey, Assignment] = {}
        # Runs to stop before their end, for upkeep, drain or preemption.
        self.stops: set[tuple[model.TaskKey, int]] = set()
        self.paces_by_run: dict[tuple[model.TaskKey, int], int] = {}
        self.progress_by_run: dict[tuple[model.TaskKey, int], Progress] = {}
        self.started_at_by_run: dict[tuple[model.TaskKey, int], float] = {}
        # Closed workers get no new work: they leave or wait for upkeep.
        self.closed_for_upkeep = False
        self.says_goodbye = False
        # Its instance is part of a wave and has not had its turn.
        self.due_for_upkeep = False
        # The platform was asked to end this worker.
        self.taken = False
        self.free: model.Need | None = None
        # Whether a heartbeat waits for its answer.
        self.held = False

    @property
    def pool(self) -> ids.PoolId:
        """The pool that the worker last reported."""
        return self.beat.pool

    @property
    def is_open(self) -> bool:
        """Whether the worker may be given new work."""
        return not (
            self.beat.draining
            or self.closed_for_upkeep
            or self.says_goodbye
            or self.taken
        )

    def note_beat(self, beat: Heartbeat, now: float) -> None:
        """Take over the newest report."""
        self.beat = beat
        self.sequence = beat.sequence
        self.seen_at = now
        if self.first_seen_at is None:
            self.first_seen_at = now
        self.free = None
        self._note_progress(beat, now)
        listed = {(row.task, row.run) for row in beat.running}
        self.stops &= listed
        for run in [key for key in self.paces_by_run if key not in listed]:
            del self.paces_by_run[run]
        self.started_at_by_run = {
            key: at
            for key, at in self.started_at_by_run.items()
            if key in listed or now < at + _REMEMBER_START_S
        }

    def _note_progress(self, beat: Heartbeat, now: float) -> None:
        kept = {}
        for row in beat.running:
            key = (row.task, row.run)
            progress = self.progress_by_run.get(key)
            if progress is None or row.percent < progress.percent:
                progress = Progress(now, row.percent, now, row.percent, now)
            elif row.percent > progress.percent:
                progress.at = progress.moved_at = now
                progress.percent = row.percent
            else:
                progress.at = now
            kept[key] = progress
        self.progress_by_run = kept

    def extend_lease(self, hold_s: float, now: float) -> None:
        """Note that the worker may run on for ``hold_s`` after ``now``."""
        until = now + hold_s * CLOCK_RATE_MARGIN + LEASE_MARGIN_S
        self.lease_until = max(self.lease_until, until)

    def next_end_in_s(self) -> float | None:
        """Time to the next expected end of a run, None if unknown."""
        known = [
            remaining
            for progress in self.progress_by_run.values()
            if progress.percent < 100.0
            and (remaining := progress.remaining_s()) is not None
        ]
        return min(known, default=None)


def new_ends(worker: Worker, beat: Heartbeat) -> list[commands.RunEnd]:
    """Ends in ``beat`` that have not been acknowledged yet."""
    return [
        commands.RunEnd(end.task, end.run, end.kind, end.checkpoint)
        for end in beat.ended
        if end.number > worker.acknowledged
    ]
