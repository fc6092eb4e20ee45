"""Steps for the burn report of real processes."""

from __future__ import annotations

import behave

from verbenastream_testing import caller_ledger


async def _kill_leader(context):
    context.leader = await context.trial.operator.leader()
    context.cluster.kill(context.leader)


@behave.when('the load has ended and the control leader is killed')
def step_ended_and_kill(context):
    context.world.run(context.trial.finish_load())
    context.world.run(_kill_leader(context))


@behave.when('the control leader is killed once more')
def step_kill_again(context):
    context.world.run(_kill_leader(context))


@behave.when('the killed leader starts again and "{entry}" is killed')
def step_restart_and_kill(context, entry):
    async def act():
        context.cluster.start_control(context.leader)
        await context.cluster.processes.wait_ready([context.leader], 20.0)

        async def caught_up():
            status = await context.trial.operator.status()
            lags = status.replica.lag_by_name
            return all(lag == 0 for lag in lags.values())

        await context.trial.until('the replica has caught up', caught_up)

    context.world.run(act())
    context.cluster.kill(entry)


@behave.then('the burn report of the new leader counts every answer')
def step_counts_all(context):
    ledger = context.trial.ledger
    ran = sum(
        answer.outcome is caller_ledger.AttemptOutcome.RAN
        for answer in ledger.answers_by_tag.values()
    )
    assert ran > 0

    async def counted():
        report = await context.trial.operator.burn()
        good = sum(item.good for item in report.services)
        # There cannot be more good answers than attempts of callers.
        assert good <= len(ledger.sent_by_tag), good
        return good >= ran

    context.world.run(context.trial.until('every answer counts', counted))
