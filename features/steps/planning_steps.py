"""Steps for planning the fleet of the "mexico" capacity trace."""

from __future__ import annotations

import behave
from hypothesis import stateful
from hypothesis import strategies

from bench import capacity_trace
from features import planning_world
from verbenastream.process.settings import schema as settings
from verbenastream.version import fleet
from verbenastream.version.maintenance import windows
from verbenastream.version import planning

_State = fleet.InstanceState


class PlanMachine(stateful.RuleBasedStateMachine):
    """Plays losses, returns, demand, documents and maintenance at random."""

    def __init__(self):
        super().__init__()
        self.simulation = planning_world.FleetSimulation()
        for service, document in self.simulation.documents.items():
            self.simulation.documents[service] = planning_world.replace(
                document,
                maintenance=planning_world.replace(
                    document.maintenance, max_unavailable=2
                ),
            )
        self.simulation.plan_until_stable()
        self.simulation.drain_at_once = False

    @stateful.rule(position=strategies.integers(0, 31))
    def become_due(self, position):
        instance = sorted(self.simulation.records)[position]
        self.simulation.records[instance] = planning_world.replace(
            self.simulation.records[instance],
            maintained_at=planning_world.START - 27 * 86_400.0,
        )

    @stateful.rule(position=strategies.integers(0, 31))
    def finish_drain(self, position):
        instance = sorted(self.simulation.records)[position]
        if self.simulation.records[instance].state is _State.DRAINING:
            self.simulation.drained.add(instance)

    @stateful.rule(position=strategies.integers(0, 31))
    def finish_maintenance(self, position):
        instance = sorted(self.simulation.records)[position]
        if self.simulation.records[instance].state is _State.IN_MAINTENANCE:
            self.simulation.returned.add(instance)

    @stateful.rule(
        service=strategies.sampled_from(capacity_trace.MEXICO.services),
        spent=strategies.sampled_from((0.0, 1e6)),
    )
    def spend(self, service, spent):
        self.simulation.spent[service] = planning.BudgetSpent(spent)

    @stateful.rule(rack=strategies.integers(0, 7))
    def give_notice(self, rack):
        data_centre = self.simulation.deployment.data_centres[rack % 3]
        now = self.simulation.now
        self.simulation.notices = (
            planning.Notice(
                'notice',
                now + 600.0,
                now + 1_800.0,
                ((data_centre, f'rack-{rack:02}'),),
            ),
        )

    @stateful.rule(position=strategies.integers(0, 31))
    def lose_one(self, position):
        self.simulation.lose([sorted(self.simulation.records)[position]])

    @stateful.rule(rack=strategies.integers(0, 7))
    def lose_rack(self, rack):
        self.simulation.lose(
            record.id
            for record in self.simulation.records.values()
            if record.rack == f'rack-{rack:02}'
        )

    @stateful.rule(position=strategies.integers(0, 31))
    def bring_back(self, position):
        instance = sorted(self.simulation.records)[position]
        for missing in self.simulation.missing.values():
            missing.discard(instance)
        if self.simulation.records[instance].state is _State.LOST:
            self.simulation.returned.add(instance)

    @stateful.rule(
        service=strategies.sampled_from(capacity_trace.MEXICO.services),
        lasting=strategies.floats(0.0, 9.0),
    )
    def change_demand(self, service, lasting):
        self.simulation.demand[service] = planning.Demand(lasting, lasting)

    @stateful.rule(
        service=strategies.sampled_from(capacity_trace.MEXICO.services),
        instances=strategies.integers(1, 6),
    )
    def submit(self, service, instances):
        self.simulation.documents[service] = planning_world.replace(
            self.simulation.documents[service], instances=instances
        )

    @stateful.rule(
        seconds=strategies.sampled_from((1.0, 130.0, 3_600.0, 7_200.0))
    )
    def wait(self, seconds):
        self.simulation.now += seconds

    @stateful.rule()
    def plan_once(self):
        plan = self.simulation.plan()
        planner = self.simulation.planner
        self.simulation.planner = planning.Planner.from_config(
            settings.Weights()
        )
        assert self.simulation.plan() == plan, (
            'a new planner decides otherwise'
        )
        self.simulation.planner = planner
        missing = set().union(*self.simulation.missing.values())
        self.check_drains(plan, missing)
        self.check_maintenance(plan)
        self.simulation.commit(plan)
        self.simulation.returned = {
            key
            for key in self.simulation.returned
            if self.simulation.records[key].state
            in (_State.LOST, _State.IN_MAINTENANCE)
        }
        self.simulation.drained = {
            key
            for key in self.simulation.drained
            if self.simulation.records[key].state is _State.DRAINING
        }

    def check_maintenance(self, plan):
        """Check that each maintenance drain is within the limits.

        The window is open, the pool has spent no budget, only one of its racks
        is affected and the loss of one more rack leaves the commitment.
        """
        simulation = self.simulation
        after = dict(simulation.records)
        for item in plan.transitions:
            record = after[item.instance]
            after[item.instance] = planning.apply_transition(record, item)
        for item in plan.transitions:
            if (
                item.state is not _State.DRAINING
                or item.reason is not planning.Reason.MAINTENANCE
            ):
                continue
            document = simulation.documents[item.pool]
            policy = document.maintenance
            assert windows.remaining_s(policy, simulation.now) > 0, item
            spent = simulation.spent.get(item.pool, planning.BudgetSpent())
            assert spent.total_s == 0.0, item
            drained_racks = [
                record.rack
                for record in after.values()
                if record.state in (_State.DRAINING, _State.IN_MAINTENANCE)
                and record.reason in ('maintenance', 'platform notice')
                and (record.pool or record.last_pool) == item.pool
            ]
            assert len(set(drained_racks)) == 1, (item, drained_racks)
            assert len(drained_racks) <= policy.max_unavailable, (
                item,
                drained_racks,
            )
            racks = [
                record.rack
                for record in after.values()
                if record.state is _State.SERVING and record.pool == item.pool
            ]
            fullest = max(racks.count(rack) for rack in racks)
            assert len(racks) - fullest >= document.instances, item

    def check_drains(self, plan, missing):
        """Check that no drain takes a pool below its commitment."""
        leaving = {
            item.instance
            for item in plan.transitions
            if item.state in (_State.DRAINING, _State.LOST)
        }
        joining = [
            item.pool
            for item in plan.transitions
            if item.state is _State.SERVING
        ]
        for item in plan.transitions:
            if (
                item.state is not _State.DRAINING
                or item.reason is planning.Reason.NOTICE
            ):
                continue
            remaining = [
                record
                for record in self.simulation.serving(item.pool)
                if record.id not in leaving and record.id not in missing
            ]
            size = len(remaining) + joining.count(item.pool)
            assert size >= self.simulation.documents[item.pool].instances, item

    @stateful.invariant()
    def one_pool(self):
        for before, after in self.simulation.committed:
            assert after.epoch == before.epoch + 1
            if before.pool is not None:
                assert after.pool in (None, before.pool), (before, after)
        for record in self.simulation.records.values():
            in_pool = record.state in (_State.SERVING, _State.DRAINING)
            assert in_pool == (record.pool is not None), record


@behave.given('a planned fleet of 32 workers and 5 pools')
def step_planned(context):
    context.fleet = planning_world.FleetSimulation()
    context.plan = context.fleet.plan_until_stable()


@behave.given('a fleet without records of earlier maintenance')
def step_no_records(context):
    simulation = context.fleet = planning_world.FleetSimulation()
    for key, record in simulation.records.items():
        simulation.records[key] = planning_world.replace(
            record, maintained_at=0.0
        )


@behave.then('the plan brings no instance into maintenance within a week')
def step_not_due(context):
    simulation = context.fleet
    for _ in range(168):
        simulation.plan_until_stable()
        simulation.now += 3_600.0
    assert not any(
        after.state is _State.IN_MAINTENANCE
        for _, after in simulation.committed
    )


@behave.given('a planned fleet whose documents commit {availability:g}')
def step_planned_availability(context, availability):
    context.fleet = planning_world.FleetSimulation()
    for service, document in context.fleet.documents.items():
        context.fleet.documents[service] = planning_world.replace(
            document, availability=availability
        )
    context.plan = context.fleet.plan_until_stable()


@behave.then(
    'without any one data centre the budgets cover the missing instances'
)
def step_data_centre_loss(context):
    simulation = context.fleet
    for lost in simulation.deployment.data_centres:
        outside = [
            item
            for item in simulation.records.values()
            if item.data_centre != lost
        ]
        idle = sum(1 for item in outside if item.state is _State.IDLE)
        shortfall = 0.0
        for service, document in simulation.documents.items():
            left = sum(1 for item in outside if item.pool == service)
            # An hour without one of four instances spends 900 s.
            budget_s = (1.0 - document.availability) * 28 * 86_400.0
            covered = document.instances * budget_s / 3_600.0
            shortfall += max(0.0, document.instances - left - covered)
        assert shortfall <= idle, (lost, shortfall, idle)
        # The spare pool lends the one instance of its headroom.
        available = context.plan.reserve_wanted + 1
        assert shortfall <= available, (lost, shortfall, available)


@behave.when('the document of "{service}" no longer names "{data_centre}"')
def step_leave_data_centre(context, service, data_centre):
    simulation = context.fleet
    document = simulation.documents[service]
    simulation.documents[service] = planning_world.replace(
        document,
        data_centres=tuple(
            name for name in document.data_centres if name != data_centre
        ),
    )
    simulation.plan_until_stable()


@behave.then('pool "{pool}" is spread over "{first}" and "{second}"')
def step_spread_over(context, pool, first, second):
    data_centres = {item.data_centre for item in context.fleet.serving(pool)}
    assert data_centres == {first, second}, data_centres


@behave.then('each pool keeps its commitment after the loss of any one rack')
def step_rack_loss(context):
    simulation = context.fleet
    for rack in {record.rack for record in simulation.records.values()}:
        for service, document in simulation.documents.items():
            left = [
                item
                for item in simulation.serving(service)
                if item.rack != rack
            ]
            assert len(left) >= document.instances, (rack, service)


@behave.then('the idle reserve replaces the instances of any one rack')
def step_reserve(context):
    simulation = context.fleet
    spare = len(simulation.serving('support')) - 4
    for rack in {record.rack for record in simulation.records.values()}:
        idle = [
            item
            for item in simulation.records.values()
            if item.state is _State.IDLE and item.rack != rack
        ]
        lost = [
            item
            for item in simulation.records.values()
            if item.state is _State.SERVING and item.rack == rack
        ]
        assert len(idle) + spare >= len(lost), rack


@behave.then('no transition leads from one pool to another')
def step_one_pool(context):
    for before, after in context.fleet.committed:
        if before.pool is not None:
            assert after.pool in (None, before.pool), (before, after)


@behave.then('a transition under an older epoch is rejected')
def step_stale(context):
    record = context.fleet.serving('product')[0]
    transition = planning.Transition(
        record.id,
        record.epoch - 1,
        _State.DRAINING,
        record.pool,
        planning.Reason.SURPLUS,
        planning_world.START,
    )
    try:
        planning.apply_transition(record, transition)
    except planning.StaleTransitionError as error:
        assert 'Plan again' in str(error)
    else:
        raise AssertionError('the stale transition was applied')


@behave.when('the plan is made by a new planner')
def step_new_planner(context):
    context.fleet.planner = planning.Planner.from_config(settings.Weights())
    context.plan = context.fleet.plan()


@behave.then('the plan has no transitions')
def step_no_transitions(context):
    assert not context.plan.transitions, context.plan.transitions


@behave.when(
    'demand on "{service}" peaks at {instances:f} instances for a few seconds'
)
def step_peak(context, service, instances):
    context.fleet.demand[service] = planning.Demand(instances, 2.2)
    context.plan = context.fleet.plan()


@behave.when(
    'lasting demand on "{service}" {changes} to {instances:f} instances'
)
def step_lasting(context, service, changes, instances):
    context.fleet.demand[service] = planning.Demand(instances, instances)
    context.plan = context.fleet.plan_until_stable()


@behave.then('pool "{pool}" has {count:d} instances')
def step_pool_size(context, pool, count):
    size = len(context.fleet.serving(pool))
    assert size == count, size


@behave.then('the explanation of "{pool}" says "{text}"')
def step_explained(context, pool, text):
    notes = context.plan.explanations_by_pool[pool].notes
    assert any(text in note for note in notes), notes


@behave.then('the explanation of "{pool}" refuses "{text}"')
def step_refused(context, pool, text):
    refused = context.plan.explanations_by_pool[pool].refused
    assert any(text in item for item in refused), refused


@behave.then('the reserve is complete')
def step_reserve_complete(context):
    plan = context.plan
    assert plan.reserve >= plan.reserve_wanted > 0, plan


@behave.when('an instance of "{pool}" is lost for {seconds:d} seconds')
def step_lost_for(context, pool, seconds):
    simulation = context.fleet
    simulation.lose([simulation.serving(pool)[0].id])
    simulation.plan_until_stable()
    simulation.now += seconds
    context.plan = simulation.plan_until_stable()


@behave.when('data centre "{name}" reports every instance as missing')
def step_all_missing(context, name):
    context.fleet.missing[name].update(context.fleet.records)
    context.plan = context.fleet.plan()


@behave.then('the plan is suspended and has no transitions')
def step_suspended(context):
    assert 'second data centre' in context.plan.suspended
    assert not context.plan.transitions


@behave.then('{count:d} instances are lost')
def step_lost(context, count):
    lost = [
        item for item in context.plan.transitions if item.state is _State.LOST
    ]
    assert len(lost) == count, len(lost)


@behave.when('the idle workers and one worker of "{pool}" stay lost')
def step_idle_lost(context, pool):
    simulation = context.fleet
    simulation.drain_at_once = False
    simulation.lose([simulation.serving(pool)[0].id])
    simulation.lose(
        [
            item.id
            for item in simulation.records.values()
            if item.state is _State.IDLE
        ]
    )
    simulation.plan_until_stable()
    simulation.now += 180.0
    context.plan = simulation.plan_until_stable()


@behave.then('one instance of the spare pool drains for the others')
def step_borrowed(context):
    drained = [
        after.pool
        for _, after in context.fleet.committed
        if after.state is _State.DRAINING
    ]
    assert drained == ['support'], drained


@behave.then('the spare pool keeps its commitment')
def step_spare_kept(context):
    assert len(context.fleet.serving('support')) >= 4


@behave.then('a state machine of fleet events finds no broken invariant')
def step_state_machine(context):
    planning_world.run_machine(PlanMachine, 60, 40)
