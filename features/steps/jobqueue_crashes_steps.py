"""Steps that play schedules with tasks that crash their workers."""

from __future__ import annotations

import dataclasses

import behave

from verbenastream.process.jobqueue import model
from verbenastream_testing.jobqueue import crashing

_SEEDS = range(4)


@behave.when('{kind} tasks crash their workers {delay_s:g} s after each start')
def step_crashing_tasks(context, kind, delay_s):
    context.plan = crashing.Plan(
        delay_s=delay_s, step=crashing.CrashingStep(kind)
    )


@behave.when('the workers return under {id}')
def step_restart(context, id):
    context.plan = dataclasses.replace(
        context.plan, restart=crashing.Restart(id)
    )


@behave.when('the leader changes every 9 s')
def step_change_leader(context):
    context.plan = dataclasses.replace(context.plan, changes_leader=True)


@behave.when('the workers of one rack crash at 3, 7 and 12 s')
def step_outages(context):
    plan = getattr(context, 'plan', crashing.Plan(crashing_jobs=()))
    context.plan = dataclasses.replace(plan, outages_s=(3.0, 7.0, 12.0))


def _play(context):
    if not hasattr(context, 'results'):
        context.results = [
            crashing.play(seed, context.plan) for seed in _SEEDS
        ]
    return context.results


@behave.then('such a task starts at most twice after three crashes')
def step_budget(context):
    for result in _play(context):
        assert result.crashes, 'no worker crashed'
        assert not result.violations, result.violations[:3]


@behave.then('all jobs are completed')
@behave.then(
    'each job with such a task has failed and all others are completed'
)
def step_phases(context):
    for seed, result in zip(_SEEDS, _play(context)):
        for job, phase in result.phase_by_crashing_job.items():
            assert phase is model.JobPhase.FAILED, (seed, job, phase)
        for job, phase in result.phase_by_other_job.items():
            assert phase is model.JobPhase.COMPLETED, (seed, job, phase)
        assert not result.violations, result.violations[:3]
