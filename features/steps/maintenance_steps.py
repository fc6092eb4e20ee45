"""Steps for maintenance, notices and roll-outs."""

from __future__ import annotations

import behave

from bench import capacity
from bench import capacity_replay
from bench import capacity_trace
from features import planning_world
from verbenastream.version.documents import schema
from verbenastream.version import fleet
from verbenastream.version import maintenance
from verbenastream.version.maintenance import rollouts
from verbenastream.version.maintenance import windows
from verbenastream.version import planning

_S = fleet.InstanceState
_DAY_S = 86_400.0
_HOUR_S = 3_600.0
_DAYS = [day.value for day in schema.Weekday]


def _taken(world):
    return [
        record
        for record in world.records.values()
        if record.reason == 'maintenance'
        and record.state in (_S.DRAINING, _S.IN_MAINTENANCE)
        and (record.pool or record.last_pool) is not None
    ]


def _policy(world, service, **changes):
    document = world.documents[service]
    policy = schema.MaintenancePolicy(
        windows=(schema.MaintenanceWindow(tuple(schema.Weekday), 0, 24),),
        **changes,
    )
    world.documents[service] = schema.Document(
        service=document.service,
        team=document.team,
        instances=document.instances,
        data_centres=document.data_centres,
        operations={},
        customers={},
        maintenance=policy,
        spare=document.spare,
    )


@behave.given('a maintenance window on {day} at {start:d} for {hours:d} hours')
def step_window(context, day, start, hours):
    window = schema.MaintenanceWindow((schema.Weekday(day),), start, hours)
    context.policy = schema.MaintenancePolicy(windows=(window,))


@behave.then('it has {left:d} hours left on {day} at {hour:d}')
def step_window_left(context, left, day, hour):
    now = capacity_trace.START + _DAYS.index(day) * _DAY_S + hour * _HOUR_S
    found = windows.remaining_s(context.policy, now)
    assert found == left * _HOUR_S, found


@behave.given('a replay of one week in which every instance is due')
def step_wave(context):
    deployment = capacity_trace.MEXICO
    trace = capacity_trace.generate(deployment, context.seed, days=7.0)
    trace.events.clear()
    trace.no_return_share = 0.0
    for key, record in trace.records.items():
        trace.records[key] = capacity.overdue(record, trace.start)
    replay = capacity_replay.Replay(trace, capacity.weights(deployment))
    context.outcomes = [replay.run()]
    assert context.outcomes[0].maintained == len(trace.records)


@behave.given(
    'replays of four weeks with failures for seeds {first:d} to {last:d}'
)
def step_replays(context, first, last):
    context.outcomes = []
    for seed in range(first, last + 1):
        deployment = capacity_trace.DEPLOYMENTS[seed % 2]
        trace = capacity_trace.generate(
            deployment,
            seed,
            peak_interval_s=7_200.0,
            max_unavailable=1 + seed % 2,
        )
        replay = capacity_replay.Replay(trace, capacity.weights(deployment))
        context.outcomes.append(replay.run())


@behave.then('every instance was maintained and nothing was violated')
def step_no_violation(context):
    for outcome in context.outcomes:
        assert not outcome.violations, outcome.violations[:3]
        assert not outcome.unmaintained, outcome.unmaintained
        for service, spent in outcome.spent_by_pool.items():
            assert spent <= outcome.allowed_by_pool[service], service


@behave.given('a fleet with due maintenance in an open window')
def step_due(context):
    context.fleet = planning_world.FleetWorld()
    context.fleet.drain_at_once = False
    for service in context.fleet.documents:
        _policy(context.fleet, service)
    context.fleet.settle()
    for key, record in context.fleet.records.items():
        if record.state is _S.SERVING:
            fields = {'maintained_at': capacity_trace.START - 27 * _DAY_S}
            context.fleet.records[key] = planning_world.replace(
                record, **fields
            )


@behave.when('"{service}" burns its budget fast')
def step_burn(context, service):
    context.fleet.spent[service] = planning.BudgetSpent(10.0, fast_burn=True)
    context.plan = context.fleet.settle()


@behave.when('"{service}" has spent its budget')
def step_spent(context, service):
    context.fleet.spent[service] = planning.BudgetSpent(unplanned_s=2_420.0)
    context.plan = context.fleet.settle()


@behave.then('instances of other pools are taken, none of "{service}"')
def step_left_alone(context, service):
    pools = {item.pool or item.last_pool for item in _taken(context.fleet)}
    assert pools and service not in pools, pools
    refused = context.plan.explanations_by_pool[service].refused
    assert any('budget is spent' in item for item in refused), refused


@behave.when('the burn of "{service}" ends')
def step_burn_ends(context, service):
    context.fleet.spent[service] = planning.BudgetSpent(10.0)
    context.plan = context.fleet.settle()


@behave.then('no serving instance is taken and the refusal names "{text}"')
def step_paused(context, text):
    assert not _taken(context.fleet), _taken(context.fleet)
    refused = context.plan.explanations_by_pool['product'].refused
    assert any(text in item for item in refused), refused


@behave.then('each pool has one rack in maintenance')
def step_one_rack(context):
    racks = {}
    for record in _taken(context.fleet):
        pool = record.pool or record.last_pool
        racks.setdefault(pool, set()).add(record.rack)
    assert racks and all(len(found) == 1 for found in racks.values()), racks


@behave.then('a serving instance is taken')
def step_taken(context):
    taken = _taken(context.fleet)
    assert taken
    pools = [record.pool or record.last_pool for record in taken]
    assert len(set(pools)) == len(pools), pools


@behave.when('two instances do not return from maintenance')
def step_not_returned(context):
    world = context.fleet
    context.lost = [
        record.id
        for record in world.records.values()
        if record.state is _S.IDLE
    ][:2]
    for instance in context.lost:
        record = world.records[instance]
        world.records[instance] = planning_world.replace(
            record,
            state=_S.IN_MAINTENANCE,
            since=world.now - 1_800.0,
            reason='maintenance',
        )
    context.plan = world.settle()


@behave.then('both are lost, reported and replaced')
def step_replaced(context):
    world = context.fleet
    for instance in context.lost:
        assert world.records[instance].state is _S.LOST
        assert any(instance in report for report in world.reports)
    for service in world.documents:
        assert len(world.serving(service)) == 5, service


@behave.when('no idle instance is left')
def step_no_idle(context):
    world = context.fleet
    world.lose(
        [item.id for item in world.records.values() if item.state is _S.IDLE]
    )
    context.plan = world.settle()


@behave.when('all but {count:d} idle instances are lost')
def step_few_idle(context, count):
    fleet_state = context.fleet
    idle = sorted(
        item.id
        for item in fleet_state.records.values()
        if item.state is _S.IDLE
    )
    fleet_state.lose(idle[count:])
    context.plan = fleet_state.settle()


@behave.then('{count:d} serving instances are taken')
def step_some_taken(context, count):
    assert len(_taken(context.fleet)) == count, _taken(context.fleet)


@behave.given('pools that may miss two instances')
def step_two_unavailable(context):
    for service in context.fleet.documents:
        _policy(context.fleet, service, max_unavailable=2)
    context.fleet.settle()


@behave.when('an hour passes')
def step_hour(context):
    context.fleet.now += _HOUR_S
    context.plan = context.fleet.settle()


@behave.given('a document whose drains escalate by "{escalation}"')
def step_escalation(context, escalation):
    context.fleet = planning_world.FleetWorld()
    context.fleet.drain_at_once = False
    _policy(
        context.fleet,
        'product',
        drain_timeout_s=60.0,
        escalation=schema.DrainEscalation(escalation),
    )
    context.fleet.settle()


@behave.when('a drain outlives its limit')
def step_late_drain(context):
    world = context.fleet
    record = world.serving('product')[0]
    context.late = record.id
    world.records[record.id] = planning_world.replace(
        record, state=_S.DRAINING, since=world.now, reason='maintenance'
    )
    world.now += 50.0
    world.settle()
    assert not world.actions, world.actions
    assert not world.reports, world.reports
    world.now += 60.0
    context.plan = world.settle()


@behave.then('the plan asks for "{call}" of the instance')
def step_call(context, call):
    asked = [
        action.kind.value
        for action in context.plan.actions
        if action.instance == context.late
    ]
    assert asked == ([] if call == 'nothing' else [call]), asked
    if call == 'nothing':
        assert any(context.late in item for item in context.plan.reports)


@behave.when('the platform announces that a rack goes in ten minutes')
def step_notice(context):
    world = context.fleet
    context.rack = world.serving('product')[0].rack
    data_centre = world.serving('product')[0].data_centre
    world.notices = (
        planning.Notice(
            'notice-1',
            world.now + 600.0,
            world.now + 4_200.0,
            ((data_centre, context.rack),),
        ),
    )
    world.settle()


def _in_rack(context):
    return [
        record
        for record in context.fleet.records.values()
        if record.rack == context.rack
    ]


@behave.then('its instances drain and each pool has its target elsewhere')
def step_evacuated(context):
    for record in _in_rack(context):
        assert record.state is _S.IN_MAINTENANCE, record
    world = context.fleet
    for service in world.documents:
        assert len(world.serving(service)) >= 4, service
    total = sum(len(world.serving(service)) for service in world.documents)
    assert total == 25, total
    drained = False
    for before, after in world.committed:
        if after.state is _S.DRAINING:
            drained = True
            assert before.rack == context.rack, before
        # A stand-in that joins after the drain leaves the pool short.
        assert not (drained and after.state is _S.SERVING), after


@behave.then('they return only after the notice has ended')
def step_return(context):
    world = context.fleet
    world.returned = {record.id for record in _in_rack(context)}
    world.settle()
    assert all(item.state is _S.IN_MAINTENANCE for item in _in_rack(context))
    world.now += 4_300.0
    world.settle()
    assert not any(
        item.state is _S.IN_MAINTENANCE for item in _in_rack(context)
    )


@behave.given('a roll-out in stages of 5%, 25% and 100% over 40 instances')
def step_rollout(context):
    context.rollout = maintenance.RolloutCore(
        maintenance.Rollout(
            'roll-out-1',
            maintenance.RolloutKind.SOFTWARE,
            tuple(f'instance-{position:02}' for position in range(40)),
            'new',
            'old',
        )
    )
    context.now = 0.0
    context.last = context.rollout.start()


def _finish_stage(context, failures):
    (apply,) = context.last
    health = rollouts.Health(1_000, failures, 1_000, 10)
    for instance in apply.instances:
        # A check before the whole stage runs the content decides nothing.
        assert not context.rollout.handle(health, context.now)
        context.rollout.handle(rollouts.Applied(instance), context.now)
    assert not context.rollout.handle(health, context.now)
    context.now += 600.0
    context.last = context.rollout.handle(health, context.now)


@behave.when('the second stage fails twice as often as the rest')
def step_unhealthy(context):
    _finish_stage(context, 10)
    _finish_stage(context, 21)


@behave.then(
    'the roll-out halts and a new revision with the old content follows'
)
def step_halted(context):
    (revert,) = context.last
    assert isinstance(revert, rollouts.Revert)
    assert revert.content == 'old'
    assert context.rollout.status is maintenance.RolloutStatus.HALTED


@behave.then('{reached:d} of 40 instances ever had the new content')
def step_reached(context, reached):
    assert len(context.rollout.updated_instances) == reached


@behave.when('every stage is as healthy as the rest')
def step_healthy(context):
    for _ in range(3):
        _finish_stage(context, 10)


@behave.then('the roll-out is done after {checks:d} health checks')
def step_done(context, checks):
    assert context.last == [rollouts.Finished()]
    assert context.rollout.checks == checks
