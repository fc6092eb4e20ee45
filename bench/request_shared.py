"""Slots shared by 12 entries compared with one ideal shared queue."""

from __future__ import annotations

import concurrent.futures
import statistics

from bench import request_traces as traces
from bench import rows
from verbenastream_testing import request_replay as replay

_COMMAND = 'python -m bench.run bench.request_shared'
_SLOTS = 48
_DURATION_S = 20.0
_SEEDS = 5
_WORKERS = 2
_NETWORKS = {'Mexico': replay.MEXICO, 'Ghana': replay.GHANA}


def run(seed: int) -> list[rows.Row]:
    """Return the p99 ratios to the ideal queue and the dispatcher's cost.

    The ratios are medians of five seeds.
    """
    result = []
    for name, network in _NETWORKS.items():
        with concurrent.futures.ProcessPoolExecutor(_WORKERS) as executor:
            ratio_pairs = list(
                executor.map(
                    _measure,
                    range(seed, seed + _SEEDS),
                    [network] * _SEEDS,
                )
            )
        ratios = [ratio for ratio, _ in ratio_pairs]
        ratios_with_hops = [ratio for _, ratio in ratio_pairs]
        result.append(
            _row(f'12 entries, p99 / ideal queue, {name}', ratios, 1.1, seed)
        )
        result.append(
            _row(
                f'12 entries, p99 / ideal with slots held for hops, {name}',
                ratios_with_hops,
                None,
                seed,
            )
        )
    for entries in (1, 12):
        result.extend(_cost_rows(entries, seed))
    return result


def _measure(seed: int, network: replay.Network) -> tuple[float, float]:
    arrivals = traces.short_only(seed, 0.9, _SLOTS, _DURATION_S)
    run = replay.Replay(arrivals, network, seed=seed)
    run.run()
    assert not sum(target.overruns for target in run.targets.values())
    p99_s = traces.quantile([a.response_s for a in arrivals], 0.99)
    mean_hop_s = (
        2 * network.between_data_centres_s + network.within_data_centre_s
    ) / 3
    ideal_p99_s = [
        traces.quantile(
            [
                response
                for _, response in traces.fifo(
                    arrivals, _SLOTS, mean_hop_s, network.client_s, hold_hops
                )
            ],
            0.99,
        )
        for hold_hops in (False, True)
    ]
    return p99_s / ideal_p99_s[0], p99_s / ideal_p99_s[1]


def _cost_rows(entries: int, seed: int) -> list[rows.Row]:
    arrivals = traces.short_only(seed, 0.9, _SLOTS, 10.0)
    run = replay.Replay(arrivals, entries=entries, seed=seed)
    run.run()
    values = {
        'processor time per request': (
            run.handle_time_s / len(arrivals) * 1e6,
            'us',
        ),
        'processor time per event': (
            run.handle_time_s / run.handled_events * 1e6,
            'us',
        ),
        'slot messages per request': (
            run.messages / len(arrivals),
            'messages',
        ),
    }
    return [
        rows.Row(
            f'dispatcher, {entries} entries: {name}',
            value,
            unit,
            None,
            None,
            rows.Bound.AT_MOST,
            seed,
            _COMMAND,
        )
        for name, (value, unit) in values.items()
    ]


def _row(
    name: str, values: list[float], target: float | None, seed: int
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
