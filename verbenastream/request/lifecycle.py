"""Ends of attempts and requests: answers, failures, retries and timers."""

from __future__ import annotations

from verbenastream import ids
from verbenastream.request import actions
from verbenastream.request.claims import messages as claims
from verbenastream.request import events
from verbenastream.request import grant_scheduler
from verbenastream.request.queueing import admission
from verbenastream.request.queueing import lanes
from verbenastream.request.retries import policy
from verbenastream.request import tracking
from verbenastream.version.documents import schema


class RequestLifecycle(grant_scheduler.GrantScheduler):
    """Queues requests, ends their attempts, retries them and runs timers."""

    def _finish(
        self,
        tracked: tracking.TrackedRequest,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """End a request.

        The outcome is ``NOT_RUN`` only if no byte was sent to a target.
        """
        self._requests_by_id.pop(tracked.info.id, None)
        ran = tracked.history.bytes_sent or tracked.grant is not None
        self._pending_actions.append(
            actions.Finish(
                tracked.info.id,
                status,
                claims.Outcome.UNKNOWN if ran else claims.Outcome.NOT_RUN,
                reason,
                retry_after_s,
            )
        )

    def _abort_attempt(
        self, tracked: tracking.TrackedRequest, now: float
    ) -> None:
        assert tracked.grant is not None
        self._pending_actions.append(
            actions.AbortAttempt(tracked.info.id, tracked.grant.instance)
        )
        self._end_use(tracked, None, False, now)
        self._requests_by_id.pop(tracked.info.id, None)

    def _detach_or_abort(
        self,
        tracked: tracking.TrackedRequest,
        status: int,
        reason: str,
        now: float,
    ) -> None:
        """Answer the caller; short work goes on at its target.

        After closing the connection, the entry could not tell whether the
        target still runs the work, and the slot would stay occupied until the
        target's own count shows that the work has ended. Only for long work
        is that better than to let it run.
        """
        self._finish(tracked, status, reason)
        if tracked.work_class is schema.WorkClass.SHORT:
            tracked.phase = tracking.Phase.DETACHED
            self._requests_by_id[tracked.info.id] = tracked
        else:
            self._abort_attempt(tracked, now)

    def _remove_from_queue(
        self, tracked: tracking.TrackedRequest, now: float
    ) -> None:
        if tracked.phase is tracking.Phase.WAITING:
            self._queue(tracked.pool).remove(
                tracked.work_class, tracked.info.id
            )
            self._report_demand(tracked.pool, now)

    def _finish_expired(
        self, tracked: tracking.TrackedRequest, now: float
    ) -> None:
        queue = self._queue(tracked.pool)
        self._finish(
            tracked,
            503,
            'the deadline leaves no time to run the work',
            admission.drain_time(
                queue, self._estimates, tracked, self._slot_share(queue), now
            ),
        )

    def _enqueue(self, tracked: tracking.TrackedRequest, now: float) -> None:
        info = tracked.info
        document = self._documents_by_service.get(info.service)
        weight = 1
        if document is not None and info.customer in document.customers:
            weight = document.customers[info.customer].weight
        tracked.phase = tracking.Phase.WAITING
        tracked.queued_request = lanes.QueuedRequest(
            info.id,
            info.customer,
            weight,
            info.deadline,
            self._estimates.mean_run_time(tracked.kind, tracked.work_class),
            now,
            frozenset(tracked.history.failed_targets),
        )
        self._queue(tracked.pool).push(
            tracked.work_class, tracked.queued_request
        )
        self._start_waiting_requests(tracked.pool, now)
        if tracked.phase is tracking.Phase.WAITING:
            self._report_demand(tracked.pool, now)

    def _find_current_attempt(
        self, request: ids.RequestId, instance: ids.InstanceId
    ) -> tracking.TrackedRequest | None:
        """Return the request if it currently runs on ``instance``."""
        tracked = self._requests_by_id.get(request)
        if tracked is None or tracked.grant is None:
            return None
        if tracked.grant.instance != instance:
            return None
        return tracked

    def _complete_attempt(
        self, event: events.AttemptCompleted, now: float
    ) -> None:
        tracked = self._find_current_attempt(event.id, event.instance)
        if tracked is None:
            return
        self._estimates.record(tracked.kind, event.seconds)
        del self._requests_by_id[event.id]
        self._end_use(tracked, event.status < 500, True, now)

    def _fail_attempt(self, event: events.AttemptFailed, now: float) -> None:
        tracked = self._find_current_attempt(event.id, event.instance)
        if tracked is None:
            return
        history = tracked.history
        history.bytes_sent |= event.bytes_sent
        end_confirmed = not event.bytes_sent or event.kind in (
            events.FailureKind.STATUS,
            events.FailureKind.STALE_EPOCH,
        )
        succeeded: bool | None = False
        if event.kind is events.FailureKind.STALE_EPOCH:
            # The target is healthy; this entry's view of it is out of date.
            succeeded = None
        elif event.bytes_sent:
            history.failed_targets.add(event.instance)
        elif event.kind is events.FailureKind.GRANT_EXPIRED:
            succeeded = None
        detached = tracked.phase is tracking.Phase.DETACHED
        self._end_use(tracked, succeeded, end_confirmed, now)
        if detached:
            self._requests_by_id.pop(event.id, None)
        elif event.kind is events.FailureKind.GRANT_EXPIRED:
            # This was no attempt, so it needs no retry budget and is repeated
            # also for non-idempotent work.
            history.attempts -= 1
            tracked.phase = tracking.Phase.BACKOFF
            self._timers.add(now, tracking.TimerKind.BACKOFF, event.id)
        else:
            self._retry_or_finish(tracked, event, now)

    def _retry_or_finish(
        self,
        tracked: tracking.TrackedRequest,
        event: events.AttemptFailed,
        now: float,
    ) -> None:
        info = tracked.info
        refusal = policy.retry_refusal(info, tracked.history, event)
        backoff_s = policy.backoff(
            tracked.history.attempts, event.retry_after_s, self._rng
        )
        if refusal is None and now + backoff_s >= info.deadline:
            refusal = policy.Refusal.DEADLINE_TOO_CLOSE
        if (
            refusal is None
            and not self._budgets_by_service[info.service].take()
        ):
            refusal = policy.Refusal.BUDGET_EXHAUSTED
        if refusal is None:
            tracked.phase = tracking.Phase.BACKOFF
            self._timers.add(
                now + backoff_s, tracking.TimerKind.BACKOFF, info.id
            )
            return
        status = 504 if event.kind is events.FailureKind.TIMEOUT else 502
        self._finish(
            tracked,
            status,
            f'attempt on {event.instance} failed ({event.kind.value});'
            f' {refusal.value}',
            event.retry_after_s,
        )

    def _run_timers(self, now: float) -> None:
        while True:
            due_timer = self._timers.pop_due(now)
            if due_timer is None:
                return
            timer_kind, request = due_timer
            tracked = self._requests_by_id.get(request)
            if tracked is not None:
                self._handle_timer(timer_kind, tracked, now)

    def _handle_timer(
        self,
        timer_kind: tracking.TimerKind,
        tracked: tracking.TrackedRequest,
        now: float,
    ) -> None:
        match timer_kind, tracked.phase:
            case (
                tracking.TimerKind.DEADLINE,
                tracking.Phase.WAITING | tracking.Phase.BACKOFF,
            ):
                self._remove_from_queue(tracked, now)
                self._finish_expired(tracked, now)
            case tracking.TimerKind.DEADLINE, tracking.Phase.RUNNING:
                if not tracked.answer_started:
                    self._detach_or_abort(
                        tracked, 504, 'the deadline passed', now
                    )
            case tracking.TimerKind.BACKOFF, tracking.Phase.BACKOFF:
                self._enqueue(tracked, now)
            case (
                tracking.TimerKind.THRESHOLD,
                tracking.Phase.RUNNING | tracking.Phase.DETACHED,
            ):
                self._reclassify(tracked, now)
            case (
                tracking.TimerKind.OVERDUE,
                tracking.Phase.RUNNING | tracking.Phase.DETACHED,
            ):
                detached = tracked.phase is tracking.Phase.DETACHED
                if not detached:
                    self._finish(
                        tracked, 504, 'no end of the attempt was reported'
                    )
                self._abort_attempt(tracked, now)

    def _reclassify(
        self, tracked: tracking.TrackedRequest, now: float
    ) -> None:
        """Reclassify running work as long once it exceeds the threshold."""
        assert tracked.grant is not None
        long_threshold_s = self._estimates.long_threshold(tracked.info.service)
        if now - tracked.grant.started_at < long_threshold_s - 1e-9:
            self._timers.add(
                tracked.grant.started_at + long_threshold_s,
                tracking.TimerKind.THRESHOLD,
                tracked.info.id,
            )
            return
        if tracked.phase is tracking.Phase.DETACHED:
            self._abort_attempt(tracked, now)
            return
        # Recorded now, so that the kind is known before the long run ends.
        self._estimates.record(tracked.kind, 2.0 * long_threshold_s)
        tracked.work_class = schema.WorkClass.LONG
        self._holder.reclassify(tracked.grant, schema.WorkClass.LONG.value)
