"""Steps for faults on real processes, judged by the outside ledgers."""

from __future__ import annotations

import behave

from verbenastream_testing import deployment
from verbenastream_testing import faults
from verbenastream_testing import trial

_TRIAL = 'a trial with {c:d} control, {e:d} entry and {t:d} target processes'


def _start(context, size, **options):
    context.trial = trial.Trial(context.world, context.seed)
    context.world.run(context.trial.start(size, **options))
    context.cluster = context.trial.cluster


@behave.given(_TRIAL)
def step_trial(context, c, e, t):
    _start(context, deployment.Size(c, e, t))


@behave.given(_TRIAL + ' behind proxies')
def step_proxied_trial(context, c, e, t):
    _start(context, deployment.Size(c, e, t), proxied=True)


@behave.given('{count:d} requests at {per_s:d} per second, half of them keyed')
def step_load(context, count, per_s):
    async def begin():
        context.trial.start_load(trial.Load(count, per_s))

    context.world.run(begin())


@behave.given('the link to "{name}" {fault} at byte {byte:d}')
def step_cut(context, name, fault, byte):
    action, direction = fault.split()
    cut = faults.Faults(cut_at=byte)
    if action == 'resets':
        cut = faults.Faults(reset_at=byte)
    link = faults.LinkFaults(forward=cut)
    if direction == 'answers':
        link = faults.LinkFaults(backward=cut)
    context.cluster.links.set(faults.ANY, faults.Party(name), link)


async def _wait_answers(context, count):
    before = len(context.trial.ledger.answers_by_tag)
    await context.trial.wait_answered(max(before, count))


@behave.when('{count:d} answers have come and "{name}" is killed')
def step_kill_after(context, count, name):
    async def kill():
        await _wait_answers(context, count)
        context.cluster.kill(name)

    context.world.run(kill())


@behave.when('{count:d} answers have come and the control leader is killed')
def step_kill_leader(context, count):
    async def kill():
        await _wait_answers(context, count)
        context.leader = await context.trial.operator.leader()
        context.cluster.kill(context.leader)

    context.world.run(kill())


@behave.when('"{name}" is killed')
def step_kill(context, name):
    context.cluster.kill(name)


@behave.when('"{name}" starts again')
def step_restart(context, name):
    if name in context.cluster.layout.entries_by_id:
        context.cluster.start_entry(name)
    elif name in context.cluster.layout.controls_by_id:
        context.cluster.start_control(name)
    else:
        context.cluster.start_target(name)


@behave.then('the ledgers show no violation')
def step_no_violation(context):
    found = context.world.run(context.trial.finish_load())
    assert found.clean, '\n'.join(found.lines())
    context.verdict = found


@behave.then('every request was answered')
def step_all_answered(context):
    assert not context.trial.unanswered(), context.trial.unanswered()[:5]


@behave.then('every request without a key was answered')
def step_unkeyed_answered(context):
    keyed = {
        sent.work
        for sent in context.trial.ledger.sent_by_tag.values()
        if sent.key is not None
    }
    missing = set(context.trial.unanswered()) - keyed
    assert not missing, sorted(missing)[:5]
