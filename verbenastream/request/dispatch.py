"""Core of one entry: queue, attempts, slots and outcomes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.request import actions
from verbenastream.request.claims import messages as claims
from verbenastream.request import events
from verbenastream.request.queueing import admission
from verbenastream.request.queueing import estimates
from verbenastream.request.queueing import lanes
from verbenastream.request.queueing import pool_queue
from verbenastream.request.retries import budget
from verbenastream.request.retries import policy
from verbenastream.request.routing import targets
from verbenastream.request.slots import exchange
from verbenastream.request.slots import holder
from verbenastream.request.slots import messages
from verbenastream.request.slots import owner
from verbenastream.request import tracking
from verbenastream.version.documents import schema

if TYPE_CHECKING:
    import random

# An attempt may outlive its request's deadline by this time, so that its slot
# is known to be free. Without any report it is written off after twice that.
_OVERDUE_S = 1.0
_SWEEP_S = 0.02
_URGENT_WAITING = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Counters:
    """Requests in each phase, for metrics and tests."""

    waiting: int
    backoff: int
    running: int
    detached: int


class Dispatcher:
    """Serves the requests of one entry on the slots that owners grant.

    The driver passes each event with the current monotonic time in seconds
    and performs the returned actions in order. It passes ``Tick`` when
    ``next_wakeup`` is reached, at the latest every 20 ms while work waits.

        dispatcher = Dispatcher.from_config(entry, incarnation, rng)
        for action in dispatcher.handle(events.Tick(), loop.time()):
            perform(action)
    """

    def __init__(
        self,
        entry: ids.EntryId,
        incarnation: ids.Incarnation,
        rng: random.Random,
        data_centre: str,
    ) -> None:
        self._entry = entry
        self._rng = rng
        self._lease_valid = True
        self._epoch = ids.Epoch(0)
        self._targets = targets.TargetTable()
        self._documents: dict[ids.ServiceId, schema.Document] = {}
        self._budgets: dict[ids.ServiceId, budget.RetryBudget] = {}
        self._estimates = estimates.Estimates()
        self._queues: dict[ids.PoolId, pool_queue.PoolQueue] = {}
        self._requests_by_id: dict[ids.RequestId, tracking.Tracked] = {}
        self._timers = tracking.Timers()
        self._idle_by_pool: dict[ids.PoolId, list[holder.HeldGrant]] = {}
        self._out: list[actions.Action] = []
        self._owner = owner.SlotOwner(incarnation)
        self._holder = holder.GrantHolder(
            entry,
            incarnation,
            data_centre,
            lambda number: self._owner.release(entry, number),
        )
        self._exchange = exchange.Exchange(
            entry, self._holder, self._owner, self._demands, self._accept
        )

    @classmethod
    def from_config(
        cls,
        entry: ids.EntryId,
        incarnation: ids.Incarnation,
        rng: random.Random,
        data_centre: str = '',
    ) -> Dispatcher:
        """Return the core of ``entry``; it starts with a valid lease."""
        return cls(entry, incarnation, rng, data_centre)

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        """Apply an event and return what the driver has to do, in order."""
        match event:
            case events.RequestArrived(request):
                self._arrive(request, now)
            case events.AttemptCompleted():
                self._complete(event, now)
            case events.PeerMessage(sender, message):
                self._exchange.receive(sender, message, now)
            case events.Tick():
                pass
            case events.RequestCancelled(request_id):
                self._cancel(request_id, now)
            case events.AnswerStarted():
                tracked = self._requests_by_id.get(event.id)
                if tracked is not None:
                    tracked.answer_started = True
            case events.AttemptFailed():
                self._fail(event, now)
            case events.TargetsChanged(found):
                self._change_targets(found, now)
            case events.DocumentsChanged(documents):
                self._change_documents(documents)
            case events.EntriesChanged(epoch, entries):
                self._change_entries(epoch, entries, now)
            case events.LeaseChanged(valid):
                self._change_lease(valid, now)
        self._run_timers(now)
        self._out.extend(self._exchange.run(now))
        out = self._out
        self._out = []
        return out

    def next_wakeup(self, now: float) -> float | None:
        """Return the time of the next ``Tick`` that is needed, or None."""
        wakeup = self._exchange.next_due()
        alarm = self._timers.next
        if alarm is not None and (wakeup is None or alarm < wakeup):
            wakeup = alarm
        if self._owner.pools_by_id:
            sweep = now + _SWEEP_S
            if wakeup is None or sweep < wakeup:
                wakeup = sweep
        return wakeup

    def counters(self) -> Counters:
        """Return how many requests are in each phase."""
        count = dict.fromkeys(tracking.Phase, 0)
        for tracked in self._requests_by_id.values():
            count[tracked.phase] += 1
        return Counters(
            count[tracking.Phase.WAITING],
            count[tracking.Phase.BACKOFF],
            count[tracking.Phase.RUNNING],
            count[tracking.Phase.DETACHED],
        )

    # Requests

    def _arrive(self, info: events.RequestInfo, now: float) -> None:
        document = self._documents.get(info.service)
        if document is None:
            self._out.append(
                actions.Finish(
                    info.id,
                    404,
                    claims.Outcome.NOT_RUN,
                    f'no document for service {info.service}',
                )
            )
            return
        kind = (info.service, info.operation, info.customer)
        work_class = self._estimates.work_class(kind, info.work_class)
        tracked = tracking.Tracked(info, work_class, now)
        rejection = self._admit(tracked, document, now)
        if rejection is not None:
            self._finish(
                tracked, 503, rejection.reason, rejection.retry_after_s
            )
            return
        self._budgets[info.service].deposit()
        self._requests_by_id[info.id] = tracked
        self._timers.add(info.deadline, tracking.Alarm.DEADLINE, info.id)
        self._enqueue(tracked, now)

    def _admit(
        self,
        tracked: tracking.Tracked,
        document: schema.Document,
        now: float,
    ) -> admission.Rejection | None:
        if not self._lease_valid:
            return admission.Rejection('this entry has no valid lease', 1.0)
        if not self._targets.pool_usable(tracked.pool):
            return admission.Rejection('the pool has no usable target', 1.0)
        queue = self._queue(tracked.pool)
        return admission.check(
            queue,
            self._estimates,
            tracked,
            document.limits.max_waiting,
            self._slot_share(queue),
            now,
        )

    def _slot_share(self, queue: pool_queue.PoolQueue) -> float:
        """Return this entry's fair share of the pool's slots.

        The share of the waiting work decides. An entry that has more slots
        at the moment will lose them to entries whose work waits longer.
        """
        state = queue.state
        if state is None:
            return 8.0 / max(1, self._targets.entry_count)
        own = len(queue) + 1
        pool = state.short_waiting + state.long_waiting
        if pool < own:
            return state.slots / max(1, self._targets.entry_count)
        return state.slots * own / pool

    def _enqueue(self, tracked: tracking.Tracked, now: float) -> None:
        info = tracked.info
        document = self._documents.get(info.service)
        weight = 1
        if document is not None and info.customer in document.customers:
            weight = document.customers[info.customer].weight
        tracked.phase = tracking.Phase.WAITING
        tracked.waiter = lanes.Waiter(
            info.id,
            info.customer,
            weight,
            info.deadline,
            self._estimates.mean(tracked.kind, tracked.work_class),
            now,
            frozenset(tracked.history.failed_targets),
        )
        self._queue(tracked.pool).push(tracked.work_class, tracked.waiter)
        self._pump(tracked.pool, now)
        if tracked.phase is tracking.Phase.WAITING:
            self._ask(tracked.pool, now)

    def _cancel(self, request: ids.RequestId, now: float) -> None:
        tracked = self._requests_by_id.get(request)
        if tracked is None:
            return
        if tracked.phase is tracking.Phase.RUNNING:
            self._leave_running(tracked, 499, 'cancelled by the caller', now)
            return
        if tracked.phase is not tracking.Phase.DETACHED:
            self._withdraw(tracked, now)
            self._finish(tracked, 499, 'cancelled by the caller')

    def _leave_running(
        self,
        tracked: tracking.Tracked,
        status: int,
        reason: str,
        now: float,
    ) -> None:
        """Answer the caller and let short work end at its target.

        Closing the connection would leave open whether the target still
        runs the work, and the slot would be withheld until the target's own
        count proves that it ended. Only long work is worth that.
        """
        self._finish(tracked, status, reason)
        if tracked.work_class is schema.WorkClass.SHORT:
            tracked.phase = tracking.Phase.DETACHED
            self._requests_by_id[tracked.info.id] = tracked
        else:
            self._abort(tracked, now)

    def _abort(self, tracked: tracking.Tracked, now: float) -> None:
        assert tracked.grant is not None
        self._out.append(
            actions.AbortAttempt(tracked.info.id, tracked.grant.instance)
        )
        self._end_use(tracked, None, False, now)
        self._requests_by_id.pop(tracked.info.id, None)

    def _withdraw(self, tracked: tracking.Tracked, now: float) -> None:
        if tracked.phase is tracking.Phase.WAITING:
            self._queue(tracked.pool).remove(
                tracked.work_class, tracked.info.id
            )
            self._ask(tracked.pool, now)

    def _finish(
        self,
        tracked: tracking.Tracked,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """End a request; it did not run only if no byte ever left."""
        self._requests_by_id.pop(tracked.info.id, None)
        ran = tracked.history.bytes_sent or tracked.grant is not None
        self._out.append(
            actions.Finish(
                tracked.info.id,
                status,
                claims.Outcome.UNKNOWN if ran else claims.Outcome.NOT_RUN,
                reason,
                retry_after_s,
            )
        )

    # Attempts

    def _pump(self, pool: ids.PoolId, now: float) -> None:
        """Start waiting requests on the idle grants of a pool."""
        idle = self._idle_by_pool.get(pool)
        if not idle:
            return
        queue = self._queue(pool)
        unusable = []
        while idle and len(queue):
            grant = idle.pop()
            if not self._alive(grant, pool, now):
                continue
            if grant.long and not queue.long_waiting:
                self._holder.leave_long_lane(grant)
            if not self._start_next(queue, grant, now):
                unusable.append(grant)
        idle.extend(unusable)
        keep = queue.state.keep if queue.state is not None else 0
        while len(idle) > keep:
            self._holder.release(idle.pop(0))

    def _purge_idle(self, pool: ids.PoolId, now: float) -> None:
        """Drop the idle grants that no longer permit new work."""
        idle = self._idle_by_pool[pool]
        idle[:] = [g for g in idle if self._alive(g, pool, now)]

    def _alive(
        self, grant: holder.HeldGrant, pool: ids.PoolId, now: float
    ) -> bool:
        """Whether new work may start under the grant; drops it if not."""
        if (
            grant.expires > now
            and not grant.revoked
            and self._lease_valid
            and self._targets.usable(grant.instance, pool)
        ):
            return True
        self._holder.release(grant)
        return False

    def _start_next(
        self,
        queue: pool_queue.PoolQueue,
        grant: holder.HeldGrant,
        now: float,
    ) -> bool:
        while True:
            waiter = queue.take(grant.instance, grant.long, now)
            if waiter is None:
                return False
            tracked = self._requests_by_id[waiter.id]
            if waiter.deadline > now + waiter.cost_s:
                self._start(tracked, grant, now)
                return True
            self._expire(tracked, now)

    def _start(
        self,
        tracked: tracking.Tracked,
        grant: holder.HeldGrant,
        now: float,
    ) -> None:
        record = self._targets.targets_by_id[grant.instance].record
        assert record.pool is not None
        info = tracked.info
        tracked.phase = tracking.Phase.RUNNING
        tracked.waiter = None
        tracked.grant = grant
        tracked.history.attempts += 1
        self._holder.start(grant, info.id, tracked.work_class.value, now)
        if tracked.work_class is schema.WorkClass.SHORT:
            threshold = self._estimates.threshold(info.service)
            self._timers.add(
                now + threshold, tracking.Alarm.THRESHOLD, info.id
            )
        self._timers.add(
            info.deadline + 2 * _OVERDUE_S, tracking.Alarm.OVERDUE, info.id
        )
        self._out.append(
            actions.StartAttempt(
                info.id,
                grant.instance,
                record.address,
                record.port,
                record.pool,
                record.epoch,
                tracked.history.attempts,
                info.deadline - now + _OVERDUE_S,
            )
        )

    def _end_use(
        self,
        tracked: tracking.Tracked,
        good: bool | None,
        certain: bool,
        now: float,
    ) -> None:
        """End the use of a slot and use it for the next request."""
        grant = tracked.grant
        assert grant is not None
        tracked.grant = None
        if self._holder.finish(grant, good, certain, now):
            if not grant.long and self._queue(tracked.pool).yields(now):
                self._holder.release(grant)
                return
            self._idle_by_pool.setdefault(tracked.pool, []).append(grant)
            self._pump(tracked.pool, now)

    def _current(
        self, request: ids.RequestId, instance: ids.InstanceId
    ) -> tracking.Tracked | None:
        """Return the request if this attempt is its current one."""
        tracked = self._requests_by_id.get(request)
        if tracked is None or tracked.grant is None:
            return None
        if tracked.grant.instance != instance:
            return None
        return tracked

    def _complete(self, event: events.AttemptCompleted, now: float) -> None:
        tracked = self._current(event.id, event.instance)
        if tracked is None:
            return
        self._estimates.record(tracked.kind, event.seconds)
        del self._requests_by_id[event.id]
        self._end_use(tracked, event.status < 500, True, now)

    def _fail(self, event: events.AttemptFailed, now: float) -> None:
        tracked = self._current(event.id, event.instance)
        if tracked is None:
            return
        history = tracked.history
        history.bytes_sent |= event.bytes_sent
        certain = not event.bytes_sent or event.kind in (
            events.FailureKind.STATUS,
            events.FailureKind.STALE_EPOCH,
        )
        good: bool | None = False
        if event.kind is events.FailureKind.STALE_EPOCH:
            # The target is healthy, but this entry's view of it is old.
            good = None
        elif event.bytes_sent:
            history.failed_targets.add(event.instance)
        detached = tracked.phase is tracking.Phase.DETACHED
        self._end_use(tracked, good, certain, now)
        if detached:
            self._requests_by_id.pop(event.id, None)
        else:
            self._retry_or_finish(tracked, event, now)

    def _retry_or_finish(
        self,
        tracked: tracking.Tracked,
        event: events.AttemptFailed,
        now: float,
    ) -> None:
        info = tracked.info
        refused = policy.refusal(info, tracked.history, event)
        wait = policy.backoff(
            tracked.history.attempts, event.retry_after_s, self._rng
        )
        if refused is None and now + wait >= info.deadline:
            refused = policy.Refusal.DEADLINE
        if refused is None and not self._budgets[info.service].take():
            refused = policy.Refusal.BUDGET
        if refused is None:
            tracked.phase = tracking.Phase.BACKOFF
            self._timers.add(now + wait, tracking.Alarm.BACKOFF, info.id)
            return
        status = 504 if event.kind is events.FailureKind.TIMEOUT else 502
        self._finish(
            tracked,
            status,
            f'attempt on {event.instance} failed ({event.kind.value});'
            f' {refused.value}',
            event.retry_after_s,
        )

    # Time

    def _run_timers(self, now: float) -> None:
        while True:
            due = self._timers.due(now)
            if due is None:
                return
            alarm, request = due
            tracked = self._requests_by_id.get(request)
            if tracked is not None:
                self._alarm(alarm, tracked, now)

    def _alarm(
        self, alarm: tracking.Alarm, tracked: tracking.Tracked, now: float
    ) -> None:
        match alarm, tracked.phase:
            case (
                tracking.Alarm.DEADLINE,
                tracking.Phase.WAITING | tracking.Phase.BACKOFF,
            ):
                self._withdraw(tracked, now)
                self._expire(tracked, now)
            case tracking.Alarm.DEADLINE, tracking.Phase.RUNNING:
                if not tracked.answer_started:
                    self._leave_running(
                        tracked, 504, 'the deadline passed', now
                    )
            case tracking.Alarm.BACKOFF, tracking.Phase.BACKOFF:
                self._enqueue(tracked, now)
            case (
                tracking.Alarm.THRESHOLD,
                tracking.Phase.RUNNING | tracking.Phase.DETACHED,
            ):
                self._reclassify(tracked, now)
            case (
                tracking.Alarm.OVERDUE,
                tracking.Phase.RUNNING | tracking.Phase.DETACHED,
            ):
                detached = tracked.phase is tracking.Phase.DETACHED
                if not detached:
                    self._finish(
                        tracked, 504, 'no end of the attempt was reported'
                    )
                self._abort(tracked, now)

    def _reclassify(self, tracked: tracking.Tracked, now: float) -> None:
        """Treat running work as long once it runs like long work."""
        assert tracked.grant is not None
        threshold = self._estimates.threshold(tracked.info.service)
        if now - tracked.grant.started < threshold - 1e-9:
            self._timers.add(
                tracked.grant.started + threshold,
                tracking.Alarm.THRESHOLD,
                tracked.info.id,
            )
            return
        if tracked.phase is tracking.Phase.DETACHED:
            self._abort(tracked, now)
            return
        # The kind is learned now rather than when the long run ends.
        self._estimates.record(tracked.kind, 2.0 * threshold)
        tracked.work_class = schema.WorkClass.LONG
        self._holder.reclassify(tracked.grant, schema.WorkClass.LONG.value)

    def _expire(self, tracked: tracking.Tracked, now: float) -> None:
        queue = self._queue(tracked.pool)
        self._finish(
            tracked,
            503,
            'the deadline leaves no time to run the work',
            admission.drain_time(
                queue, self._estimates, tracked, self._slot_share(queue), now
            ),
        )

    # Changes of the surroundings

    def _change_targets(
        self, found: tuple[events.TargetInfo, ...], now: float
    ) -> None:
        before = dict(self._targets.targets_by_id)
        owners = dict(self._targets.owners_by_pool)
        self._targets.set_targets(found)
        self._apply_owners(before, owners, frozenset(), now)

    def _change_entries(
        self,
        epoch: ids.Epoch,
        entries: tuple[ids.EntryId, ...],
        now: float,
    ) -> None:
        if epoch <= self._epoch:
            return
        self._epoch = epoch
        before = dict(self._targets.targets_by_id)
        owners = dict(self._targets.owners_by_pool)
        self._targets.set_entries(entries)
        self._holder.set_entries(epoch, entries, now)
        self._owner.set_entries(epoch, entries)
        inherited = frozenset(before) if owners else frozenset()
        self._apply_owners(before, owners, inherited, now)

    def _apply_owners(
        self,
        before: dict[ids.InstanceId, events.TargetInfo],
        owners: dict[ids.PoolId, ids.EntryId],
        inherited: frozenset[ids.InstanceId],
        now: float,
    ) -> None:
        table = self._targets
        for instance in {*before, *table.targets_by_id}:
            old = before.get(instance)
            old_owner = None
            if old is not None and old.record.pool is not None:
                old_owner = owners.get(old.record.pool)
            new_owner = table.owner(instance)
            if old_owner != new_owner:
                self._holder.change_owner(instance, new_owner)
        self._owner.set_targets(
            (
                target
                for target in table.targets_by_id.values()
                if table.owner(target.record.id) == self._entry
            ),
            inherited,
            now,
        )
        for document in self._documents.values():
            self._owner.set_long_share(
                document.pool, document.limits.long_share
            )
        for pool in self._idle_by_pool:
            self._purge_idle(pool, now)
            self._pump(pool, now)

    def _change_documents(
        self, documents: tuple[schema.Document, ...]
    ) -> None:
        self._documents = {
            ids.ServiceId(document.service): document for document in documents
        }
        for service, document in self._documents.items():
            share = document.limits.retry_budget
            found = self._budgets.get(service)
            if found is None:
                self._budgets[service] = budget.RetryBudget(share)
            else:
                found.share = share
            self._owner.set_long_share(
                document.pool, document.limits.long_share
            )

    def _change_lease(self, valid: bool, now: float) -> None:
        self._lease_valid = valid
        if valid:
            return
        for tracked in list(self._requests_by_id.values()):
            if tracked.phase in (
                tracking.Phase.WAITING,
                tracking.Phase.BACKOFF,
            ):
                self._withdraw(tracked, now)
                self._finish(tracked, 503, 'this entry lost its lease', 1.0)
        for pool in self._idle_by_pool:
            self._purge_idle(pool, now)
            self._pump(pool, now)

    # Slots

    def _queue(self, pool: ids.PoolId) -> pool_queue.PoolQueue:
        found = self._queues.get(pool)
        if found is None:
            found = pool_queue.PoolQueue(pool)
            self._queues[pool] = found
        return found

    def _ask(self, pool: ids.PoolId, now: float) -> None:
        """Tell the owner of a pool that its queue here has changed.

        The owner needs to know at once only about the first few requests;
        it learns about more before it can grant that many.
        """
        owner_entry = self._targets.owners_by_pool.get(pool)
        if owner_entry is None:
            return
        queue = self._queue(pool)
        if owner_entry == self._entry:
            self._owner.set_demand(owner_entry, queue.demand(now), now)
            self._holder.touch(owner_entry, urgent=False)
        else:
            known = queue.reported >= _URGENT_WAITING
            self._holder.touch(owner_entry, urgent=not known)

    def _demands(
        self, owner_entry: ids.EntryId, now: float
    ) -> tuple[messages.Demand, ...]:
        return tuple(
            queue.demand(now)
            for pool, queue in self._queues.items()
            if len(queue)
            and self._targets.owners_by_pool.get(pool) == owner_entry
        )

    def _accept(
        self, sender: ids.EntryId, message: messages.Grants, now: float
    ) -> None:
        for state in message.pools:
            self._queue(state.pool).set_state(state, now)
        pools = {state.pool for state in message.pools}
        for grant in self._holder.accept(sender, message, now):
            target = self._targets.targets_by_id.get(grant.instance)
            if target is None or target.record.pool is None:
                self._holder.release(grant)
                continue
            pool = target.record.pool
            self._idle_by_pool.setdefault(pool, []).append(grant)
            pools.add(pool)
        for pool in pools:
            if message.revoked and pool in self._idle_by_pool:
                self._purge_idle(pool, now)
            self._pump(pool, now)
