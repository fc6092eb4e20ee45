"""Assignment of waiting requests to granted slots."""

from __future__ import annotations

from verbenastream import ids
from verbenastream.request import actions
from verbenastream.request import entry_context
from verbenastream.request.queueing import pool_queue
from verbenastream.request.slots import holder
from verbenastream.request.slots import messages
from verbenastream.request import tracking
from verbenastream.version.documents import schema

# An attempt of short work may run past its request's deadline by at most this
# time, so that its slot is known to be free when it ends. An attempt without
# any report is written off after twice that.
_MAX_OVERTIME_S = 1.0


class GrantScheduler(entry_context.EntryContext):
    """Starts the waiting requests of the entry on its granted slots."""

    def _accept_grants(
        self, sender: ids.EntryId, message: messages.Grants, now: float
    ) -> None:
        for state in message.pool_states:
            self._queue(state.pool).update_state(state, now)
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
                self._release_unusable_grants(pool, now)
            self._start_waiting_requests(pool, now)

    def _start_waiting_requests(self, pool: ids.PoolId, now: float) -> None:
        """Start waiting requests on the idle grants of a pool.

        Idle grants beyond the allowed number are returned to the owner.
        """
        idle = self._idle_by_pool.get(pool)
        if not idle:
            return
        if not self._lease_valid:
            # By the time the lease is back, the entry set under which the
            # grants were issued may no longer be in force.
            self._release_unusable_grants(pool, now)
            return
        queue = self._queue(pool)
        unmatched = []
        while idle and len(queue):
            grant = idle.pop()
            if not self._keep_if_usable(grant, pool, now):
                continue
            if grant.in_long_lane and not queue.long_waiting:
                self._holder.leave_long_lane(grant)
            if not self._start_next(queue, grant, now):
                unmatched.append(grant)
        idle.extend(unmatched)
        max_idle = (
            queue.pool_state.max_idle_grants
            if queue.pool_state is not None
            else 0
        )
        while len(idle) > max_idle:
            if self._holder.is_unresponsive(idle[0].owner, now):
                break
            self._holder.release(idle.pop(0))

    def _release_unusable_grants(self, pool: ids.PoolId, now: float) -> None:
        """Release the idle grants that no longer permit new work."""
        idle = self._idle_by_pool[pool]
        idle[:] = [g for g in idle if self._keep_if_usable(g, pool, now)]

    def _keep_if_usable(
        self, grant: holder.HeldGrant, pool: ids.PoolId, now: float
    ) -> bool:
        """Return whether new work may start under the grant.

        Releases the grant if not.
        """
        if (
            grant.expires_at > now
            and not grant.revoked
            and self._lease_valid
            and self._targets.is_usable_for(grant.instance, pool)
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
            queued = queue.take(grant.instance, grant.in_long_lane, now)
            if queued is None:
                return False
            tracked = self._requests_by_id[queued.id]
            if queued.deadline > now + queued.cost_s:
                self._start(tracked, grant, now)
                return True
            self._finish_expired(tracked, now)

    def _start(
        self,
        tracked: tracking.TrackedRequest,
        grant: holder.HeldGrant,
        now: float,
    ) -> None:
        record = self._targets.targets_by_id[grant.instance].record
        assert record.pool is not None
        info = tracked.info
        tracked.phase = tracking.Phase.RUNNING
        tracked.queued_request = None
        tracked.grant = grant
        tracked.history.attempts += 1
        self._holder.start(grant, info.id, tracked.work_class.value, now)
        grace_s = 0.0
        if tracked.work_class is schema.WorkClass.SHORT:
            long_threshold_s = self._estimates.long_threshold(info.service)
            grace_s = min(long_threshold_s, _MAX_OVERTIME_S)
            self._timers.add(
                now + long_threshold_s, tracking.TimerKind.THRESHOLD, info.id
            )
        self._timers.add(
            info.deadline + 2 * _MAX_OVERTIME_S,
            tracking.TimerKind.OVERDUE,
            info.id,
        )
        self._pending_actions.append(
            actions.StartAttempt(
                info.id,
                grant.instance,
                record.address,
                record.port,
                record.pool,
                record.epoch,
                tracked.history.attempts,
                info.deadline - now + grace_s,
                grant.expires_at,
            )
        )

    def _end_use(
        self,
        tracked: tracking.TrackedRequest,
        succeeded: bool | None,
        end_confirmed: bool,
        now: float,
    ) -> None:
        """End the use of a slot, then reuse the slot or return it."""
        grant = tracked.grant
        assert grant is not None
        tracked.grant = None
        if self._holder.finish(grant, succeeded, end_confirmed, now):
            if (
                not grant.in_long_lane
                and self._queue(tracked.pool).should_yield(now)
                and not self._holder.is_unresponsive(grant.owner, now)
            ):
                self._holder.release(grant)
                return
            self._idle_by_pool.setdefault(tracked.pool, []).append(grant)
            self._start_waiting_requests(tracked.pool, now)

    def _finish_expired(
        self, tracked: tracking.TrackedRequest, now: float
    ) -> None:
        raise NotImplementedError
