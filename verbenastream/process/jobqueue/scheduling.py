"""Assignment of waiting tasks to workers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import permissions
from verbenastream.process.jobqueue import state as states
from verbenastream.process.jobqueue import waiting as waiting_jobs
from verbenastream.process.jobqueue import workers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenastream.process.jobqueue import commands
    from verbenastream.version.placement import health

# An order for a worker whose lease is nearly over would come too late.
_LEASE_LEFT_S = 0.5
# Bounds the time of one pass when thousands of tasks wait.
_MISSES_PER_PASS = 60
# A pass over all workers finds the ones that time alone has made eligible.
_COMPLETE_PASS_S = 0.25
_NO_SIBLINGS = capacity.Siblings({}, {})


@dataclasses.dataclass(slots=True)
class _Pass:
    """Workers that one pass may use and a bound on their free room."""

    candidates: list[workers.Worker]
    largest: model.Need
    woken: dict[ids.WorkerId, None]


class Scheduler:
    """Assigns waiting tasks to workers; volatile, rebuilt by each leader.

    Assignments become starts when the worker's heartbeat is answered. A
    pass looks at all workers of a pool only if tasks came that were not
    there before; else what did not fit then fits at most where room was
    freed since.
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
        self.waiting = waiting_jobs.WaitingJobs(state)
        self.worker_by_task: dict[model.TaskKey, ids.WorkerId] = {}
        self._now = 0.0
        self.permissions = permissions.Permissions()
        # Workers whose free room may have grown since the last pass.
        self._freed: dict[ids.WorkerId, None] = {}
        # Pools with tasks that no pass has tried on all workers.
        self._untried: set[ids.PoolId] = set()
        self._complete_at = float('-inf')

    def note(self, command: commands.Command) -> None:
        """Follow a command that the log has applied."""
        self.waiting.note(command)

    def note_room(self, worker: workers.Worker) -> None:
        """The free room of ``worker`` may have grown."""
        worker.free = None
        self._freed[worker.id] = None

    def _update_waiting(self, wall: float) -> None:
        grown, over = self.waiting.update(wall)
        self._untried |= grown
        for job_id in over:
            self._drop_assignments(job_id)
            self.permissions.forget_job(job_id)

    def _drop_assignments(self, job_id: ids.JobId) -> None:
        for key in [key for key in self.worker_by_task if key.job == job_id]:
            self.unassign(key)

    # Assignment.

    def run(self, now: float, wall: float) -> dict[ids.WorkerId, None]:
        """Assign what fits; return the workers that got something."""
        self._update_waiting(wall)
        complete = now >= self._complete_at
        if complete:
            self._complete_at = now + _COMPLETE_PASS_S
        untried, self._untried = self._untried, set()
        freed, self._freed = self._freed, {}
        woken: dict[ids.WorkerId, None] = {}
        for pool, waiting_by_job in self.waiting.by_pool.items():
            if not waiting_by_job:
                continue
            among: Iterable[workers.Worker]
            if complete or pool in untried or _any_lasting(waiting_by_job):
                among = self._workers_by_id.values()
            else:
                among = [
                    self._workers_by_id[id]
                    for id in freed
                    if id in self._workers_by_id
                ]
            candidates = self._candidates(among, pool, now)
            if candidates:
                self._run_pool(waiting_by_job, candidates, wall, woken)
        return woken

    def _candidates(
        self, among: Iterable[workers.Worker], pool: ids.PoolId, now: float
    ) -> list[workers.Worker]:
        """Workers of ``pool`` that may be given work now."""
        self._now = now
        return [
            worker
            for worker in among
            if worker.beat.pool == pool
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

    def note_answer(
        self,
        question: permissions.Question,
        tickets: dict[ids.WorkerId, str] | None,
        asked_at: float,
    ) -> None:
        """Take over the answer to ``question``; None if there was none."""
        self.permissions.note(question, tickets, asked_at)
        job = self._state.open_jobs.get(question.step.job)
        if job is not None and tickets:
            self._untried.add(job.pool)

    def next_question(
        self, now: float, wall: float
    ) -> permissions.Question | None:
        """Return what to ask the policy service, the most urgent first."""
        self._update_waiting(wall)
        for pool, waiting_by_job in self.waiting.by_pool.items():
            candidates = self._candidates(
                self._workers_by_id.values(), pool, now
            )
            room_of = {
                worker.id: self._room_of(worker) for worker in candidates
            }
            order = sorted(
                waiting_by_job.values(),
                key=lambda item: waiting_jobs.rank(item, wall),
            )
            for waiting in order:
                question = self._question_of(waiting, candidates, room_of, now)
                if question is not None:
                    return question
        return None

    def _question_of(
        self,
        waiting: waiting_jobs.Waiting,
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
        waiting_by_job: dict[ids.JobId, waiting_jobs.Waiting],
        candidates: list[workers.Worker],
        wall: float,
        woken: dict[ids.WorkerId, None],
    ) -> None:
        order = sorted(
            waiting_by_job.values(),
            key=lambda item: waiting_jobs.rank(item, wall),
        )
        current = _Pass(candidates, self._largest_room(candidates), woken)
        misses = 0
        for waiting in order:
            missed = self._place_job(waiting, current)
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

    def _largest_room(self, candidates: list[workers.Worker]) -> model.Need:
        return capacity.largest(map(self._room_of, candidates))

    def _place_job(self, waiting: waiting_jobs.Waiting, current: _Pass) -> int:
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
                self._place_gang(waiting, key, step, current)
                continue
            worker = self._choose(waiting.job, key, step, current)
            if worker is None:
                full.add(place)
                continue
            self._assign(worker, key, step, 0)
            current.woken[worker.id] = None
        return len(full)

    def _choose(
        self,
        job: model.Job,
        key: model.TaskKey,
        step: model.Step,
        current: _Pass,
    ) -> workers.Worker | None:
        """Return the best worker for a task, None if none has room."""
        if not capacity.fits(capacity.reserved(step), current.largest):
            return None
        spread = step.lasting or step.per_worker or step.rack_local
        worker = capacity.choose(
            self._permitted(job, key, current.candidates),
            step,
            self._siblings(job, key) if spread else _NO_SIBLINGS,
            self._room_of,
        )
        if worker is None:
            # The bound has become too wide; the next misses cost nothing.
            current.largest = self._largest_room(current.candidates)
        return worker

    def _place_gang(
        self,
        waiting: waiting_jobs.Waiting,
        first: model.TaskKey,
        step: model.Step,
        current: _Pass,
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
            worker = self._choose(waiting.job, key, step, current)
            if worker is None:
                for placed in chosen:
                    self._take_back(placed)
                return
            self._assign(worker, key, step, number)
            chosen.append(key)
        current.woken.update(
            dict.fromkeys(self.worker_by_task[key] for key in chosen)
        )

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
        self._take_back(key)
        job = self._state.open_jobs.get(key.job)
        if job is not None:
            self._untried.add(job.pool)
        self.waiting.mark(key.job)

    def _take_back(self, key: model.TaskKey) -> None:
        worker_id = self.worker_by_task.pop(key, None)
        worker = (
            None if worker_id is None else self._workers_by_id.get(worker_id)
        )
        if worker is not None:
            worker.assigned_by_task.pop(key, None)
            self.note_room(worker)

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
            job = self._state.open_jobs.get(key.job)
            if job is not None:
                task = job.task(key)
                if task is not None and task.phase is model.TaskPhase.WAITING:
                    self._untried.add(job.pool)
            self.waiting.mark(key.job)
        self.note_room(worker)

    def pools_behind(self) -> set[ids.PoolId]:
        """Return the pools with waiting tasks that no worker has."""
        return self.waiting.pools_behind(self.worker_by_task)

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
            assigned = self.worker_by_task.get(
                model.TaskKey(key.job, key.occurrence, key.step, index)
            )
            if assigned is not None:
                places.add(assigned)
            for place in places:
                by_worker[place] = by_worker.get(place, 0) + 1
                worker = self._workers_by_id.get(place)
                if worker is not None:
                    rack = worker.beat.rack
                    by_rack[rack] = by_rack.get(rack, 0) + 1
        return capacity.Siblings(by_worker, by_rack)


def _any_lasting(
    waiting_by_job: dict[ids.JobId, waiting_jobs.Waiting],
) -> bool:
    return any(waiting.lasting for waiting in waiting_by_job.values())
