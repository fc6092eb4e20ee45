"""Slows tasks that fill a worker when they harm tasks that serve callers."""

from __future__ import annotations

from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import state as states
from verbenastream.process.jobqueue import workers

FULL_PACE = 100
# The tail is reported for the last half second and swings, so filling work
# gives way before the target is reached and returns slowly.
_SLOW_DOWN_SHARE = 0.8
_SPEED_UP_SHARE = 0.55
_SPEED_UP_STEP = 15
_LOWEST_KEPT_PACE = 10
# How soon a worker on which both kinds run is asked again.
WATCH_S = 0.4


class Pacer:
    """Sets the pace in percent of tasks that fill, from the tails beside."""

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
        """Return the paces to set, as rows of task, run and percent."""
        load = 0.0
        filling = []
        for row in worker.beat.running:
            step = self._step_of(row.task)
            if step is None:
                continue
            if step.tail_target_ms and row.percent >= 100.0:
                load = max(load, row.gauge / step.tail_target_ms)
            elif step.fills:
                filling.append((row.task, row.run))
        for run in filling:
            pace = worker.paces_by_run.get(run, FULL_PACE)
            worker.paces_by_run[run] = _next_pace(pace, load)
        return tuple(
            (task, run, worker.paces_by_run[task, run])
            for task, run in filling
        )

    def watches(self, worker: workers.Worker) -> bool:
        """Whether serving and filling tasks share ``worker``."""
        serves = fills = False
        for row in worker.beat.running:
            step = self._step_of(row.task)
            if step is not None:
                serves = serves or bool(step.tail_target_ms)
                fills = fills or step.fills
        return serves and fills


def _next_pace(pace: int, load: float) -> int:
    """Halve the pace near the target, raise it in steps well below it."""
    if load > 1.0:
        return 0
    if load > _SLOW_DOWN_SHARE:
        lower = pace // 2
        return lower if lower >= _LOWEST_KEPT_PACE else 0
    if load < _SPEED_UP_SHARE:
        return min(FULL_PACE, pace + _SPEED_UP_STEP)
    return pace
