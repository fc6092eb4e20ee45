"""Steps for faults on real processes.

The ledgers that callers and targets write show what happened.
"""

from __future__ import annotations

import asyncio
import time

import behave

from verbenastream_testing import deployment
from verbenastream_testing import disturber
from verbenastream_testing import faults
from verbenastream_testing import run_ledger
from verbenastream_testing import target_settings
from verbenastream_testing import trial

_TRIAL_STEP = (
    'a trial with {controls:d} control, {entries:d} entry and '
    '{targets:d} target processes'
)


def _start(context, size, **options):
    context.trial = trial.Trial(context.world, context.seed)
    context.world.run(context.trial.start(size, **options))
    context.cluster = context.trial.cluster


@behave.given(_TRIAL_STEP)
def step_trial(context, controls, entries, targets):
    _start(context, deployment.Size(controls, entries, targets))


@behave.given(_TRIAL_STEP + ' behind proxies')
def step_proxied_trial(context, controls, entries, targets):
    _start(context, deployment.Size(controls, entries, targets), proxied=True)


@behave.step('{count:d} requests at {per_s:d} per second, half of them keyed')
def step_load(context, count, per_s):
    async def begin():
        context.trial.start_load(trial.Load(count, per_s))

    context.world.run(begin())


def _set_link_fault(context, name, fault, byte):
    action, direction = fault.split()
    end = faults.Faults(close_after_bytes=byte)
    if action == 'resets':
        end = faults.Faults(reset_after_bytes=byte)
    link = faults.LinkFaults(forward=end)
    if direction == 'answers':
        link = faults.LinkFaults(backward=end)
    context.cluster.links.set(faults.ANY, faults.Party(name), link)


@behave.when('{count:d} requests are sent while each link has its fault')
def step_each_link(context, count):
    async def act():
        for row in context.table:
            context.cluster.links.heal()
            _set_link_fault(
                context, row['target'], row['fault'], int(row['byte'])
            )
            await context.trial.run_load(trial.Load(count, 100.0))
        context.cluster.links.heal()

    context.world.run(act())


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
    context.verdict = context.world.run(context.trial.finish_load())
    assert context.verdict.passed, '\n'.join(context.verdict.lines())


@behave.then('every request was answered')
def step_all_answered(context):
    missing = context.trial.unanswered()
    assert not missing, context.trial.describe(missing[:5])


@behave.then('every request without a key was answered')
def step_unkeyed_answered(context):
    keyed = {
        sent.work
        for sent in context.trial.ledger.sent_by_tag.values()
        if sent.key is not None
    }
    missing = set(context.trial.unanswered()) - keyed
    assert not missing, context.trial.describe(sorted(missing)[:5])


@behave.when('{count:d} answers have come and the target "{name}" leaves')
def step_leave_after(context, count, name):
    context.world.run(_wait_answers(context, count))
    step_leave(context, name)


@behave.when('the target "{name}" leaves')
def step_leave(context, name):
    # leave() returns once the announcement was answered, so the limit of 3 s
    # counts from before the call.
    context.left_at = time.monotonic()
    context.world.run(context.cluster.leave(name))


@behave.when(
    '{count:d} answers have come and "{name}" is cut off from everyone'
)
def step_cut_off_after(context, count, name):
    context.world.run(_wait_answers(context, count))
    step_cut_off(context, name)


@behave.when('"{name}" is cut off from everyone')
def step_cut_off(context, name):
    context.cluster.links.isolate(faults.Party(name))


@behave.when('{count:d} answers have come and "{name}" is paused')
def step_pause(context, count, name):
    context.world.run(_wait_answers(context, count))
    context.cluster.pause(name)


@behave.when('"{name}" is resumed after its grants have expired')
def step_resume(context, name):
    # Grants last 2 s, so those held when the process was paused have expired.
    context.world.run(asyncio.sleep(2.5))
    context.cluster.resume(name)


@behave.then('"{name}" started no work later than 3 s after it left')
def step_no_late_start(context, name):
    late = [
        event.at - context.left_at
        for event in context.cluster.runs()
        if event.instance == name
        and event.kind is run_ledger.RunEventKind.START
        and event.at > context.left_at + 3.0
    ]
    assert not late, late


async def _restart_in_turn(context, names, ready):
    context.exit_statuses = {}
    for name in names:
        status = await context.cluster.processes.stop(name, 30.0)
        context.exit_statuses[name] = status
        step_restart(context, name)
        await ready(name)


@behave.when('each entry is stopped and started again in turn under load')
def step_restart_entries(context):
    async def ready(name):
        await context.cluster.wait_entries([name])

        async def balanced():
            return name in context.cluster.balancer.ready

        await context.trial.until(f'{name} is balanced', balanced)

    names = list(context.cluster.layout.entries_by_id)
    context.world.run(_restart_in_turn(context, names, ready))


@behave.when(
    'each control process is stopped and started again in turn under load'
)
def step_restart_controls(context):
    async def ready(name):
        await context.cluster.processes.wait_ready([name], 20.0)

    names = list(context.cluster.layout.controls_by_id)
    context.world.run(_restart_in_turn(context, names, ready))


@behave.then('each entry ended with status 0')
def step_exit_statuses(context):
    assert set(context.exit_statuses.values()) == {0}, context.exit_statuses


@behave.then('no caller saw a broken connection')
def step_no_broken_connection(context):
    broken = [
        answer
        for answer in context.trial.ledger.answers_by_tag.values()
        if answer.error is not None
    ]
    assert not broken, broken[:3]


@behave.then('most keyed requests were answered')
def step_most_keyed(context):
    keyed = {
        sent.work
        for sent in context.trial.ledger.sent_by_tag.values()
        if sent.key is not None
    }
    missing = keyed & set(context.trial.unanswered())
    # Keyed work that was sent to the faulty target before its ejection has an
    # unknown outcome.
    assert len(missing) < len(keyed) / 4, (len(missing), len(keyed))


@behave.when('every target runs each request and then closes its connection')
def step_close_after_run(context):
    async def act():
        # The client library repeats requests only on kept-alive connections,
        # so some have to exist first.
        await context.trial.run_load(trial.Load(60, 200.0))
        drop = target_settings.Behaviour(target_settings.Fault.DROP)
        for name in context.cluster.layout.targets_by_id:
            await context.cluster.set_behaviour(name, drop)

    context.world.run(act())


@behave.when('{count:d} keyed requests are sent with the method {method}')
def step_send_keyed(context, count, method):
    keyed_load = trial.Load(count, 50.0, keyed_share=1.0, method=method)
    context.world.run(context.trial.run_load(keyed_load))


@behave.when('{count:d} answers have come and the control leader is paused')
def step_pause_leader(context, count):
    async def pause():
        await _wait_answers(context, count)
        context.leader = await context.trial.operator.leader()
        context.cluster.pause(context.leader)

    context.world.run(pause())


@behave.when('another control process leads and the paused one is resumed')
def step_resume_leader(context):
    async def another_leads():
        return await context.trial.operator.leader() != context.leader

    context.world.run(context.trial.until('another one leads', another_leads))
    context.cluster.resume(context.leader)


@behave.when(
    '{count:d} requests at {per_s:d} per second are sent under random faults'
)
def step_random_faults(context, count, per_s):
    async def act():
        done = asyncio.Event()
        disturbances = disturber.FaultInjector(context.cluster, context.random)
        disturbing = asyncio.ensure_future(disturbances.run(done))
        await context.trial.run_load(trial.Load(count, float(per_s)))
        done.set()
        await disturbing

    context.world.run(act())


@behave.when('each message to control is delivered twice')
def step_deliver_twice(context):
    async def act():
        links = context.cluster.links
        controls = context.cluster.layout.controls_by_id
        duplicate = faults.LinkFaults(forward=faults.Faults(duplicate=True))
        # The proxy duplicates a connection from its first byte or not at all,
        # so open connections are closed first.
        close = faults.LinkFaults(forward=faults.Faults(close_after_bytes=1))
        for fault in (close, duplicate):
            for name in controls:
                links.set(faults.ANY, faults.Party(name), fault)
            await asyncio.sleep(0.6)

    context.world.run(act())
