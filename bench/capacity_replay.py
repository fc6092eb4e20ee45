"""Replays a trace of fleet events against the planner on virtual time.

The replay tracks independently which instances run and checks every committed
transition, so that the result does not depend on the planner's own view.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random
import time
from typing import TYPE_CHECKING

from bench import capacity_trace
from verbenastream.process.settings import schema as settings
from verbenastream.version import fleet
from verbenastream.version.maintenance import windows
from verbenastream.version import planning
from verbenastream.version.planning import requirements

if TYPE_CHECKING:
    from verbenastream import ids

_InstanceState = fleet.InstanceState
# A target is suspected after its presence lease of 2.5 s.
_DETECTION_S = 2.5
_PLAN_INTERVAL_S = 1.0
_IDLE_STEP_S = 1_800.0


@dataclasses.dataclass
class Outcome:
    """Measurements of one replay."""

    violations: list[str] = dataclasses.field(default_factory=list)
    moves: int = 0
    joins: int = 0
    spent_by_pool: dict[str, float] = dataclasses.field(default_factory=dict)
    allowed_by_pool: dict[str, float] = dataclasses.field(default_factory=dict)
    buffer_mean: float = 0.0
    plan_s: list[float] = dataclasses.field(default_factory=list)
    maintained: int = 0
    last_maintained_at: float = 0.0
    unmaintained: int = 0
    plans: int = 0


class Replay:
    """Replays one trace against one planner and a simulated fleet."""

    def __init__(
        self, trace: capacity_trace.Trace, weights: settings.Weights
    ) -> None:
        self.outcome = Outcome()
        self.now = trace.start
        self._trace = trace
        self._planner = planning.Planner.from_config(weights)
        self._rng = random.Random(trace.seed)
        self.records = dict(trace.records)
        self.documents = dict(trace.documents)
        self._up = set(self.records)
        self._missing: set[ids.InstanceId] = set()
        self._hidden_from_observer: frozenset[ids.InstanceId] = frozenset()
        self._returned: set[ids.InstanceId] = set()
        self._drained: set[ids.InstanceId] = set()
        self._rebooting: set[ids.InstanceId] = set()
        self._moves: collections.deque[float] = collections.deque()
        self._demand: dict[str, planning.Demand] = {}
        self._spent: collections.Counter[str] = collections.Counter()
        self._notices: tuple[planning.Notice, ...] = ()
        self._queue: list[tuple[float, int, capacity_trace.Event]] = []
        self._sequence = 0
        self._initial_plan_done = False
        self._buffer_s = 0.0
        self._reserve = 0
        self._last_pool_by_id: dict[ids.InstanceId, ids.PoolId] = {}
        self.plan: planning.Plan | None = None
        # Seconds that each instance drained for maintenance was unavailable.
        self.unavailable_s_by_pool: dict[ids.PoolId, list[float]] = (
            collections.defaultdict(list)
        )
        # Instances without a pool at the start, which can replace others.
        self.replacements = 0
        self._maintenance_since_by_id: dict[ids.InstanceId, float] = {}
        for at, event in trace.events:
            self._push(at, event)

    def run(self) -> Outcome:
        self._plan_until_stable()
        self._initial_plan_done = True
        in_pools = sum(self._serving().values())
        self.replacements = len(self.records) - in_pools
        next_step_at = self.now + _IDLE_STEP_S
        while True:
            next_event_at = self._queue[0][0] if self._queue else next_step_at
            if min(next_event_at, next_step_at) >= self._trace.end:
                break
            if self._queue and next_event_at <= next_step_at:
                self._advance(next_event_at)
                # Events of the same time are planned for together.
                while self._queue and self._queue[0][0] <= next_event_at:
                    self._apply(heapq.heappop(self._queue)[2])
            else:
                self._advance(next_step_at)
                next_step_at += _IDLE_STEP_S
            self._plan_until_stable()
        self._advance(self._trace.end)
        return self._finish()

    def _push(self, at: float, event: capacity_trace.Event) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (at, self._sequence, event))

    def _advance(self, at: float) -> None:
        """Advance to ``at`` and update the budgets and the buffer total."""
        elapsed_s = at - self.now
        if elapsed_s <= 0:
            return
        serving = self._serving()
        for service, document in self.documents.items():
            shortfall = document.instances - serving[document.pool]
            if shortfall > 0:
                self._spent[service] += (
                    elapsed_s * shortfall / document.instances
                )
            allowed_s = requirements.budget_s(document)
            if self._spent[service] > allowed_s:
                self._record_violation(f'{service} exceeded its error budget')
        surplus = sum(
            max(0, serving[document.pool] - document.instances)
            for document in self.documents.values()
        )
        self._buffer_s += elapsed_s * (surplus + self._reserve)
        self.now = at

    def _serving(self) -> collections.Counter[ids.PoolId]:
        """Count running instances; a loss counts before it is detected."""
        count_by_pool: collections.Counter[ids.PoolId] = collections.Counter()
        for record in self.records.values():
            if (
                record.state is _InstanceState.SERVING
                and record.id in self._up
            ):
                if record.pool is not None:
                    count_by_pool[record.pool] += 1
        return count_by_pool

    def _apply(self, event: capacity_trace.Event) -> None:
        match event:
            case capacity_trace.InstancesDown(instances=instances):
                self._up.difference_update(instances)
                self._returned.difference_update(instances)
                self._push(
                    self.now + _DETECTION_S,
                    capacity_trace.AnnouncementsMissed(instances),
                )
            case capacity_trace.AnnouncementsMissed(instances=instances):
                self._missing.update(set(instances) - self._up)
            case capacity_trace.InstancesUp(instances=instances):
                for instance in instances:
                    if instance not in self._rebooting:
                        self._up.add(instance)
                        self._missing.discard(instance)
                        self._returned.add(instance)
            case capacity_trace.InstanceRebooted(instance=instance):
                self._rebooting.discard(instance)
                self._missing.discard(instance)
                self._up.add(instance)
                self._returned.add(instance)
            case capacity_trace.InstanceDrained(
                instance=instance, epoch=epoch
            ):
                if self.records[instance].epoch == epoch:
                    self._drained.add(instance)
            case capacity_trace.DemandChanged(demand=demand):
                self._demand = demand
            case capacity_trace.NoticeReceived(notice=notice):
                self._notices = (*self._notices, notice)
            case capacity_trace.NoticeEnded(id=notice_id):
                self._notices = tuple(
                    notice
                    for notice in self._notices
                    if notice.id != notice_id
                )
            case capacity_trace.DocumentSubmitted(document=document):
                self.documents[document.service] = document
            case capacity_trace.ObserverPartitioned(instances=instances):
                self._hidden_from_observer = instances

    def _fleet_state(self) -> planning.FleetState:
        presence = {
            name: planning.DataCentrePresence(
                frozenset(self._missing)
                | (self._hidden_from_observer if index == 0 else frozenset())
            )
            for index, name in enumerate(self._trace.data_centres)
        }
        return planning.FleetState(
            instances_by_id=self.records,
            documents_by_service=self.documents,
            demand_by_service=self._demand,
            spent_by_service={
                service: planning.BudgetSpent(unplanned_s=spent)
                for service, spent in self._spent.items()
            },
            notices=self._notices,
            presence_by_data_centre=presence,
            returned=frozenset(self._returned),
            drained=frozenset(self._drained),
            moves=tuple(self._moves),
        )

    def _plan_until_stable(self) -> None:
        """Plan every second until a plan has no transitions."""
        at = self.now
        for _ in range(20):
            state = self._fleet_state()
            started_at = time.process_time()
            plan = self._planner.plan(state, at)
            self.outcome.plan_s.append(time.process_time() - started_at)
            self.plan = plan
            self._reserve = plan.reserve
            for transition in plan.transitions:
                self._commit(transition, at)
            for action in plan.actions:
                self._perform(action, at)
            if not plan.transitions:
                return
            at += _PLAN_INTERVAL_S
        self._record_violation(
            'the plan still has transitions after 20 intervals'
        )

    def _commit(self, transition: planning.Transition, at: float) -> None:
        record = self.records[transition.instance]
        changed = planning.apply_transition(record, transition)
        self._check_transition(record, changed, at)
        self.records[record.id] = changed
        match changed.state:
            case _InstanceState.SERVING:
                self._count_join(changed, at)
            case _InstanceState.DRAINING:
                self._drained.discard(record.id)
                if changed.reason == 'maintenance':
                    self._maintenance_since_by_id[record.id] = at
                self._push(
                    at + self._drain_s(),
                    capacity_trace.InstanceDrained(record.id, changed.epoch),
                )
            case _InstanceState.IN_MAINTENANCE:
                self._returned.discard(record.id)
            case _InstanceState.LOST:
                if record.id in self._up:
                    self._returned.add(record.id)
            case _InstanceState.RETURNING:
                self._returned.discard(record.id)
                if record.state is _InstanceState.IN_MAINTENANCE:
                    self.outcome.maintained += 1
                    started_at = self._maintenance_since_by_id.pop(
                        record.id, None
                    )
                    if started_at is not None and record.last_pool is not None:
                        self.unavailable_s_by_pool[record.last_pool].append(
                            at - started_at
                        )
                    self.outcome.last_maintained_at = at
        if changed.pool is not None:
            self._last_pool_by_id[record.id] = changed.pool

    def _count_join(self, record: fleet.InstanceRecord, at: float) -> None:
        if not self._initial_plan_done:
            return
        self.outcome.joins += 1
        if self._last_pool_by_id.get(record.id) != record.pool:
            self.outcome.moves += 1
            self._moves.append(at)
            while self._moves[0] < at - 3_600.0:
                self._moves.popleft()

    def _drain_s(self) -> float:
        return self._rng.uniform(5.0, self._trace.drain_s)

    def _perform(self, action: planning.Action, at: float) -> None:
        if self.records[action.instance].epoch != action.epoch:
            return
        match action.kind:
            case planning.ActionKind.REBOOT:
                if action.instance in self._rebooting:
                    return
                self._rebooting.add(action.instance)
                self._up.discard(action.instance)
                if self._rng.random() < self._trace.no_return_share:
                    return_in_s = 6 * 3_600.0
                else:
                    return_in_s = self._rng.uniform(
                        300.0, self._trace.reboot_s
                    )
                self._push(
                    at + return_in_s,
                    capacity_trace.InstanceRebooted(action.instance),
                )
            case _:
                self._drained.add(action.instance)

    def _check_transition(
        self,
        before: fleet.InstanceRecord,
        after: fleet.InstanceRecord,
        at: float,
    ) -> None:
        """Record a violation if a committed transition breaks an invariant."""
        if after.epoch != before.epoch + 1:
            self._record_violation(f'{after.id} skipped an epoch')
        in_pool = after.state in (
            _InstanceState.SERVING,
            _InstanceState.DRAINING,
        )
        if in_pool != (after.pool is not None):
            self._record_violation(
                f'{after.id} is {after.state} in {after.pool}'
            )
        if before.pool is not None and after.pool not in (None, before.pool):
            self._record_violation(
                f'{after.id} changed its pool without being released'
            )
        if after.state is not _InstanceState.DRAINING or after.pool is None:
            return
        document = self.documents.get(after.pool)
        if document is None:
            return
        if after.reason in ('platform notice', 'service removed'):
            return
        # Counts undetected failures as serving: no planner could have known
        # of them, and the error budget accounts for them.
        remaining = sum(
            1
            for record in self.records.values()
            if record.state is _InstanceState.SERVING
            and record.pool == after.pool
            and record.id not in self._missing
            and record.id != after.id
        )
        if remaining < document.instances:
            self._record_violation(
                f'{after.pool} has {remaining} of {document.instances} '
                f'because {after.id} drains for {after.reason}'
            )
        if after.reason == 'maintenance':
            self._check_maintenance(after, document, at)

    def _check_maintenance(self, after, document, at: float) -> None:
        policy = document.maintenance
        if windows.remaining_s(policy, at) <= 0:
            self._record_violation(
                f'{after.id} drains for maintenance outside a window'
            )
        self._check_rack_loss(after, document)
        in_maintenance = [
            record
            for record in self.records.values()
            if record.id != after.id
            and record.reason == 'maintenance'
            and record.state
            in (_InstanceState.DRAINING, _InstanceState.IN_MAINTENANCE)
            and (record.pool or record.last_pool) == after.pool
        ]
        if len(in_maintenance) >= policy.max_unavailable:
            self._record_violation(f'{after.pool} exceeds max_unavailable')
        for record in in_maintenance:
            if (record.data_centre, record.rack) != (
                after.data_centre,
                after.rack,
            ):
                self._record_violation(
                    f'{after.pool} has maintenance in two racks'
                )

    def _check_rack_loss(self, drained, document) -> None:
        """Check that the loss of one more rack leaves the commitment."""
        count_by_rack: collections.Counter[tuple[str, str]] = (
            collections.Counter(
                (record.data_centre, record.rack)
                for record in self.records.values()
                if record.state is _InstanceState.SERVING
                and record.pool == drained.pool
                and record.id not in self._missing
                and record.id != drained.id
            )
        )
        remaining = sum(count_by_rack.values()) - max(
            count_by_rack.values(), default=0
        )
        if remaining < document.instances:
            self._record_violation(
                f'{drained.id} drains; losing another rack leaves '
                f'{drained.pool} {remaining} of {document.instances}'
            )

    def _record_violation(self, message: str) -> None:
        self.outcome.violations.append(f'at {self.now:.0f} s: {message}')

    def _finish(self) -> Outcome:
        outcome = self.outcome
        outcome.plans = len(outcome.plan_s)
        outcome.buffer_mean = self._buffer_s / (
            self._trace.end - self._trace.start
        )
        for service, document in self.documents.items():
            outcome.spent_by_pool[service] = self._spent[service]
            outcome.allowed_by_pool[service] = requirements.budget_s(document)
        oldest_allowed = self._trace.end - 28 * 86_400.0
        outcome.unmaintained = sum(
            1
            for record in self.records.values()
            if record.maintained_at < oldest_allowed
        )
        return outcome
