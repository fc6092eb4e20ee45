"""Use of granted slots: which request runs on which one."""

from __future__ import annotations

from verbenastream import ids
from verbenastream.request import actions
from verbenastream.request.queueing import pool_queue
from verbenastream.request.slots import holder
from verbenastream.request.slots import messages
from verbenastream.request import surroundings
from verbenastream.request import tracking
from verbenastream.version.documents import schema

# An attempt of short work may outlive its request's deadline by at most this
# time, so that its slot is known to be free. Without any report an attempt is
# written off after twice that.
OVERDUE_S = 1.0


class SlotUse(surroundings.Surroundings):
    """Uses the granted slots for the requests that wait here."""

    def _accept(
        self, sender: ids.EntryId, message: messages.Grants, now: float
    ) -> None:
        for state in message.pool_states:
            self._queue(state.pool).set_state(state, now)
        changed = {state.pool for state in message.pool_states}
        for grant in self._holder.accept(sender, message, now):
            target = self._targets.targets_by_id.get(grant.instance)
            if target is None or target.record.pool is None:
                self._holder.release(grant)
                continue
            pool = target.record.pool
            self._idle_by_pool.setdefault(pool, []).append(grant)
            changed.add(pool)
        for pool in changed:
            if message.revoked_numbers and pool in self._idle_by_pool:
                self._purge_idle(pool, now)
            self._pump(pool, now)

    def _pump(self, pool: ids.PoolId, now: float) -> None:
        """Start waiting requests on the idle grants of a pool."""
        idle = self._idle_by_pool.get(pool)
        if not idle:
            return
        if not self._lease_valid:
            # A grant kept until the lease is back would come from a set of
            # entries that may no longer be in force.
            self._purge_idle(pool, now)
            return
        queue = self._queue(pool)
        unusable = []
        while idle and len(queue):
            grant = idle.pop()
            if not self._alive(grant, pool, now):
                continue
            if grant.in_long_lane and not queue.long_waiting:
                self._holder.leave_long_lane(grant)
            if not self._start_next(queue, grant, now):
                unusable.append(grant)
        idle.extend(unusable)
        keep = queue.state.max_idle_grants if queue.state is not None else 0
        while len(idle) > keep:
            if self._holder.is_unresponsive(idle[0].owner, now):
                break
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
            grant.expires_at > now
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
            waiter = queue.take(grant.instance, grant.in_long_lane, now)
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
        grace_s = 0.0
        if tracked.work_class is schema.WorkClass.SHORT:
            threshold = self._estimates.threshold(info.service)
            grace_s = min(threshold, OVERDUE_S)
            self._timers.add(
                now + threshold, tracking.Alarm.THRESHOLD, info.id
            )
        self._timers.add(
            info.deadline + 2 * OVERDUE_S, tracking.Alarm.OVERDUE, info.id
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
                info.deadline - now + grace_s,
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
            if (
                not grant.in_long_lane
                and self._queue(tracked.pool).yields(now)
                and not self._holder.is_unresponsive(grant.owner, now)
            ):
                self._holder.release(grant)
                return
            self._idle_by_pool.setdefault(tracked.pool, []).append(grant)
            self._pump(tracked.pool, now)

    def _expire(self, tracked: tracking.Tracked, now: float) -> None:
        raise NotImplementedError
