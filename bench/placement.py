"""Figures of job placement on replayed traces."""

from __future__ import annotations

import concurrent.futures
import statistics

from bench import placement_replay
from bench import rows

_MODULE = 'bench.placement'
_SEEDS = 200
# More processes would disturb the other benchmarks of the machine.
_PROCESSES = 2


def run(seed: int) -> list[rows.Row]:
    return [*_urgent_rows(seed), *_violation_rows(seed)]


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _urgent_rows(seed: int) -> list[rows.Row]:
    """Replay the size in two years, loaded until other work waits."""
    load = placement_replay.Load(
        workers=1_200,
        teams=83,
        jobs=16_000,
        seconds=90.0,
        cuts=20,
        broken=12,
        settle_s=10.0,
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


def _replay_one(seed: int) -> tuple[int, int, int]:
    load = placement_replay.Load(
        workers=12,
        teams=4,
        jobs=150,
        seconds=120.0,
        cuts=4,
        broken=1,
        cancelled_at_once=30,
    )
    outcome = placement_replay.Replay(load, seed).run()
    unanswered = outcome.submitted - len(outcome.answers)
    held = outcome.counts
    assert held is not None
    left = held.waiting + held.leases + (abs(held.granted.cores) > 1e-6)
    return len(outcome.violations), unanswered, left


def _violation_rows(seed: int) -> list[rows.Row]:
    seeds = [seed * 1_000 + number for number in range(_SEEDS)]
    with concurrent.futures.ProcessPoolExecutor(_PROCESSES) as pool:
        found = list(pool.map(_replay_one, seeds, chunksize=10))
    name = f'placement, {_SEEDS} seeds'
    return [
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: violations of lease fencing',
            sum(item[0] for item in found),
            'count',
            target=0.0,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: jobs without an answer',
            sum(item[1] for item in found),
            'count',
            target=0.0,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: leases, places and charges left at the end',
            sum(item[2] for item in found),
            'count',
            target=0.0,
        ),
    ]
