"""Processes heartbeats on the leader and creates the orders for workers."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import admission
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import draining
from verbenastream.process.jobqueue import ended_workers
from verbenastream.process.jobqueue import errors
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import pacing
from verbenastream.process.jobqueue import scheduling
from verbenastream.process.jobqueue import state as states
from verbenastream.process.jobqueue import workers
from verbenastream.version.placement import health

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import instances

# A worker that fails three jobs in a row gets no tasks for this long, then one
# task at a time. Each further failure doubles the time up to the maximum.
_INITIAL_BLOCK_S = 6.0
_MAX_BLOCK_S = 60.0
# A worker ignores a response that arrives a second after its heartbeat.
MAX_RESPONSE_DELAY_S = 0.6
# Response delay for a busy worker with free capacity if the time to the next
# end of a run is unknown.
_UNKNOWN_END_DELAY_S = 0.15
_MIN_RESPONSE_DELAY_S = 0.05
# A heartbeat may be this late without its worker counting as silent.
_HEARTBEAT_DELAY_S = 0.5
# Heartbeat interval of a worker with free capacity, and the same while the
# leader cannot keep up with the heartbeats.
_IMMEDIATE_RETRY_S = 0.001
_OVERLOADED_RETRY_S = 0.6


class HeartbeatStatus(enum.Enum):
    """Result of processing a heartbeat."""

    CURRENT = 'current'
    # From an earlier incarnation of the worker, older than the latest one, or
    # of a worker that has a successor on its instance.
    STALE = 'stale'


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Configured durations in seconds.

    ``lease_s`` is the duration of a worker lease, which each response renews.
    A longer one saves the work of workers that are silent for a while, or
    that no leader answers; the end of a worker itself is noticed sooner where
    the platform lists it. ``heartbeat_interval_s`` is how often workers send
    heartbeats at least.
    A new leader does not change instances for ``quiet_s``, because calls of
    its predecessor may still be in progress.
    """

    lease_s: float = 6.0
    heartbeat_interval_s: float = 1.5
    quiet_s: float = 3.0


class Dispatcher:
    """In-memory state of one leader during its term.

    A task is started only after the log has accepted the start: a
    ``StartTasks`` command is committed before the start order is sent::

        if dispatcher.observe(heartbeat, now) is HeartbeatStatus.CURRENT:
            command = dispatcher.find_ended_runs(heartbeat, now, unix_time)
    """

    def __init__(
        self,
        state: states.JobQueueState,
        limits: Limits,
        now: float,
        unix_offset_s: float = 0.0,
    ) -> None:
        self._state = state
        # Unix time minus the clock of ``now``.
        self._unix_offset_s = unix_offset_s
        self.limits = limits
        self.took_over_at = now
        self.workers_by_id: dict[ids.WorkerId, workers.Worker] = {}
        self.ended_workers = ended_workers.EndedWorkers(
            state, self.workers_by_id, now, limits.quiet_s
        )
        self.health = health.WorkerHealth(_INITIAL_BLOCK_S, _MAX_BLOCK_S)
        self.scheduler = scheduling.Scheduler(
            state,
            self.workers_by_id,
            self.health,
            limits.heartbeat_interval_s + _HEARTBEAT_DELAY_S,
        )
        self.pacer = pacing.Pacer(state)
        # The latest list of instances, None before the first.
        self.listing: instances.Listing | None = None
        # Set by the leader while it cannot keep up with the heartbeats. They
        # are answered at once then, and workers send fewer of them.
        self.is_overloaded = False

    def on_command_applied(self, command: commands.Command) -> None:
        """Update the in-memory state after a command was applied."""
        self.scheduler.on_command_applied(command)
        match command:
            case commands.StartTasks(starts=starts):
                for start in starts:
                    worker = self.workers_by_id.get(start.worker)
                    if worker is not None:
                        worker.cached_usage = None
            case commands.Configure():
                self._remove_unnamed_workers()

    def _remove_unnamed_workers(self) -> None:
        """Remove those that were accepted before any pool was known."""
        for worker in list(self.workers_by_id.values()):
            if not self._state.names_pool(worker.pool):
                self.remove_worker(worker)

    # Heartbeats.

    def observe(
        self, heartbeat: workers.Heartbeat, now: float
    ) -> HeartbeatStatus:
        """Process a heartbeat unless it is stale.

        Raises ``InvalidHeartbeatError`` for a pool that is not the worker's.
        """
        worker = self.workers_by_id.get(heartbeat.worker)
        self._check_pool(heartbeat, worker)
        if heartbeat.incarnation < self._latest_incarnation(heartbeat.worker):
            return HeartbeatStatus.STALE
        if worker is not None and worker.incarnation == heartbeat.incarnation:
            if heartbeat.sequence <= worker.sequence:
                return HeartbeatStatus.STALE
        elif self._has_successor(heartbeat):
            return HeartbeatStatus.STALE
        elif worker is not None:
            # These tasks were to start with the next heartbeat, which came
            # from a later incarnation.
            assigned = [(key, 0) for key in worker.assigned_by_task]
            self.scheduler.start_effects.observe(heartbeat, assigned, (), now)
            self.remove_worker(worker)
            self.scheduler.permissions.remove_tickets(worker.id)
        if worker is None or worker.incarnation != heartbeat.incarnation:
            predecessor = worker
            worker = workers.Worker(heartbeat)
            worker.predecessor = predecessor
            worker.inherited_age_s_by_run = self._run_ages_s(heartbeat, now)
            self.workers_by_id[heartbeat.worker] = worker
        worker.update(heartbeat, now)
        self.scheduler.mark_capacity_freed(worker)
        if not worker.is_open or self._is_over_capacity(worker):
            self.scheduler.unassign_worker(worker)
        return HeartbeatStatus.CURRENT

    def _has_successor(self, heartbeat: workers.Heartbeat) -> bool:
        """Whether a later worker runs on the instance of the sender.

        An instance runs one worker, so the sender has ended, and the
        heartbeat was delayed.
        """
        return bool(heartbeat.instance) and any(
            other.heartbeat.instance == heartbeat.instance
            and other.id != heartbeat.worker
            and other.incarnation > heartbeat.incarnation
            for other in self.workers_by_id.values()
        )

    def _is_over_capacity(self, worker: workers.Worker) -> bool:
        """Whether the capacity of a worker shrank below what it is to run."""
        return bool(worker.assigned_by_task) and not capacity.fits(
            model.Resources(), capacity.free_capacity(worker, self._state)
        )

    def _run_ages_s(
        self, heartbeat: workers.Heartbeat, now: float
    ) -> dict[tuple[model.TaskKey, int], float]:
        """Return how long ago the listed runs were started.

        The clock of the leader that started them may differ from this one.
        """
        runs = self._state.runs_by_worker.get(heartbeat.worker, {})
        return {
            key: max(0.0, now + self._unix_offset_s - runs[key].started_at)
            for row in heartbeat.running
            if (key := (row.task, row.run)) in runs and runs[key].started_at
        }

    def _check_pool(
        self, heartbeat: workers.Heartbeat, worker: workers.Worker | None
    ) -> None:
        """Reject a heartbeat with a pool that is not the worker's.

        It must not take the place of a worker with the same id, whether this
        leader has heard of that one yet or not. A worker whose pool was
        removed from the configuration stays known.
        """
        if worker is not None and worker.incarnation == heartbeat.incarnation:
            is_valid = worker.pool == heartbeat.pool
        else:
            is_valid = self._state.names_pool(heartbeat.pool)
        if not is_valid:
            raise errors.InvalidHeartbeatError(
                f'{heartbeat.pool[:80]!r} is no pool of worker '
                f'{heartbeat.worker[:80]}',
                'Add the pool to the configuration, or correct the worker.',
            )

    def _latest_incarnation(self, worker_id: ids.WorkerId) -> int:
        incarnations = [
            run.incarnation
            for run in self._state.runs_by_worker.get(worker_id, {}).values()
        ]
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            incarnations.append(worker.incarnation)
        return max(incarnations, default=0)

    def find_worker(
        self, worker_id: ids.WorkerId | None
    ) -> workers.Worker | None:
        """Return the worker with this id, None if it is not known."""
        if worker_id is None:
            return None
        return self.workers_by_id.get(worker_id)

    def may_have_lost_workers(self, now: float) -> bool:
        """Whether any worker is silent or has announced its shutdown."""
        return any(
            worker.shutdown_announced_at is not None
            or self.scheduler.is_silent(worker, now)
            for worker in self.workers_by_id.values()
        )

    def remove_worker(self, worker: workers.Worker) -> None:
        """Remove a worker that has ended, unless a later one has its id."""
        if self.workers_by_id.get(worker.id) is worker:
            self.scheduler.unassign_worker(worker)
            del self.workers_by_id[worker.id]

    def find_ended_runs(
        self, heartbeat: workers.Heartbeat, now: float, unix_time: float
    ) -> commands.EndRuns | None:
        """Return the runs that a heartbeat shows to have ended, if any.

        These are the new ends that it lists and lost runs. A run is lost if
        it belongs to an earlier incarnation of the worker, or if its start
        order was in the response to an earlier heartbeat and this one does
        not list it: that response never arrived.
        """
        worker = self.workers_by_id[heartbeat.worker]
        ends = workers.new_ends(worker, heartbeat)
        self._update_health(worker, ends, now)
        listed = {(row.task, row.run) for row in heartbeat.running}
        listed.update((end.task, end.run) for end in ends)
        runs = self._state.runs_by_worker.get(heartbeat.worker, {})
        earlier = tuple(
            key
            for key, run in runs.items()
            if run.incarnation < heartbeat.incarnation
        )
        unlisted = tuple(
            key
            for key, run in runs.items()
            if run.incarnation >= heartbeat.incarnation
            and run.heartbeat_sequence < heartbeat.sequence
            and key not in listed
            and not heartbeat.ended_truncated
        )
        self.scheduler.start_effects.observe(
            heartbeat,
            (*unlisted, *_never_listed(earlier, worker.predecessor)),
            listed,
            now,
        )
        if not ends and not earlier and not unlisted:
            return None
        crash = None
        if earlier and self.ended_workers.has_crashed_before(worker):
            crash = self.ended_workers.crash_report(
                worker.predecessor, earlier
            )
        worker.predecessor = None
        return commands.EndRuns(
            tuple(ends), earlier + unlisted, unix_time, crash
        )

    def find_replaced_workers(
        self, heartbeat: workers.Heartbeat
    ) -> list[workers.Worker]:
        """Return the workers that ran on the instance of a new worker.

        An instance runs one worker, so the earlier ones have ended.
        """
        worker = self.workers_by_id[heartbeat.worker]
        if not heartbeat.instance or worker.first_seen_at != worker.seen_at:
            return []
        return [
            other
            for other in self.workers_by_id.values()
            if other.heartbeat.instance == heartbeat.instance
            and other.id != worker.id
            and other.incarnation < worker.incarnation
        ]

    def _update_health(
        self,
        worker: workers.Worker,
        ends: list[commands.RunEnd],
        now: float,
    ) -> None:
        instance = ids.InstanceId(worker.id)
        for end in ends:
            if end.kind is model.EndKind.DONE:
                self.health.record_success(instance)
                self._record_duration(worker, end, now)
            elif end.kind is model.EndKind.FAILED:
                job = self._state.jobs_by_id.get(end.task.job)
                task = None if job is None else job.task(end.task)
                # If the task has failed before, its failure says nothing about
                # this worker.
                if task is not None and not task.failures:
                    self.health.record_failure(instance, end.task.job, now)

    def _record_duration(
        self, worker: workers.Worker, end: commands.RunEnd, now: float
    ) -> None:
        started_at = worker.started_at_by_run.get((end.task, end.run))
        job = self._state.jobs_by_id.get(end.task.job)
        if started_at is not None and job is not None:
            self.scheduler.waiting.durations.add(job.queue, now - started_at)

    def acknowledge(self, heartbeat: workers.Heartbeat) -> None:
        """Record that the ends in ``heartbeat`` are durable."""
        worker = self.workers_by_id.get(heartbeat.worker)
        if worker is not None and worker.incarnation == heartbeat.incarnation:
            numbers = [end.number for end in heartbeat.ended]
            worker.acknowledged = max([worker.acknowledged, *numbers])
            # A pass since the heartbeat has still counted the ended runs.
            self.scheduler.mark_capacity_freed(worker)

    def is_newest(self, heartbeat: workers.Heartbeat) -> bool:
        """Whether ``heartbeat`` is the latest one of its worker."""
        worker = self.workers_by_id.get(heartbeat.worker)
        return (
            worker is not None
            and worker.incarnation == heartbeat.incarnation
            and worker.sequence == heartbeat.sequence
        )

    # Assignment and orders.

    def check_size(self, pool: ids.PoolId, spec: model.JobSpec) -> None:
        """Raise ``NeverRunsError`` if no worker is large enough for a task."""
        configured = self._state.pools_by_id.get(pool)
        pools = self._state.pools_by_id.values()
        if configured is not None:
            admission.check_size(
                spec,
                configured,
                [other for other in pools if other.spare],
                [
                    worker
                    for worker in self.workers_by_id.values()
                    if not self.is_doubtful(worker)
                ],
                self.listing,
            )

    def is_doubtful(self, worker: workers.Worker) -> bool:
        """Whether starts on the worker have had no effect lately."""
        return self.scheduler.start_effects.is_doubtful(worker.id)

    def assign(self, now: float, unix_time: float) -> dict[ids.WorkerId, None]:
        """Assign waiting tasks; return the workers that were assigned any."""
        return self.scheduler.assign_waiting(now, unix_time)

    def response_delay_s(self, heartbeat: workers.Heartbeat) -> float:
        """Return how long the response may be delayed for new orders.

        A worker sends its next heartbeat only after the response, so a busy
        worker gets its response by the time when a run is expected to end.
        """
        worker = self.workers_by_id[heartbeat.worker]
        if worker.assigned_by_task or worker.stops or not worker.is_open:
            return 0.0
        if self.is_overloaded:
            return 0.0
        free = capacity.free_capacity(worker, self._state)
        if free.millicores <= 0 or free.memory_mb <= 0:
            return 0.0
        if not self._runs_finite_tasks(worker):
            if self.pacer.runs_both_kinds(worker):
                return pacing.SHARED_WORKER_INTERVAL_S
            return MAX_RESPONSE_DELAY_S
        next_end_s = worker.time_to_next_end_s()
        if next_end_s is None:
            return _UNKNOWN_END_DELAY_S
        return min(
            MAX_RESPONSE_DELAY_S, max(_MIN_RESPONSE_DELAY_S, next_end_s)
        )

    def _runs_finite_tasks(self, worker: workers.Worker) -> bool:
        return any(
            not self.is_long_running(row.task)
            for row in worker.heartbeat.running
        )

    def is_long_running(self, key: model.TaskKey) -> bool:
        """Whether the task runs until its job is cancelled."""
        job = self._state.jobs_by_id.get(key.job)
        if job is None or job.spec is None:
            return False
        return (
            key.step < len(job.spec.steps)
            and job.spec.steps[key.step].long_running
        )

    def fits_on_another_worker(
        self, key: model.TaskKey, worker: workers.Worker, now: float
    ) -> bool:
        """Whether a long-running task fits on another worker of the pool."""
        job = self._state.open_jobs.get(key.job)
        if job is None or job.spec is None:
            return True
        step = job.spec.steps[key.step]
        chosen = capacity.choose_worker(
            self._healthy_others(worker, now),
            step,
            self.scheduler.count_siblings(key),
            self.scheduler.unreserved_capacity,
        )
        return chosen is not None

    def _healthy_others(
        self, worker: workers.Worker, now: float
    ) -> list[workers.Worker]:
        """Return the other workers of the pool that get tasks."""
        return [
            other
            for other in self.workers_by_id.values()
            if other is not worker
            and other.pool == worker.pool
            and other.is_open
            and other.lease_until > now
            and self.health.is_available(ids.InstanceId(other.id), now)
        ]

    def _stop_runs_before_shutdown(
        self, worker: workers.Worker, now: float
    ) -> None:
        """Stop the long-running tasks of a draining worker that fit elsewhere.

        They start there as soon as the worker reports their end.
        """
        steps_by_run: dict[draining.Run, model.Step] = {}
        for row in worker.heartbeat.running:
            run = (row.task, row.run)
            if run not in worker.stops and self.is_long_running(row.task):
                spec = self._state.jobs_by_id[row.task.job].spec
                assert spec is not None
                steps_by_run[run] = spec.steps[row.task.step]
        worker.stops.update(
            draining.runs_with_room(
                steps_by_run,
                self.scheduler.count_siblings,
                self._healthy_others(worker, now),
                self.scheduler.unreserved_capacity,
            )
        )

    def build_start_command(
        self, heartbeat: workers.Heartbeat, unix_time: float
    ) -> commands.StartTasks | None:
        """Return the command that starts the tasks assigned to a worker."""
        worker = self.workers_by_id[heartbeat.worker]
        if not worker.assigned_by_task:
            return None
        assignments = self.scheduler.begin_starts(worker)
        return commands.StartTasks(
            tuple(
                commands.Start(
                    assignment.task,
                    worker.id,
                    worker.incarnation,
                    heartbeat.sequence,
                    assignment.gang_run,
                )
                for assignment in assignments
            ),
            unix_time,
        )

    def finish_starts(self, start_command: commands.StartTasks) -> None:
        """Remove assignments, whether their starts were applied or not."""
        tasks = [start.task for start in start_command.starts]
        worker = self.workers_by_id.get(start_command.starts[0].worker)
        if worker is not None:
            self.scheduler.finish_starts(worker, tasks)
        else:
            for key in tasks:
                self.scheduler.unassign(key)

    def build_orders(
        self,
        heartbeat: workers.Heartbeat,
        start_command: commands.StartTasks | None,
        run_numbers: list[int],
        fence: int,
        now: float,
    ) -> workers.Orders:
        """Return the response to ``heartbeat``.

        ``run_numbers`` are the results of the starts in ``start_command``; 0
        means that a start was refused.
        """
        worker = self.workers_by_id[heartbeat.worker]
        worker.extend_lease(self.limits.lease_s, now)
        if heartbeat.draining:
            self._stop_runs_before_shutdown(worker, now)
        orders = []
        if start_command is not None:
            for start, number in zip(start_command.starts, run_numbers):
                if number and self._is_current_run(start, number):
                    ticket = self.scheduler.ticket(start.task, worker.id, now)
                    orders.append(
                        self._start_order(start, number, ticket or '')
                    )
                    worker.started_at_by_run[start.task, number] = now
        retry_s = None
        free = capacity.free_capacity(worker, self._state)
        has_room = free.millicores > 0 and free.memory_mb > 0
        if worker.is_open and has_room and not self.is_doubtful(worker):
            retry_s = (
                _OVERLOADED_RETRY_S
                if self.is_overloaded
                else _IMMEDIATE_RETRY_S
            )
        elif self.pacer.runs_both_kinds(worker):
            retry_s = pacing.SHARED_WORKER_INTERVAL_S
        return workers.Orders(
            lease_s=self.limits.lease_s,
            fence=fence,
            acknowledged=worker.acknowledged,
            starts=tuple(orders),
            stops=self._runs_to_stop(worker),
            paces=self.pacer.update(worker),
            retry_s=retry_s,
        )

    def _is_current_run(self, start: commands.Start, number: int) -> bool:
        """Whether the run has not ended or been lost since its start."""
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

    def _runs_to_stop(
        self, worker: workers.Worker
    ) -> tuple[tuple[model.TaskKey, int], ...]:
        """Return the listed runs that are lost, cancelled or to be stopped."""
        current_runs = self._state.runs_by_worker.get(worker.id, {})
        stops = []
        for row in worker.heartbeat.running:
            key = (row.task, row.run)
            if key in worker.stops or key not in current_runs:
                stops.append(key)
            elif row.task.job not in self._state.open_jobs:
                stops.append(key)
            elif self._has_ended(row.task):
                stops.append(key)
        return tuple(stops)

    def _has_ended(self, key: model.TaskKey) -> bool:
        """Whether a task has succeeded or was given up."""
        job = self._state.jobs_by_id[key.job]
        task = job.task(key)
        return task is not None and task.phase in (
            model.TaskPhase.DONE,
            model.TaskPhase.FAILED,
        )

    # Expiry.

    def find_expired_runs(
        self, now: float, unix_time: float
    ) -> commands.EndRuns | None:
        """Return the runs of workers whose lease has expired, if any.

        A new leader does not know which leases its predecessor granted, so it
        assumes that each of them was renewed just before its own term.
        """
        lost: list[tuple[model.TaskKey, int]] = []
        inherited_until = (
            self.took_over_at
            + self.limits.lease_s * workers.CLOCK_RATE_MARGIN
            + workers.LEASE_MARGIN_S
        )
        for worker_id, runs in self._state.runs_by_worker.items():
            worker = self.workers_by_id.get(worker_id)
            until = inherited_until
            if worker is not None:
                until = max(until, worker.lease_until)
            if now > until:
                lost.extend(runs)
        self._remove_expired_workers(now)
        self.scheduler.start_effects.forget(now)
        self.scheduler.unassign_silent_workers(now)
        if not lost:
            return None
        return commands.EndRuns((), tuple(lost), unix_time)

    def _remove_expired_workers(self, now: float) -> None:
        for worker in list(self.workers_by_id.values()):
            if now > worker.lease_until and now > worker.seen_at + (
                self.limits.lease_s
            ):
                self.remove_worker(worker)


def _never_listed(
    runs: tuple[tuple[model.TaskKey, int], ...],
    predecessor: workers.Worker | None,
) -> list[tuple[model.TaskKey, int]]:
    """Return the runs of an earlier incarnation that it did not list."""
    if predecessor is None:
        return []
    return [run for run in runs if run not in predecessor.progress_by_run]
