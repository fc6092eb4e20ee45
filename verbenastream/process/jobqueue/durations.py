"""Learns how long tasks run, by queue and image."""

from __future__ import annotations

from verbenastream import ids

# Weight of the newest run in the moving mean.
_WEIGHT = 0.05
# An estimate of the caller counts like this many runs.
_FIRST_RUNS = 3


class Durations:
    """Moving means of run times in seconds.

    ``mean_s`` falls back to the caller's estimate until runs were seen::

        durations.learn(queue, 0.8)
        durations.mean_s(queue, estimate_s=1.0)
    """

    def __init__(self) -> None:
        self._mean_by_queue: dict[ids.QueueId, float] = {}
        self._runs_by_queue: dict[ids.QueueId, int] = {}

    def learn(self, queue: ids.QueueId, seconds: float) -> None:
        """Add one run of ``seconds`` to the mean of ``queue``."""
        runs = self._runs_by_queue.get(queue, 0) + 1
        mean = self._mean_by_queue.get(queue, seconds)
        weight = max(_WEIGHT, 1 / runs)
        self._runs_by_queue[queue] = runs
        self._mean_by_queue[queue] = mean + weight * (seconds - mean)

    def mean_s(self, queue: ids.QueueId, estimate_s: float) -> float:
        """Return the expected run time of a task of ``queue``."""
        runs = self._runs_by_queue.get(queue, 0)
        if not runs:
            return estimate_s
        mean = self._mean_by_queue[queue]
        return (mean * runs + estimate_s * _FIRST_RUNS) / (runs + _FIRST_RUNS)
