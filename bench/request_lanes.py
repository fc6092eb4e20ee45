"""Separate queues for short and long work compared with one FIFO queue."""

from __future__ import annotations

import concurrent.futures
import statistics

from bench import request_traces as traces
from bench import rows
from verbenastream_testing import request_replay as replay

_COMMAND = 'python -m bench.run bench.request_lanes'
_SLOTS = 48
_DURATION_S = 300.0
_CURVE_DURATION_S = 120.0
_CURVE_LOADS = (0.5, 0.6, 0.7, 0.8, 0.95)
_MEAN_HOP_S = (
    2 * replay.MEXICO.between_data_centres_s
    + replay.MEXICO.within_data_centre_s
) / 3
_WORKERS = 2


def _measure(
    arguments: tuple[int, float, float],
) -> tuple[float, float, float]:
    """Measure one seed, load and duration in seconds.

    Return the p99 response of short work relative to a run without long
    work, and, relative to one FIFO queue, the p99 wait of short work and the
    mean completion of long work.
    """
    seed, load, duration_s = arguments
    all_arrivals, short_arrivals = traces.mixed(seed, load, _SLOTS, duration_s)
    replay.Replay(all_arrivals, seed=seed).run()
    replay.Replay(short_arrivals, seed=seed).run()
    fifo_times = traces.fifo(
        all_arrivals, _SLOTS, _MEAN_HOP_S, replay.MEXICO.client_s
    )
    short = [arrival for arrival in all_arrivals if not arrival.long]
    long = [arrival for arrival in all_arrivals if arrival.long]
    fifo_short_waits = [
        w for a, (w, _) in zip(all_arrivals, fifo_times) if not a.long
    ]
    fifo_long_responses = [
        r for a, (_, r) in zip(all_arrivals, fifo_times) if a.long
    ]
    short_p99 = traces.quantile([a.response_s for a in short], 0.99)
    short_only_p99 = traces.quantile(
        [a.response_s for a in short_arrivals], 0.99
    )
    short_wait_p99 = traces.quantile([a.wait_s for a in short], 0.99)
    return (
        short_p99 / short_only_p99,
        short_wait_p99 / traces.quantile(fifo_short_waits, 0.99),
        statistics.fmean(a.response_s for a in long)
        / statistics.fmean(fifo_long_responses),
    )


def run(seed: int) -> list[rows.Row]:
    """Return the ratios at 0.9 load (medians of four seeds) and the curve."""
    cases = [(seed + number, 0.9, _DURATION_S) for number in range(4)]
    cases += [(seed, load, _CURVE_DURATION_S) for load in _CURVE_LOADS]
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as executor:
        ratios = list(executor.map(_measure, cases))
    response_ratios, wait_ratios, long_ratios = zip(*ratios[:4])
    result = [
        _row(
            'short p99 response / without long work',
            response_ratios,
            1.3,
            seed,
        ),
        _row('short p99 wait / one FIFO queue', wait_ratios, 0.1, seed),
        _row('long mean completion / one FIFO queue', long_ratios, 1.15, seed),
    ]
    for load, values in zip(_CURVE_LOADS, ratios[4:]):
        for name, value in zip(
            ('short p99 response', 'short p99 wait', 'long completion'),
            values,
        ):
            result.append(
                _row(f'{name} ratio at {load} load', (value,), None, seed)
            )
    return result


def _row(
    name: str, values: tuple[float, ...], target: float | None, seed: int
) -> rows.Row:
    return rows.Row(
        name,
        statistics.median(values),
        'ratio',
        1.0,
        target,
        rows.Bound.AT_MOST,
        seed,
        _COMMAND,
    )
