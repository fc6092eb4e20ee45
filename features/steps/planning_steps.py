"""Steps for planning; the fleet is the one of the mexico trace."""

from __future__ import annotations

import behave
from hypothesis import stateful
from hypothesis import strategies

from bench import capacity_trace
from features import planning_world
from verbenastream.process.settings import schema as settings
from verbenastream.version import fleet
from verbenastream.version import planning

_S = fleet.InstanceState


class PlanMachine(stateful.RuleBasedStateMachine):
    """Losses, returns, demand and documents in any order."""

    def __init__(self):
        super().__init__()
        self.world = planning_world.FleetWorld()
        self.world.settle()

    @stateful.rule(position=strategies.integers(0, 31))
    def lose_one(self, position):
        self.world.lose([sorted(self.world.records)[position]])

    @stateful.rule(rack=strategies.integers(0, 7))
    def lose_rack(self, rack):
        self.world.lose(
            record.id
            for record in self.world.records.values()
            if record.rack == f'rack-{rack:02}'
        )

    @stateful.rule(position=strategies.integers(0, 31))
    def bring_back(self, position):
        instance = sorted(self.world.records)[position]
        for missing in self.world.missing.values():
            missing.discard(instance)
        if self.world.records[instance].state is _S.LOST:
            self.world.returned.add(instance)

    @stateful.rule(
        service=strategies.sampled_from(capacity_trace.MEXICO.services),
        lasting=strategies.floats(0.0, 9.0),
    )
    def change_demand(self, service, lasting):
        self.world.demand[service] = planning.Demand(lasting, lasting)

    @stateful.rule(
        service=strategies.sampled_from(capacity_trace.MEXICO.services),
        instances=strategies.integers(1, 6),
    )
    def submit(self, service, instances):
        self.world.documents[service] = capacity_trace.document(
            self.world.deployment, service, instances
        )

    @stateful.rule(seconds=strategies.sampled_from((1.0, 130.0, 7_200.0)))
    def wait(self, seconds):
        self.world.now += seconds

    @stateful.rule()
    def plan_once(self):
        plan = self.world.plan()
        fresh = planning.Planner.from_config(settings.Weights())
        self.world.planner, kept = fresh, self.world.planner
        assert self.world.plan() == plan, 'a new planner decides otherwise'
        self.world.planner = kept
        known = set().union(*self.world.missing.values())
        self.check_drains(plan, known)
        self.world.commit(plan)
        self.world.returned = {
            key
            for key in self.world.returned
            if self.world.records[key].state is _S.LOST
        }

    def check_drains(self, plan, missing):
        """No drain takes a pool under the commitment of its document."""
        leaving = {
            item.instance
            for item in plan.transitions
            if item.state in (_S.DRAINING, _S.LOST)
        }
        joining = [
            item.pool for item in plan.transitions if item.state is _S.SERVING
        ]
        for item in plan.transitions:
            if item.state is not _S.DRAINING:
                continue
            kept = [
                record
                for record in self.world.serving(item.pool)
                if record.id not in leaving and record.id not in missing
            ]
            left = len(kept) + joining.count(item.pool)
            assert left >= self.world.documents[item.pool].instances, item

    @stateful.invariant()
    def one_pool(self):
        for before, after in self.world.committed:
            assert after.epoch == before.epoch + 1
            if before.pool is not None:
                assert after.pool in (None, before.pool), (before, after)
        for record in self.world.records.values():
            in_pool = record.state in (_S.SERVING, _S.DRAINING)
            assert in_pool == (record.pool is not None), record


@behave.given('a planned fleet of 32 workers and 5 pools')
def step_planned(context):
    context.world = planning_world.FleetWorld()
    context.plan = context.world.settle()


@behave.given('a fleet of which nothing is known')
def step_unknown(context):
    world = context.world = planning_world.FleetWorld()
    for key, record in world.records.items():
        world.records[key] = planning_world.replace(record, maintained_at=0.0)


@behave.then('the plan brings no instance into maintenance within a week')
def step_not_due(context):
    world = context.world
    for _ in range(168):
        world.settle()
        world.now += 3_600.0
    assert not any(
        after.state is _S.IN_MAINTENANCE for _, after in world.committed
    )


@behave.given('a planned fleet whose documents commit {availability:g}')
def step_planned_tight(context, availability):
    context.world = planning_world.FleetWorld()
    for service, document in context.world.documents.items():
        context.world.documents[service] = planning_world.replace(
            document, availability=availability
        )
    context.plan = context.world.settle()


@behave.then('without any one data centre the budgets pay for what is lacking')
def step_data_centre_loss(context):
    world = context.world
    for lost in world.deployment.data_centres:
        outside = [
            item for item in world.records.values() if item.data_centre != lost
        ]
        idle = sum(1 for item in outside if item.state is _S.IDLE)
        lack = 0.0
        for service, document in world.documents.items():
            left = sum(1 for item in outside if item.pool == service)
            # An hour without one of four instances spends 900 s.
            budget = (1.0 - document.availability) * 28 * 86_400.0
            paid = document.instances * budget / 3_600.0
            lack += max(0.0, document.instances - left - paid)
        assert lack <= idle, (lost, lack, idle)
        # The spare pool lends the one instance of its headroom.
        kept = context.plan.reserve_wanted + 1
        assert lack <= kept, (lost, lack, kept)


@behave.when('the document of "{service}" no longer names "{data_centre}"')
def step_leave_data_centre(context, service, data_centre):
    world = context.world
    document = world.documents[service]
    world.documents[service] = planning_world.replace(
        document,
        data_centres=tuple(
            name for name in document.data_centres if name != data_centre
        ),
    )
    world.settle()


@behave.then('pool "{pool}" is spread over "{first}" and "{second}"')
def step_spread_over(context, pool, first, second):
    found = {item.data_centre for item in context.world.serving(pool)}
    assert found == {first, second}, found


@behave.then('each pool keeps its commitment after the loss of any one rack')
def step_rack_loss(context):
    world = context.world
    for rack in {record.rack for record in world.records.values()}:
        for service, document in world.documents.items():
            left = [
                item for item in world.serving(service) if item.rack != rack
            ]
            assert len(left) >= document.instances, (rack, service)


@behave.then('the idle reserve replaces what any one rack takes')
def step_reserve(context):
    world = context.world
    spare = len(world.serving('support')) - 4
    for rack in {record.rack for record in world.records.values()}:
        outside = [
            item
            for item in world.records.values()
            if item.state is _S.IDLE and item.rack != rack
        ]
        lost = [
            item
            for item in world.records.values()
            if item.state is _S.SERVING and item.rack == rack
        ]
        assert len(outside) + spare >= len(lost), rack


@behave.then('no transition leads from one pool to another')
def step_one_pool(context):
    for before, after in context.world.committed:
        if before.pool is not None:
            assert after.pool in (None, before.pool), (before, after)


@behave.then('a transition under an older epoch is rejected')
def step_stale(context):
    record = context.world.serving('product')[0]
    transition = planning.Transition(
        record.id,
        record.epoch - 1,
        _S.DRAINING,
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
    context.world.planner = planning.Planner.from_config(settings.Weights())
    context.plan = context.world.plan()


@behave.then('the plan has no transitions')
def step_no_transitions(context):
    assert not context.plan.transitions, context.plan.transitions


@behave.when(
    'demand on "{service}" peaks at {busy:f} instances for some seconds'
)
def step_peak(context, service, busy):
    context.world.demand[service] = planning.Demand(busy, 2.2)
    context.plan = context.world.plan()


@behave.when('lasting demand on "{service}" {changes} to {busy:f} instances')
def step_lasting(context, service, changes, busy):
    context.world.demand[service] = planning.Demand(busy, busy)
    context.plan = context.world.settle()


@behave.then('pool "{pool}" has {count:d} instances')
def step_pool_size(context, pool, count):
    found = len(context.world.serving(pool))
    assert found == count, found


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
    world = context.world
    world.lose([world.serving(pool)[0].id])
    world.settle()
    world.now += seconds
    context.plan = world.settle()


@behave.when('data centre "{name}" reports every instance as missing')
def step_all_missing(context, name):
    context.world.missing[name].update(context.world.records)
    context.plan = context.world.plan()


@behave.then('the plan is suspended and has no transitions')
def step_suspended(context):
    assert 'second data centre' in context.plan.suspended
    assert not context.plan.transitions


@behave.then('{count:d} instances are lost')
def step_lost(context, count):
    lost = [item for item in context.plan.transitions if item.state is _S.LOST]
    assert len(lost) == count, len(lost)


@behave.when('the idle workers and one worker of "{pool}" stay lost')
def step_scarce(context, pool):
    world = context.world
    world.drain_at_once = False
    world.lose([world.serving(pool)[0].id])
    world.lose(
        [item.id for item in world.records.values() if item.state is _S.IDLE]
    )
    world.settle()
    world.now += 180.0
    context.plan = world.settle()


@behave.then('one instance of the spare pool drains for the others')
def step_borrowed(context):
    drained = [
        after.pool
        for _, after in context.world.committed
        if after.state is _S.DRAINING
    ]
    assert drained == ['support'], drained


@behave.then('the spare pool keeps its commitment')
def step_spare_kept(context):
    assert len(context.world.serving('support')) >= 4


@behave.then('a state machine of fleet events finds no broken invariant')
def step_machine(context):
    planning_world.run_machine(PlanMachine, 25, 30)
