"""Short work beside long work: lanes against one FIFO queue."""

from __future__ import annotations

import concurrent.futures
import statistics

from bench import request_traces as traces
from bench import rows
from verbenastream_testing import request_replay as replay

_COMMAND = 'python -m bench.run bench.request_lanes'
_SLOTS = 48
_SECONDS = 300.0
_CURVE_SECONDS = 120.0
_CURVE = (0.5, 0.6, 0.7, 0.8, 0.95)
_HOP = (
    2 * replay.MEXICO.between_data_centres_s
    + replay.MEXICO.within_data_centre_s
) / 3
_WORKERS = 2


def _measure(
    arguments: tuple[int, float, float],
) -> tuple[float, float, float]:
    """Return the three ratios of one seed, load and length in seconds."""
    seed, load, seconds = arguments
    both, without = traces.mixed(seed, load, _SLOTS, seconds)
    replay.Replay(both, seed=seed).run()
    replay.Replay(without, seed=seed).run()
    queue = traces.fifo(both, _SLOTS, _HOP, replay.MEXICO.client_s)
    short = [arrival for arrival in both if not arrival.long]
    long = [arrival for arrival in both if arrival.long]
    fifo_wait = [w for a, (w, _) in zip(both, queue) if not a.long]
    fifo_long = [r for a, (_, r) in zip(both, queue) if a.long]
    response = traces.quantile([a.response_s for a in short], 0.99)
    alone = traces.quantile([a.response_s for a in without], 0.99)
    wait = traces.quantile([a.wait_s for a in short], 0.99)
    return (
        response / alone,
        wait / traces.quantile(fifo_wait, 0.99),
        statistics.fmean(a.response_s for a in long)
        / statistics.fmean(fifo_long),
    )


def run(seed: int) -> list[rows.Row]:
    """Return the ratios at 0.9 load (medians of four seeds) and the curve."""
    cases = [(seed + n, 0.9, _SECONDS) for n in range(4)]
    cases += [(seed, load, _CURVE_SECONDS) for load in _CURVE]
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as executor:
        found = list(executor.map(_measure, cases))
    response, wait, long = zip(*found[:4])
    result = [
        _row('short p99 response / without long work', response, 1.3, seed),
        _row('short p99 wait / one FIFO queue', wait, 0.1, seed),
        _row('long mean completion / one FIFO queue', long, 1.15, seed),
    ]
    for load, values in zip(_CURVE, found[4:]):
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
