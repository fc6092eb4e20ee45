"""Dispatcher of one entry, free of I/O: events in, actions out."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.request import actions
from verbenastream.request.claims import messages as claims
from verbenastream.request import events
from verbenastream.request import lifecycle
from verbenastream.request.queueing import admission
from verbenastream.request.routing import outliers
from verbenastream.request import tracking
from verbenastream.version.documents import schema

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from verbenastream.request.slots import pool as pools

_SWEEP_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Counters:
    """Number of requests in each phase, for metrics and tests."""

    waiting: int
    backoff: int
    running: int
    detached: int

    @property
    def total(self) -> int:
        return self.waiting + self.backoff + self.running + self.detached


class Dispatcher(lifecycle.RequestLifecycle):
    """Serves the requests of one entry on the slots granted by their owners.

    The driver passes each event with the current monotonic time in seconds
    and performs the returned actions in order. It passes ``Tick`` when
    ``next_wakeup`` is reached, at the latest every 20 ms while work waits.

        dispatcher = Dispatcher.from_config(entry, incarnation, rng)
        for action in dispatcher.handle(events.Tick(), loop.time()):
            perform(action)
    """

    @classmethod
    def from_config(
        cls,
        entry: ids.EntryId,
        incarnation: ids.Incarnation,
        rng: random.Random,
        data_centre: str = '',
        detector: Callable[[], outliers.Detector] = outliers.Detector,
    ) -> Dispatcher:
        """Return the dispatcher of ``entry``; it starts with a valid lease.

        ``detector`` creates the outlier detector of each pool that the entry
        owns.
        """
        return cls(entry, incarnation, rng, data_centre, detector)

    def handle(self, event: events.Event, now: float) -> list[actions.Action]:
        """Apply an event and return what the driver has to do, in order."""
        match event:
            case events.RequestArrived(request):
                self._handle_arrival(request, now)
            case events.AttemptCompleted():
                self._complete_attempt(event, now)
            case events.PeerMessage(sender, message):
                self._exchange.receive(sender, message, now)
            case events.Tick():
                pass
            case events.RequestCancelled(request_id):
                self._cancel_request(request_id, now)
            case events.AnswerStarted():
                tracked = self._requests_by_id.get(event.id)
                if tracked is not None:
                    tracked.answer_started = True
            case events.AttemptFailed():
                self._fail_attempt(event, now)
            case events.TargetsChanged(targets):
                self._change_targets(targets, now)
            case events.DocumentsChanged(documents):
                self._change_documents(documents)
            case events.EntriesChanged(epoch, entries, leaving):
                self._change_entries(epoch, entries, leaving, now)
            case events.LeaseChanged(valid):
                self._change_lease(valid, now)
        self._run_timers(now)
        self._pending_actions.extend(self._exchange.run(now))
        pending_actions = self._pending_actions
        self._pending_actions = []
        return pending_actions

    def next_wakeup(self, now: float) -> float | None:
        """Return the time of the next ``Tick`` that is needed, or None."""
        wakeup = self._exchange.next_report_due()
        timer_due = self._timers.next_due
        if timer_due is not None and (wakeup is None or timer_due < wakeup):
            wakeup = timer_due
        if self._owner.pools_by_id:
            sweep_due = now + _SWEEP_INTERVAL_S
            if wakeup is None or sweep_due < wakeup:
                wakeup = sweep_due
        return wakeup

    def counters(self) -> Counters:
        """Return how many requests are in each phase."""
        count_by_phase = dict.fromkeys(tracking.Phase, 0)
        for tracked in self._requests_by_id.values():
            count_by_phase[tracked.phase] += 1
        return Counters(
            count_by_phase[tracking.Phase.WAITING],
            count_by_phase[tracking.Phase.BACKOFF],
            count_by_phase[tracking.Phase.RUNNING],
            count_by_phase[tracking.Phase.DETACHED],
        )

    @property
    def owned_pools(self) -> tuple[pools.OwnedPool, ...]:
        """The pools whose slots this entry owns, for metrics and tests."""
        return tuple(self._owner.pools_by_id.values())

    @property
    def idle_grants(self) -> int:
        """Number of slots that this entry holds but does not use."""
        return sum(len(idle) for idle in self._idle_by_pool.values())

    def _handle_arrival(self, info: events.RequestInfo, now: float) -> None:
        document = self._documents_by_service.get(info.service)
        if document is None:
            self._pending_actions.append(
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
        tracked = tracking.TrackedRequest(info, work_class, now)
        rejection = self._admit(tracked, document, now)
        if rejection is not None:
            self._finish(
                tracked, 503, rejection.reason, rejection.retry_after_s
            )
            return
        self._budgets_by_service[info.service].deposit()
        self._requests_by_id[info.id] = tracked
        self._timers.add(info.deadline, tracking.TimerKind.DEADLINE, info.id)
        self._enqueue(tracked, now)

    def _admit(
        self,
        tracked: tracking.TrackedRequest,
        document: schema.Document,
        now: float,
    ) -> admission.Rejection | None:
        if not self._lease_valid:
            return admission.Rejection('this entry has no valid lease', 1.0)
        if not self._targets.has_usable_target(tracked.pool):
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

    def _cancel_request(self, request: ids.RequestId, now: float) -> None:
        tracked = self._requests_by_id.get(request)
        if tracked is None:
            return
        if tracked.phase is tracking.Phase.RUNNING:
            self._detach_or_abort(tracked, 499, 'cancelled by the caller', now)
            return
        if tracked.phase is not tracking.Phase.DETACHED:
            self._remove_from_queue(tracked, now)
            self._finish(tracked, 499, 'cancelled by the caller')

    def _change_lease(self, valid: bool, now: float) -> None:
        self._lease_valid = valid
        if valid:
            return
        self._owner.suspend_grants()
        for tracked in list(self._requests_by_id.values()):
            if tracked.phase in (
                tracking.Phase.WAITING,
                tracking.Phase.BACKOFF,
            ):
                self._remove_from_queue(tracked, now)
                self._finish(tracked, 503, 'this entry lost its lease', 1.0)
        for pool in self._idle_by_pool:
            self._release_unusable_grants(pool, now)
            self._start_waiting_requests(pool, now)
