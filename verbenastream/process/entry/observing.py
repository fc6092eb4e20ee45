"""Records each request in metrics, burn counters and the trace."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import TYPE_CHECKING

from verbenastream.connection.proxying import headers as header_rules
from verbenastream import ids
from verbenastream.process import clock
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

# Statuses of requests that fail by an error of the caller; they do not count
# against the error budget of the service.
_CALLER_ERROR_STATUSES = frozenset({401, 404, 405, 409, 413, 422, 431})
_MAINTENANCE_REASONS = frozenset(
    {planning.Reason.MAINTENANCE.value, planning.Reason.NOTICE.value}
)
_DEMAND_INTERVAL_S = 5.0


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """The attempts of one request so far; times are monotonic seconds."""

    arrived_at: float
    started_at: float | None = None
    instance: ids.InstanceId | None = None

    def record_attempt(self, instance: ids.InstanceId, now: float) -> None:
        if self.started_at is None:
            self.started_at = now
        self.instance = instance


class RequestObserver:
    """Updates the metrics, burn counters and trace of one entry."""

    def __init__(
        self,
        counters: reports.BurnCounters,
        recorder: traces.TraceRecorder,
        registry: metrics.Metrics,
        current_view: Callable[[], views.EntryView],
    ) -> None:
        self._burn_counters = counters
        self._recorder = recorder
        self._current_view = current_view
        self._latency = registry.latency(
            'verbenastream_request_seconds',
            'Time from the arrival of a request to the end of its answer.',
        )
        self._wait_time = registry.latency(
            'verbenastream_wait_seconds',
            'Time from the arrival of a request to its first attempt.',
        )
        self._request_counter = registry.counter(
            'verbenastream_requests',
            'Requests by service, outcome and status.',
            ('service', 'outcome', 'status'),
        )
        self._counters_by_labels: dict[tuple[str, str, int], Any] = {}
        self._open_by_service: dict[ids.ServiceId, int] = {}
        self._demand_reported_at = float('-inf')

    def record_arrival(
        self, info: events.RequestInfo, body_bytes: int
    ) -> None:
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
                    info.deadline - clock.boot_time(),
                    idempotent=info.idempotent,
                    keyed=info.key is not None,
                    body_bytes=body_bytes,
                )
            )

    def record_cancellation(self, info: events.RequestInfo) -> None:
        self._open_by_service[info.service] -= 1
        if self._recorder.active:
            self._recorder.add(
                traces.Cancellation(self._recorder.now(), info.id)
            )

    def record_answer(
        self,
        info: events.RequestInfo,
        progress: AttemptProgress,
        response: web.StreamResponse,
        complete: bool,
    ) -> None:
        """Record an answer; ``complete`` is False if it was truncated."""
        now = clock.boot_time()
        self._open_by_service[info.service] -= 1
        self._latency.record(now - progress.arrived_at)
        outcome = response.headers[header_rules.OUTCOME_HEADER]
        self._count(info.service, outcome, response.status)
        cause = self._failure_cause(
            progress, outcome, response.status, complete
        )
        if cause is None:
            self._burn_counters.count_good(info.service, now)
        else:
            self._burn_counters.count_bad(
                info.service, cause, now, progress.instance
            )
        started_at = progress.started_at
        long = info.work_class is schema.WorkClass.LONG
        if started_at is not None:
            wait_s = started_at - progress.arrived_at
            self._wait_time.record(wait_s)
            if not long:
                self._burn_counters.record_short_wait(
                    info.service, wait_s, now
                )
        if self._recorder.active:
            self._record_outcome(
                info, progress, outcome, response.status, cause
            )

    def record_refusal(self, service: str, status: int, outcome: str) -> None:
        """Record a request that was refused before it entered the queue."""
        self._count(service, outcome, status)

    def _count(self, service: str, outcome: str, status: int) -> None:
        # A lookup of the labels takes 15 us, so counters are cached.
        key = (service, outcome, status)
        counter = self._counters_by_labels.get(key)
        if counter is None:
            counter = self._request_counter.labels(
                service, outcome, str(status)
            )
            self._counters_by_labels[key] = counter
        counter.inc()

    def totals(
        self, now: float, at_once: bool = False
    ) -> reports.EntryTotals | None:
        """Return the burn counts to send with a renewal at ``now``."""
        return self._burn_counters.totals_to_send(now, at_once)

    def busy_by_service(self, now: float) -> dict[ids.ServiceId, float] | None:
        """Return how many instances the open requests of each service use.

        Returns None if the last report is less than 5 s old.
        """
        if now - self._demand_reported_at < _DEMAND_INTERVAL_S:
            return None
        self._demand_reported_at = now
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

    def _failure_cause(
        self,
        progress: AttemptProgress,
        outcome: str,
        status: int,
        complete: bool,
    ) -> reports.Cause | None:
        if status in _CALLER_ERROR_STATUSES:
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

    def _record_outcome(
        self,
        info: events.RequestInfo,
        progress: AttemptProgress,
        outcome: str,
        status: int,
        cause: reports.Cause | None,
    ) -> None:
        now = clock.boot_time()
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
