"""Assignment of waiting tasks to workers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import TypeVar

from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import crashes
from verbenastream.process.jobqueue import forecasts
from verbenastream.process.jobqueue import isolation
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import permissions
from verbenastream.process.jobqueue import reservation_planner
from verbenastream.process.jobqueue import reservations
from verbenastream.process.jobqueue import siblings
from verbenastream.process.jobqueue import start_effects
from verbenastream.process.jobqueue import state as states
from verbenastream.process.jobqueue import waiting as waiting_jobs
from verbenastream.process.jobqueue import workers
from verbenastream import wire

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from verbenastream.version.placement import health

# An order would arrive too late if the lease were about to expire.
_MIN_LEASE_LEFT_S = 0.5
# Each half of a pass, the update of the waiting jobs and the assignment, stops
# after this time, and the next pass goes on from there. It is a small part of
# the lease of the leader and of the time that a worker waits for an answer.
_MAX_PASS_S = 0.05
# The part of a pass in which workers are reserved.
_MAX_PLANNING_S = 0.02
# Saves passes that find nothing when thousands of tasks are waiting. A miss is
# a step with a task that fits on no worker; the step of a gang always counts.
_MAX_MISSES_PER_PASS = 60
# A full pass considers all workers. It finds those that have become eligible
# only because time has passed.
_FULL_PASS_INTERVAL_S = 0.25
# A task starts on a reserved worker only if it would end in time even if it
# ran longer than expected by this factor.
_RUN_TIME_MARGIN = 1.5
# Starts in one command and in the answer to one heartbeat; the worker sends
# its next heartbeat at once.
_MAX_STARTS = 500
# Payloads and checkpoints in one answer, which a worker drops from 4 MiB on.
_MAX_START_BYTES = 2**20
_Item = TypeVar('_Item')
_NO_SIBLINGS = capacity.SiblingCounts({}, {})


@dataclasses.dataclass(slots=True)
class _Pass:
    """Candidates of one pass, and the workers that were assigned tasks.

    ``largest_free`` is an upper bound of the free capacity of a candidate
    that is not reserved. ``is_complete`` tells whether all workers of the pool
    were considered.
    """

    candidates: list[workers.Worker]
    is_complete: bool
    largest_free: model.Resources
    assigned_workers: dict[ids.WorkerId, None]


def _never() -> bool:
    return False


def _time_limit(duration_s: float) -> Callable[[], bool]:
    """Return a function that tells whether ``duration_s`` have passed."""
    ends_at = clock.boot_time() + duration_s
    return lambda: clock.boot_time() >= ends_at


class Scheduler:
    """Assigns waiting tasks to workers.

    The assignments are in memory only; each new leader starts without any.
    An assignment is committed as a start when the heartbeat of its worker is
    answered. A pass considers all workers of a pool only if the pool has new
    tasks: tasks that did not fit before can only fit on workers that have
    freed capacity since. A pass that would take too long stops, and
    ``is_unfinished`` is true until a later one has considered the rest.
    """

    def __init__(
        self,
        state: states.JobQueueState,
        workers_by_id: dict[ids.WorkerId, workers.Worker],
        worker_health: health.WorkerHealth,
        max_silence_s: float,
    ) -> None:
        self._state = state
        self._workers_by_id = workers_by_id
        self._health = worker_health
        self._max_silence_s = max_silence_s
        self.waiting = waiting_jobs.WaitingJobs(state)
        self.worker_by_task: dict[model.TaskKey, ids.WorkerId] = {}
        self._isolation = isolation.Isolation(
            state, workers_by_id, self.worker_by_task
        )
        self.start_effects = start_effects.StartEffects(state)
        self._siblings = siblings.Siblings(state, workers_by_id)
        self.forecasts = forecasts.Forecasts(
            state, self._siblings, self.waiting.durations
        )
        self.planner = reservation_planner.ReservationPlanner(
            state, workers_by_id, self.forecasts, self._isolation
        )
        self.reservations = self.planner.reservations
        # When the next pass may reserve workers of a pool, and the job that it
        # begins with.
        self._next_plan_at_by_pool: dict[ids.PoolId, float] = {}
        self._next_to_plan_by_pool: dict[ids.PoolId, ids.JobId] = {}
        self._now = 0.0
        self.is_unfinished = False
        # Whether the time of the current pass is over.
        self._is_over: Callable[[], bool] = _never
        # The pool after the one in which the latest pass stopped.
        self._next_pool: ids.PoolId | None = None
        # Jobs of a pool that the passes since one was too long did not reach.
        self._deferred_by_pool: dict[ids.PoolId, set[ids.JobId]] = {}
        self.permissions = permissions.Permissions()
        # Workers whose free capacity may have increased since the last pass.
        self._freed_workers: dict[ids.WorkerId, None] = {}
        # Pools with tasks for which no pass has considered all workers yet.
        self._pools_to_rescan: set[ids.PoolId] = set()
        self._next_full_pass_at = float('-inf')

    def on_command_applied(self, command: commands.Command) -> None:
        """Update the waiting jobs after a command was applied."""
        self.waiting.on_command_applied(command)
        if isinstance(command, commands.StartTasks):
            self._siblings.on_started(command.starts)

    def mark_capacity_freed(self, worker: workers.Worker) -> None:
        """Record that the free capacity of ``worker`` may have increased."""
        worker.cached_usage = None
        self._freed_workers[worker.id] = None

    def _update_waiting(self, unix_time: float) -> None:
        pools_with_new_tasks, ended_jobs = self.waiting.update(
            unix_time, self._is_over
        )
        self._pools_to_rescan |= pools_with_new_tasks
        if not ended_jobs:
            return
        assigned_keys = [
            key for key in self.worker_by_task if key.job in ended_jobs
        ]
        for key in assigned_keys:
            self.unassign(key)
        for job_id in ended_jobs:
            self.permissions.remove_job(job_id)
        for unit in list(self.reservations.by_unit):
            if unit.job in ended_jobs:
                self.reservations.end(
                    unit, reservations.EndReason.NOT_WAITING, self._now
                )

    # Assignment.

    def assign_waiting(
        self, now: float, unix_time: float
    ) -> dict[ids.WorkerId, None]:
        """Assign waiting tasks; return the workers that were assigned any."""
        self._now = now
        try:
            self._is_over = _time_limit(_MAX_PASS_S)
            self._update_waiting(unix_time)
            self.is_unfinished = self.waiting.has_changes
            # If all jobs change all the time, some are still assigned.
            self._is_over = _time_limit(_MAX_PASS_S)
            return self._assign_pools(now, unix_time)
        finally:
            self._is_over = _never

    def _assign_pools(
        self, now: float, unix_time: float
    ) -> dict[ids.WorkerId, None]:
        self._isolation.start_pass()
        is_full_pass = now >= self._next_full_pass_at
        if is_full_pass:
            self._next_full_pass_at = now + _FULL_PASS_INTERVAL_S
            self.planner.review(self._is_candidate, self._is_unassigned, now)
        pools_to_rescan, self._pools_to_rescan = self._pools_to_rescan, set()
        freed_workers, self._freed_workers = self._freed_workers, {}
        freed_by_pool = _group_by_pool(
            self._workers_by_id[id]
            for id in freed_workers
            if id in self._workers_by_id
        )
        workers_by_pool: dict[ids.PoolId, list[workers.Worker]] | None = None
        assigned_workers: dict[ids.WorkerId, None] = {}
        next_pool, self._next_pool = self._next_pool, None
        for pool in _rotated(list(self.waiting.by_pool), next_pool):
            waiting_by_job = self.waiting.by_pool[pool]
            if not waiting_by_job:
                self._deferred_by_pool.pop(pool, None)
                continue
            if self._is_over():
                self._defer_pool(pool)
                continue
            considered_workers = freed_by_pool.get(pool, [])
            is_complete = (
                is_full_pass
                or pool in pools_to_rescan
                or _has_long_running(waiting_by_job)
                or any(
                    self.start_effects.has_missed(worker.id)
                    for worker in considered_workers
                )
            )
            if is_complete:
                if workers_by_pool is None:
                    workers_by_pool = _group_by_pool(
                        self._workers_by_id.values()
                    )
                considered_workers = workers_by_pool.get(pool, [])
            candidates = self._candidates(considered_workers, pool, now)
            may_reserve = bool(candidates) and is_complete
            if not candidates:
                # Unlike other tasks, long-running ones lose no attempt when
                # they fail, so they may try a worker that is blocked.
                waiting_by_job = _long_running_only(waiting_by_job)
                candidates = self._blocked_candidates(
                    considered_workers, pool, now
                )
            if candidates and waiting_by_job:
                self._assign_pool(
                    pool,
                    waiting_by_job,
                    candidates,
                    is_complete,
                    may_reserve,
                    unix_time,
                    assigned_workers,
                )
        return assigned_workers

    def _defer_pool(self, pool: ids.PoolId) -> None:
        """Let the next pass consider all workers of ``pool``."""
        self.is_unfinished = True
        self._pools_to_rescan.add(pool)
        if self._next_pool is None:
            self._next_pool = pool

    def _candidates(
        self,
        considered_workers: Iterable[workers.Worker],
        pool: ids.PoolId,
        now: float,
    ) -> list[workers.Worker]:
        """Return the workers of ``pool`` that may be assigned tasks now."""
        self._now = now
        return [
            worker
            for worker in considered_workers
            if worker.pool == pool and self._is_candidate(worker)
        ]

    def _is_candidate(self, worker: workers.Worker) -> bool:
        """Whether a worker may be assigned tasks now."""
        return (
            self._is_usable(worker, worker.pool, self._now)
            and self._is_healthy(worker, self._now)
            and self._may_try(worker, worker.pool, self._now)
        )

    def _is_unassigned(self, key: model.TaskKey) -> bool:
        """Whether a task waits and has not been assigned."""
        job = self._state.open_jobs.get(key.job)
        task = None if job is None else job.task(key)
        return (
            task is not None
            and task.phase is model.TaskPhase.WAITING
            and key not in self.worker_by_task
        )

    def _may_try(
        self, worker: workers.Worker, pool: ids.PoolId, now: float
    ) -> bool:
        """Whether starts are known to have an effect, or may be tried.

        The last worker of a pool may always be tried.
        """
        return self.start_effects.may_try(worker.id, now) or not any(
            self._is_usable(other, pool, now)
            and self._is_healthy(other, now)
            and not self.start_effects.is_doubtful(other.id)
            for other in self._workers_by_id.values()
        )

    def _blocked_candidates(
        self,
        considered_workers: Iterable[workers.Worker],
        pool: ids.PoolId,
        now: float,
    ) -> list[workers.Worker]:
        """Return blocked workers if all workers of ``pool`` are blocked."""
        usable = [
            worker
            for worker in considered_workers
            if self._is_usable(worker, pool, now)
        ]
        if usable and self._has_healthy_worker(pool, now):
            return []
        return usable

    def _is_usable(
        self, worker: workers.Worker, pool: ids.PoolId, now: float
    ) -> bool:
        return (
            worker.heartbeat.pool == pool
            and worker.is_open
            and not self.is_silent(worker, now)
            and worker.lease_until > now + _MIN_LEASE_LEFT_S
        )

    def _is_healthy(self, worker: workers.Worker, now: float) -> bool:
        return self._health.is_available(ids.InstanceId(worker.id), now)

    def _has_healthy_worker(self, pool: ids.PoolId, now: float) -> bool:
        return any(
            self._is_usable(worker, pool, now)
            and self._is_healthy(worker, now)
            for worker in self._workers_by_id.values()
        )

    # Policies.

    def has_policies(self) -> bool:
        """Whether the tasks of any queue need a ticket of a policy service."""
        return any(
            queue.policy_timings is not None
            for queue in self._state.queues_by_id.values()
        )

    def _permitted_workers(
        self,
        job: model.Job,
        key: model.TaskKey,
        candidates: list[workers.Worker],
    ) -> list[workers.Worker]:
        queue = self._state.queues_by_id.get(job.queue)
        if queue is None or queue.policy_timings is None:
            return candidates
        return [
            worker
            for worker in candidates
            if self.ticket(key, worker.id, self._now) is not None
        ]

    def ticket(
        self, key: model.TaskKey, worker: ids.WorkerId, now: float
    ) -> str | None:
        """Return the ticket with which ``worker`` may start a task, if any."""
        step = permissions.StepKey(key.job, key.occurrence, key.step)
        return self.permissions.ticket(step, worker, now)

    def record_answer(
        self,
        request: permissions.TicketRequest,
        tickets: dict[ids.WorkerId, str] | None,
        asked_at: float,
    ) -> None:
        """Store the answer to ``request``, None if the call failed."""
        self.permissions.record_answer(request, tickets, asked_at)
        job = self._state.open_jobs.get(request.step.job)
        if job is not None and tickets:
            self._pools_to_rescan.add(job.pool)

    def next_ticket_request(
        self, now: float, unix_time: float
    ) -> permissions.TicketRequest | None:
        """Return the most urgent request for the policy service, if any."""
        self._update_waiting(unix_time)
        for pool, waiting_by_job in self.waiting.by_pool.items():
            candidates = self._candidates(
                self._workers_by_id.values(), pool, now
            )
            free_by_worker = {
                worker.id: self._free_capacity(worker) for worker in candidates
            }
            order = sorted(
                waiting_by_job.values(),
                key=lambda item: waiting_jobs.sort_key(item, unix_time),
            )
            for waiting in order:
                request = self._request_for_job(
                    waiting, candidates, free_by_worker, now
                )
                if request is not None:
                    return request
        return None

    def _request_for_job(
        self,
        waiting: waiting_jobs.WaitingJob,
        candidates: list[workers.Worker],
        free_by_worker: dict[ids.WorkerId, model.Resources],
        now: float,
    ) -> permissions.TicketRequest | None:
        queue = self._state.queues_by_id.get(waiting.job.queue)
        spec = waiting.job.spec
        if queue is None or queue.policy_timings is None or spec is None:
            return None
        steps = dict.fromkeys(
            permissions.StepKey(key.job, key.occurrence, key.step)
            for key in waiting.tasks
            if key not in self.worker_by_task
        )
        for step in steps:
            need = capacity.reservation(spec.steps[step.step])
            request = self.permissions.next_request(
                step,
                queue.policy_timings,
                candidates,
                free_by_worker,
                need,
                now,
            )
            if request is not None:
                return request
        return None

    def _assign_pool(
        self,
        pool: ids.PoolId,
        waiting_by_job: dict[ids.JobId, waiting_jobs.WaitingJob],
        candidates: list[workers.Worker],
        is_complete: bool,
        may_reserve: bool,
        unix_time: float,
        assigned_workers: dict[ids.WorkerId, None],
    ) -> None:
        deferred = self._deferred_by_pool.pop(pool, set())
        deferred &= waiting_by_job.keys()
        order = sorted(
            waiting_by_job.values(),
            key=lambda item: (
                item.job.id not in deferred,
                waiting_jobs.sort_key(item, unix_time),
            ),
        )
        current_pass = _Pass(
            candidates,
            is_complete,
            self._largest_free_capacity(candidates),
            assigned_workers,
        )
        missed = self._assign_jobs(pool, order, deferred, current_pass)
        if may_reserve and missed:
            self._plan_reservations(pool, missed, candidates)

    def _assign_jobs(
        self,
        pool: ids.PoolId,
        order: list[waiting_jobs.WaitingJob],
        deferred: set[ids.JobId],
        current_pass: _Pass,
    ) -> list[waiting_jobs.WaitingJob]:
        """Assign tasks in ``order``; return the long-running jobs that miss.

        ``deferred`` are jobs that the passes before did not reach.
        """
        missed: list[waiting_jobs.WaitingJob] = []
        miss_count = 0
        for position, waiting in enumerate(order):
            if self.waiting.is_changed(waiting.job.id):
                # The pass was over before its waiting tasks were known.
                continue
            job_misses = self._assign_job(waiting, current_pass)
            deferred.discard(waiting.job.id)
            if job_misses and waiting.is_long_running:
                missed.append(waiting)
            if self._is_over():
                # The jobs that the passes before did not reach come first.
                self._deferred_by_pool[pool] = deferred or {
                    other.job.id for other in order[position + 1 :]
                }
                self.is_unfinished = True
                self._pools_to_rescan.add(pool)
                break
            miss_count += job_misses
            if miss_count > _MAX_MISSES_PER_PASS:
                break
        return missed

    def _largest_free_capacity(
        self, candidates: list[workers.Worker]
    ) -> model.Resources:
        if not self.reservations:
            return capacity.max_per_resource(
                map(self._free_capacity, candidates)
            )
        return capacity.max_per_resource(
            map(self.unreserved_capacity, candidates)
        )

    # Reservations.

    def _plan_reservations(
        self,
        pool: ids.PoolId,
        missed: list[waiting_jobs.WaitingJob],
        candidates: list[workers.Worker],
    ) -> None:
        """Reserve workers for the long-running tasks that fit nowhere.

        They have to run again within seconds. Otherwise a stream of small
        tasks could delay them for ever. If time is short, the next pass begins
        with the jobs that this one did not reach.
        """
        if self._now < self._next_plan_at_by_pool.get(pool, float('-inf')):
            return
        self._next_plan_at_by_pool[pool] = self._now + _FULL_PASS_INTERVAL_S
        is_over = _time_limit(_MAX_PLANNING_S)
        first = self._next_to_plan_by_pool.pop(pool, None)
        waiting_by_job = {waiting.job.id: waiting for waiting in missed}
        for job_id in _rotated(list(waiting_by_job), first):
            if is_over():
                self._next_to_plan_by_pool[pool] = job_id
                return
            self._reserve(waiting_by_job[job_id], candidates)

    def _reserve(
        self,
        waiting: waiting_jobs.WaitingJob,
        candidates: list[workers.Worker],
    ) -> None:
        spec = waiting.job.spec
        assert spec is not None
        keys_by_step: dict[tuple[int, int], list[model.TaskKey]] = {}
        for key in waiting.tasks:
            if (
                spec.steps[key.step].long_running
                and key not in self.worker_by_task
                and not self.planner.has_current(
                    crashes.unit(key, spec.steps[key.step]), self._now
                )
            ):
                step_id = (key.occurrence, key.step)
                keys_by_step.setdefault(step_id, []).append(key)
        for keys in keys_by_step.values():
            self.planner.plan(
                waiting.job,
                keys,
                lambda key: self._permitted_later(
                    waiting.job, key, candidates
                ),
                self._now,
            )

    def _permitted_later(
        self,
        job: model.Job,
        key: model.TaskKey,
        candidates: list[workers.Worker],
    ) -> list[workers.Worker]:
        """Return the candidates that may start a task once they have room."""
        permitted = self._permitted_workers(job, key, candidates)
        if self.start_effects.is_needed:
            permitted = [
                worker
                for worker in permitted
                if not self.start_effects.is_avoided(key, worker.id)
            ]
        return self._isolation.permitted_later(
            job, key, permitted, self.planner.count_exclusive(job.pool)
        )

    def unreserved_capacity(self, worker: workers.Worker) -> model.Resources:
        """Return the free capacity of a worker beside its reservations."""
        return self.reservations.available(
            worker.id, self._free_capacity(worker)
        )

    def _available_to(
        self, job: model.Job, key: model.TaskKey, step: model.Step
    ) -> Callable[[workers.Worker], model.Resources]:
        """Return a function that tells what a task may use of a worker."""
        if not self.reservations:
            return self._free_capacity
        unit = crashes.unit(key, step)
        ends_at = self._expected_end(job, step)
        return lambda worker: self.reservations.available(
            worker.id, self._free_capacity(worker), unit, ends_at
        )

    def _expected_end(self, job: model.Job, step: model.Step) -> float:
        """Return when a task that starts now has ended, with some margin."""
        if step.long_running:
            return float('inf')
        run_time_s = self.forecasts.run_time_s(job, step)
        return self._now + _RUN_TIME_MARGIN * run_time_s

    def _reserved_workers(
        self, job: model.Job, key: model.TaskKey, step: model.Step
    ) -> list[workers.Worker]:
        """Return the reserved workers that may have room for a task.

        That is its own one, and those with room only later for a task that
        ends before.
        """
        own = self.reservations.by_unit.get(crashes.unit(key, step))
        if own is not None:
            reserved = [reservation.worker for reservation in own]
        elif self._expected_end(job, step) < self.reservations.latest_room_at:
            reserved = list(self.reservations.reserved_workers)
        else:
            return []
        return [
            worker
            for id in reserved
            if (worker := self._workers_by_id.get(id)) is not None
            and worker.pool == job.pool
            and self._is_candidate(worker)
        ]

    def _assign_job(
        self, waiting: waiting_jobs.WaitingJob, current_pass: _Pass
    ) -> int:
        """Assign the tasks of one job; return the number of misses."""
        spec = waiting.job.spec
        assert spec is not None
        missed_steps: set[tuple[int, int]] = set()
        suspect_misses = 0
        has_tried = False
        # The worker that was chosen for the previous task of a step.
        worker_by_step: dict[tuple[int, int], workers.Worker] = {}
        for key in self._with_reserved_first(waiting):
            step_id = (key.occurrence, key.step)
            if key in self.worker_by_task:
                continue
            has_missed = step_id in missed_steps
            if has_missed and key not in self.reservations.by_unit:
                continue
            # At least one task is tried, as the job counts as considered.
            if has_tried and self._is_over():
                break
            has_tried = True
            step = spec.steps[key.step]
            if step.gang:
                # One attempt assigns all its tasks or none.
                if not has_missed:
                    missed_steps.add(step_id)
                    self._assign_gang(waiting, key, step, current_pass)
                continue
            previous = worker_by_step.get(step_id)
            if previous is not None and self._is_best_again(
                waiting.job, key, step, previous
            ):
                self._assign(previous, key, step, 0)
                continue
            # The other tasks of its step have been compared with all workers.
            worker = self._choose_worker(
                waiting.job, key, step, current_pass, only_reserved=has_missed
            )
            if worker is None:
                # A suspect also waits until another one is not isolated, so
                # its miss says nothing about the other tasks of its step.
                if self._isolation.is_suspect(key):
                    suspect_misses = 1
                else:
                    missed_steps.add(step_id)
                continue
            worker_by_step[step_id] = worker
            self._assign(worker, key, step, 0)
            self._end_reservation(key)
            current_pass.assigned_workers[worker.id] = None
        # Misses of finite suspects do not count: there may be many of them.
        if waiting.is_long_running:
            return len(missed_steps) + suspect_misses
        return len(missed_steps)

    def _with_reserved_first(
        self, waiting: waiting_jobs.WaitingJob
    ) -> list[model.TaskKey]:
        """Return the waiting tasks, those with a reservation first."""
        if not self.reservations or not waiting.is_long_running:
            return waiting.tasks
        return sorted(
            waiting.tasks, key=lambda key: key not in self.reservations.by_unit
        )

    def _end_reservation(self, unit: model.TaskKey) -> None:
        self.reservations.end(unit, reservations.EndReason.ASSIGNED, self._now)

    def _is_best_again(
        self,
        job: model.Job,
        key: model.TaskKey,
        step: model.Step,
        worker: workers.Worker,
    ) -> bool:
        """Whether the worker of the previous task is the best for the next.

        With best fit it is while the next one fits, as its free capacity has
        only become smaller and its rack holds a sibling. This saves a
        comparison of all candidates.
        """
        if step.long_running or not self._isolation.may_follow(key, worker):
            return False
        if self.start_effects.is_avoided(key, worker.id):
            return False
        if step.per_worker:
            if self._siblings.count_on(key, worker.id) >= step.per_worker:
                return False
        available_on = self._available_to(job, key, step)
        return capacity.fits(capacity.reservation(step), available_on(worker))

    def _count_best_again(
        self,
        job: model.Job,
        key: model.TaskKey,
        step: model.Step,
        worker: workers.Worker,
    ) -> int:
        """Return for how many tasks ``worker`` stays the best, at least 1."""
        if step.long_running or not self._isolation.may_follow(key, worker):
            return 1
        if self.start_effects.is_avoided(key, worker.id):
            return 1
        available_on = self._available_to(job, key, step)
        count = capacity.count_fitting(
            capacity.reservation(step), available_on(worker)
        )
        if step.per_worker:
            siblings_on_worker = self._siblings.count_on(key, worker.id)
            count = min(count, step.per_worker - siblings_on_worker)
        return max(1, count)

    def _choose_worker(
        self,
        job: model.Job,
        key: model.TaskKey,
        step: model.Step,
        current_pass: _Pass,
        only_reserved: bool = False,
    ) -> workers.Worker | None:
        """Return the best worker for a task, None if it fits on none."""
        candidates = current_pass.candidates
        only_reserved = only_reserved or not capacity.fits(
            capacity.reservation(step), current_pass.largest_free
        )
        if only_reserved:
            candidates = self._reserved_workers(job, key, step)
            if not candidates:
                return None
        siblings = (
            self._siblings.counts(key)
            if _depends_on_siblings(step)
            else _NO_SIBLINGS
        )
        candidates = self._permitted_workers(job, key, candidates)
        groups = self.start_effects.groups(
            key, candidates, current_pass.is_complete
        )
        available_on = self._available_to(job, key, step)
        for group in groups:
            for choice in self._isolation.choices(job, key, group):
                worker = capacity.choose_worker(
                    choice, step, siblings, available_on
                )
                if worker is not None:
                    return worker
        if only_reserved:
            return None
        # Earlier assignments may have made the bound too large. With a
        # tight one, tasks that do not fit are skipped immediately.
        current_pass.largest_free = self._largest_free_capacity(
            current_pass.candidates
        )
        return None

    def _assign_gang(
        self,
        waiting: waiting_jobs.WaitingJob,
        first: model.TaskKey,
        step: model.Step,
        current_pass: _Pass,
    ) -> None:
        """Assign all tasks of a gang or none of them.

        They share a run number that is higher than all earlier ones.
        """
        members = [
            key
            for key in waiting.tasks
            if (key.occurrence, key.step) == (first.occurrence, first.step)
        ]
        if len(members) < step.count:
            return
        tasks = waiting.job.tasks[first.occurrence][first.step]
        number = max(task.last_run_number for task in tasks) + 1
        position = 0
        while position < len(members):
            key = members[position]
            worker = self._choose_worker(waiting.job, key, step, current_pass)
            if worker is None:
                for assigned in members[:position]:
                    self._remove_assignment(assigned)
                return
            end = position + self._count_best_again(
                waiting.job, key, step, worker
            )
            for member in members[position:end]:
                self._assign(worker, member, step, number)
            position = min(end, len(members))
        self._end_reservation(crashes.unit(first, step))
        current_pass.assigned_workers.update(
            dict.fromkeys(self.worker_by_task[key] for key in members)
        )

    def _assign(
        self,
        worker: workers.Worker,
        key: model.TaskKey,
        step: model.Step,
        gang_run: int,
    ) -> None:
        worker.assigned_by_task[key] = workers.Assignment(
            key, capacity.reservation(step), gang_run
        )
        capacity.reserve(worker, worker.assigned_by_task[key], self._state)
        self.worker_by_task[key] = worker.id
        self._siblings.add(key, worker.id)
        self._isolation.record_assignment(key, worker)

    def unassign(self, key: model.TaskKey) -> None:
        """Revoke an assignment that has not been committed as a start.

        The other tasks of a gang are revoked too, unless they are starting.
        """
        self._remove_assignment(key)
        job = self._state.open_jobs.get(key.job)
        if job is not None:
            self._unassign_gang(job, key)
            self._pools_to_rescan.add(job.pool)
        self.waiting.mark_changed(key.job)

    def _unassign_gang(self, job: model.Job, key: model.TaskKey) -> None:
        if job.spec is None or not job.spec.steps[key.step].gang:
            return
        for member in job.siblings(key):
            worker = self._workers_by_id.get(
                self.worker_by_task.get(member, ids.WorkerId(''))
            )
            if worker is not None and member in worker.assigned_by_task:
                self._remove_assignment(member)

    def _remove_assignment(self, key: model.TaskKey) -> None:
        self._siblings.remove(key)
        self._isolation.forget()
        worker_id = self.worker_by_task.pop(key, None)
        worker = (
            None if worker_id is None else self._workers_by_id.get(worker_id)
        )
        if worker is not None:
            worker.assigned_by_task.pop(key, None)
            self.mark_capacity_freed(worker)

    def is_silent(self, worker: workers.Worker, now: float) -> bool:
        """Whether the heartbeat of ``worker`` is late."""
        return now > worker.seen_at + self._max_silence_s

    def unassign_silent_workers(self, now: float) -> None:
        """Revoke the assignments of silent workers.

        Their tasks can start elsewhere, as no start was committed yet.
        """
        for worker in self._workers_by_id.values():
            if worker.assigned_by_task and self.is_silent(worker, now):
                self.unassign_worker(worker)

    def unassign_worker(self, worker: workers.Worker) -> None:
        """Revoke all assignments of ``worker``."""
        for key in list(worker.assigned_by_task):
            # Another member of its gang may have revoked the assignment.
            if key in worker.assigned_by_task:
                self.unassign(key)

    def begin_starts(self, worker: workers.Worker) -> list[workers.Assignment]:
        """Return the next assignments of ``worker`` to be committed.

        Their tasks count as assigned until ``finish_starts``: they are still
        in the waiting phase until the starts are applied.
        """
        assignments: list[workers.Assignment] = []
        size = 0
        for assignment in worker.assigned_by_task.values():
            size += self._order_bytes(assignment.task)
            if assignments and (
                len(assignments) >= _MAX_STARTS or size > _MAX_START_BYTES
            ):
                break
            assignments.append(assignment)
        for assignment in assignments:
            del worker.assigned_by_task[assignment.task]
            worker.starting_by_task[assignment.task] = assignment
        return assignments

    def _order_bytes(self, key: model.TaskKey) -> int:
        """Return the bytes of what a start order repeats of a job."""
        job = self._state.open_jobs.get(key.job)
        task = None if job is None else job.task(key)
        if job is None or job.spec is None or task is None:
            return 0
        return len(wire.encode(job.spec.payload)) + len(
            wire.encode(task.checkpoint)
        )

    def finish_starts(
        self, worker: workers.Worker, tasks: list[model.TaskKey]
    ) -> None:
        """Remove assignments after their starts were applied or refused."""
        for key in tasks:
            worker.starting_by_task.pop(key, None)
            if self.worker_by_task.get(key) == worker.id:
                del self.worker_by_task[key]
            job = self._state.open_jobs.get(key.job)
            if job is not None:
                task = job.task(key)
                if task is not None and task.phase is model.TaskPhase.WAITING:
                    self._pools_to_rescan.add(job.pool)
            self.waiting.mark_changed(key.job)
            self._siblings.remove(key)
        self.mark_capacity_freed(worker)

    def pools_with_unassigned_tasks(self) -> set[ids.PoolId]:
        """Return the pools with waiting tasks that are not assigned."""
        return self.waiting.pools_with_unassigned_tasks(self.worker_by_task)

    def _free_capacity(self, worker: workers.Worker) -> model.Resources:
        return capacity.free_capacity(worker, self._state)

    def count_siblings(self, key: model.TaskKey) -> capacity.SiblingCounts:
        """Count the tasks of a step that run or are assigned, by location."""
        return self._siblings.counts(key)


def _rotated(items: list[_Item], first: _Item | None) -> list[_Item]:
    """Return ``items`` from ``first`` on, then those before it."""
    start = 0 if first is None or first not in items else items.index(first)
    return items[start:] + items[:start]


def _group_by_pool(
    considered_workers: Iterable[workers.Worker],
) -> dict[ids.PoolId, list[workers.Worker]]:
    workers_by_pool: dict[ids.PoolId, list[workers.Worker]] = {}
    for worker in considered_workers:
        workers_by_pool.setdefault(worker.pool, []).append(worker)
    return workers_by_pool


def _depends_on_siblings(step: model.Step) -> bool:
    """Whether the place of a task depends on the others of its step."""
    return bool(step.long_running or step.per_worker or step.rack_local)


def _has_long_running(
    waiting_by_job: dict[ids.JobId, waiting_jobs.WaitingJob],
) -> bool:
    return any(waiting.is_long_running for waiting in waiting_by_job.values())


def _long_running_only(
    waiting_by_job: dict[ids.JobId, waiting_jobs.WaitingJob],
) -> dict[ids.JobId, waiting_jobs.WaitingJob]:
    return {
        job_id: waiting
        for job_id, waiting in waiting_by_job.items()
        if waiting.is_long_running
    }
