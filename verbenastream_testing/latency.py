"""Mergeable latency histograms and alternating A/B comparisons."""

from __future__ import annotations

import dataclasses
import statistics
from typing import TYPE_CHECKING

from hdrh import histogram as hdrh

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3


class Histogram:
    """A histogram of durations with three significant digits."""

    def __init__(self) -> None:
        self._hdr = hdrh.HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
        )

    @classmethod
    def decode(cls, text: str) -> Histogram:
        """Return a histogram from the text of ``encode``."""
        histogram = cls()
        histogram._hdr.decode_and_add(text)
        return histogram

    def encode(self) -> str:
        """Return the histogram in the compressed text form of HdrHistogram."""
        return self._hdr.encode().decode()

    def record(self, seconds: float) -> None:
        micros = min(max(int(seconds * 1e6), _LOWEST_US), _HIGHEST_US)
        self._hdr.record_value(micros)

    def merge(self, other: Histogram) -> None:
        self._hdr.add(other._hdr)

    @property
    def count(self) -> int:
        return self._hdr.get_total_count()

    def quantile_s(self, quantile: float) -> float:
        return self._hdr.get_value_at_percentile(quantile * 100) / 1e6

    def mean_s(self) -> float:
        return self._hdr.get_mean_value() / 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """The ratio of B to A over alternating rounds.

    ``ratio`` is the median, ``low`` and ``high`` are the extremes.
    """

    a: float
    b: float
    ratio: float
    low: float
    high: float

    @classmethod
    def from_rounds(cls, a: list[float], b: list[float]) -> Comparison:
        ratios = [
            value_b / value_a for value_a, value_b in zip(a, b, strict=True)
        ]
        return cls(
            statistics.median(a),
            statistics.median(b),
            statistics.median(ratios),
            min(ratios),
            max(ratios),
        )


async def compare_in_turn(
    run_a: Callable[[], Awaitable[float]],
    run_b: Callable[[], Awaitable[float]],
    rounds: int,
) -> Comparison:
    """Measure A and B alternately; the order swaps each round.

    Alternating keeps a slow drift of the machine out of the ratio.
    """
    results_a: list[float] = []
    results_b: list[float] = []
    for number in range(rounds):
        if number % 2 == 0:
            results_a.append(await run_a())
            results_b.append(await run_b())
        else:
            results_b.append(await run_b())
            results_a.append(await run_a())
    return Comparison.from_rounds(results_a, results_b)
