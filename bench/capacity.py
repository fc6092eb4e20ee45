"""Figures of planning and maintenance on replayed traces."""

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
# More processes would disturb the other benchmarks of the machine.
_PROCESSES = 2
_SIZES = (300, 600, 1_200, 2_400)
_DAY_S = 86_400.0
# Daily rates of the size in two years: failures, restarts (each is a loss
# and a return), document changes and maintained instances.
_EVENTS_PER_DAY = (2 * 21 + 2 * 370 + 970 + 4 * 43) / 1_200


def run(seed: int) -> list[rows.Row]:
    found = []
    for deployment in capacity_trace.DEPLOYMENTS:
        found.extend(_replay_rows(deployment, seed))
        found.append(_wave_row(deployment, seed))
    found.append(_wave_row(capacity_trace.in_two_years(1_200), seed))
    found.append(_violations_row(seed))
    found.extend(_processor_rows(seed))
    return found


def weights(deployment: capacity_trace.Deployment) -> settings.Weights:
    short_wait, buffer, moves = deployment.weights
    return settings.Weights(short_wait=short_wait, buffer=buffer, moves=moves)


def _replay_rows(
    deployment: capacity_trace.Deployment, seed: int
) -> list[rows.Row]:
    trace = capacity_trace.generate(deployment, seed)
    outcome = capacity_replay.Replay(trace, weights(deployment)).run()
    fixed = capacity_bound.fixed_buffer(trace)
    greedy = capacity_bound.greedy_moves(trace, lasting=False)
    bound = capacity_bound.least_buffer(trace, in_maintenance=1)
    worst = max(
        spent / outcome.allowed_by_pool[service]
        for service, spent in outcome.spent_by_pool.items()
    )
    name = deployment.name
    return [
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: buffer / fixed N+1 per data centre and pool',
            outcome.buffer_mean / fixed,
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
            fixed,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: mean buffer / exact lower bound of {bound}',
            outcome.buffer_mean / bound,
            'ratio',
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: largest share of a budget spent; baseline: fixed',
            worst,
            'ratio',
            capacity_bound.fixed_spent_s(trace),
            1.0,
        ),
        rows.at_most(
            _MODULE,
            seed,
            f'{name}: moves / greedy planner on demand',
            outcome.moves / greedy,
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
            greedy,
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
    """Measure a wave in which every instance is due at once."""
    trace = capacity_trace.generate(deployment, seed, 7.0, peak_s=_DAY_S)
    trace.events.clear()
    trace.no_return_share = 0.0
    for key, record in trace.records.items():
        trace.records[key] = overdue(record, trace.start)
    replay = capacity_replay.Replay(trace, weights(deployment))
    outcome = replay.run()
    took = outcome.last_maintained_at - trace.start
    shortest = capacity_bound.shortest_wave_s(
        trace.documents,
        trace.start,
        replay.away_s_by_pool,
        replay.stand_ins,
    )
    if outcome.maintained < len(trace.records):
        took = float('inf')
    # Both include the wait for the first window, which is no work.
    opens = capacity_bound.first_opening_s(trace.documents, trace.start)
    return rows.at_most(
        _MODULE,
        seed,
        f'{deployment.name}: maintenance wave / shortest of '
        f'{shortest - opens:.0f} s',
        (took - opens) / (shortest - opens),
        'ratio',
        1.0,
        1.25,
    )


def overdue(record: fleet.InstanceRecord, now: float) -> fleet.InstanceRecord:
    return msgspec.structs.replace(record, maintained_at=now - 28.0 * _DAY_S)


def _count_violations(job: tuple[str, int]) -> int:
    """Replay one seed; a broken budget or a missed instance counts too."""
    name, seed = job
    deployment = next(
        item for item in capacity_trace.DEPLOYMENTS if item.name == name
    )
    trace = capacity_trace.generate(deployment, seed, peak_s=7_200.0)
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
class _Cost:
    """Processor seconds of a full plan, per event and per quiet second."""

    full_s: float
    event_s: list[float]
    quiet_s: list[float]

    def core_share(self, workers: int) -> float:
        """Share of a core at the daily rates with a plan each second."""
        events = _EVENTS_PER_DAY * workers
        per_day = events * statistics.mean(self.event_s)
        per_day += (_DAY_S - events) * statistics.mean(self.quiet_s)
        return per_day / _DAY_S


def _measure(workers: int, seed: int) -> _Cost:
    deployment = capacity_trace.in_two_years(workers)
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
        pictures = {
            name: planning.PresencePicture(missing)
            for name in deployment.data_centres
        }
        state = planning.FleetState(
            records,
            documents,
            presence_by_data_centre=pictures,
            returned=returned,
        )
        started = time.process_time()
        result = planner.plan(state, now)
        used = time.process_time() - started
        for item in result.transitions:
            record = records[item.instance]
            records[item.instance] = planning.apply_transition(record, item)
        return used

    nothing: frozenset = frozenset()
    full = sum(plan(nothing, nothing) for _ in range(3))
    events = []
    quiet = []
    for _ in range(60):
        lost = frozenset([rng.choice(sorted(records))])
        service = rng.choice(deployment.services)
        now += 10.0
        events.append(plan(lost, nothing))
        events.append(plan(nothing, lost))
        documents[service] = _resized(documents[service], rng)
        events.append(plan(nothing, nothing))
        for _ in range(5):
            now += 1.0
            quiet.append(plan(nothing, nothing))
    return _Cost(full, events, quiet)


def _resized(document: schema.Document, rng: random.Random) -> schema.Document:
    changed = max(2, document.instances + rng.choice((-1, 1)))
    return msgspec.structs.replace(document, instances=changed)


def _processor_rows(seed: int) -> list[rows.Row]:
    found = []
    for workers in _SIZES:
        cost = _measure(workers, seed)
        stated = workers == 1_200
        found.append(
            rows.at_most(
                _MODULE,
                seed,
                f'planner, {workers} workers: median per event',
                1e3 * statistics.median(cost.event_s),
                'ms',
                None,
                5.0 if stated else None,
            )
        )
        found.append(
            rows.at_most(
                _MODULE,
                seed,
                f'planner, {workers} workers: full plan from nothing',
                cost.full_s,
                's',
                None,
                1.0 if stated else None,
            )
        )
        found.append(
            rows.at_most(
                _MODULE,
                seed,
                f'planner, {workers} workers: share of a core at daily rates',
                100.0 * cost.core_share(workers),
                '%',
                None,
                1.1 if stated else None,
            )
        )
    return found
