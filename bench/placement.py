"""Benchmarks of job placement on replayed traces."""

from __future__ import annotations

import concurrent.futures
import statistics

from bench import placement_replay
from bench import rows

_MODULE = 'bench.placement'
_SEEDS = 200
# More processes would disturb other benchmarks on the same machine.
_PROCESSES = 2


def run(seed: int) -> list[rows.Row]:
    return [*_urgent_rows(seed), *_violation_rows(seed)]


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _urgent_rows(seed: int) -> list[rows.Row]:
    """Replay the fleet expected in two years under overload.

    Work that is not urgent has to wait.
    """
    load = placement_replay.Load(
        workers=1_200,
        teams=83,
        jobs=16_000,
        seconds=90.0,
        partitions=20,
        broken_workers=12,
        drain_limit_s=10.0,
    )
    replay = placement_replay.Replay(load, seed)
    outcome = replay.run()
    name = 'placement, 1200 workers, 83 teams'
    return [
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: urgent work starts, p99 of {len(outcome.urgent_waits)}',
            _quantile(outcome.urgent_waits, 0.99),
            's',
            target=1.1,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: urgent work starts, longest',
            max(outcome.urgent_waits),
            's',
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: median processor time per event',
            1e3 * statistics.median(outcome.event_s),
            'ms',
            target=5.0,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: p99 processor time per event',
            1e3 * _quantile(outcome.event_s, 0.99),
            'ms',
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: largest share of the cores granted',
            100.0 * replay.peak_granted_cores / (load.workers * 32.0),
            '%',
        ),
    ]


def _count_failures(seed: int) -> tuple[int, int, int]:
    """Count violations, unanswered jobs and state left after the last job."""
    load = placement_replay.Load(
        workers=12,
        teams=4,
        jobs=150,
        seconds=120.0,
        partitions=4,
        broken_workers=1,
        cancelled_at_once=30,
    )
    outcome = placement_replay.Replay(load, seed).run()
    unanswered = outcome.submitted - len(outcome.answers)
    counts = outcome.counts
    assert counts is not None
    remaining = (
        counts.waiting + counts.leases + (abs(counts.granted.cores) > 1e-6)
    )
    return len(outcome.violations), unanswered, remaining


def _violation_rows(seed: int) -> list[rows.Row]:
    seeds = [seed * 1_000 + number for number in range(_SEEDS)]
    with concurrent.futures.ProcessPoolExecutor(_PROCESSES) as pool:
        failures = list(pool.map(_count_failures, seeds, chunksize=10))
    name = f'placement, {_SEEDS} seeds'
    return [
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: violations of lease fencing',
            sum(failure_counts[0] for failure_counts in failures),
            'count',
            target=0.0,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: jobs without an answer',
            sum(failure_counts[1] for failure_counts in failures),
            'count',
            target=0.0,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: leases, places and charges left at the end',
            sum(failure_counts[2] for failure_counts in failures),
            'count',
            target=0.0,
        ),
    ]
