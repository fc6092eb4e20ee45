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
        places = {
            (key.job, key.occurrence, key.step)
            for key, _ in self._state.runs_by_worker.get(worker_id, ())
        }
        for job_id, occurrence, position in places:
            job = self._state.open_jobs.get(job_id)
            if job is None or job.spec is None:
                continue
            step = job.spec.steps[position]
            if not step.lasting:
                continue
            at_work = self._workers_at_work(job, occurrence, position, now)
            away = step.count - len(at_work)
            if away + at_work.count(worker_id) > max(1, step.may_miss):
                return False
        return True

    def may_stop(self, key: model.TaskKey, now: float) -> bool:
        """Whether the run of one lasting task may be stopped by order."""
        job = self._state.open_jobs.get(key.job)
        if job is None or job.spec is None:
            return True
        step = job.spec.steps[key.step]
        at_work = self._workers_at_work(job, key.occurrence, key.step, now)
        return step.count - len(at_work) + 1 <= max(1, step.may_miss)

    def _workers_at_work(
        self, job: model.Job, occurrence: int, position: int, now: float
    ) -> list[ids.WorkerId]:
        """The worker of each task of the step that is surely at work."""
        found = []
        for index, task in enumerate(job.tasks[occurrence][position]):
            key = model.TaskKey(job.id, occurrence, position, index)
            for run in task.live:
                if self._is_at_work(key, run, now):
                    found.append(run.worker)
                    break
        return found

    def _is_at_work(
        self, key: model.TaskKey, run: model.Run, now: float
    ) -> bool:
        worker = self._workers_by_id.get(run.worker)
        if worker is None or worker.taken or worker.beat.draining:
            return False
        if worker.born != run.born or now > worker.seen_at + _REPORT_AGE_S:
            return False
        progress = worker.progress_by_run.get((key, run.number))
        return (
            progress is not None
            and progress.percent >= _AT_WORK_PERCENT
            and (key, run.number) not in worker.stops
        )
