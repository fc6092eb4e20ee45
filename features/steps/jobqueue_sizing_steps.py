"""Steps for the sizes of pools: instances move to the spare pool and back."""

from __future__ import annotations

import behave

from verbenastream import ids
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import sizing
from verbenastream_testing.jobqueue import leader as leaders

_POOL = leaders.POOL
_SPARE = leaders.SPARE_POOL


def _listing(context):
    leader = context.leader
    listed = [
        instances.Instance(
            ids.InstanceId(f'm-{worker}'),
            context.pool_by_worker.get(worker, _POOL),
            instances.InstanceState.UP,
            ids.DataCentreId('dc-1'),
            ids.RackId('rack-1'),
            leaders.CAPACITY,
        )
        for worker in leader.running_by_worker
    ]
    return instances.Listing(leader.now, {row.id: row for row in listed})


@behave.when('no task runs for 3 seconds')
def step_no_tasks_run(context):
    leader = context.leader
    context.pool_by_worker = {}
    context.sizer = sizing.PoolSizer(leader.state, leader.dispatcher)
    context.moves = []
    for _ in range(12):
        leader.now += 0.25
        for worker in leader.running_by_worker:
            if worker not in context.pool_by_worker:
                leader.beat(worker)
        for move in context.sizer.plan(_listing(context), set(), leader.now):
            context.moves.append(move)
            context.pool_by_worker[move.worker] = move.pool
            worker = leader.dispatcher.find_worker(move.worker)
            leader.dispatcher.remove_worker(worker)


@behave.then('instances move to the spare pool, and {count:d} workers stay')
def step_moved_to_spare(context, count):
    assert {move.pool for move in context.moves} == {_SPARE}
    assert len(context.leader.dispatcher.workers_by_id) == count


@behave.when('tasks for 200 cores are submitted')
def step_submit_200_cores(context):
    leader = context.leader
    # Moves of the last few seconds still count as in progress.
    leader.now += 5.0
    context.sizer.plan(_listing(context), set(), leader.now)
    leader.submit(model.Step(200, model.Resources(1000, 100), 1.0))
    leader.dispatcher.assign(leader.now, leader.now)
    leader.now += 0.25
    for worker in leader.dispatcher.workers_by_id:
        leader.beat(worker)
    context.moves = context.sizer.plan(_listing(context), set(), leader.now)


@behave.then('instances move back to the pool')
def step_moved_back(context):
    assert context.moves
    assert {move.pool for move in context.moves} == {_POOL}
    assert all(move.worker is None for move in context.moves)


@behave.when('the remaining workers are lost')
def step_lose_remaining(context):
    leader = context.leader
    leader.now += 1.0
    for worker in list(leader.dispatcher.workers_by_id.values()):
        leader.dispatcher.remove_worker(worker)
    context.moves = context.sizer.plan(_listing(context), set(), leader.now)


@behave.then('{count:d} instances move to the pool')
def step_moved_in(context, count):
    target_pools = [move.pool for move in context.moves]
    assert target_pools == [_POOL] * count, target_pools


@behave.when('{workers:d} workers stay and the others move to the spare pool')
def step_remaining_workers(context, workers):
    step_no_tasks_run(context)
    assert len(context.leader.dispatcher.workers_by_id) == workers
    # Moves of the last few seconds still count as in progress.
    context.leader.now += 5.0
    for worker in context.leader.dispatcher.workers_by_id:
        context.leader.beat(worker)
    context.sizer.plan(_listing(context), set(), context.leader.now)


@behave.when(
    'a long-running job of {count:d} tasks with {memory:d} MB each is '
    'submitted'
)
def step_long_running_memory(context, count, memory):
    leader = context.leader
    need = model.Resources(1000, memory)
    leader.submit(
        model.Step(count, need, 1.0, long_running=True, best_effort=True)
    )
    leader.dispatcher.assign(leader.now, leader.now)
    for worker in leader.dispatcher.workers_by_id:
        leader.give_orders(worker)
        leader.report_runs(worker)
    leader.now += 0.25
    context.moves = context.sizer.plan(_listing(context), set(), leader.now)
