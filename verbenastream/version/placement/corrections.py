"""Learns per kind of job how far declared needs are from actual ones."""

from __future__ import annotations

import dataclasses
import math

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.placement import jobs

# A job is charged with what 95 of 100 jobs of its kind stay under.
_QUANTILE = 0.95
# Until there are this many samples the largest ratio seen is used, at least
# the declared need.
_MIN_SAMPLES = 8
_STEP = 0.3
# One kind may err by up to four times in both directions; what is beyond
# is an accident of one job and handled by throttling and stopping.
_BOUND = 4.0
_NOTHING = jobs.Usage(0.0, 0.0)


@dataclasses.dataclass(slots=True)
class _Ratio:
    """Running quantile of the logarithm of actual over declared."""

    log_factor: float = 0.0
    samples: int = 0
    largest: float = 1.0

    def learn(self, ratio: float) -> None:
        value = math.log(min(_BOUND, max(1.0 / _BOUND, ratio)))
        self.samples += 1
        self.largest = max(self.largest, math.exp(value))
        step = max(0.02, _STEP / math.sqrt(self.samples))
        if value > self.log_factor:
            self.log_factor += min(step * _QUANTILE, value - self.log_factor)
        else:
            # Shrinks at the same rate while all samples are lower, but a
            # twentieth of it would balance the quantile only after hundreds
            # of jobs; a fifth keeps the estimate on the safe side.
            self.log_factor -= min(
                step * 4.0 * (1.0 - _QUANTILE), self.log_factor - value
            )

    @property
    def factor(self) -> float:
        if self.samples < _MIN_SAMPLES:
            return self.largest
        return math.exp(self.log_factor)


class Corrections:
    """Factors for cores and memory by kind of job."""

    def __init__(self) -> None:
        self._cores_by_kind: dict[str, _Ratio] = {}
        self._memory_by_kind: dict[str, _Ratio] = {}
        self._peak_by_job: dict[ids.JobId, jobs.Usage] = {}

    def learn(self, job: jobs.Job, peak: jobs.Usage) -> None:
        """Take in the peak usage of a job that ended."""
        if job.need.cores > 0 and peak.cores > 0:
            ratio = self._cores_by_kind.setdefault(job.kind, _Ratio())
            ratio.learn(peak.cores / job.need.cores)
        if job.need.memory_gb > 0 and peak.memory_gb > 0:
            ratio = self._memory_by_kind.setdefault(job.kind, _Ratio())
            ratio.learn(peak.memory_gb / job.need.memory_gb)

    def expected(self, job: jobs.Job) -> fleet.Resources:
        """Return the need of ``job`` as its kind usually turns out."""
        cores = self._cores_by_kind.get(job.kind)
        memory = self._memory_by_kind.get(job.kind)
        peak = self._peak_by_job.get(job.id, _NOTHING)
        return fleet.Resources(
            max(
                job.need.cores * (cores.factor if cores else 1.0),
                peak.cores,
            ),
            max(
                job.need.memory_gb * (memory.factor if memory else 1.0),
                peak.memory_gb,
            ),
            job.need.accelerators,
        )

    def remember(self, job: jobs.Job, peak: jobs.Usage) -> None:
        """Keep what a stopped job used, so that it finds room next time."""
        self.learn(job, peak)
        self._peak_by_job[job.id] = peak

    def forget(self, job: ids.JobId) -> None:
        self._peak_by_job.pop(job, None)
