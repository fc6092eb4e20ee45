"""State of an entry: its targets, documents, entry set and queues."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.request import actions
from verbenastream.request import events
from verbenastream.request.queueing import estimates
from verbenastream.request.queueing import pool_queue
from verbenastream.request.retries import budget
from verbenastream.request.routing import outliers
from verbenastream.request.routing import targets
from verbenastream.request.slots import exchange
from verbenastream.request.slots import holder
from verbenastream.request.slots import messages
from verbenastream.request.slots import owner
from verbenastream.request import tracking
from verbenastream.version.documents import schema

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

# With this many requests reported, a change is not urgent: the owner gets the
# next report before it can grant that many slots.
_URGENT_QUEUE_LENGTH = 4


class EntryContext:
    """Base of the dispatcher: the state of the entry and its changes.

    Holds the targets, documents, entry set and queues, and reports the demand
    of the queues to the slot owners.
    """

    def __init__(
        self,
        entry: ids.EntryId,
        incarnation: ids.Incarnation,
        rng: random.Random,
        data_centre: str,
        detector: Callable[[], outliers.Detector] = outliers.Detector,
    ) -> None:
        self._entry = entry
        self._rng = rng
        self._lease_valid = True
        self._epoch = ids.Epoch(0)
        self._targets = targets.TargetTable()
        self._documents_by_service: dict[ids.ServiceId, schema.Document] = {}
        self._budgets_by_service: dict[ids.ServiceId, budget.RetryBudget] = {}
        self._estimates = estimates.Estimates()
        self._queues_by_pool: dict[ids.PoolId, pool_queue.PoolQueue] = {}
        self._requests_by_id: dict[ids.RequestId, tracking.TrackedRequest] = {}
        self._timers = tracking.Timers()
        self._idle_by_pool: dict[ids.PoolId, list[holder.HeldGrant]] = {}
        self._pending_actions: list[actions.Action] = []
        self._owner = owner.SlotOwner(incarnation, detector)
        self._holder = holder.GrantHolder(
            entry,
            incarnation,
            data_centre,
            lambda number: self._owner.release(entry, number),
        )
        self._exchange = exchange.Exchange(
            entry,
            self._holder,
            self._owner,
            self._collect_demands,
            self._accept_grants,
        )

    def _slot_share(self, queue: pool_queue.PoolQueue) -> float:
        """Return this entry's fair share of the pool's slots.

        It is proportional to the entry's share of the waiting requests. An
        entry that holds more slots will lose them to entries whose requests
        wait longer.
        """
        state = queue.pool_state
        if state is None:
            return 8.0 / max(1, self._targets.entry_count)
        own_count = len(queue) + 1
        pool_count = state.short_waiting + state.long_waiting
        if pool_count < own_count:
            return state.slots / max(1, self._targets.entry_count)
        return state.slots * own_count / pool_count

    def _queue(self, pool: ids.PoolId) -> pool_queue.PoolQueue:
        queue = self._queues_by_pool.get(pool)
        if queue is None:
            queue = pool_queue.PoolQueue(pool)
            self._queues_by_pool[pool] = queue
        return queue

    def _report_demand(self, pool: ids.PoolId, now: float) -> None:
        """Schedule a report on the queue of a pool to the pool's owner.

        Only the first few requests are reported urgently; the next report
        arrives before the owner can grant more slots than that.
        """
        owner_entry = self._targets.owner_by_pool.get(pool)
        if owner_entry is None:
            return
        queue = self._queue(pool)
        if owner_entry == self._entry:
            self._owner.set_demand(owner_entry, queue.demand(now), now)
            self._holder.mark_changed(owner_entry, urgent=False)
        else:
            owner_informed = queue.reported_count >= _URGENT_QUEUE_LENGTH
            self._holder.mark_changed(owner_entry, urgent=not owner_informed)

    def _collect_demands(
        self, owner_entry: ids.EntryId, now: float
    ) -> tuple[messages.Demand, ...]:
        return tuple(
            queue.demand(now)
            for pool, queue in self._queues_by_pool.items()
            if len(queue)
            and self._targets.owner_by_pool.get(pool) == owner_entry
        )

    def _change_targets(
        self, new_targets: tuple[events.TargetInfo, ...], now: float
    ) -> None:
        old_targets = dict(self._targets.targets_by_id)
        old_owner_by_pool = dict(self._targets.owner_by_pool)
        self._targets.set_targets(new_targets)
        self._apply_owners(old_targets, old_owner_by_pool, frozenset(), now)

    def _change_entries(
        self,
        epoch: ids.Epoch,
        entries: tuple[ids.EntryId, ...],
        leaving: tuple[ids.EntryId, ...],
        now: float,
    ) -> None:
        if epoch == self._epoch:
            self._owner.resume_grants()
        if epoch <= self._epoch:
            return
        self._epoch = epoch
        old_targets = dict(self._targets.targets_by_id)
        old_owner_by_pool = dict(self._targets.owner_by_pool)
        self._targets.set_entries(entries)
        self._holder.set_entries(epoch, entries + leaving, now)
        self._owner.set_entries(epoch, entries)
        inherited = (
            frozenset(old_targets) if old_owner_by_pool else frozenset()
        )
        self._apply_owners(old_targets, old_owner_by_pool, inherited, now)

    def _apply_owners(
        self,
        old_targets: dict[ids.InstanceId, events.TargetInfo],
        old_owner_by_pool: dict[ids.PoolId, ids.EntryId],
        inherited: frozenset[ids.InstanceId],
        now: float,
    ) -> None:
        table = self._targets
        for instance in {*old_targets, *table.targets_by_id}:
            old_target = old_targets.get(instance)
            previous_owner = None
            if old_target is not None and old_target.record.pool is not None:
                previous_owner = old_owner_by_pool.get(old_target.record.pool)
            new_owner = table.owner_of(instance)
            if previous_owner != new_owner:
                self._holder.change_owner(instance, new_owner, now)
        self._owner.set_targets(
            (
                target
                for target in table.targets_by_id.values()
                if table.owner_of(target.record.id) == self._entry
            ),
            inherited,
            now,
        )
        for document in self._documents_by_service.values():
            self._owner.set_long_share(
                document.pool, document.limits.long_share
            )
        for pool in self._idle_by_pool:
            self._release_unusable_grants(pool, now)
            self._start_waiting_requests(pool, now)

    def _change_documents(
        self, documents: tuple[schema.Document, ...]
    ) -> None:
        self._documents_by_service = {
            ids.ServiceId(document.service): document for document in documents
        }
        for service, document in self._documents_by_service.items():
            share = document.limits.retry_budget
            retry_budget = self._budgets_by_service.get(service)
            if retry_budget is None:
                self._budgets_by_service[service] = budget.RetryBudget(share)
            else:
                retry_budget.share = share
            self._owner.set_long_share(
                document.pool, document.limits.long_share
            )

    def _start_waiting_requests(self, pool: ids.PoolId, now: float) -> None:
        raise NotImplementedError

    def _release_unusable_grants(self, pool: ids.PoolId, now: float) -> None:
        raise NotImplementedError

    def _accept_grants(
        self, sender: ids.EntryId, message: messages.Grants, now: float
    ) -> None:
        raise NotImplementedError
