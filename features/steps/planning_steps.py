"""Steps for planning; the fleet is the one of the mexico trace."""

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

_S = fleet.InstanceState


class PlanMachine(stateful.RuleBasedStateMachine):
    """Losses, returns, demand, documents and maintenance in any order."""

    def __init__(self):
        super().__init__()
        self.world = planning_world.FleetWorld()
        for service, document in self.world.documents.items():
            self.world.documents[service] = planning_world.replace(
                document,
                maintenance=planning_world.replace(
                    document.maintenance, max_unavailable=2
                ),
            )
        self.world.settle()
        self.world.drain_at_once = False

    @stateful.rule(position=strategies.integers(0, 31))
    def become_due(self, position):
        instance = sorted(self.world.records)[position]
        self.world.records[instance] = planning_world.replace(
            self.world.records[instance],
            maintained_at=planning_world.START - 27 * 86_400.0,
        )

    @stateful.rule(position=strategies.integers(0, 31))
    def finish_drain(self, position):
        instance = sorted(self.world.records)[position]
        if self.world.records[instance].state is _S.DRAINING:
            self.world.drained.add(instance)

    @stateful.rule(position=strategies.integers(0, 31))
    def finish_maintenance(self, position):
        instance = sorted(self.world.records)[position]
        if self.world.records[instance].state is _S.IN_MAINTENANCE:
            self.world.returned.add(instance)

    @stateful.rule(
        service=strategies.sampled_from(capacity_trace.MEXICO.services),
        spent=strategies.sampled_from((0.0, 1e6)),
    )
    def spend(self, service, spent):
        self.world.spent[service] = planning.BudgetSpent(spent)

    @stateful.rule(rack=strategies.integers(0, 7))
    def give_notice(self, rack):
        data_centre = self.world.deployment.data_centres[rack % 3]
        at = self.world.now
        self.world.notices = (
            planning.Notice(
                'notice',
                at + 600.0,
                at + 1_800.0,
                ((data_centre, f'rack-{rack:02}'),),
            ),
        )

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
        self.world.documents[service] = planning_world.replace(
            self.world.documents[service], instances=instances
        )

    @stateful.rule(
        seconds=strategies.sampled_from((1.0, 130.0, 3_600.0, 7_200.0))
    )
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
        self.check_maintenance(plan)
        self.world.commit(plan)
        self.world.returned = {
            key
            for key in self.world.returned
            if self.world.records[key].state in (_S.LOST, _S.IN_MAINTENANCE)
        }
        self.world.drained = {
            key
            for key in self.world.drained
            if self.world.records[key].state is _S.DRAINING
        }

    def check_maintenance(self, plan):
        """Windows, budgets, one rack and the next rack hold for each drain."""
        world = self.world
        after = dict(world.records)
        for item in plan.transitions:
            record = after[item.instance]
            after[item.instance] = planning.apply_transition(record, item)
        for item in plan.transitions:
            if (
                item.state is not _S.DRAINING
                or item.reason is not planning.Reason.MAINTENANCE
            ):
                continue
            document = world.documents[item.pool]
            policy = document.maintenance
            assert windows.remaining_s(policy, world.now) > 0, item
            spent = world.spent.get(item.pool, planning.BudgetSpent())
            assert spent.total_s == 0.0, item
            taken = [
                record.rack
                for record in after.values()
                if record.state in (_S.DRAINING, _S.IN_MAINTENANCE)
                and record.reason in ('maintenance', 'platform notice')
                and (record.pool or record.last_pool) == item.pool
            ]
            assert len(set(taken)) == 1, (item, taken)
            assert len(taken) <= policy.max_unavailable, (item, taken)
            racks = [
                record.rack
                for record in after.values()
                if record.state is _S.SERVING and record.pool == item.pool
            ]
            fullest = max(racks.count(rack) for rack in racks)
            assert len(racks) - fullest >= document.instances, item

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
            if (
                item.state is not _S.DRAINING
                or item.reason is planning.Reason.NOTICE
            ):
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
    context.fleet = planning_world.FleetWorld()
    context.plan = context.fleet.settle()


@behave.given('a fleet of which nothing is known')
def step_unknown(context):
    world = context.fleet = planning_world.FleetWorld()
    for key, record in world.records.items():
        world.records[key] = planning_world.replace(record, maintained_at=0.0)


@behave.then('the plan brings no instance into maintenance within a week')
def step_not_due(context):
    world = context.fleet
    for _ in range(168):
        world.settle()
        world.now += 3_600.0
    assert not any(
        after.state is _S.IN_MAINTENANCE for _, after in world.committed
    )


@behave.given('a planned fleet whose documents commit {availability:g}')
def step_planned_tight(context, availability):
    context.fleet = planning_world.FleetWorld()
    for service, document in context.fleet.documents.items():
        context.fleet.documents[service] = planning_world.replace(
            document, availability=availability
        )
    context.plan = context.fleet.settle()


@behave.then('without any one data centre the budgets pay for what is lacking')
def step_data_centre_loss(context):
    world = context.fleet
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
    world = context.fleet
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
    found = {item.data_centre for item in context.fleet.serving(pool)}
    assert found == {first, second}, found


@behave.then('each pool keeps its commitment after the loss of any one rack')
def step_rack_loss(context):
    world = context.fleet
    for rack in {record.rack for record in world.records.values()}:
        for service, document in world.documents.items():
            left = [
                item for item in world.serving(service) if item.rack != rack
            ]
            assert len(left) >= document.instances, (rack, service)


@behave.then('the idle reserve replaces what any one rack takes')
def step_reserve(context):
    world = context.fleet
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
    for before, after in context.fleet.committed:
        if before.pool is not None:
            assert after.pool in (None, before.pool), (before, after)


@behave.then('a transition under an older epoch is rejected')
def step_stale(context):
    record = context.fleet.serving('product')[0]
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
    context.fleet.planner = planning.Planner.from_config(settings.Weights())
    context.plan = context.fleet.plan()


@behave.then('the plan has no transitions')
def step_no_transitions(context):
    assert not context.plan.transitions, context.plan.transitions


@behave.when(
    'demand on "{service}" peaks at {busy:f} instances for some seconds'
)
def step_peak(context, service, busy):
    context.fleet.demand[service] = planning.Demand(busy, 2.2)
    context.plan = context.fleet.plan()


@behave.when('lasting demand on "{service}" {changes} to {busy:f} instances')
def step_lasting(context, service, changes, busy):
    context.fleet.demand[service] = planning.Demand(busy, busy)
    context.plan = context.fleet.settle()


@behave.then('pool "{pool}" has {count:d} instances')
def step_pool_size(context, pool, count):
    found = len(context.fleet.serving(pool))
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
    world = context.fleet
    world.lose([world.serving(pool)[0].id])
    world.settle()
    world.now += seconds
    context.plan = world.settle()


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
    lost = [item for item in context.plan.transitions if item.state is _S.LOST]
    assert len(lost) == count, len(lost)


@behave.when('the idle workers and one worker of "{pool}" stay lost')
def step_scarce(context, pool):
    world = context.fleet
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
        for _, after in context.fleet.committed
        if after.state is _S.DRAINING
    ]
    assert drained == ['support'], drained


@behave.then('the spare pool keeps its commitment')
def step_spare_kept(context):
    assert len(context.fleet.serving('support')) >= 4


@behave.then('a state machine of fleet events finds no broken invariant')
def step_machine(context):
    planning_world.run_machine(PlanMachine, 60, 40)
