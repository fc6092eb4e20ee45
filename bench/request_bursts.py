"""A burst of five times the mean demand on one service."""

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
_BURST_AT = 10.0
_BURST_S = 5.0
_SECONDS = 20.0
_SEEDS = 3
_WORKERS = 2
_DEADLINE_S = 2.0
_SERVICES = {'product': 6, 'activity': 6}


def _trace(seed: int, factor: float) -> list[replay.Arrival]:
    """Return steady demand on both services and a burst on the first."""
    arrivals = []
    for service in _SERVICES:
        arrivals += traces.short_only(
            seed, _LOAD, _SLOTS, _SECONDS, service, _DEADLINE_S
        )
    if factor > 1.0:
        arrivals += traces.short_only(
            seed,
            _LOAD * (factor - 1.0),
            _SLOTS,
            _BURST_S,
            'product',
            _DEADLINE_S,
            begin=_BURST_AT,
        )
    return sorted(arrivals, key=lambda arrival: arrival.time)


def _measure(seed: int) -> tuple[float, float, float, float]:
    """Return late share, goodput, the other's p99 ratio, Retry-After error."""
    burst = _trace(seed, 5.0)
    calm = _trace(seed, 1.0)
    run = replay.Replay(burst, services=_SERVICES, seed=seed)
    run.run()
    replay.Replay(calm, services=_SERVICES, seed=seed).run()
    hit = [a for a in burst if a.service == 'product']
    rejected = [a for a in hit if _rejected_at_once(a)]
    accepted = [a for a in hit if not _rejected_at_once(a)]
    late = [
        a
        for a in accepted
        if a.answered is None
        or a.response_s > _DEADLINE_S + 2 * replay.MEXICO.client_s
    ]
    begin = run.start + _BURST_AT
    # The backlog fills the pool from shortly after the burst's begin.
    window = (begin + 0.5, begin + _BURST_S)
    good_s = sum(
        max(
            0.0,
            min(a.answered, window[1]) - max(a.answered - a.run_s, window[0]),
        )
        for a in hit
        if a.answered is not None
    )
    capacity_s = _SLOTS * (window[1] - window[0])
    other = [
        traces.quantile(
            [
                a.response_s
                for a in found
                if a.service == 'activity'
                and a.answered is not None
                and begin <= a.time < begin + _BURST_S + 3.0
            ],
            0.99,
        )
        for found in (burst, calm)
    ]
    retry_after = [a.retry_after_s or 0.0 for a in rejected]
    return (
        len(late) / max(1, len(accepted)),
        good_s / capacity_s,
        other[0] / other[1],
        statistics.median(retry_after) if retry_after else 0.0,
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
        found = list(executor.map(_measure, range(seed, seed + _SEEDS)))
    late, goodput, other, retry_after = (
        statistics.median(values) for values in zip(*found)
    )
    at_most = rows.Bound.AT_MOST
    return [
        rows.Row(
            'burst: accepted work that misses its deadline',
            late,
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
            other,
            'ratio',
            1.0,
            1.1,
            at_most,
            seed,
            _COMMAND,
        ),
        rows.Row(
            'burst: median Retry-After of rejected work',
            retry_after,
            's',
            None,
            None,
            at_most,
            seed,
            _COMMAND,
        ),
    ]
