"""A simulated fleet with one planner, for features."""

from __future__ import annotations

import dataclasses
import random

import hypothesis
from hypothesis import stateful
import msgspec

from bench import capacity_trace
from verbenastream.process.settings import schema as settings
from verbenastream.version import fleet
from verbenastream.version import planning

_State = fleet.InstanceState
START = capacity_trace.START


class FleetSimulation:
    """A committed fleet state to which the plans of one planner apply.

    ``missing`` are the instances that each data centre reports as missing and
    ``spent`` is the budget that each service has spent. A drain ends at the
    next plan if ``drain_at_once`` is set, otherwise once the instance is in
    ``drained``. ``committed`` has each record before and after a transition.
    """

    def __init__(self):
        self.deployment = dataclasses.replace(
            capacity_trace.MEXICO, workers=32
        )
        self.records = capacity_trace.records(
            self.deployment, random.Random(1)
        )
        for key, record in self.records.items():
            self.records[key] = replace(record, maintained_at=START)
        self.documents = {
            service: capacity_trace.document(self.deployment, service, 4)
            for service in self.deployment.services
        }
        self.planner = planning.Planner.from_config(settings.Weights())
        self.now = START
        self.demand = {}
        self.spent = {}
        self.notices = ()
        self.missing = {name: set() for name in self.deployment.data_centres}
        self.returned = set()
        self.drain_at_once = True
        self.drained = set()
        self.committed = []
        self.reports = []
        self.actions = []

    def plan(self):
        drained = {
            key
            for key, record in self.records.items()
            if record.state is _State.DRAINING
            and (self.drain_at_once or key in self.drained)
        }
        state = planning.FleetState(
            instances_by_id=self.records,
            documents_by_service=self.documents,
            demand_by_service=self.demand,
            spent_by_service=self.spent,
            notices=self.notices,
            presence_by_data_centre={
                name: planning.DataCentrePresence(frozenset(missing))
                for name, missing in self.missing.items()
            },
            returned=frozenset(self.returned),
            drained=frozenset(drained),
        )
        return self.planner.plan(state, self.now)

    def commit(self, plan):
        for transition in plan.transitions:
            before = self.records[transition.instance]
            after = planning.apply_transition(before, transition)
            self.records[before.id] = after
            self.committed.append((before, after))
        self.reports.extend(plan.reports)
        self.actions.extend(plan.actions)

    def plan_until_stable(self):
        """Commit plans until one has no transitions and return it."""
        for _ in range(20):
            plan = self.plan()
            self.commit(plan)
            if not plan.transitions:
                return plan
            self.now += 1.0
        raise AssertionError('20 plans in a row have transitions')

    def serving(self, pool):
        return [
            record
            for record in self.records.values()
            if record.state is _State.SERVING and record.pool == pool
        ]

    def lose(self, instances):
        """Let the data centres of ``instances`` report them as missing."""
        for instance in instances:
            self.missing[self.records[instance].data_centre].add(instance)


def replace(struct, **fields):
    """Return a copy of a struct with ``fields`` changed."""
    return msgspec.structs.replace(struct, **fields)


def run_machine(machine, examples, steps):
    """Run a state machine of hypothesis with reproducible examples."""
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
