"""Steps for instances that change pools under faults."""

from __future__ import annotations

import behave

from verbenastream_testing import run_ledger
from verbenastream_testing import trial

_SERVICE, _SPARE = trial.SAMPLE.services
# More at a time than one instance has slots for, so that all get some.
_SPREAD_LOAD = trial.Load(60, 300.0, run_ms=150.0)


async def _pools(context):
    return await context.cluster.pools()


@behave.when('an instance changes pools while the control leader is killed')
def step_change_pool(context):
    async def act():
        await context.trial.wait_answered(60)
        await context.trial.until(
            'every instance runs work of its pool',
            lambda: _all_run_work(context),
        )
        before = await _pools(context)
        for service, count in ((_SPARE, 1), (_SERVICE, 4)):
            await context.trial.submit(service, instances=count)
        context.cluster.kill(await context.trial.operator.leader())

        async def moved():
            now = await _pools(context)
            return any(
                pool == _SERVICE and before.get(name, pool) != pool
                for name, pool in now.items()
            )

        await context.trial.until('an instance has moved', moved)

        async def ran_both_pools():
            await context.trial.run_load(_SPREAD_LOAD)
            return _any_ran_both_pools(context)

        await context.trial.until(
            'it runs work of its new pool', ran_both_pools
        )

    context.world.run(act())


async def _all_run_work(context):
    """Whether any instance that moves will have run work of its old pool."""
    await context.trial.run_load(_SPREAD_LOAD)
    pools_by_instance = _pools_by_instance(context)
    return all(
        pool in pools_by_instance.get(name, ())
        for name, pool in (await _pools(context)).items()
    )


def _pools_by_instance(context):
    """Return the pools of which each instance has started work."""
    pools_by_instance = {}
    for event in context.cluster.runs():
        if event.kind is run_ledger.RunEventKind.START:
            pools_by_instance.setdefault(event.instance, set()).add(event.pool)
    return pools_by_instance


def _any_ran_both_pools(context):
    return any(
        len(pools) == 2 for pools in _pools_by_instance(context).values()
    )


@behave.then('an instance ran work of both pools')
def step_both_pools(context):
    assert _any_ran_both_pools(context)


@behave.when(
    'a serving target is paused until it was replaced and then resumed'
)
def step_replace_paused_target(context):
    async def act():
        await context.trial.wait_answered(60)
        name = sorted(await _pools(context))[0]
        context.cluster.pause(name)

        async def lost():
            status = await context.trial.operator.status()
            return status.instances_by_state.get('lost', 0) == 1

        await context.trial.until(f'{name} counts as lost', lost)
        context.cluster.resume(name)

    context.world.run(act())
