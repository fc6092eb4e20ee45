"""State of an entry and changes of what surrounds it."""

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

# The owner learns about more waiting requests before it can grant that many.
_URGENT_WAITING = 4


class Surroundings:
    """What an entry knows: targets, documents, entries and its queues.

    The base of the dispatcher; it also tells owners what waits here.
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
        self._documents: dict[ids.ServiceId, schema.Document] = {}
        self._budgets: dict[ids.ServiceId, budget.RetryBudget] = {}
        self._estimates = estimates.Estimates()
        self._queues: dict[ids.PoolId, pool_queue.PoolQueue] = {}
        self._requests_by_id: dict[ids.RequestId, tracking.Tracked] = {}
        self._timers = tracking.Timers()
        self._idle_by_pool: dict[ids.PoolId, list[holder.HeldGrant]] = {}
        self._out: list[actions.Action] = []
        self._owner = owner.SlotOwner(incarnation, detector)
        self._holder = holder.GrantHolder(
            entry,
            incarnation,
            data_centre,
            lambda number: self._owner.release(entry, number),
        )
        self._exchange = exchange.Exchange(
            entry, self._holder, self._owner, self._demands, self._accept
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
            self._holder.mark_changed(owner_entry, urgent=False)
        else:
            known = queue.reported >= _URGENT_WAITING
            self._holder.mark_changed(owner_entry, urgent=not known)

    def _demands(
        self, owner_entry: ids.EntryId, now: float
    ) -> tuple[messages.Demand, ...]:
        return tuple(
            queue.demand(now)
            for pool, queue in self._queues.items()
            if len(queue)
            and self._targets.owners_by_pool.get(pool) == owner_entry
        )

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
        if epoch == self._epoch:
            self._owner.resume_grants()
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
                self._holder.change_owner(instance, new_owner, now)
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

    def _pump(self, pool: ids.PoolId, now: float) -> None:
        raise NotImplementedError

    def _purge_idle(self, pool: ids.PoolId, now: float) -> None:
        raise NotImplementedError

    def _accept(
        self, sender: ids.EntryId, message: messages.Grants, now: float
    ) -> None:
        raise NotImplementedError
