"""Replays a trace of fleet events against the planner on virtual time.

The replay keeps its own account of what runs and checks every committed
transition, so that its verdict does not rest on the planner's view.
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

_S = fleet.InstanceState
# A target is suspected after its presence lease of 2.5 s.
_DETECTION_S = 2.5
_PLAN_INTERVAL_S = 1.0
_IDLE_TICK_S = 1_800.0


@dataclasses.dataclass
class Outcome:
    """What one replay measured."""

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
    """One fleet, one planner, one trace."""

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
        self._blind: frozenset[ids.InstanceId] = frozenset()
        self._returned: set[ids.InstanceId] = set()
        self._drained: set[ids.InstanceId] = set()
        self._rebooting: set[ids.InstanceId] = set()
        self._moves: collections.deque[float] = collections.deque()
        self._demand: dict[str, planning.Demand] = {}
        self._spent: collections.Counter[str] = collections.Counter()
        self._notices: tuple[planning.Notice, ...] = ()
        self._queue: list[tuple[float, int, capacity_trace.Event]] = []
        self._order = 0
        self._settled = False
        self._buffer_s = 0.0
        self._reserve = 0
        self._left: dict[ids.InstanceId, ids.PoolId] = {}
        self.plan: planning.Plan | None = None
        # How long instances that left a pool for maintenance were away.
        self.away_s_by_pool: dict[ids.PoolId, list[float]] = (
            collections.defaultdict(list)
        )
        # Instances that no pool holds at the start.
        self.stand_ins = 0
        self._away_since: dict[ids.InstanceId, float] = {}
        for at, event in trace.events:
            self._push(at, event)

    def run(self) -> Outcome:
        self._settle()
        self._settled = True
        in_pools = sum(self._serving().values())
        self.stand_ins = len(self.records) - in_pools
        tick = self.now + _IDLE_TICK_S
        while True:
            due = self._queue[0][0] if self._queue else tick
            if min(due, tick) >= self._trace.end:
                break
            if self._queue and due <= tick:
                self._advance(due)
                # What happens at the same moment is planned for once.
                while self._queue and self._queue[0][0] <= due:
                    self._apply(heapq.heappop(self._queue)[2])
            else:
                self._advance(tick)
                tick += _IDLE_TICK_S
            self._settle()
        self._advance(self._trace.end)
        return self._close()

    def _push(self, at: float, event: capacity_trace.Event) -> None:
        self._order += 1
        heapq.heappush(self._queue, (at, self._order, event))

    def _advance(self, at: float) -> None:
        """Account for the time until ``at``."""
        passed = at - self.now
        if passed <= 0:
            return
        serving = self._serving()
        for service, document in self.documents.items():
            lack = document.instances - serving[document.pool]
            if lack > 0:
                self._spent[service] += passed * lack / document.instances
            allowed = requirements.budget_s(document)
            if self._spent[service] > allowed:
                self._violate(f'{service} broke its budget')
        above = sum(
            max(0, serving[document.pool] - document.instances)
            for document in self.documents.values()
        )
        self._buffer_s += passed * (above + self._reserve)
        self.now = at

    def _serving(self) -> collections.Counter[ids.PoolId]:
        """Count what really runs, lost instances excluded at once."""
        found: collections.Counter[ids.PoolId] = collections.Counter()
        for record in self.records.values():
            if record.state is _S.SERVING and record.id in self._up:
                if record.pool is not None:
                    found[record.pool] += 1
        return found

    def _apply(self, event: capacity_trace.Event) -> None:
        match event:
            case capacity_trace.Down(instances=instances):
                self._up.difference_update(instances)
                self._returned.difference_update(instances)
                self._push(
                    self.now + _DETECTION_S, capacity_trace.Missed(instances)
                )
            case capacity_trace.Missed(instances=instances):
                self._missing.update(set(instances) - self._up)
            case capacity_trace.Up(instances=instances):
                for instance in instances:
                    if instance not in self._rebooting:
                        self._up.add(instance)
                        self._missing.discard(instance)
                        self._returned.add(instance)
            case capacity_trace.Rebooted(instance=instance):
                self._rebooting.discard(instance)
                self._missing.discard(instance)
                self._up.add(instance)
                self._returned.add(instance)
            case capacity_trace.Drained(instance=instance, epoch=epoch):
                if self.records[instance].epoch == epoch:
                    self._drained.add(instance)
            case capacity_trace.DemandChanged(demand=demand):
                self._demand = demand
            case capacity_trace.Noticed(notice=notice):
                self._notices = (*self._notices, notice)
            case capacity_trace.NoticeEnded(id=notice_id):
                self._notices = tuple(
                    notice
                    for notice in self._notices
                    if notice.id != notice_id
                )
            case capacity_trace.Submitted(document=document):
                self.documents[document.service] = document
            case capacity_trace.ObserverCut(instances=instances):
                self._blind = instances

    def _state(self) -> planning.FleetState:
        pictures = {
            name: planning.PresencePicture(
                frozenset(self._missing)
                | (self._blind if position == 0 else frozenset())
            )
            for position, name in enumerate(self._trace.data_centres)
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
            presence_by_data_centre=pictures,
            returned=frozenset(self._returned),
            drained=frozenset(self._drained),
            moves=tuple(self._moves),
        )

    def _settle(self) -> None:
        """Plan once per second while there is something to commit."""
        at = self.now
        for _ in range(20):
            state = self._state()
            started = time.process_time()
            plan = self._planner.plan(state, at)
            self.outcome.plan_s.append(time.process_time() - started)
            self.plan = plan
            self._reserve = plan.reserve
            for transition in plan.transitions:
                self._commit(transition, at)
            for action in plan.actions:
                self._act(action, at)
            if not plan.transitions:
                return
            at += _PLAN_INTERVAL_S
        self._violate('the plan does not settle within 20 intervals')

    def _commit(self, transition: planning.Transition, at: float) -> None:
        record = self.records[transition.instance]
        changed = planning.apply_transition(record, transition)
        self._check(record, changed, at)
        self.records[record.id] = changed
        match changed.state:
            case _S.SERVING:
                self._count_join(changed, at)
            case _S.DRAINING:
                self._drained.discard(record.id)
                if changed.reason == 'maintenance':
                    self._away_since[record.id] = at
                self._push(
                    at + self._drain_s(),
                    capacity_trace.Drained(record.id, changed.epoch),
                )
            case _S.IN_MAINTENANCE:
                self._returned.discard(record.id)
            case _S.LOST:
                if record.id in self._up:
                    self._returned.add(record.id)
            case _S.RETURNING:
                self._returned.discard(record.id)
                if record.state is _S.IN_MAINTENANCE:
                    self.outcome.maintained += 1
                    since = self._away_since.pop(record.id, None)
                    if since is not None and record.last_pool is not None:
                        self.away_s_by_pool[record.last_pool].append(
                            at - since
                        )
                    self.outcome.last_maintained_at = at
        if changed.pool is not None:
            self._left[record.id] = changed.pool

    def _count_join(self, record: fleet.InstanceRecord, at: float) -> None:
        if not self._settled:
            return
        self.outcome.joins += 1
        if self._left.get(record.id) != record.pool:
            self.outcome.moves += 1
            self._moves.append(at)
            while self._moves[0] < at - 3_600.0:
                self._moves.popleft()

    def _drain_s(self) -> float:
        return self._rng.uniform(5.0, self._trace.drain_s)

    def _act(self, action: planning.Action, at: float) -> None:
        if self.records[action.instance].epoch != action.epoch:
            return
        match action.kind:
            case planning.ActionKind.REBOOT:
                if action.instance in self._rebooting:
                    return
                self._rebooting.add(action.instance)
                self._up.discard(action.instance)
                if self._rng.random() < self._trace.no_return_share:
                    back = 6 * 3_600.0
                else:
                    back = self._rng.uniform(300.0, self._trace.reboot_s)
                self._push(at + back, capacity_trace.Rebooted(action.instance))
            case _:
                self._drained.add(action.instance)

    def _check(
        self,
        before: fleet.InstanceRecord,
        after: fleet.InstanceRecord,
        at: float,
    ) -> None:
        """Check one committed transition against the invariants."""
        if after.epoch != before.epoch + 1:
            self._violate(f'{after.id} skipped an epoch')
        in_pool = after.state in (_S.SERVING, _S.DRAINING)
        if in_pool != (after.pool is not None):
            self._violate(f'{after.id} is {after.state} in {after.pool}')
        if before.pool is not None and after.pool not in (None, before.pool):
            self._violate(f'{after.id} changed its pool without a release')
        if after.state is not _S.DRAINING or after.pool is None:
            return
        document = self.documents.get(after.pool)
        if document is None:
            return
        if after.reason in ('platform notice', 'service removed'):
            return
        # By what the entries reported: a failure that nobody has seen yet
        # is not the cause of a move, and the budget account has it.
        left = sum(
            1
            for record in self.records.values()
            if record.state is _S.SERVING
            and record.pool == after.pool
            and record.id not in self._missing
            and record.id != after.id
        )
        if left < document.instances:
            self._violate(
                f'{after.pool} has {left} of {document.instances} because '
                f'{after.id} drains for {after.reason}'
            )
        if after.reason == 'maintenance':
            self._check_maintenance(after, document, at)

    def _check_maintenance(self, after, document, at: float) -> None:
        policy = document.maintenance
        if windows.remaining_s(policy, at) <= 0:
            self._violate(f'{after.id} was taken outside its window')
        self._check_next_rack(after, document)
        taken = [
            record
            for record in self.records.values()
            if record.id != after.id
            and record.reason == 'maintenance'
            and record.state in (_S.DRAINING, _S.IN_MAINTENANCE)
            and (record.pool or record.last_pool) == after.pool
        ]
        if len(taken) >= policy.max_unavailable:
            self._violate(f'{after.pool} exceeds max_unavailable')
        for record in taken:
            if (record.data_centre, record.rack) != (
                after.data_centre,
                after.rack,
            ):
                self._violate(f'{after.pool} is taken in two racks')

    def _check_next_rack(self, taken, document) -> None:
        """Check the commitment after the loss of one more rack."""
        by_rack: collections.Counter[tuple[str, str]] = collections.Counter(
            (record.data_centre, record.rack)
            for record in self.records.values()
            if record.state is _S.SERVING
            and record.pool == taken.pool
            and record.id not in self._missing
            and record.id != taken.id
        )
        left = sum(by_rack.values()) - max(by_rack.values(), default=0)
        if left < document.instances:
            self._violate(
                f'{taken.id} was taken; one more rack leaves {taken.pool} '
                f'{left} of {document.instances}'
            )

    def _violate(self, what: str) -> None:
        self.outcome.violations.append(f'at {self.now:.0f} s: {what}')

    def _close(self) -> Outcome:
        outcome = self.outcome
        outcome.plans = len(outcome.plan_s)
        outcome.buffer_mean = self._buffer_s / (
            self._trace.end - self._trace.start
        )
        for service, document in self.documents.items():
            outcome.spent_by_pool[service] = self._spent[service]
            outcome.allowed_by_pool[service] = requirements.budget_s(document)
        limit = self._trace.end - 28 * 86_400.0
        outcome.unmaintained = sum(
            1
            for record in self.records.values()
            if record.maintained_at < limit
        )
        return outcome
