"""Order of waiting tasks and their assignment to workers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import durations
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import permissions
from verbenastream.process.jobqueue import state as states
from verbenastream.process.jobqueue import workers

if TYPE_CHECKING:
    from verbenastream.version.placement import health

# An order for a worker whose lease is nearly over would come too late.
_LEASE_LEFT_S = 0.5
# Bounds the time of one pass when thousands of tasks wait.
_MISSES_PER_PASS = 60


@dataclasses.dataclass(slots=True)
class Waiting:
    """The tasks of one job that may start now."""

    job: model.Job
    due_at: float
    chain_s: float
    priority: int
    lasting: bool
    tasks: list[model.TaskKey]
    # When the next occurrence becomes due, None if all are.
    next_due_at: float | None = None


class Scheduler:
    """Assigns waiting tasks to workers; volatile, rebuilt by each leader.

    Assignments become starts when the worker's heartbeat is answered.
    """

    def __init__(
        self,
        state: states.JobQueueState,
        workers_by_id: dict[ids.WorkerId, workers.Worker],
        worker_health: health.WorkerHealth,
    ) -> None:
        self._state = state
        self._workers_by_id = workers_by_id
        self._health = worker_health
        self._waiting_by_pool: dict[ids.PoolId, dict[ids.JobId, Waiting]] = {}
        self._pool_by_job: dict[ids.JobId, ids.PoolId] = {}
        # Ordered, so that equal events give equal decisions.
        self._changed: dict[ids.JobId, None] = dict.fromkeys(state.open_jobs)
        self.worker_by_task: dict[model.TaskKey, ids.WorkerId] = {}
        self._now = 0.0
        self.durations = durations.Durations()
        self.permissions = permissions.Permissions()
        self._arrived_core_s_by_pool: dict[ids.PoolId, float] = {}

    # What changed.

    def note(self, command: commands.Command) -> None:
        """Remember which jobs an applied command changed."""
        match command:
            case commands.Submit(job=job):
                if job not in self._changed:
                    self._changed[job] = None
                    self._count_arrival(job)
            case commands.Cancel(job=job):
                self._changed[job] = None
            case commands.StartTasks(starts=starts):
                self._changed.update(
                    dict.fromkeys(start.task.job for start in starts)
                )
            case commands.EndRuns(ends=ends, lost=lost):
                self._changed.update(
                    dict.fromkeys(end.task.job for end in ends)
                )
                self._changed.update(dict.fromkeys(key.job for key, _ in lost))
            case commands.Configure():
                self._changed.update(dict.fromkeys(self._state.open_jobs))

    def _update_changed(self, wall: float) -> None:
        changed, self._changed = self._changed, {}
        for job_id in changed:
            self._remove(job_id)
            job = self._state.open_jobs.get(job_id)
            if job is None or job.spec is None:
                self._drop_assignments(job_id)
                self.permissions.forget_job(job_id)
                continue
            waiting = self._waiting_of(job, wall)
            if waiting.tasks or waiting.next_due_at is not None:
                pool = self._waiting_by_pool.setdefault(job.pool, {})
                pool[job_id] = waiting
                self._pool_by_job[job_id] = job.pool

    def _remove(self, job_id: ids.JobId) -> None:
        pool = self._pool_by_job.pop(job_id, None)
        if pool is not None:
            self._waiting_by_pool[pool].pop(job_id, None)

    def _drop_assignments(self, job_id: ids.JobId) -> None:
        for key in [key for key in self.worker_by_task if key.job == job_id]:
            self.unassign(key)

    def _waiting_of(self, job: model.Job, wall: float) -> Waiting:
        assert job.spec is not None
        queue = self._state.queues_by_id.get(job.queue)
        spec = job.spec
        tasks = []
        next_due_at = None
        for occurrence in range(spec.rounds):
            due_at = spec.first_at_s + occurrence * spec.interval_s
            if spec.occurrences and due_at > wall:
                next_due_at = due_at
                break
            tasks.extend(_startable(job, occurrence))
        chain_s = longest_chain_s(spec)
        objective_s = 0.0 if queue is None else queue.objective_s
        stretch = 1.0 if queue is None else queue.stretch
        return Waiting(
            job,
            job.submitted_at + stretch * chain_s + objective_s,
            chain_s,
            0 if queue is None else queue.priority,
            any(step.lasting for step in spec.steps),
            tasks,
            next_due_at,
        )

    # Assignment.

    def run(self, now: float, wall: float) -> dict[ids.WorkerId, None]:
        """Assign what fits; return the workers that got something."""
        self._wake_due(wall)
        self._update_changed(wall)
        woken: dict[ids.WorkerId, None] = {}
        for pool, waiting_by_job in self._waiting_by_pool.items():
            if waiting_by_job:
                self._run_pool(pool, waiting_by_job, now, wall, woken)
        return woken

    def _wake_due(self, wall: float) -> None:
        for waiting_by_job in self._waiting_by_pool.values():
            for job_id, waiting in waiting_by_job.items():
                due_at = waiting.next_due_at
                if due_at is not None and due_at <= wall:
                    self._changed[job_id] = None

    def _candidates(
        self, pool: ids.PoolId, now: float
    ) -> list[workers.Worker]:
        """Workers of ``pool`` that may be given work now."""
        self._now = now
        return [
            worker
            for worker in self._workers_by_id.values()
            if worker.pool == pool
            and worker.is_open
            and worker.lease_until > now + _LEASE_LEFT_S
            and self._health.takes_work(ids.InstanceId(worker.id), now)
        ]

    # Policies.

    def has_policies(self) -> bool:
        """Whether any queue has a policy on its workers."""
        return any(
            queue.advice is not None
            for queue in self._state.queues_by_id.values()
        )

    def _permitted(
        self,
        job: model.Job,
        key: model.TaskKey,
        candidates: list[workers.Worker],
    ) -> list[workers.Worker]:
        queue = self._state.queues_by_id.get(job.queue)
        if queue is None or queue.advice is None:
            return candidates
        return [
            worker
            for worker in candidates
            if self.ticket(key, worker.id, self._now) is not None
        ]

    def ticket(
        self, key: model.TaskKey, worker: ids.WorkerId, now: float
    ) -> str | None:
        """Return the ticket with which ``worker`` may start a task."""
        step = permissions.StepKey(key.job, key.occurrence, key.step)
        return self.permissions.ticket(step, worker, now)

    def next_question(
        self, now: float, wall: float
    ) -> permissions.Question | None:
        """Return what to ask the policy service, the most urgent first."""
        self._update_changed(wall)
        for pool, waiting_by_job in self._waiting_by_pool.items():
            candidates = self._candidates(pool, now)
            room_of = {
                worker.id: self._room_of(worker) for worker in candidates
            }
            order = sorted(
                waiting_by_job.values(), key=lambda item: rank(item, wall)
            )
            for waiting in order:
                question = self._question_of(waiting, candidates, room_of, now)
                if question is not None:
                    return question
        return None

    def _question_of(
        self,
        waiting: Waiting,
        candidates: list[workers.Worker],
        room_of: dict[ids.WorkerId, model.Need],
        now: float,
    ) -> permissions.Question | None:
        queue = self._state.queues_by_id.get(waiting.job.queue)
        spec = waiting.job.spec
        if queue is None or queue.advice is None or spec is None:
            return None
        steps = dict.fromkeys(
            permissions.StepKey(key.job, key.occurrence, key.step)
            for key in waiting.tasks
            if key not in self.worker_by_task
        )
        for step in steps:
            need = capacity.reserved(spec.steps[step.step])
            question = self.permissions.question(
                step, queue.advice, candidates, room_of, need, now
            )
            if question is not None:
                return question
        return None

    def _run_pool(
        self,
        pool: ids.PoolId,
        waiting_by_job: dict[ids.JobId, Waiting],
        now: float,
        wall: float,
        woken: dict[ids.WorkerId, None],
    ) -> None:
        candidates = self._candidates(pool, now)
        if not candidates:
            return
        order = sorted(
            waiting_by_job.values(), key=lambda item: rank(item, wall)
        )
        misses = 0
        for waiting in order:
            missed = self._place_job(waiting, candidates, woken)
            misses += missed
            if missed and waiting.lasting and len(candidates) > 1:
                # Room that becomes free on the emptiest worker is kept for
                # the lasting task, which has to be back within seconds.
                candidates.remove(
                    max(
                        candidates,
                        key=lambda worker: self._room_of(worker).millicores,
                    )
                )
            if misses > _MISSES_PER_PASS:
                return

    def _place_job(
        self,
        waiting: Waiting,
        candidates: list[workers.Worker],
        woken: dict[ids.WorkerId, None],
    ) -> int:
        """Assign the tasks of one job; return how many steps found no room."""
        spec = waiting.job.spec
        assert spec is not None
        full: set[tuple[int, int]] = set()
        for key in waiting.tasks:
            place = (key.occurrence, key.step)
            if key in self.worker_by_task or place in full:
                continue
            step = spec.steps[key.step]
            if step.gang:
                full.add(place)
                self._place_gang(waiting, key, step, candidates, woken)
                continue
            worker = capacity.choose(
                self._permitted(waiting.job, key, candidates),
                step,
                self._siblings(waiting.job, key),
                self._room_of,
            )
            if worker is None:
                full.add(place)
                continue
            self._assign(worker, key, step, 0)
            woken[worker.id] = None
        return len(full)

    def _place_gang(
        self,
        waiting: Waiting,
        first: model.TaskKey,
        step: model.Step,
        candidates: list[workers.Worker],
        woken: dict[ids.WorkerId, None],
    ) -> None:
        """Assign all tasks of a gang or none.

        The members share a run number above every earlier one.
        """
        members = [
            key
            for key in waiting.tasks
            if (key.occurrence, key.step) == (first.occurrence, first.step)
        ]
        if len(members) < step.count:
            return
        tasks = waiting.job.tasks[first.occurrence][first.step]
        number = max(task.runs for task in tasks) + 1
        chosen: list[model.TaskKey] = []
        for key in members:
            worker = capacity.choose(
                self._permitted(waiting.job, key, candidates),
                step,
                self._siblings(waiting.job, key),
                self._room_of,
            )
            if worker is None:
                for placed in chosen:
                    self.unassign(placed)
                return
            self._assign(worker, key, step, number)
            chosen.append(key)
        woken.update(dict.fromkeys(self.worker_by_task[key] for key in chosen))

    def _assign(
        self,
        worker: workers.Worker,
        key: model.TaskKey,
        step: model.Step,
        gang_run: int,
    ) -> None:
        worker.assigned_by_task[key] = workers.Assignment(
            key, capacity.reserved(step), gang_run
        )
        worker.free = None
        self.worker_by_task[key] = worker.id

    def unassign(self, key: model.TaskKey) -> None:
        """Take back an assignment that has not become a start."""
        worker_id = self.worker_by_task.pop(key, None)
        worker = (
            None if worker_id is None else self._workers_by_id.get(worker_id)
        )
        if worker is not None:
            worker.assigned_by_task.pop(key, None)
            worker.free = None
        self._changed[key.job] = None

    def release(self, worker: workers.Worker) -> None:
        """Take back everything assigned to ``worker``."""
        for key in list(worker.assigned_by_task):
            self.unassign(key)

    def begin(self, worker: workers.Worker) -> list[workers.Assignment]:
        """Take the assignments of ``worker`` to be stored as starts.

        Until ``finish`` the tasks count as assigned: the log has not applied
        the starts yet, so the tasks still look as if they waited.
        """
        assignments = list(worker.assigned_by_task.values())
        worker.starting_by_task.update(worker.assigned_by_task)
        worker.assigned_by_task.clear()
        return assignments

    def finish(
        self, worker: workers.Worker, tasks: list[model.TaskKey]
    ) -> None:
        """Forget starts that the log has applied or refused."""
        for key in tasks:
            worker.starting_by_task.pop(key, None)
            if self.worker_by_task.get(key) == worker.id:
                del self.worker_by_task[key]
            self._changed[key.job] = None
        worker.free = None

    def _count_arrival(self, job_id: ids.JobId) -> None:
        job = self._state.open_jobs.get(job_id)
        if job is None or job.spec is None:
            return
        core_s = sum(
            step.count
            * step.need.millicores
            / 1000
            * self.durations.mean_s(job.queue, step.estimate_s)
            for step in job.spec.steps
            if not (step.lasting or step.fills)
        )
        arrived = self._arrived_core_s_by_pool
        arrived[job.pool] = arrived.get(job.pool, 0.0) + core_s

    def take_arrivals(self) -> dict[ids.PoolId, float]:
        """Return core-seconds of work submitted since the last call."""
        arrived, self._arrived_core_s_by_pool = (
            self._arrived_core_s_by_pool,
            {},
        )
        return arrived

    def backlog(self) -> dict[ids.PoolId, float]:
        """Core-seconds of waiting work that no worker has, by pool."""
        core_s_by_pool: dict[ids.PoolId, float] = {}
        for pool, waiting_by_job in self._waiting_by_pool.items():
            total = 0.0
            for waiting in waiting_by_job.values():
                total += self._core_s(waiting)
            core_s_by_pool[pool] = total
        return core_s_by_pool

    def _core_s(self, waiting: Waiting) -> float:
        spec = waiting.job.spec
        assert spec is not None
        total = 0.0
        for key in waiting.tasks:
            if key in self.worker_by_task:
                continue
            step = spec.steps[key.step]
            if not step.fills:
                seconds = self.durations.mean_s(
                    waiting.job.queue, step.estimate_s
                )
                total += step.need.millicores / 1000 * seconds
        return total

    def _room_of(self, worker: workers.Worker) -> model.Need:
        return capacity.free_room(worker, self._state)

    def _siblings(
        self, job: model.Job, key: model.TaskKey
    ) -> capacity.Siblings:
        by_worker: dict[ids.WorkerId, int] = {}
        by_rack: dict[ids.RackId, int] = {}
        tasks = job.tasks[key.occurrence][key.step]
        for index, task in enumerate(tasks):
            places = {run.worker for run in task.live}
            assigned = self.worker_by_task.get(key._replace(position=index))
            if assigned is not None:
                places.add(assigned)
            for place in places:
                by_worker[place] = by_worker.get(place, 0) + 1
                worker = self._workers_by_id.get(place)
                if worker is not None:
                    rack = worker.beat.rack
                    by_rack[rack] = by_rack.get(rack, 0) + 1
        return capacity.Siblings(by_worker, by_rack)


def rank(waiting: Waiting, wall: float) -> tuple[float, ...]:
    """Order of jobs: lasting work, then what can still be in time.

    Of those the higher priority comes first, then the one whose start can be
    put off the least.
    """
    late = wall > waiting.due_at
    return (
        not waiting.lasting,
        late,
        waiting.priority,
        waiting.due_at - waiting.chain_s,
    )


def longest_chain_s(spec: model.JobSpec) -> float:
    """Longest sum of estimates along the dependencies, in seconds."""
    ends: list[float] = []
    for step in spec.steps:
        begin = max((ends[i] for i in step.after), default=0.0)
        ends.append(begin + step.estimate_s)
    return max(ends, default=0.0)


def _startable(job: model.Job, occurrence: int) -> list[model.TaskKey]:
    assert job.spec is not None
    found = []
    for step in range(len(job.spec.steps)):
        if not job.step_is_open(occurrence, step):
            continue
        for index, task in enumerate(job.tasks[occurrence][step]):
            if task.phase is model.TaskPhase.WAITING:
                found.append(model.TaskKey(job.id, occurrence, step, index))
    return found
