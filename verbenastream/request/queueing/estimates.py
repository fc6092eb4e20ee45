"""Run-time estimates learned for each kind of work."""

from __future__ import annotations

import collections
import dataclasses
import math

from verbenastream import ids
from verbenastream.version.documents import schema

Kind = tuple[ids.ServiceId, str, ids.CustomerId]

_BUCKETS_PER_OCTAVE = 4
# No customer's name is empty.
_ALL_CUSTOMERS = ids.CustomerId('')

_SMALLEST_S = 0.001
# After this much weight all weights are halved, so that the last hundred or
# so runs decide.
_MAX_WEIGHT = 128.0
_MAX_KINDS = 10_000
# A kind is believed from this many runs on; before that its declared class
# counts.
_MIN_RUNS = 3.0
_MIN_OPERATION_RUNS = 6.0
# Work that runs this many times longer than the service's median is long.
_LONG_FACTOR = 10.0
_MIN_THRESHOLD_S = 0.02
_DEFAULT_SHORT_S = 0.05
_DEFAULT_LONG_S = 5.0


@dataclasses.dataclass(slots=True)
class Histogram:
    """Run times in exponential buckets, a fourth of an octave wide."""

    weight_by_bucket: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    total: float = 0.0

    def add(self, seconds: float, limit: float = _MAX_WEIGHT) -> None:
        bucket = _bucket(seconds)
        weights = self.weight_by_bucket
        weights[bucket] = weights.get(bucket, 0.0) + 1.0
        self.total += 1.0
        if self.total > limit:
            self._halve()

    def _halve(self) -> None:
        self.weight_by_bucket = {
            bucket: weight / 2.0
            for bucket, weight in self.weight_by_bucket.items()
            if weight > 0.1
        }
        self.total = sum(self.weight_by_bucket.values())

    def quantile(self, share: float) -> float | None:
        """Return the upper bound of the quantile's bucket, in seconds."""
        if not self.total:
            return None
        wanted = share * self.total
        seen = 0.0
        bucket = 0
        for bucket in sorted(self.weight_by_bucket):
            seen += self.weight_by_bucket[bucket]
            if seen >= wanted:
                break
        return _SMALLEST_S * 2.0 ** ((bucket + 1) / _BUCKETS_PER_OCTAVE)


def _bucket(seconds: float) -> int:
    if seconds <= _SMALLEST_S:
        return 0
    return int(_BUCKETS_PER_OCTAVE * math.log2(seconds / _SMALLEST_S))


def _operation(kind: Kind) -> Kind:
    """Return the key for all customers of an operation."""
    return (kind[0], kind[1], _ALL_CUSTOMERS)


@dataclasses.dataclass(slots=True)
class _KindEstimate:
    histogram: Histogram = dataclasses.field(default_factory=Histogram)
    mean_s: float = 0.0
    upper_s: float = 0.0
    high_s: float = 0.0
    countdown: int = 0

    def add(self, seconds: float) -> None:
        self.histogram.add(seconds)
        part = max(1.0 / self.histogram.total, 1.0 / _MAX_WEIGHT)
        self.mean_s += part * (seconds - self.mean_s)
        self.countdown -= 1
        if self.countdown <= 0:
            self.update()

    def update(self) -> None:
        """Compute the quantiles again; at first with each run."""
        # A tenth of slow runs must not move a kind to the long lane, and with
        # few runs a higher quantile is no more than the slowest run.
        self.upper_s = self.histogram.quantile(0.75) or 0.0
        self.high_s = self.histogram.quantile(0.9) or 0.0
        self.countdown = int(self.histogram.total) // 8


@dataclasses.dataclass(slots=True)
class _ServiceEstimate:
    histogram: Histogram = dataclasses.field(default_factory=Histogram)
    threshold_s: float = _LONG_FACTOR * _DEFAULT_SHORT_S
    countdown: int = 0


class Estimates:
    """Quantiles of run time by (service, operation, customer).

    A kind that has run a few times is classified by its own runs, a newer
    one by the runs of its operation for all customers, and only without
    those by its declared class: each of a dozen entries sees a rare kind
    only once in many seconds, and a wrong declaration would last for
    minutes. Kinds that were not seen for longest are forgotten first.
    """

    def __init__(self) -> None:
        self._kinds: collections.OrderedDict[Kind, _KindEstimate] = (
            collections.OrderedDict()
        )
        self._services: dict[ids.ServiceId, _ServiceEstimate] = {}

    def threshold(self, service: ids.ServiceId) -> float:
        """Return the run time in seconds above which work is long."""
        found = self._services.get(service)
        if found is None:
            return _LONG_FACTOR * _DEFAULT_SHORT_S
        return found.threshold_s

    def record(self, kind: Kind, seconds: float) -> None:
        """Learn one run time, or the time after which a run was long."""
        service = self._services.setdefault(kind[0], _ServiceEstimate())
        service.histogram.add(seconds, 4 * _MAX_WEIGHT)
        service.countdown -= 1
        if service.countdown <= 0:
            service.countdown = 16
            median = service.histogram.quantile(0.5) or _DEFAULT_SHORT_S
            service.threshold_s = max(_MIN_THRESHOLD_S, _LONG_FACTOR * median)
        for level in (kind, _operation(kind)):
            estimate = self._kinds.get(level)
            if estimate is None:
                estimate = self._kinds[level] = _KindEstimate()
                if len(self._kinds) > _MAX_KINDS:
                    self._kinds.popitem(last=False)
            self._kinds.move_to_end(level)
            estimate.add(seconds)

    def work_class(
        self, kind: Kind, declared: schema.WorkClass
    ) -> schema.WorkClass:
        """Return the learned class, or the declared one of a new kind."""
        estimate = self._known(kind)
        if estimate is None:
            return declared
        if estimate.upper_s > self.threshold(kind[0]):
            return schema.WorkClass.LONG
        return schema.WorkClass.SHORT

    def _known(self, kind: Kind) -> _KindEstimate | None:
        """Return the most specific estimate with enough runs, or None."""
        estimate = self._kinds.get(kind)
        if estimate is not None and estimate.histogram.total >= _MIN_RUNS:
            return estimate
        estimate = self._kinds.get(_operation(kind))
        if (
            estimate is not None
            and estimate.histogram.total >= _MIN_OPERATION_RUNS
        ):
            return estimate
        return None

    def mean(self, kind: Kind, work_class: schema.WorkClass) -> float:
        """Return the mean run time in seconds."""
        estimate = self._known(kind)
        if estimate is not None:
            return estimate.mean_s
        if work_class is schema.WorkClass.SHORT:
            return self.threshold(kind[0]) / _LONG_FACTOR
        return _DEFAULT_LONG_S

    def high(self, kind: Kind, work_class: schema.WorkClass) -> float:
        """Return a run time in seconds that nine of ten runs stay below."""
        estimate = self._known(kind)
        if estimate is not None:
            return estimate.high_s
        return 2.0 * self.mean(kind, work_class)
