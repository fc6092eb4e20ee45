"""Whether taking a worker away keeps lasting tasks within their bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

# A worker that has not reported for this long may have lost its tasks.
_REPORT_AGE_S = 2.2
_AT_WORK_PERCENT = 100.0


class Availability:
    """Counts the lasting tasks of a step that are not surely at work."""

    def __init__(
        self,
        state: states.JobQueueState,
        workers_by_id: dict[ids.WorkerId, workers.Worker],
    ) -> None:
        self._state = state
        self._workers_by_id = workers_by_id

    def may_take(self, worker_id: ids.WorkerId, now: float) -> bool:
        """Whether all runs on ``worker_id`` may end by our own order.

        Each step there must have at most ``may_miss`` tasks away afterwards.
        """
        here_by_step: dict[tuple[ids.JobId, int, int], int] = {}
        for key, _ in self._state.runs_by_worker.get(worker_id, ()):
            step = self._step(key)
            if step is not None and step.lasting:
                place = (key.job, key.occurrence, key.step)
                here_by_step[place] = here_by_step.get(place, 0) + 1
        for (job_id, occurrence, position), here in here_by_step.items():
            job = self._state.open_jobs.get(job_id)
            if job is None or job.spec is None:
                continue
            step = job.spec.steps[position]
            away = self._away(job, occurrence, position, worker_id, now)
            if away + here > max(1, step.may_miss):
                return False
        return True

    def may_stop(
        self, key: model.TaskKey, worker_id: ids.WorkerId, now: float
    ) -> bool:
        """Whether the run of one lasting task may be stopped by order."""
        job = self._state.open_jobs.get(key.job)
        if job is None or job.spec is None:
            return True
        step = job.spec.steps[key.step]
        away = self._away(job, key.occurrence, key.step, worker_id, now)
        return away + 1 <= max(1, step.may_miss)

    def _step(self, key: model.TaskKey) -> model.Step | None:
        job = self._state.open_jobs.get(key.job)
        if job is None or job.spec is None:
            return None
        return job.spec.steps[key.step]

    def _away(
        self,
        job: model.Job,
        occurrence: int,
        position: int,
        leaving: ids.WorkerId,
        now: float,
    ) -> int:
        return sum(
            not self._is_at_work(
                model.TaskKey(job.id, occurrence, position, index),
                task,
                leaving,
                now,
            )
            for index, task in enumerate(job.tasks[occurrence][position])
        )

    def _is_at_work(
        self,
        key: model.TaskKey,
        task: model.Task,
        leaving: ids.WorkerId,
        now: float,
    ) -> bool:
        for run in task.live:
            worker = self._workers_by_id.get(run.worker)
            if run.worker == leaving and worker is not None:
                return (key, run.number) not in worker.stops
            if worker is None or worker.taken or worker.beat.draining:
                continue
            if worker.born != run.born or now > worker.seen_at + _REPORT_AGE_S:
                continue
            progress = worker.progress_by_run.get((key, run.number))
            if (
                progress is not None
                and progress.percent >= _AT_WORK_PERCENT
                and (key, run.number) not in worker.stops
            ):
                return True
        return False
