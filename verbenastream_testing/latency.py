"""Latency histograms that merge across runs, and A/B comparison in turn."""

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
_DIGITS = 3


class Histogram:
    """Durations in seconds, kept to three significant digits."""

    def __init__(self) -> None:
        self._inner = hdrh.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)

    @classmethod
    def decode(cls, text: str) -> Histogram:
        """Return a histogram from the text of ``encode``."""
        histogram = cls()
        histogram._inner.decode_and_add(text)
        return histogram

    def encode(self) -> str:
        """Return the histogram in HdrHistogram's compressed text form."""
        return self._inner.encode().decode()

    def record(self, seconds: float) -> None:
        micros = min(max(int(seconds * 1e6), _LOWEST_US), _HIGHEST_US)
        self._inner.record_value(micros)

    def merge(self, other: Histogram) -> None:
        self._inner.add(other._inner)

    @property
    def count(self) -> int:
        return self._inner.get_total_count()

    def quantile_s(self, quantile: float) -> float:
        return self._inner.get_value_at_percentile(quantile * 100) / 1e6

    def mean_s(self) -> float:
        return self._inner.get_mean_value() / 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """Ratio of B to A over rounds that took turns.

    ``ratio`` is the median; ``low`` and ``high`` span all rounds.
    """

    a: float
    b: float
    ratio: float
    low: float
    high: float

    @classmethod
    def from_rounds(cls, a: list[float], b: list[float]) -> Comparison:
        ratios = [after / before for before, after in zip(a, b, strict=True)]
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
    """Measure A and B in turn; the order swaps each round.

    Turns keep a slow drift of the machine out of the ratio.
    """
    found_a: list[float] = []
    found_b: list[float] = []
    for number in range(rounds):
        if number % 2 == 0:
            found_a.append(await run_a())
            found_b.append(await run_b())
        else:
            found_b.append(await run_b())
            found_a.append(await run_a())
    return Comparison.from_rounds(found_a, found_b)
