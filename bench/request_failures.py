"""One of six targets fails everything."""

from __future__ import annotations

import concurrent.futures
import statistics

from bench import request_replay as replay
from bench import request_traces as traces
from bench import rows

_COMMAND = 'python -m bench.run bench.request_failures'
_SLOTS = 48
_LOAD = 0.6
_FAULT_AT = 5.0
_SECONDS = 20.0
_SEEDS = 3
_WORKERS = 2


def _measure(seed: int, fault: str) -> tuple[float, float, float, float]:
    """Return the error shares after and before 2 s, extra load, p99."""
    arrivals = traces.short_only(seed, _LOAD, _SLOTS, _SECONDS, deadline_s=5.0)
    run = replay.Replay(arrivals, seed=seed)
    target = next(iter(run.targets.values()))
    fault_at = run.start + _FAULT_AT
    run.at(fault_at, lambda: setattr(target, 'fault', fault))
    run.run()
    after = [a for a in arrivals if a.time >= fault_at + 2.0]
    during = [a for a in arrivals if fault_at <= a.time < fault_at + 2.0]
    runs = sum(a.runs for a in after + during)
    return (
        statistics.fmean(a.status != 200 for a in after),
        statistics.fmean(a.status != 200 for a in during),
        runs / len(after + during) - 1.0,
        traces.quantile(
            [a.response_s for a in after if a.answered is not None], 0.99
        ),
    )


def run(seed: int) -> list[rows.Row]:
    """Return the medians of three seeds for each kind of fault."""
    result = []
    faults = ('fail', 'hang', 'slow')
    cases = [(seed + n, fault) for fault in faults for n in range(_SEEDS)]
    with concurrent.futures.ProcessPoolExecutor(_WORKERS) as executor:
        measured = list(executor.map(_measure, *zip(*cases)))
    for number, fault in enumerate(faults):
        found = measured[number * _SEEDS : (number + 1) * _SEEDS]
        errors, early, extra, p99 = (
            statistics.median(values) for values in zip(*found)
        )
        counted = fault == 'fail'
        for name, value, unit, target in (
            ('errors after 2 s', errors, 'share', 0.001),
            ('errors in the first 2 s', early, 'share', None),
            ('extra load from retries', extra, 'share', 0.1),
            ('p99 response after 2 s', p99, 's', None),
        ):
            result.append(
                rows.Row(
                    f'one of six targets, fault {fault}: {name}',
                    value,
                    unit,
                    None,
                    target if counted else None,
                    rows.Bound.AT_MOST,
                    seed,
                    _COMMAND,
                )
            )
    return result
