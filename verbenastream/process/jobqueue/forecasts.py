"""Forecasts when the tasks on a worker leave room for another one.

What runs on a worker tells whether room for a task comes there by itself:
finite tasks end, while long-running ones stay until their job is cancelled.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import model

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from verbenastream.process.jobqueue import durations as run_times
    from verbenastream.process.jobqueue import reservations
    from verbenastream.process.jobqueue import siblings
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

# An end takes this long to be listed and committed.
_MIN_REMAINING_S = 0.1


class Obstacle(enum.Enum):
    """What keeps a task from a worker although all finite tasks on it end.

    No reservation helps against it.
    """

    LABEL = 'label'
    PER_WORKER = 'limit per worker'
    # Long-running tasks, or the size of the worker itself.
    LONG_RUNNING = 'long-running'
    # The other tasks of a gang find no room.
    GANG = 'room for part of the gang'
    # A suspect elsewhere, no ticket, or starts that had no effect there.
    NOT_PERMITTED = 'not permitted'


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """Whether room for a task comes on a worker: in how long, or why not."""

    room_in_s: float | None
    obstacle: Obstacle | None = None


class Forecasts:
    """Forecasts of room, from run times and the progress of the runs.

    ::

        forecast = forecasts.forecast(worker, key, step, now)
        if forecast.room_in_s is None:
            print(forecast.obstacle)
    """

    def __init__(
        self,
        state: states.JobQueueState,
        siblings: siblings.Siblings,
        durations: run_times.Durations,
    ) -> None:
        self._state = state
        self._siblings = siblings
        self._durations = durations

    def obstacle(
        self,
        worker: workers.Worker,
        key: model.TaskKey,
        step: model.Step,
        others: Collection[reservations.Reservation] = (),
    ) -> Obstacle | None:
        """Return what keeps a task from ``worker`` for good, None without.

        ``others`` are the reservations of other tasks there. The time that
        this takes does not depend on the tasks of the worker.
        """
        if step.label and step.label not in worker.heartbeat.labels:
            return Obstacle.LABEL
        if step.per_worker:
            count = self._siblings.count_on(key, worker.id)
            count += sum(
                other.count for other in others if other.unit[:3] == key[:3]
            )
            if count >= step.per_worker:
                return Obstacle.PER_WORKER
        most = capacity.capacity_beside_long_running(worker, self._state)
        if others:
            most = _without(most, others)
        if not capacity.fits(capacity.reservation(step), most):
            return Obstacle.LONG_RUNNING
        return None

    def count_possible(
        self,
        worker: workers.Worker,
        key: model.TaskKey,
        step: model.Step,
        others: Collection[reservations.Reservation] = (),
    ) -> int:
        """Return how many tasks have room once all finite ones have ended.

        It is 0 exactly if there is an obstacle for one.
        """
        if self.obstacle(worker, key, step, others) is not None:
            return 0
        most = _without(
            capacity.capacity_beside_long_running(worker, self._state), others
        )
        count = capacity.count_fitting(capacity.reservation(step), most)
        if step.per_worker:
            on_worker = self._siblings.count_on(key, worker.id)
            count = min(count, step.per_worker - on_worker)
        return count

    def forecast(
        self,
        worker: workers.Worker,
        key: model.TaskKey,
        step: model.Step,
        now: float,
        others: Collection[reservations.Reservation] = (),
        count: int = 1,
    ) -> Forecast:
        """Forecast when ``worker`` has room for tasks beside ``others``.

        ``count`` is at most what ``count_possible`` returns, or one.
        """
        obstacle = self.obstacle(worker, key, step, others)
        if obstacle is not None:
            return Forecast(None, obstacle)
        need = capacity.multiply(capacity.reservation(step), count)
        free = _without(capacity.free_capacity(worker, self._state), others)
        room_in_s = 0.0
        for remaining_s, freed in self._ends(worker, now):
            if capacity.fits(need, free):
                break
            free = capacity.add(free, freed)
            room_in_s = remaining_s
        return Forecast(room_in_s)

    def _ends(
        self, worker: workers.Worker, now: float
    ) -> list[tuple[float, model.Resources]]:
        """Return in how long finite tasks end and what each frees, by time."""
        ends = []
        numbers = dict(self._state.runs_by_worker.get(worker.id, {}).keys())
        numbers.update((row.task, row.run) for row in worker.heartbeat.running)
        for key in capacity.tasks_on(worker, self._state):
            step = capacity.step_of(key, self._state)
            if step is None or step.long_running:
                continue
            run_time_s = self.run_time_s(self._state.jobs_by_id[key.job], step)
            number = numbers.get(key)
            remaining_s = run_time_s
            if number is not None:
                remaining_s = _remaining_s(
                    worker, (key, number), run_time_s, now
                )
            ends.append(
                (
                    max(_MIN_REMAINING_S, remaining_s),
                    capacity.reservation(step),
                )
            )
        return sorted(ends, key=lambda end: end[0])

    def run_time_s(self, job: model.Job, step: model.Step) -> float:
        """Return how long a task is expected to run at the most."""
        return max(
            step.estimate_s,
            self._durations.mean_s(job.queue, step.estimate_s),
        )


def _without(
    available: model.Resources,
    others: Iterable[reservations.Reservation],
) -> model.Resources:
    for other in others:
        available = capacity.subtract(available, other.need)
    return available


def _remaining_s(
    worker: workers.Worker,
    run: tuple[model.TaskKey, int],
    run_time_s: float,
    now: float,
) -> float:
    """Return how long a run is expected to go on.

    A run that has lasted longer than expected is expected to last as long
    again.
    """
    progress = worker.progress_by_run.get(run)
    if progress is not None:
        remaining_s = progress.remaining_s()
        if remaining_s is not None:
            return remaining_s - (now - progress.updated_at)
    age_s = worker.survived_s(*run)
    started_at = worker.started_at_by_run.get(run)
    if started_at is not None:
        age_s = max(age_s, now - started_at)
    return run_time_s - age_s if age_s < run_time_s else age_s
