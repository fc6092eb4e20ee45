"""Throttles best-effort tasks that slow down tasks serving requests.

The pace of a best-effort task is the percentage of its full speed that it may
run at.
"""

from __future__ import annotations

from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import state as states
from verbenastream.process.jobqueue import workers

FULL_PACE = 100
# Thresholds of the tail latency relative to its target. The latency covers the
# last half second and fluctuates, so best-effort tasks slow down before the
# target is reached and speed up slowly.
_SLOW_DOWN_RATIO = 0.8
_SPEED_UP_RATIO = 0.55
_SPEED_UP_STEP = 15
_MIN_PACE = 10
# Heartbeat interval of a worker that runs both kinds of task.
SHARED_WORKER_INTERVAL_S = 0.4


class Pacer:
    """Sets the pace of the best-effort tasks of each worker.

    It depends on the tail latency of the serving tasks on the same worker.
    """

    def __init__(self, state: states.JobQueueState) -> None:
        self._state = state

    def _step_of(self, key: model.TaskKey) -> model.Step | None:
        job = self._state.jobs_by_id.get(key.job)
        if job is None or job.spec is None:
            return None
        if key.step >= len(job.spec.steps):
            return None
        return job.spec.steps[key.step]

    def update(
        self, worker: workers.Worker
    ) -> tuple[tuple[model.TaskKey, int, int], ...]:
        """Update the paces; return rows of task, run number and percent."""
        latency_ratio = 0.0
        best_effort_runs = []
        for row in worker.heartbeat.running:
            step = self._step_of(row.task)
            if step is None:
                continue
            if step.tail_target_ms and row.percent >= 100.0:
                latency_ratio = max(
                    latency_ratio, row.measurement / step.tail_target_ms
                )
            elif step.best_effort:
                best_effort_runs.append((row.task, row.run))
        for run in best_effort_runs:
            pace = worker.paces_by_run.get(run, FULL_PACE)
            worker.paces_by_run[run] = _next_pace(pace, latency_ratio)
        return tuple(
            (task, run, worker.paces_by_run[task, run])
            for task, run in best_effort_runs
        )

    def runs_both_kinds(self, worker: workers.Worker) -> bool:
        """Whether ``worker`` runs both serving and best-effort tasks."""
        serving = best_effort = False
        for row in worker.heartbeat.running:
            step = self._step_of(row.task)
            if step is not None:
                serving = serving or bool(step.tail_target_ms)
                best_effort = best_effort or step.best_effort
        return serving and best_effort


def _next_pace(pace: int, latency_ratio: float) -> int:
    """Halve the pace near the latency target, raise it well below.

    ``latency_ratio`` is the tail latency divided by its target.
    """
    if latency_ratio > 1.0:
        return 0
    if latency_ratio > _SLOW_DOWN_RATIO:
        halved = pace // 2
        return halved if halved >= _MIN_PACE else 0
    if latency_ratio < _SPEED_UP_RATIO:
        return min(FULL_PACE, pace + _SPEED_UP_STEP)
    return pace
