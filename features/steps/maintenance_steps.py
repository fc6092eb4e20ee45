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

_State = fleet.InstanceState
_DAY_S = 86_400.0
_HOUR_S = 3_600.0
_WEEKDAYS = [day.value for day in schema.Weekday]


def _withdrawn(simulation):
    """Return the instances of pools that drain for or are in maintenance."""
    return [
        record
        for record in simulation.records.values()
        if record.reason == 'maintenance'
        and record.state in (_State.DRAINING, _State.IN_MAINTENANCE)
        and (record.pool or record.last_pool) is not None
    ]


def _set_policy(simulation, service, **changes):
    """Open the maintenance window of a service at all hours."""
    document = simulation.documents[service]
    policy = schema.MaintenancePolicy(
        windows=(schema.MaintenanceWindow(tuple(schema.Weekday), 0, 24),),
        **changes,
    )
    simulation.documents[service] = schema.Document(
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
    now = capacity_trace.START + _WEEKDAYS.index(day) * _DAY_S + hour * _HOUR_S
    remaining_s = windows.remaining_s(context.policy, now)
    assert remaining_s == left * _HOUR_S, remaining_s


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


@behave.then('every instance was maintained and no invariant was violated')
def step_no_violation(context):
    for outcome in context.outcomes:
        assert not outcome.violations, outcome.violations[:3]
        assert not outcome.unmaintained, outcome.unmaintained
        for service, spent in outcome.spent_by_pool.items():
            assert spent <= outcome.allowed_by_pool[service], service


@behave.given('a fleet with due maintenance in an open window')
def step_due(context):
    context.fleet = planning_world.FleetSimulation()
    context.fleet.drain_at_once = False
    for service in context.fleet.documents:
        _set_policy(context.fleet, service)
    context.fleet.plan_until_stable()
    for key, record in context.fleet.records.items():
        if record.state is _State.SERVING:
            fields = {'maintained_at': capacity_trace.START - 27 * _DAY_S}
            context.fleet.records[key] = planning_world.replace(
                record, **fields
            )


@behave.when('"{service}" burns its budget fast')
def step_burn(context, service):
    context.fleet.spent[service] = planning.BudgetSpent(10.0, fast_burn=True)
    context.plan = context.fleet.plan_until_stable()


@behave.when('"{service}" has spent its budget')
def step_spent(context, service):
    context.fleet.spent[service] = planning.BudgetSpent(unplanned_s=2_420.0)
    context.plan = context.fleet.plan_until_stable()


@behave.then('instances of other pools are withdrawn, none of "{service}"')
def step_no_maintenance(context, service):
    pools = {item.pool or item.last_pool for item in _withdrawn(context.fleet)}
    assert pools and service not in pools, pools
    refused = context.plan.explanations_by_pool[service].refused
    assert any('budget is spent' in item for item in refused), refused


@behave.when('the burn of "{service}" ends')
def step_burn_ends(context, service):
    context.fleet.spent[service] = planning.BudgetSpent(10.0)
    context.plan = context.fleet.plan_until_stable()


@behave.then('no serving instance is withdrawn and the refusal names "{text}"')
def step_paused(context, text):
    assert not _withdrawn(context.fleet), _withdrawn(context.fleet)
    refused = context.plan.explanations_by_pool['product'].refused
    assert any(text in item for item in refused), refused


@behave.then('each pool has one rack in maintenance')
def step_one_rack(context):
    racks_by_pool = {}
    for record in _withdrawn(context.fleet):
        pool = record.pool or record.last_pool
        racks_by_pool.setdefault(pool, set()).add(record.rack)
    one_each = all(len(racks) == 1 for racks in racks_by_pool.values())
    assert racks_by_pool and one_each, racks_by_pool


@behave.then('a serving instance is withdrawn for maintenance')
def step_one_withdrawn(context):
    records = _withdrawn(context.fleet)
    assert records
    pools = [record.pool or record.last_pool for record in records]
    assert len(set(pools)) == len(pools), pools


@behave.when('two instances do not return from maintenance')
def step_not_returned(context):
    simulation = context.fleet
    context.lost = [
        record.id
        for record in simulation.records.values()
        if record.state is _State.IDLE
    ][:2]
    for instance in context.lost:
        record = simulation.records[instance]
        simulation.records[instance] = planning_world.replace(
            record,
            state=_State.IN_MAINTENANCE,
            since=simulation.now - 1_800.0,
            reason='maintenance',
        )
    context.plan = simulation.plan_until_stable()


@behave.then('both are lost, reported and replaced')
def step_replaced(context):
    simulation = context.fleet
    for instance in context.lost:
        assert simulation.records[instance].state is _State.LOST
        assert any(instance in report for report in simulation.reports)
    for service in simulation.documents:
        assert len(simulation.serving(service)) == 5, service


@behave.when('no idle instance is left')
def step_no_idle(context):
    simulation = context.fleet
    simulation.lose(
        [
            item.id
            for item in simulation.records.values()
            if item.state is _State.IDLE
        ]
    )
    context.plan = simulation.plan_until_stable()


@behave.when('all but {count:d} idle instances are lost')
def step_few_idle(context, count):
    simulation = context.fleet
    idle = sorted(
        item.id
        for item in simulation.records.values()
        if item.state is _State.IDLE
    )
    simulation.lose(idle[count:])
    context.plan = simulation.plan_until_stable()


@behave.then('{count:d} serving instances are withdrawn for maintenance')
def step_count_withdrawn(context, count):
    assert len(_withdrawn(context.fleet)) == count, _withdrawn(context.fleet)


@behave.given('pools with at most two unavailable instances')
def step_two_unavailable(context):
    for service in context.fleet.documents:
        _set_policy(context.fleet, service, max_unavailable=2)
    context.fleet.plan_until_stable()


@behave.when('an hour passes')
def step_hour(context):
    context.fleet.now += _HOUR_S
    context.plan = context.fleet.plan_until_stable()


@behave.given('a document whose drains escalate by "{escalation}"')
def step_escalation(context, escalation):
    context.fleet = planning_world.FleetSimulation()
    context.fleet.drain_at_once = False
    _set_policy(
        context.fleet,
        'product',
        drain_timeout_s=60.0,
        escalation=schema.DrainEscalation(escalation),
    )
    context.fleet.plan_until_stable()


@behave.when('a drain exceeds its time limit')
def step_late_drain(context):
    simulation = context.fleet
    record = simulation.serving('product')[0]
    context.draining = record.id
    simulation.records[record.id] = planning_world.replace(
        record,
        state=_State.DRAINING,
        since=simulation.now,
        reason='maintenance',
    )
    simulation.now += 50.0
    simulation.plan_until_stable()
    assert not simulation.actions, simulation.actions
    assert not simulation.reports, simulation.reports
    simulation.now += 60.0
    context.plan = simulation.plan_until_stable()


@behave.then('the plan asks for "{call}" of the instance')
def step_call(context, call):
    calls = [
        action.kind.value
        for action in context.plan.actions
        if action.instance == context.draining
    ]
    assert calls == ([] if call == 'nothing' else [call]), calls
    if call == 'nothing':
        assert any(context.draining in item for item in context.plan.reports)


@behave.when("the platform gives ten minutes' notice of maintenance of a rack")
def step_notice(context):
    simulation = context.fleet
    context.rack = simulation.serving('product')[0].rack
    data_centre = simulation.serving('product')[0].data_centre
    simulation.notices = (
        planning.Notice(
            'notice-1',
            simulation.now + 600.0,
            simulation.now + 4_200.0,
            ((data_centre, context.rack),),
        ),
    )
    simulation.plan_until_stable()


def _in_rack(context):
    return [
        record
        for record in context.fleet.records.values()
        if record.rack == context.rack
    ]


@behave.then(
    'its instances drain and each pool has its full size on other racks'
)
def step_evacuated(context):
    for record in _in_rack(context):
        assert record.state is _State.IN_MAINTENANCE, record
    simulation = context.fleet
    for service in simulation.documents:
        assert len(simulation.serving(service)) >= 4, service
    total = sum(
        len(simulation.serving(service)) for service in simulation.documents
    )
    assert total == 25, total
    drain_started = False
    for before, after in simulation.committed:
        if after.state is _State.DRAINING:
            drain_started = True
            assert before.rack == context.rack, before
        # A replacement that joins after the drain began leaves the pool short.
        assert not (drain_started and after.state is _State.SERVING), after


@behave.then('they return only after the notice has ended')
def step_return_after_notice(context):
    simulation = context.fleet
    simulation.returned = {record.id for record in _in_rack(context)}
    simulation.plan_until_stable()
    assert all(
        item.state is _State.IN_MAINTENANCE for item in _in_rack(context)
    )
    simulation.now += 4_300.0
    simulation.plan_until_stable()
    assert not any(
        item.state is _State.IN_MAINTENANCE for item in _in_rack(context)
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
    context.actions = context.rollout.start()


def _finish_stage(context, failures):
    (apply,) = context.actions
    health = rollouts.Health(1_000, failures, 1_000, 10)
    for instance in apply.instances:
        # A health check before the whole stage runs the new content decides
        # nothing.
        assert not context.rollout.handle(health, context.now)
        context.rollout.handle(rollouts.Applied(instance), context.now)
    assert not context.rollout.handle(health, context.now)
    context.now += 600.0
    context.actions = context.rollout.handle(health, context.now)


@behave.when('the second stage fails twice as often as the rest')
def step_unhealthy(context):
    _finish_stage(context, 10)
    _finish_stage(context, 21)


@behave.then(
    'the roll-out halts and a new revision with the old content follows'
)
def step_halted(context):
    (revert,) = context.actions
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
    assert context.actions == [rollouts.Finished()]
    assert context.rollout.checks == checks
