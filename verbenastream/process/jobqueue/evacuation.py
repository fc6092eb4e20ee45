"""Estimates how long the evacuation of workers before maintenance takes."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenastream import ids
    from verbenastream.process.jobqueue import state as states

# Time from the stop of a long-running task until it is available elsewhere.
_RESTART_S = 2.5


def remaining_times_s(
    state: states.JobQueueState, worker_ids: Sequence[ids.WorkerId]
) -> dict[ids.WorkerId, float]:
    """Return the time that each worker and those after it need, in seconds.

    The workers are evacuated in the given order. Only ``max_unavailable``
    tasks of a long-running step may restart at the same time, so workers with
    tasks of the same step are evacuated one after the other, however many
    instances may be down. A worker without long-running tasks needs no time::

        # Two workers with two tasks each of a step that may miss one task.
        remaining_times_s(state, ['w1', 'w2'])  # {'w1': 10.0, 'w2': 5.0}
    """
    tasks_by_step: collections.Counter[tuple[ids.JobId, int, int]] = (
        collections.Counter()
    )
    times_s = {}
    for worker_id in reversed(worker_ids):
        steps = {}
        for key, _ in state.runs_by_worker.get(worker_id, ()):
            step = _long_running_step(state, key)
            if step is not None:
                step_id = (key.job, key.occurrence, key.step)
                steps[step_id] = step
                tasks_by_step[step_id] += 1
        rounds = [
            math.ceil(tasks_by_step[step_id] / max(1, step.max_unavailable))
            for step_id, step in steps.items()
        ]
        times_s[worker_id] = _RESTART_S * max(rounds, default=0)
    return times_s


def _long_running_step(
    state: states.JobQueueState, key: model.TaskKey
) -> model.Step | None:
    job = state.open_jobs.get(key.job)
    if job is None or job.spec is None:
        return None
    step = job.spec.steps[key.step]
    return step if step.long_running else None
