"""Steps for pools whose tasks need workers of some kind or size."""

from __future__ import annotations

import dataclasses

import behave
import msgspec

from verbenastream import ids
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import errors
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import sizing
from verbenastream_testing.jobqueue import leader as leaders

_OTHER_POOL = ids.PoolId('pool-b')
_MEMORY_MB = leaders.CAPACITY.memory_mb
_ORDINARY = (frozenset({'a'}), leaders.CAPACITY)
_KIND_B = (frozenset({'b'}), leaders.CAPACITY)
_KIND_C = (frozenset({'c'}), leaders.CAPACITY)
_LARGE = (frozenset({'a'}), model.Resources(32_000, _MEMORY_MB))
_WITH_ACCELERATORS = (
    frozenset({'a'}),
    model.Resources(16_000, _MEMORY_MB, 4),
)
_KINDS_BY_NAME = {
    'of kind b': _KIND_B,
    'of kind c': _KIND_C,
    'with 32 cores': _LARGE,
    'with accelerators': _WITH_ACCELERATORS,
}
_STEPS_BY_NEED = {
    'a worker of kind b': model.Step(
        1, leaders.CAPACITY, estimate_s=1.0, label='b'
    ),
    'a worker of kind c': model.Step(
        1, leaders.CAPACITY, estimate_s=1.0, label='c'
    ),
    '32 cores': model.Step(1, model.Resources(32_000, 100), estimate_s=1.0),
    'an accelerator': model.Step(
        1, model.Resources(1000, 100, 1), estimate_s=1.0
    ),
}


def _instance(name, pool, kind):
    labels, capacity = kind
    return instances.Instance(
        ids.InstanceId(name),
        pool,
        instances.InstanceState.UP,
        ids.DataCentreId('dc-1'),
        ids.RackId('rack-1'),
        capacity,
        labels,
    )


@behave.given('a leader with 3 workers and a spare pool of mixed instances')
def step_mixed_instances(context):
    context.leader = leader = leaders.Leader(3, spare=True)
    context.other_kinds = {}
    kinds = (
        *(_ORDINARY,) * 4,
        *(_KIND_B,) * 3,
        _LARGE,
        _WITH_ACCELERATORS,
    )
    context.kind_by_id = {
        f's-{number}': kind for number, kind in enumerate(kinds)
    }
    context.rows = [
        _instance(name, leaders.SPARE_POOL, kind)
        for name, kind in context.kind_by_id.items()
    ]
    context.rows += [
        _instance(f'm-{worker}', leaders.POOL, _ORDINARY)
        for worker in leader.running_by_worker
    ]
    context.sizer = sizing.PoolSizer(leader.state, leader.dispatcher)
    leader.dispatcher.listing = _listing(context)


@behave.given('another pool with 3 idle workers, one of them of kind c')
def step_other_pool(context):
    leader = context.leader
    configuration = leaders.configuration(version=2, spare=True)
    pools = (*configuration.pools, model.Pool(_OTHER_POOL))
    leader.apply(
        commands.Configure(
            model.Configuration(2, configuration.queues, pools, '2'), 0.0
        )
    )
    context.other_kinds = {'o-0': _ORDINARY, 'o-1': _ORDINARY, 'o-2': _KIND_C}
    context.kind_by_id.update(context.other_kinds)
    context.rows += [
        _instance(name, _OTHER_POOL, kind)
        for name, kind in context.other_kinds.items()
    ]


def _beat(context):
    leader = context.leader
    leader.beat_all()
    for name, (labels, capacity) in context.other_kinds.items():
        leader.sequence += 1
        beat = dataclasses.replace(
            leaders.heartbeat(f'worker-of-{name}', name, leader.sequence),
            pool=_OTHER_POOL,
            labels=labels,
            capacity=capacity,
        )
        leader.dispatcher.observe(beat, leader.now)
        worker = leader.dispatcher.workers_by_id[beat.worker]
        worker.extend_lease(6.0, leader.now)


def _listing(context):
    return instances.Listing(
        context.leader.now, {row.id: row for row in context.rows}
    )


def _plan(context):
    return [
        move
        for move in context.sizer.plan(
            _listing(context), set(), context.leader.now
        )
        if move.pool == leaders.POOL
    ]


@behave.when('a job arrives whose {count:d} tasks need {need}')
def step_job(context, count, need):
    leader = context.leader
    # Long enough for workers to count as idle, too short for a move.
    for _ in range(3):
        leader.now += 0.2
        _beat(context)
        _plan(context)
    leader.submit(msgspec.structs.replace(_STEPS_BY_NEED[need], count=count))
    leader.dispatcher.assign(leader.now, leader.now)
    context.moves = _plan(context)


@behave.then('{count:d} instances move to the pool, all of them {kind}')
def step_moves(context, count, kind):
    kinds = [context.kind_by_id[move.instance] for move in context.moves]
    assert kinds == [_KINDS_BY_NAME[kind]] * count, context.moves


@behave.then('no more move to it while these are on their way')
def step_no_more(context):
    leader = context.leader
    for _ in range(4):
        leader.now += 0.25
        _beat(context)
        leader.dispatcher.assign(leader.now, leader.now)
        moves = _plan(context)
        assert not moves, moves


@behave.then('a job with a task of {cores:d} cores is {verdict}')
def step_size(context, cores, verdict):
    step = model.Step(1, model.Resources(cores * 1000, 100))
    try:
        context.leader.dispatcher.check_size(
            leaders.POOL, model.JobSpec('spec', (step,))
        )
        answer = 'accepted'
    except errors.NeverRunsError:
        answer = 'refused'
    assert answer == verdict, answer


@behave.when(
    'a long-running job of {count:d} tasks arrives, at most {limit:d} on a '
    'worker'
)
def step_spread_job(context, count, limit):
    leader = context.leader
    step = model.Step(
        count,
        model.Resources(1000, 100),
        long_running=True,
        per_worker=limit,
    )
    leader.submit(step)
    leader.dispatcher.assign(leader.now, leader.now)
    for worker in leader.running_by_worker:
        leader.give_orders(worker)
        leader.report_runs(worker)
    context.moves = _plan(context)


@behave.then('a running task fits on no other worker of the pool')
def step_fits_nowhere(context):
    leader = context.leader
    worker, runs = next(iter(leader.state.runs_by_worker.items()))
    [key, *_] = [key for key, _ in runs]
    assert not leader.dispatcher.fits_on_another_worker(
        key, leader.dispatcher.workers_by_id[worker], leader.now
    )
