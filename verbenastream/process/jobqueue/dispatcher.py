"""Decisions of the leader: what heartbeats mean and what workers are told."""

from __future__ import annotations

import dataclasses
import enum

from verbenastream import ids
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import errors
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import pacing
from verbenastream.process.jobqueue import scheduling
from verbenastream.process.jobqueue import state as states
from verbenastream.process.jobqueue import workers
from verbenastream.version.placement import health

# A worker that fails three jobs in a row is left out for some seconds, then
# tried with one task at a time.
_BLOCK_S = 6.0
_MAX_BLOCK_S = 60.0
# A worker drops an answer that arrives a second after its heartbeat.
MAX_HELD_S = 0.6
# A worker with work and room is asked again this soon if the next end of a
# run cannot be foreseen.
_UNFORESEEN_HELD_S = 0.15
_MIN_HELD_S = 0.05
_ASK_AGAIN_S = 0.001


class Verdict(enum.Enum):
    """What a heartbeat is worth."""

    CURRENT = 'current'
    # From an earlier life of the worker, or overtaken by a later report.
    STALE = 'stale'


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Times in seconds that the deployment sets.

    ``hold_s`` is the lease that each answer gives; ``quiet_s`` how long a
    new leader leaves instances to the calls of its predecessor.
    """

    hold_s: float = 4.0
    quiet_s: float = 3.0


class Dispatcher:
    """Volatile decisions of one leader, from its election to its end.

    Nothing starts that the log does not allow: assignments become starts
    through ``StartTasks`` before an order leaves::

        if dispatcher.observe(beat, now) is Verdict.CURRENT:
            command = dispatcher.reported(beat, now, wall)
    """

    def __init__(
        self, state: states.JobQueueState, limits: Limits, now: float
    ) -> None:
        self._state = state
        self.limits = limits
        self.took_over_at = now
        self.workers_by_id: dict[ids.WorkerId, workers.Worker] = {}
        self.health = health.WorkerHealth(_BLOCK_S, _MAX_BLOCK_S)
        self.scheduler = scheduling.Scheduler(
            state, self.workers_by_id, self.health
        )
        self.pacer = pacing.Pacer(state)

    def note(self, command: commands.Command) -> None:
        """Follow a command that the log has applied."""
        self.scheduler.note(command)
        match command:
            case commands.StartTasks(starts=starts):
                for start in starts:
                    worker = self.workers_by_id.get(start.worker)
                    if worker is not None:
                        worker.free = None

    # Heartbeats.

    def observe(self, beat: workers.Heartbeat, now: float) -> Verdict:
        """Take over a report unless a later one or a later life is known."""
        worker = self.workers_by_id.get(beat.worker)
        if beat.born < self._latest_birth(beat.worker):
            return Verdict.STALE
        if worker is not None and worker.born == beat.born:
            if beat.sequence <= worker.sequence:
                return Verdict.STALE
        elif worker is not None:
            self._forget(worker)
            worker = None
        if worker is None:
            worker = workers.Worker(beat)
            self.workers_by_id[beat.worker] = worker
        worker.note_beat(beat, now)
        self.scheduler.note_room(worker)
        if not worker.is_open:
            self.scheduler.release(worker)
        return Verdict.CURRENT

    def _latest_birth(self, worker_id: ids.WorkerId) -> int:
        births = [
            run.born
            for run in self._state.runs_by_worker.get(worker_id, {}).values()
        ]
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            births.append(worker.born)
        return max(births, default=0)

    def find_worker(
        self, worker_id: ids.WorkerId | None
    ) -> workers.Worker | None:
        """Return the known worker of this id, None if there is none."""
        if worker_id is None:
            return None
        return self.workers_by_id.get(worker_id)

    def forget(self, worker_id: ids.WorkerId) -> None:
        """Drop a worker that has ended for certain."""
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            self._forget(worker)

    def _forget(self, worker: workers.Worker) -> None:
        self.scheduler.release(worker)
        del self.workers_by_id[worker.id]

    def reported(
        self, beat: workers.Heartbeat, now: float, wall: float
    ) -> commands.EndRuns | None:
        """Return what the log has to note of a current report.

        Besides new ends these are runs of an earlier life, and runs whose
        start was answered to an earlier report and that this one does not
        list: the answer never arrived.
        """
        worker = self.workers_by_id[beat.worker]
        ends = workers.new_ends(worker, beat)
        self._note_health(worker, ends, now)
        listed = {(row.task, row.run) for row in beat.running}
        listed.update((end.task, end.run) for end in ends)
        lost = tuple(
            key
            for key, run in self._state.runs_by_worker.get(
                beat.worker, {}
            ).items()
            if run.born < beat.born
            or (
                run.beat < beat.sequence
                and key not in listed
                and not beat.ended_is_cut
            )
        )
        if not ends and not lost:
            return None
        return commands.EndRuns(tuple(ends), lost, wall)

    def _note_health(
        self,
        worker: workers.Worker,
        ends: list[commands.RunEnd],
        now: float,
    ) -> None:
        instance = ids.InstanceId(worker.id)
        for end in ends:
            if end.kind is model.EndKind.DONE:
                self.health.succeeded(instance)
                self._learn(worker, end, now)
            elif end.kind is model.EndKind.FAILED:
                job = self._state.jobs_by_id.get(end.task.job)
                task = None if job is None else job.task(end.task)
                # A task that failed before elsewhere is to blame itself.
                if task is not None and not task.failures:
                    self.health.failed(instance, end.task.job, now)

    def _learn(
        self, worker: workers.Worker, end: commands.RunEnd, now: float
    ) -> None:
        started_at = worker.started_at_by_run.get((end.task, end.run))
        job = self._state.jobs_by_id.get(end.task.job)
        if started_at is not None and job is not None:
            self.scheduler.waiting.durations.learn(job.queue, now - started_at)

    def acknowledge(self, beat: workers.Heartbeat) -> None:
        """Note that the ends in ``beat`` are durable."""
        worker = self.workers_by_id.get(beat.worker)
        if worker is not None and worker.born == beat.born:
            numbers = [end.number for end in beat.ended]
            worker.acknowledged = max([worker.acknowledged, *numbers])
            # A pass since the report has still counted the ended runs.
            self.scheduler.note_room(worker)

    def is_newest(self, beat: workers.Heartbeat) -> bool:
        """Whether no later report of the worker has come."""
        worker = self.workers_by_id.get(beat.worker)
        return (
            worker is not None
            and worker.born == beat.born
            and worker.sequence == beat.sequence
        )

    # Assignment and orders.

    def check_size(self, pool: ids.PoolId, spec: model.JobSpec) -> None:
        """Raise ``NeverRunsError`` if no worker of ``pool`` is large enough.

        Without a known worker nothing is refused: they may be about to
        report.
        """
        capacities = [
            worker.beat.capacity
            for worker in self.workers_by_id.values()
            if worker.pool == pool
        ]
        if not capacities:
            return
        for position, step in enumerate(spec.steps):
            need = capacity.reserved(step)
            if not any(capacity.fits(need, room) for room in capacities):
                raise errors.NeverRunsError(
                    f'step {position} asks for {need}, more than any of the '
                    f'{len(capacities)} workers of pool {pool} has',
                    'Ask for less or split the step.',
                )

    def assign(self, now: float, wall: float) -> dict[ids.WorkerId, None]:
        """Assign waiting tasks; return the workers that got something."""
        return self.scheduler.run(now, wall)

    def held_s(self, beat: workers.Heartbeat) -> float:
        """How long the answer may wait for an order, in seconds.

        An end that happens meanwhile is reported only after the answer, so a
        worker with work is let go before its next end is expected.
        """
        worker = self.workers_by_id[beat.worker]
        if worker.assigned_by_task or worker.stops or not worker.is_open:
            return 0.0
        room = capacity.free_room(worker, self._state)
        if room.millicores <= 0 or room.memory_mb <= 0:
            return 0.0
        if not self._runs_finite_work(worker):
            if self.pacer.watches(worker):
                return pacing.WATCH_S
            return MAX_HELD_S
        next_end_s = worker.next_end_in_s()
        if next_end_s is None:
            return _UNFORESEEN_HELD_S
        return min(MAX_HELD_S, max(_MIN_HELD_S, next_end_s))

    def _runs_finite_work(self, worker: workers.Worker) -> bool:
        return any(
            not self.is_lasting(row.task) for row in worker.beat.running
        )

    def is_lasting(self, key: model.TaskKey) -> bool:
        """Whether the task runs until its job is cancelled."""
        job = self._state.jobs_by_id.get(key.job)
        if job is None or job.spec is None:
            return False
        return (
            key.step < len(job.spec.steps) and job.spec.steps[key.step].lasting
        )

    def has_room_elsewhere(
        self, key: model.TaskKey, worker: workers.Worker, now: float
    ) -> bool:
        """Whether another worker of the pool could take a lasting task."""
        job = self._state.open_jobs.get(key.job)
        if job is None or job.spec is None:
            return True
        step = job.spec.steps[key.step]
        others = [
            other
            for other in self.workers_by_id.values()
            if other is not worker
            and other.pool == worker.pool
            and other.is_open
            and other.lease_until > now
        ]
        nowhere = capacity.Siblings({}, {})
        chosen = capacity.choose(
            others,
            step,
            nowhere,
            lambda other: capacity.free_room(other, self._state),
        )
        return chosen is not None

    def starts(
        self, beat: workers.Heartbeat, wall: float
    ) -> commands.StartTasks | None:
        """Turn the assignments of a worker into starts for the log."""
        worker = self.workers_by_id[beat.worker]
        if not worker.assigned_by_task:
            return None
        assignments = self.scheduler.begin(worker)
        return commands.StartTasks(
            tuple(
                commands.Start(
                    assignment.task,
                    worker.id,
                    worker.born,
                    beat.sequence,
                    assignment.gang_run,
                )
                for assignment in assignments
            ),
            wall,
        )

    def finish_starts(self, started: commands.StartTasks) -> None:
        """The log has applied or refused ``started``, or did not take it."""
        tasks = [start.task for start in started.starts]
        worker = self.workers_by_id.get(started.starts[0].worker)
        if worker is not None:
            self.scheduler.finish(worker, tasks)
        else:
            for key in tasks:
                self.scheduler.unassign(key)

    def orders(
        self,
        beat: workers.Heartbeat,
        started: commands.StartTasks | None,
        numbers: list[int],
        fence: int,
        now: float,
    ) -> workers.Orders:
        """Return the answer to ``beat``; ``numbers`` are the run numbers.

        A number of 0 means that the log did not allow the start.
        """
        worker = self.workers_by_id[beat.worker]
        worker.extend_lease(self.limits.hold_s, now)
        orders = []
        if started is not None:
            for start, number in zip(started.starts, numbers):
                if number and self._is_live(start, number):
                    ticket = self.scheduler.ticket(start.task, worker.id, now)
                    orders.append(
                        self._start_order(start, number, ticket or '')
                    )
                    worker.started_at_by_run[start.task, number] = now
        retry_s = None
        room = capacity.free_room(worker, self._state)
        if worker.is_open and room.millicores > 0 and room.memory_mb > 0:
            retry_s = _ASK_AGAIN_S
        elif self.pacer.watches(worker):
            retry_s = pacing.WATCH_S
        return workers.Orders(
            hold_s=self.limits.hold_s,
            fence=fence,
            acknowledged=worker.acknowledged,
            starts=tuple(orders),
            stops=self._stops(worker),
            paces=self.pacer.update(worker),
            retry_s=retry_s,
        )

    def _is_live(self, start: commands.Start, number: int) -> bool:
        """Whether the run was not given up while its start was stored."""
        runs = self._state.runs_by_worker.get(start.worker, {})
        return (
            start.task,
            number,
        ) in runs and start.task.job in self._state.open_jobs

    def _start_order(
        self, start: commands.Start, number: int, ticket: str
    ) -> workers.StartOrder:
        job = self._state.jobs_by_id[start.task.job]
        assert job.spec is not None
        task = job.task(start.task)
        assert task is not None
        return workers.StartOrder(
            start.task, number, job.spec.payload, task.checkpoint, ticket
        )

    def _stops(
        self, worker: workers.Worker
    ) -> tuple[tuple[model.TaskKey, int], ...]:
        """Runs that must not go on: given up, cancelled or asked to stop."""
        live = self._state.runs_by_worker.get(worker.id, {})
        stops = []
        for row in worker.beat.running:
            key = (row.task, row.run)
            if key in worker.stops or key not in live:
                stops.append(key)
            elif row.task.job not in self._state.open_jobs:
                stops.append(key)
            elif self._is_superfluous(row.task):
                stops.append(key)
        return tuple(stops)

    def _is_superfluous(self, key: model.TaskKey) -> bool:
        job = self._state.jobs_by_id[key.job]
        task = job.task(key)
        return task is not None and task.phase is model.TaskPhase.DONE

    # Time.

    def expired(self, now: float, wall: float) -> commands.EndRuns | None:
        """Runs whose worker cannot run any more: its lease is over."""
        lost: list[tuple[model.TaskKey, int]] = []
        inherited_until = (
            self.took_over_at
            + self.limits.hold_s * workers.CLOCK_RATE_MARGIN
            + workers.LEASE_MARGIN_S
        )
        for worker_id, runs in self._state.runs_by_worker.items():
            worker = self.workers_by_id.get(worker_id)
            until = inherited_until
            if worker is not None:
                until = max(until, worker.lease_until)
            if now > until:
                lost.extend(runs)
        self._drop_silent(now)
        if not lost:
            return None
        return commands.EndRuns((), tuple(lost), wall)

    def _drop_silent(self, now: float) -> None:
        for worker in list(self.workers_by_id.values()):
            if now > worker.lease_until and now > worker.seen_at + (
                self.limits.hold_s
            ):
                self._forget(worker)
