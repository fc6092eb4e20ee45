"""Checks that planned work keeps enough long-running tasks available."""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import step_counts

if TYPE_CHECKING:
    from collections.abc import Iterator

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
        # Counts of the current plan, None outside of one.
        self._counts_by_step: (
            dict[step_counts.StepId, collections.Counter[ids.WorkerId]] | None
        ) = None

    @contextlib.contextmanager
    def one_plan(self) -> Iterator[None]:
        """Count each step once in the calls of one plan.

        The plan has to report its decisions with ``record_stop`` and
        ``record_take_down``.
        """
        self._counts_by_step = {}
        try:
            yield
        finally:
            self._counts_by_step = None

    def may_take_down(self, worker_id: ids.WorkerId, now: float) -> bool:
        """Whether planned work may end all runs of a worker."""
        steps = {
            step_counts.step_id(key)
            for key, _ in self._state.runs_by_worker.get(worker_id, ())
        }
        for step_id in steps:
            step = self._long_running_step(step_id)
            if step is None:
                continue
            available = self._count_available(step_id, now)
            unavailable = step.count - available.total()
            if unavailable + available[worker_id] > max(
                1, step.max_unavailable
            ):
                return False
        return True

    def may_stop_run(self, key: model.TaskKey, now: float) -> bool:
        """Whether planned work may stop the run of a long-running task."""
        step_id = step_counts.step_id(key)
        step = self._long_running_step(step_id)
        if step is None:
            return True
        available = self._count_available(step_id, now).total()
        return step.count - available + 1 <= max(1, step.max_unavailable)

    def record_stop(self, key: model.TaskKey, run: model.Run) -> None:
        """Count a run as unavailable that the plan has decided to stop."""
        counts_by_step = self._counts_by_step or {}
        available = counts_by_step.get(step_counts.step_id(key))
        if available is not None and available[run.worker]:
            available[run.worker] -= 1

    def record_take_down(self, worker_id: ids.WorkerId) -> None:
        """Count a worker as unavailable that the plan takes down."""
        for available in (self._counts_by_step or {}).values():
            available.pop(worker_id, None)

    def _long_running_step(
        self, step_id: step_counts.StepId
    ) -> model.Step | None:
        """Return a long-running step of an open job, else None."""
        job_id, _, position = step_id
        job = self._state.open_jobs.get(job_id)
        if job is None or job.spec is None:
            return None
        step = job.spec.steps[position]
        return step if step.long_running else None

    def _count_available(
        self, step_id: step_counts.StepId, now: float
    ) -> collections.Counter[ids.WorkerId]:
        """Return the number of available tasks of a step by worker."""
        counts_by_step = self._counts_by_step
        if counts_by_step is None:
            return self._count(step_id, now)
        if step_id not in counts_by_step:
            counts_by_step[step_id] = self._count(step_id, now)
        return counts_by_step[step_id]

    def _count(
        self, step_id: step_counts.StepId, now: float
    ) -> collections.Counter[ids.WorkerId]:
        job_id, occurrence, position = step_id
        tasks = self._state.open_jobs[job_id].tasks[occurrence][position]
        available: collections.Counter[ids.WorkerId] = collections.Counter()
        for index, task in enumerate(tasks):
            key = model.TaskKey(job_id, occurrence, position, index)
            for run in task.live_runs:
                if self.is_available(key, run, now):
                    available[run.worker] += 1
                    break
        return available

    def is_available(
        self, key: model.TaskKey, run: model.Run, now: float
    ) -> bool:
        """Whether a run of a long-running task is at work and stays so."""
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
