"""Run-time estimates learned for each kind of work."""

from __future__ import annotations

import collections
import dataclasses
import math

from verbenastream import ids
from verbenastream.version.documents import schema

Kind = tuple[ids.ServiceId, str, ids.CustomerId]

_BUCKETS_PER_OCTAVE = 4
# Stands for all customers in a kind; no customer's name is empty.
_ALL_CUSTOMERS = ids.CustomerId('')

_MIN_RUN_TIME_S = 0.001
# Above this total all weights are halved, so that about the last hundred runs
# determine the quantiles.
_MAX_WEIGHT = 128.0
_MAX_KINDS = 10_000
# A kind's own estimate is used from this many runs on.
_MIN_KIND_RUNS = 3.0
# An operation's estimate for all customers is used from this many runs on.
_MIN_OPERATION_RUNS = 6.0
# Work that runs more than this many times the service's median is long.
_LONG_FACTOR = 10.0
_MIN_LONG_THRESHOLD_S = 0.02
_DEFAULT_SHORT_S = 0.05
_DEFAULT_LONG_S = 5.0


@dataclasses.dataclass(slots=True)
class Histogram:
    """Run times in exponential buckets, each a quarter of an octave wide."""

    weight_by_bucket: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    total_weight: float = 0.0

    def add(self, seconds: float, max_weight: float = _MAX_WEIGHT) -> None:
        bucket = _bucket(seconds)
        weights = self.weight_by_bucket
        weights[bucket] = weights.get(bucket, 0.0) + 1.0
        self.total_weight += 1.0
        if self.total_weight > max_weight:
            self._halve()

    def _halve(self) -> None:
        self.weight_by_bucket = {
            bucket: weight / 2.0
            for bucket, weight in self.weight_by_bucket.items()
            if weight > 0.1
        }
        self.total_weight = sum(self.weight_by_bucket.values())

    def quantile(self, rank: float) -> float | None:
        """Return the upper bound of the quantile's bucket, in seconds."""
        if not self.total_weight:
            return None
        target_weight = rank * self.total_weight
        cumulative_weight = 0.0
        bucket = 0
        for bucket in sorted(self.weight_by_bucket):
            cumulative_weight += self.weight_by_bucket[bucket]
            if cumulative_weight >= target_weight:
                break
        return _MIN_RUN_TIME_S * 2.0 ** ((bucket + 1) / _BUCKETS_PER_OCTAVE)


def _bucket(seconds: float) -> int:
    if seconds <= _MIN_RUN_TIME_S:
        return 0
    return int(_BUCKETS_PER_OCTAVE * math.log2(seconds / _MIN_RUN_TIME_S))


def _operation_kind(kind: Kind) -> Kind:
    """Return the kind that stands for all customers of the operation."""
    return (kind[0], kind[1], _ALL_CUSTOMERS)


@dataclasses.dataclass(slots=True)
class _KindEstimate:
    histogram: Histogram = dataclasses.field(default_factory=Histogram)
    mean_s: float = 0.0
    upper_quartile_s: float = 0.0
    p90_s: float = 0.0
    runs_until_update: int = 0

    def add(self, seconds: float) -> None:
        self.histogram.add(seconds)
        weight = max(1.0 / self.histogram.total_weight, 1.0 / _MAX_WEIGHT)
        self.mean_s += weight * (seconds - self.mean_s)
        self.runs_until_update -= 1
        if self.runs_until_update <= 0:
            self.update()

    def update(self) -> None:
        """Recompute the quantiles; the first runs each cause an update."""
        # A tenth of slow runs must not move a kind to the long lane, so its
        # class depends on the upper quartile. With few runs a higher quantile
        # would only be the slowest run.
        self.upper_quartile_s = self.histogram.quantile(0.75) or 0.0
        self.p90_s = self.histogram.quantile(0.9) or 0.0
        self.runs_until_update = int(self.histogram.total_weight) // 8


@dataclasses.dataclass(slots=True)
class _ServiceEstimate:
    histogram: Histogram = dataclasses.field(default_factory=Histogram)
    long_threshold_s: float = _LONG_FACTOR * _DEFAULT_SHORT_S
    runs_until_update: int = 0


class Estimates:
    """Quantiles of run time by (service, operation, customer).

    A kind that has run a few times is classified by its own runs, a newer
    one by the runs of its operation for all customers, and only without
    those by its declared class. Each of a dozen entries sees a rare kind only
    once in many seconds, so a wrong declaration would otherwise have an
    effect for minutes. The least recently used kinds are evicted first.
    """

    def __init__(self) -> None:
        self._estimates_by_kind: collections.OrderedDict[
            Kind, _KindEstimate
        ] = collections.OrderedDict()
        self._estimates_by_service: dict[ids.ServiceId, _ServiceEstimate] = {}

    def long_threshold(self, service: ids.ServiceId) -> float:
        """Return the run time in seconds above which work is long."""
        service_estimate = self._estimates_by_service.get(service)
        if service_estimate is None:
            return _LONG_FACTOR * _DEFAULT_SHORT_S
        return service_estimate.long_threshold_s

    def record(self, kind: Kind, seconds: float) -> None:
        """Add a run time, or a lower bound of it while the work still runs."""
        service = self._estimates_by_service.setdefault(
            kind[0], _ServiceEstimate()
        )
        service.histogram.add(seconds, 4 * _MAX_WEIGHT)
        service.runs_until_update -= 1
        if service.runs_until_update <= 0:
            service.runs_until_update = 16
            median = service.histogram.quantile(0.5) or _DEFAULT_SHORT_S
            service.long_threshold_s = max(
                _MIN_LONG_THRESHOLD_S, _LONG_FACTOR * median
            )
        for key in (kind, _operation_kind(kind)):
            estimate = self._estimates_by_kind.get(key)
            if estimate is None:
                estimate = self._estimates_by_kind[key] = _KindEstimate()
                if len(self._estimates_by_kind) > _MAX_KINDS:
                    self._estimates_by_kind.popitem(last=False)
            self._estimates_by_kind.move_to_end(key)
            estimate.add(seconds)

    def work_class(
        self, kind: Kind, declared: schema.WorkClass
    ) -> schema.WorkClass:
        """Return the learned class, or the declared one of a new kind."""
        estimate = self._find_reliable(kind)
        if estimate is None:
            return declared
        if estimate.upper_quartile_s > self.long_threshold(kind[0]):
            return schema.WorkClass.LONG
        return schema.WorkClass.SHORT

    def _find_reliable(self, kind: Kind) -> _KindEstimate | None:
        """Return the most specific estimate with enough runs, or None."""
        estimate = self._estimates_by_kind.get(kind)
        if (
            estimate is not None
            and estimate.histogram.total_weight >= _MIN_KIND_RUNS
        ):
            return estimate
        estimate = self._estimates_by_kind.get(_operation_kind(kind))
        if (
            estimate is not None
            and estimate.histogram.total_weight >= _MIN_OPERATION_RUNS
        ):
            return estimate
        return None

    def mean_run_time(self, kind: Kind, work_class: schema.WorkClass) -> float:
        """Return the mean run time in seconds."""
        estimate = self._find_reliable(kind)
        if estimate is not None:
            return estimate.mean_s
        if work_class is schema.WorkClass.SHORT:
            return self.long_threshold(kind[0]) / _LONG_FACTOR
        return _DEFAULT_LONG_S

    def high_run_time(self, kind: Kind, work_class: schema.WorkClass) -> float:
        """Return the 90th percentile of the run time in seconds.

        Without enough runs it is twice the mean.
        """
        estimate = self._find_reliable(kind)
        if estimate is not None:
            return estimate.p90_s
        return 2.0 * self.mean_run_time(kind, work_class)
