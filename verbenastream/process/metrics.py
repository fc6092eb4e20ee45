"""Counters, gauges and latency histograms of one process."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import time

from hdrh import histogram as hdrh
import prometheus_client
from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 3_600_000_000
# The library reads every bucket to find a quantile. With three digits a scrape
# blocked the event loop for 136 ms; two digits need an eighth of the buckets.
_SIGNIFICANT_DIGITS = 2
_EXPOSED_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Latency:
    """Latency histogram with two significant digits."""

    def __init__(self, name: str, help_text: str) -> None:
        self.name = name
        self.help_text = help_text
        self.histogram = hdrh.HdrHistogram(
            _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        )
        self.sum_s = 0.0

    def record(self, seconds: float) -> None:
        """Add one duration in seconds."""
        microseconds = min(
            max(int(seconds * 1e6), _MIN_LATENCY_US), _MAX_LATENCY_US
        )
        self.histogram.record_value(microseconds)
        self.sum_s += seconds

    @contextlib.contextmanager
    def time(self) -> Iterator[None]:
        """Record how long the block takes."""
        started = time.monotonic()
        try:
            yield
        finally:
            self.record(time.monotonic() - started)

    def quantile_s(self, quantile: float) -> float:
        """Return the duration in seconds at ``quantile`` (0 to 1)."""
        return self.histogram.get_value_at_percentile(quantile * 100) / 1e6


class Metrics(prometheus_registry.Collector):
    """All metrics of one process.

    ``latency('request_seconds', 'Time of a request.')`` creates a histogram
    on first use and returns the same one later; ``counter`` and ``gauge`` do
    the same for plain numbers.
    """

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(self)
        self._latencies_by_name: dict[str, Latency] = {}
        self._counters_by_name: dict[str, prometheus_client.Counter] = {}
        self._gauges_by_name: dict[str, prometheus_client.Gauge] = {}

    def latency(self, name: str, help_text: str) -> Latency:
        """Return the histogram ``name``, created on first use."""
        histogram = self._latencies_by_name.get(name)
        if histogram is None:
            histogram = Latency(name, help_text)
            self._latencies_by_name[name] = histogram
        return histogram

    def counter(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Counter:
        """Return the counter ``name``, created on first use."""
        metric = self._counters_by_name.get(name)
        if metric is None:
            metric = prometheus_client.Counter(
                name, help_text, labels, registry=self._registry
            )
            self._counters_by_name[name] = metric
        return metric

    def gauge(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Gauge:
        """Return the gauge ``name``, created on first use."""
        metric = self._gauges_by_name.get(name)
        if metric is None:
            metric = prometheus_client.Gauge(
                name, help_text, labels, registry=self._registry
            )
            self._gauges_by_name[name] = metric
        return metric

    def collect(self) -> Iterator[prometheus_core.Metric]:
        """Yield the histograms as summaries, for the registry."""
        for latency in self._latencies_by_name.values():
            family = prometheus_core.SummaryMetricFamily(
                latency.name,
                latency.help_text,
                count_value=latency.histogram.get_total_count(),
                sum_value=latency.sum_s,
            )
            values = latency.histogram.get_percentile_to_value_dict(
                _EXPOSED_PERCENTILES
            )
            for percentile, microseconds in values.items():
                family.add_sample(
                    latency.name,
                    {'quantile': f'{percentile / 100:g}'},
                    microseconds / 1e6,
                )
            yield family

    def expose(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
