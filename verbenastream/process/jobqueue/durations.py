"""Estimates the run time of tasks from earlier runs in the same queue."""

from __future__ import annotations

from verbenastream import ids

# Smallest weight of a new run in the moving average.
_MIN_WEIGHT = 0.05
# The estimate in the job specification counts as much as this many runs.
_ESTIMATE_RUNS = 3


class Durations:
    """Moving averages of the run times of tasks by queue.

    Until a run has ended ``mean_s`` returns the given estimate::

        durations.add(queue, 0.8)
        durations.mean_s(queue, estimate_s=1.0)
    """

    def __init__(self) -> None:
        self._mean_by_queue: dict[ids.QueueId, float] = {}
        self._runs_by_queue: dict[ids.QueueId, int] = {}

    def add(self, queue: ids.QueueId, seconds: float) -> None:
        """Include a run of ``seconds`` in the average of ``queue``."""
        runs = self._runs_by_queue.get(queue, 0) + 1
        mean = self._mean_by_queue.get(queue, seconds)
        weight = max(_MIN_WEIGHT, 1 / runs)
        self._runs_by_queue[queue] = runs
        self._mean_by_queue[queue] = mean + weight * (seconds - mean)

    def mean_s(self, queue: ids.QueueId, estimate_s: float) -> float:
        """Return the expected run time of a task of ``queue`` in seconds."""
        runs = self._runs_by_queue.get(queue, 0)
        if not runs:
            return estimate_s
        mean = self._mean_by_queue[queue]
        return (mean * runs + estimate_s * _ESTIMATE_RUNS) / (
            runs + _ESTIMATE_RUNS
        )
