"""How attempts and requests end."""

from __future__ import annotations

from verbenastream import ids
from verbenastream.request import actions
from verbenastream.request.claims import messages as claims
from verbenastream.request import events
from verbenastream.request.queueing import admission
from verbenastream.request.queueing import lanes
from verbenastream.request.retries import policy
from verbenastream.request import slot_use
from verbenastream.request import tracking
from verbenastream.version.documents import schema


class Outcomes(slot_use.SlotUse):
    """Ends attempts and requests, tries again, and watches the time."""

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

    def _abort(self, tracked: tracking.Tracked, now: float) -> None:
        assert tracked.grant is not None
        self._out.append(
            actions.AbortAttempt(tracked.info.id, tracked.grant.instance)
        )
        self._end_use(tracked, None, False, now)
        self._requests_by_id.pop(tracked.info.id, None)

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

    def _withdraw(self, tracked: tracking.Tracked, now: float) -> None:
        if tracked.phase is tracking.Phase.WAITING:
            self._queue(tracked.pool).remove(
                tracked.work_class, tracked.info.id
            )
            self._ask(tracked.pool, now)

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
        if now - tracked.grant.started_at < threshold - 1e-9:
            self._timers.add(
                tracked.grant.started_at + threshold,
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
