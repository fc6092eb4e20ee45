"""Estimates the ratio of actual to declared needs by kind of job."""

from __future__ import annotations

import dataclasses
import math

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.placement import jobs

# A job is charged with the usage that 95% of the jobs of its kind stay below.
_QUANTILE = 0.95
# With fewer samples the largest observed ratio is used, but at least 1.
_MIN_SAMPLES = 8
# Step of the quantile estimate for the first sample, on the logarithm.
_INITIAL_STEP = 0.3
# Ratios are limited to a factor of four in both directions. A larger deviation
# is an exception of one job, which is handled by throttling and stopping.
_MAX_RATIO = 4.0
_NO_USAGE = jobs.Usage(0.0, 0.0)


@dataclasses.dataclass(slots=True)
class _RatioEstimate:
    """Running quantile of the logarithm of the ratio of actual to declared."""

    log_factor: float = 0.0
    samples: int = 0
    largest_ratio: float = 1.0

    def add_sample(self, ratio: float) -> None:
        value = math.log(min(_MAX_RATIO, max(1.0 / _MAX_RATIO, ratio)))
        self.samples += 1
        self.largest_ratio = max(self.largest_ratio, math.exp(value))
        step = max(0.02, _INITIAL_STEP / math.sqrt(self.samples))
        if value > self.log_factor:
            self.log_factor += min(step * _QUANTILE, value - self.log_factor)
        else:
            # An exact quantile would decrease by a twentieth of the step,
            # which converges only after hundreds of jobs. A fifth is faster
            # and still leaves the estimate on the high side.
            self.log_factor -= min(
                step * 4.0 * (1.0 - _QUANTILE), self.log_factor - value
            )

    @property
    def factor(self) -> float:
        if self.samples < _MIN_SAMPLES:
            return self.largest_ratio
        return math.exp(self.log_factor)


class Corrections:
    """Correction factors for declared cores and memory by kind of job."""

    def __init__(self) -> None:
        self._cores_by_kind: dict[str, _RatioEstimate] = {}
        self._memory_by_kind: dict[str, _RatioEstimate] = {}
        self._peak_by_job: dict[ids.JobId, jobs.Usage] = {}

    def add_sample(self, job: jobs.Job, peak: jobs.Usage) -> None:
        """Add the peak usage of a job that ended."""
        if job.need.cores > 0 and peak.cores > 0:
            estimate = self._cores_by_kind.setdefault(
                job.kind, _RatioEstimate()
            )
            estimate.add_sample(peak.cores / job.need.cores)
        if job.need.memory_gb > 0 and peak.memory_gb > 0:
            estimate = self._memory_by_kind.setdefault(
                job.kind, _RatioEstimate()
            )
            estimate.add_sample(peak.memory_gb / job.need.memory_gb)

    def expected_need(self, job: jobs.Job) -> fleet.Resources:
        """Return the need of ``job``, corrected for its kind.

        It is at least the peak usage of an earlier run of the job.
        """
        cores = self._cores_by_kind.get(job.kind)
        memory = self._memory_by_kind.get(job.kind)
        peak = self._peak_by_job.get(job.id, _NO_USAGE)
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

    def record_peak(self, job: jobs.Job, peak: jobs.Usage) -> None:
        """Keep the peak usage of a stopped job for its next placement."""
        self.add_sample(job, peak)
        self._peak_by_job[job.id] = peak

    def discard_peak(self, job: ids.JobId) -> None:
        self._peak_by_job.pop(job, None)
