"""Checks that planned work keeps enough long-running tasks available."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

# Tasks of a worker whose last heartbeat is older may have been lost.
_MAX_HEARTBEAT_AGE_S = 2.2
_AVAILABLE_PERCENT = 100.0
# A stop that the previous leader ordered has been executed by this time after
# the first heartbeat of the worker. It is longer than the greatest age of a
# heartbeat, so that a worker that has ended is not counted for a single one.
_INHERITED_RUN_DELAY_S = 3.0


class Availability:
    """Checks the limits on unavailable tasks of long-running steps.

    A task counts as available if a recent heartbeat lists a run of it with 100
    percent and the run is not about to be stopped. A run that an earlier
    leader started may have been told to stop by it, or have ended with its
    worker before a late heartbeat arrived; it counts only after a while. A
    step may have ``max_unavailable`` unavailable tasks, but at least one, as
    planned work could never proceed otherwise.
    """

    def __init__(
        self,
        state: states.JobQueueState,
        workers_by_id: dict[ids.WorkerId, workers.Worker],
    ) -> None:
        self._state = state
        self._workers_by_id = workers_by_id

    def may_take_down(self, worker_id: ids.WorkerId, now: float) -> bool:
        """Whether planned work may end all runs of a worker."""
        steps = {
            (key.job, key.occurrence, key.step)
            for key, _ in self._state.runs_by_worker.get(worker_id, ())
        }
        for job_id, occurrence, position in steps:
            job = self._state.open_jobs.get(job_id)
            if job is None or job.spec is None:
                continue
            step = job.spec.steps[position]
            if not step.long_running:
                continue
            available = self._available_workers(job, occurrence, position, now)
            unavailable = step.count - len(available)
            if unavailable + available.count(worker_id) > max(
                1, step.max_unavailable
            ):
                return False
        return True

    def may_stop_run(self, key: model.TaskKey, now: float) -> bool:
        """Whether planned work may stop the run of a long-running task."""
        job = self._state.open_jobs.get(key.job)
        if job is None or job.spec is None:
            return True
        step = job.spec.steps[key.step]
        available = self._available_workers(job, key.occurrence, key.step, now)
        return step.count - len(available) + 1 <= max(1, step.max_unavailable)

    def _available_workers(
        self, job: model.Job, occurrence: int, position: int, now: float
    ) -> list[ids.WorkerId]:
        """Return the worker of each available task of the step."""
        worker_ids = []
        for index, task in enumerate(job.tasks[occurrence][position]):
            key = model.TaskKey(job.id, occurrence, position, index)
            for run in task.live_runs:
                if self._is_available(key, run, now):
                    worker_ids.append(run.worker)
                    break
        return worker_ids

    def _is_available(
        self, key: model.TaskKey, run: model.Run, now: float
    ) -> bool:
        worker = self._workers_by_id.get(run.worker)
        if (
            worker is None
            or worker.is_being_taken_down
            or worker.heartbeat.draining
        ):
            return False
        if (
            worker.incarnation != run.incarnation
            or now > worker.seen_at + _MAX_HEARTBEAT_AGE_S
        ):
            return False
        if (key, run.number) not in worker.started_at_by_run and (
            worker.first_seen_at is None
            or now < worker.first_seen_at + _INHERITED_RUN_DELAY_S
        ):
            return False
        progress = worker.progress_by_run.get((key, run.number))
        return (
            progress is not None
            and progress.percent >= _AVAILABLE_PERCENT
            and (key, run.number) not in worker.stops
        )
