"""Benchmarks of planning and maintenance on replayed traces."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import random
import statistics
import time

import msgspec

from bench import capacity_bound
from bench import capacity_replay
from bench import capacity_trace
from bench import rows
from verbenastream.process.settings import schema as settings
from verbenastream.version.documents import schema
from verbenastream.version import fleet
from verbenastream.version import planning

_MODULE = 'bench.capacity'
_VIOLATION_SEEDS = 200
# More processes would disturb other benchmarks on the same machine.
_PROCESSES = 2
_FLEET_SIZES = (300, 600, 1_200, 2_400)
_DAY_S = 86_400.0
# Events per day and instance, from the projection for 1,200 instances:
# failures and restarts (each is a loss and a return), document changes and
# instances in maintenance (four transitions each).
_EVENTS_PER_INSTANCE_DAY = (2 * 21 + 2 * 370 + 970 + 4 * 43) / 1_200


def run(seed: int) -> list[rows.Row]:
    result = []
    for deployment in capacity_trace.DEPLOYMENTS:
        result.extend(_replay_rows(deployment, seed))
        result.append(_wave_row(deployment, seed))
    result.append(_wave_row(capacity_trace.two_year_projection(1_200), seed))
    result.append(_violations_row(seed))
    result.extend(_planner_cost_rows(seed))
    return result


def weights(deployment: capacity_trace.Deployment) -> settings.Weights:
    short_wait, buffer, moves = deployment.weights
    return settings.Weights(short_wait=short_wait, buffer=buffer, moves=moves)


def _replay_rows(
    deployment: capacity_trace.Deployment, seed: int
) -> list[rows.Row]:
    trace = capacity_trace.generate(deployment, seed)
    outcome = capacity_replay.Replay(trace, weights(deployment)).run()
    fixed_buffer = capacity_bound.fixed_buffer_instances(trace)
    greedy_moves = capacity_bound.count_greedy_moves(
        trace, use_lasting_demand=False
    )
    min_buffer = capacity_bound.min_buffer_instances(trace, in_maintenance=1)
    max_budget_share = max(
        spent_s / outcome.allowed_by_pool[pool]
        for pool, spent_s in outcome.spent_by_pool.items()
    )
    name = deployment.name
    return [
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: buffer / fixed N+1 per data centre and pool',
            outcome.buffer_mean / fixed_buffer,
            'ratio',
            1.0,
            0.6,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: mean buffer; baseline: fixed',
            outcome.buffer_mean,
            'instances',
            fixed_buffer,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: mean buffer / exact lower bound of {min_buffer}',
            outcome.buffer_mean / min_buffer,
            'ratio',
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: largest share of a budget spent; baseline: fixed',
            max_budget_share,
            'ratio',
            capacity_bound.fixed_buffer_budget_share(trace),
            1.0,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: moves / greedy planner on demand',
            outcome.moves / greedy_moves,
            'ratio',
            1.0,
            0.3,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: moves; baseline: greedy',
            outcome.moves,
            'moves',
            greedy_moves,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: violations, pools short because of a move included',
            len(outcome.violations),
            'count',
            None,
            0.0,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: instances without maintenance in four weeks',
            outcome.unmaintained,
            'count',
            None,
            0.0,
        ),
    ]


def _wave_row(deployment: capacity_trace.Deployment, seed: int) -> rows.Row:
    """Measure a maintenance wave in which every instance is due at once."""
    trace = capacity_trace.generate(
        deployment, seed, 7.0, peak_interval_s=_DAY_S
    )
    trace.events.clear()
    trace.no_return_share = 0.0
    for key, record in trace.records.items():
        trace.records[key] = overdue(record, trace.start)
    replay = capacity_replay.Replay(trace, weights(deployment))
    outcome = replay.run()
    duration_s = outcome.last_maintained_at - trace.start
    lower_bound_s = capacity_bound.wave_lower_bound_s(
        trace.documents,
        trace.start,
        replay.unavailable_s_by_pool,
        replay.replacements,
    )
    if outcome.maintained < len(trace.records):
        duration_s = float('inf')
    # Excludes the wait for the first window from both times.
    first_window_s = capacity_bound.first_window_opens_in_s(
        trace.documents, trace.start
    )
    return rows.at_most(
        _MODULE,
        seed,
        f'{deployment.name}: maintenance wave / shortest of '
        f'{lower_bound_s - first_window_s:.0f} s',
        (duration_s - first_window_s) / (lower_bound_s - first_window_s),
        'ratio',
        1.0,
        1.25,
    )


def overdue(record: fleet.InstanceRecord, now: float) -> fleet.InstanceRecord:
    return msgspec.structs.replace(record, maintained_at=now - 28.0 * _DAY_S)


def _count_violations(job: tuple[str, int]) -> int:
    """Count the violations of one seed and the instances not maintained."""
    name, seed = job
    deployment = next(
        item for item in capacity_trace.DEPLOYMENTS if item.name == name
    )
    trace = capacity_trace.generate(deployment, seed, peak_interval_s=7_200.0)
    outcome = capacity_replay.Replay(trace, weights(deployment)).run()
    return len(outcome.violations) + outcome.unmaintained


def _violations_row(seed: int) -> rows.Row:
    jobs = [
        (deployment.name, seed * 1_000 + number)
        for number in range(_VIOLATION_SEEDS // 2)
        for deployment in capacity_trace.DEPLOYMENTS
    ]
    with concurrent.futures.ProcessPoolExecutor(_PROCESSES) as pool:
        violations = sum(pool.map(_count_violations, jobs, chunksize=10))
    return rows.at_most(
        _MODULE,
        seed,
        f'violations of pools, budgets and windows, {len(jobs)} seeds',
        violations,
        'count',
        None,
        0.0,
    )


@dataclasses.dataclass
class _PlanningCost:
    """CPU seconds of full plans, and of each plan with and without events."""

    full_s: float
    event_s: list[float]
    idle_s: list[float]

    def core_share(self, workers: int) -> float:
        """Return the used share of a core with one plan per second."""
        events_per_day = _EVENTS_PER_INSTANCE_DAY * workers
        cpu_s_per_day = events_per_day * statistics.mean(self.event_s)
        cpu_s_per_day += (_DAY_S - events_per_day) * statistics.mean(
            self.idle_s
        )
        return cpu_s_per_day / _DAY_S


def _measure_planner(workers: int, seed: int) -> _PlanningCost:
    deployment = capacity_trace.two_year_projection(workers)
    rng = random.Random(seed)
    records = capacity_trace.records(deployment, rng)
    documents = {
        service: capacity_trace.document(
            deployment, service, deployment.instances
        )
        for service in deployment.services
    }
    now = capacity_trace.START
    planner = planning.Planner.from_config(settings.Weights())

    def plan(missing: frozenset, returned: frozenset) -> float:
        presence = {
            name: planning.DataCentrePresence(missing)
            for name in deployment.data_centres
        }
        state = planning.FleetState(
            records,
            documents,
            presence_by_data_centre=presence,
            returned=returned,
        )
        started_at = time.process_time()
        result = planner.plan(state, now)
        used_s = time.process_time() - started_at
        for transition in result.transitions:
            record = records[transition.instance]
            records[transition.instance] = planning.apply_transition(
                record, transition
            )
        return used_s

    no_instances: frozenset = frozenset()
    full_s = sum(plan(no_instances, no_instances) for _ in range(3))
    event_s = []
    idle_s = []
    for _ in range(60):
        lost_instances = frozenset([rng.choice(sorted(records))])
        service = rng.choice(deployment.services)
        now += 10.0
        event_s.append(plan(lost_instances, no_instances))
        event_s.append(plan(no_instances, lost_instances))
        documents[service] = _change_instances(documents[service], rng)
        event_s.append(plan(no_instances, no_instances))
        for _ in range(5):
            now += 1.0
            idle_s.append(plan(no_instances, no_instances))
    return _PlanningCost(full_s, event_s, idle_s)


def _change_instances(
    document: schema.Document, rng: random.Random
) -> schema.Document:
    instances = max(2, document.instances + rng.choice((-1, 1)))
    return msgspec.structs.replace(document, instances=instances)


def _planner_cost_rows(seed: int) -> list[rows.Row]:
    result = []
    for workers in _FLEET_SIZES:
        cost = _measure_planner(workers, seed)
        has_target = workers == 1_200
        result.append(
            rows.at_most(
                _MODULE,
                seed,
                f'planner, {workers} workers: median per event',
                1e3 * statistics.median(cost.event_s),
                'ms',
                None,
                5.0 if has_target else None,
            )
        )
        result.append(
            rows.at_most(
                _MODULE,
                seed,
                f'planner, {workers} workers: full plan from nothing',
                cost.full_s,
                's',
                None,
                1.0 if has_target else None,
            )
        )
        result.append(
            rows.at_most(
                _MODULE,
                seed,
                f'planner, {workers} workers: share of a core at daily rates',
                100.0 * cost.core_share(workers),
                '%',
                None,
                1.1 if has_target else None,
            )
        )
    return result
