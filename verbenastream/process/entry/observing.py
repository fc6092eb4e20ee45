"""Counts and records what became of each request."""

from __future__ import annotations

import dataclasses
import time
from typing import Any
from typing import TYPE_CHECKING

from verbenastream.connection.proxying import headers as header_rules
from verbenastream import ids
from verbenastream.process import reports
from verbenastream.process import traces
from verbenastream.request import claims
from verbenastream.version.documents import schema
from verbenastream.version import fleet
from verbenastream.version import planning

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web

    from verbenastream.process.membership import view as views
    from verbenastream.process import metrics
    from verbenastream.request import events

# Statuses of refused requests that are the caller's fault: they spend no
# budget of the service.
_CALLER_ERRORS = frozenset({401, 404, 405, 409, 413, 422, 431})
_MAINTENANCE_REASONS = frozenset(
    {planning.Reason.MAINTENANCE.value, planning.Reason.NOTICE.value}
)
_DEMAND_INTERVAL_S = 5.0


@dataclasses.dataclass(slots=True)
class Progress:
    """The attempts of one request so far; times are monotonic seconds."""

    arrived_at: float
    started_at: float | None = None
    instance: ids.InstanceId | None = None

    def attempt(self, instance: ids.InstanceId, now: float) -> None:
        if self.started_at is None:
            self.started_at = now
        self.instance = instance


class RequestObserver:
    """Feeds metrics, the burn counters and the trace of one entry."""

    def __init__(
        self,
        counters: reports.BurnCounters,
        recorder: traces.TraceRecorder,
        registry: metrics.Metrics,
        current_view: Callable[[], views.EntryView],
    ) -> None:
        self._counters = counters
        self._recorder = recorder
        self._current_view = current_view
        self._latency = registry.latency(
            'verbenastream_request_seconds',
            'Time from the arrival of a request to the end of its answer.',
        )
        self._wait = registry.latency(
            'verbenastream_wait_seconds',
            'Time from the arrival of a request to its first attempt.',
        )
        self._outcomes = registry.counter(
            'verbenastream_requests',
            'Requests by service, outcome and status.',
            ('service', 'outcome', 'status'),
        )
        self._counters_by_labels: dict[tuple[str, str, int], Any] = {}
        self._open_by_service: dict[ids.ServiceId, int] = {}
        self._demand_sent_at = float('-inf')

    def arrived(self, info: events.RequestInfo, body_bytes: int) -> None:
        count = self._open_by_service.get(info.service, 0)
        self._open_by_service[info.service] = count + 1
        if self._recorder.active:
            self._recorder.add(
                traces.Arrival(
                    self._recorder.now(),
                    info.id,
                    info.service,
                    info.operation,
                    info.customer,
                    info.work_class,
                    info.deadline - time.monotonic(),
                    idempotent=info.idempotent,
                    keyed=info.key is not None,
                    body_bytes=body_bytes,
                )
            )

    def cancelled(self, info: events.RequestInfo) -> None:
        self._open_by_service[info.service] -= 1
        if self._recorder.active:
            self._recorder.add(
                traces.Cancellation(self._recorder.now(), info.id)
            )

    def answered(
        self,
        info: events.RequestInfo,
        progress: Progress,
        response: web.StreamResponse,
        complete: bool,
    ) -> None:
        """Count an answer; not ``complete`` if its connection was cut."""
        now = time.monotonic()
        self._open_by_service[info.service] -= 1
        self._latency.record(now - progress.arrived_at)
        outcome = response.headers[header_rules.OUTCOME_HEADER]
        self._count(info.service, outcome, response.status)
        cause = self._cause(progress, outcome, response.status, complete)
        if cause is None:
            self._counters.good(info.service, now)
        else:
            self._counters.bad(info.service, cause, now, progress.instance)
        started_at = progress.started_at
        long = info.work_class is schema.WorkClass.LONG
        if started_at is not None:
            wait_s = started_at - progress.arrived_at
            self._wait.record(wait_s)
            if not long:
                self._counters.short_wait(info.service, wait_s, now)
        if self._recorder.active:
            self._record(info, progress, outcome, response.status, cause)

    def refused(self, service: str, status: int, outcome: str) -> None:
        """Count a request that never entered the queue."""
        self._count(service, outcome, status)

    def _count(self, service: str, outcome: str, status: int) -> None:
        # Looking the labels up again for each request costs 15 us.
        key = (service, outcome, status)
        counter = self._counters_by_labels.get(key)
        if counter is None:
            counter = self._outcomes.labels(service, outcome, str(status))
            self._counters_by_labels[key] = counter
        counter.inc()

    def totals(
        self, now: float, at_once: bool = False
    ) -> reports.EntryTotals | None:
        """Return the burn counts to send with a renewal at ``now``."""
        return self._counters.due(now, at_once)

    def busy_by_service(self, now: float) -> dict[ids.ServiceId, float] | None:
        """Return how many instances the open requests keep busy.

        None between two reports, which are 5 s apart.
        """
        if now - self._demand_sent_at < _DEMAND_INTERVAL_S:
            return None
        self._demand_sent_at = now
        slots = self._slots_by_service()
        return {
            service: count / slots.get(service, 8)
            for service, count in self._open_by_service.items()
        }

    def _slots_by_service(self) -> dict[ids.ServiceId, int]:
        return {
            ids.ServiceId(record.pool): record.slots
            for record in self._current_view().instances_by_id.values()
            if record.pool is not None
        }

    def _cause(
        self,
        progress: Progress,
        outcome: str,
        status: int,
        complete: bool,
    ) -> reports.Cause | None:
        if status in _CALLER_ERRORS:
            return None
        ran = outcome == claims.Outcome.RAN.value
        if ran and complete and status < 500:
            return None
        if progress.instance is None:
            return reports.Cause.OVERLOAD
        return self._instance_cause(progress.instance)

    def _instance_cause(self, instance: ids.InstanceId) -> reports.Cause:
        record = self._current_view().instances_by_id.get(instance)
        if record is None:
            return reports.Cause.UNPLANNED
        match record.state:
            case fleet.InstanceState.IN_MAINTENANCE:
                return reports.Cause.MAINTENANCE
            case fleet.InstanceState.DRAINING:
                if record.reason in _MAINTENANCE_REASONS:
                    return reports.Cause.MAINTENANCE
                return reports.Cause.MOVE
            case _:
                return reports.Cause.UNPLANNED

    def _record(
        self,
        info: events.RequestInfo,
        progress: Progress,
        outcome: str,
        status: int,
        cause: reports.Cause | None,
    ) -> None:
        now = time.monotonic()
        started_at = progress.started_at
        self._recorder.add(
            traces.Outcome(
                self._recorder.now(),
                info.id,
                info.service,
                outcome,
                status,
                wait_s=(started_at or now) - progress.arrived_at,
                run_s=None if started_at is None else now - started_at,
                cause=None if cause is None else cause.value,
                instance=progress.instance,
                long=info.work_class is schema.WorkClass.LONG,
            )
        )
