"""Benchmarks of a burst of five times the mean demand on one service."""

from __future__ import annotations

import concurrent.futures
import statistics

from bench import request_traces as traces
from bench import rows
from verbenastream.request.claims import messages as claims
from verbenastream_testing import request_replay as replay

_COMMAND = 'python -m bench.run bench.request_bursts'
_SLOTS = 48
_LOAD = 0.8
_BURST_AT_S = 10.0
_BURST_S = 5.0
_DURATION_S = 20.0
_SEEDS = 3
_WORKERS = 2
_DEADLINE_S = 2.0
_TARGETS_BY_SERVICE = {'product': 6, 'activity': 6}


def _trace(seed: int, factor: float) -> list[replay.Arrival]:
    """Return steady demand on both services and a burst on the first."""
    arrivals = []
    for service in _TARGETS_BY_SERVICE:
        arrivals += traces.short_only(
            seed, _LOAD, _SLOTS, _DURATION_S, service, _DEADLINE_S
        )
    if factor > 1.0:
        arrivals += traces.short_only(
            seed,
            _LOAD * (factor - 1.0),
            _SLOTS,
            _BURST_S,
            'product',
            _DEADLINE_S,
            begin=_BURST_AT_S,
        )
    return sorted(arrivals, key=lambda arrival: arrival.time)


def _measure(seed: int) -> tuple[float, float, float, float]:
    """Measure one replay with a burst.

    Return the share of late answers, the ratio of goodput to capacity, the
    other service's p99 relative to steady demand, and the median Retry-After
    in seconds.
    """
    with_burst = _trace(seed, 5.0)
    steady = _trace(seed, 1.0)
    run = replay.Replay(with_burst, services=_TARGETS_BY_SERVICE, seed=seed)
    run.run()
    replay.Replay(steady, services=_TARGETS_BY_SERVICE, seed=seed).run()
    burst_service = [a for a in with_burst if a.service == 'product']
    rejected = [a for a in burst_service if _rejected_at_once(a)]
    accepted = [a for a in burst_service if not _rejected_at_once(a)]
    late = [
        a
        for a in accepted
        if a.answered is None
        or a.response_s > _DEADLINE_S + 2 * replay.MEXICO.client_s
    ]
    burst_at = run.start + _BURST_AT_S
    # Starts when the backlog of the burst keeps all slots of the pool busy.
    window = (burst_at + 0.5, burst_at + _BURST_S)
    useful_s = sum(
        max(
            0.0,
            min(a.answered, window[1]) - max(a.answered - a.run_s, window[0]),
        )
        for a in burst_service
        if a.answered is not None
    )
    capacity_s = _SLOTS * (window[1] - window[0])
    other_p99_s = [
        traces.quantile(
            [
                a.response_s
                for a in arrivals
                if a.service == 'activity'
                and a.answered is not None
                and burst_at <= a.time < burst_at + _BURST_S + 3.0
            ],
            0.99,
        )
        for arrivals in (with_burst, steady)
    ]
    retry_after_s = [a.retry_after_s or 0.0 for a in rejected]
    return (
        len(late) / max(1, len(accepted)),
        useful_s / capacity_s,
        other_p99_s[0] / other_p99_s[1],
        statistics.median(retry_after_s) if retry_after_s else 0.0,
    )


def _rejected_at_once(arrival: replay.Arrival) -> bool:
    return (
        arrival.outcome is claims.Outcome.NOT_RUN
        and arrival.finished is not None
        and arrival.finished - arrival.time < 0.01
    )


def run(seed: int) -> list[rows.Row]:
    """Return the medians of three seeds."""
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as executor:
        measurements = list(executor.map(_measure, range(seed, seed + _SEEDS)))
    late_share, goodput, other_p99_ratio, retry_after_s = (
        statistics.median(values) for values in zip(*measurements)
    )
    at_most = rows.Bound.AT_MOST
    return [
        rows.Row(
            'burst: accepted work that misses its deadline',
            late_share,
            'share',
            None,
            0.001,
            at_most,
            seed,
            _COMMAND,
        ),
        rows.Row(
            'burst: goodput / capacity',
            goodput,
            'ratio',
            None,
            0.95,
            rows.Bound.AT_LEAST,
            seed,
            _COMMAND,
        ),
        rows.Row(
            "burst: other services' p99 / calm",
            other_p99_ratio,
            'ratio',
            1.0,
            1.1,
            at_most,
            seed,
            _COMMAND,
        ),
        rows.Row(
            'burst: median Retry-After of rejected work',
            retry_after_s,
            's',
            None,
            None,
            at_most,
            seed,
            _COMMAND,
        ),
    ]
