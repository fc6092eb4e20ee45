"""Counts what became of requests, for burn report, planner and trace."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import time
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process import reports
from verbenastream.process import traces
from verbenastream.request import claims
from verbenastream.version import documents

if TYPE_CHECKING:
    from verbenastream.request import events

_BUSY_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class _Open:
    """A request between its admission and its answer."""

    info: events.RequestInfo
    arrived_at: float
    first_sent_at: float | None = None
    instance: ids.InstanceId | None = None
    claim_failed: bool = False


class RequestAccounts:
    """Follows each admitted request of this entry; times are monotonic.

    A request that its caller cancelled, or that the caller got wrong (4xx),
    spends no budget.
    """

    def __init__(
        self,
        counters: reports.BurnCounters,
        recorder: traces.TraceRecorder,
        may_send: Callable[[], bool],
        slots_per_instance: int = 8,
    ) -> None:
        self._counters = counters
        self._recorder = recorder
        self._may_send = may_send
        self._slots = slots_per_instance
        self._open_by_id: dict[ids.RequestId, _Open] = {}
        self._busy = _BusyMeter()

    def admitted(self, info: events.RequestInfo, body_bytes: int) -> None:
        now = time.monotonic()
        self._open_by_id[info.id] = _Open(info, now)
        self._busy.change(info.service, 1, now)
        self._recorder.add(
            traces.Arrival(
                at=self._recorder.now(),
                id=info.id,
                service=info.service,
                operation=info.operation,
                customer=info.customer,
                declared=info.work_class,
                deadline_s=info.deadline - now,
                idempotent=info.idempotent,
                keyed=info.key is not None,
                body_bytes=body_bytes,
            )
        )

    def sent(self, request: ids.RequestId, instance: ids.InstanceId) -> None:
        """An attempt starts."""
        found = self._open_by_id.get(request)
        if found is None:
            return
        found.instance = instance
        if found.first_sent_at is None:
            now = time.monotonic()
            found.first_sent_at = now
            if found.info.work_class is documents.WorkClass.SHORT:
                wait = now - found.arrived_at
                self._counters.short_wait(found.info.service, wait, now)

    def claim_failed(self, request: ids.RequestId) -> None:
        """Control did not take the claim of a keyed request."""
        found = self._open_by_id.get(request)
        if found is not None:
            found.claim_failed = True

    def answered(
        self,
        request: ids.RequestId,
        status: int,
        outcome: str,
        complete: bool = True,
    ) -> None:
        """The caller got an answer; ``outcome`` is the outcome header.

        An answer of another attempt's key, or one that refuses what the
        caller asked for, is not counted.
        """
        found = self._close(request)
        if found is None or (found.first_sent_at is None and status < 500):
            return
        now = time.monotonic()
        service = found.info.service
        cause = self._cause(found, status, outcome, complete)
        if cause is None:
            self._counters.good(service, now)
        else:
            self._counters.bad(service, cause, now, found.instance)
        sent_at = found.first_sent_at
        self._recorder.add(
            traces.Outcome(
                at=self._recorder.now(),
                id=request,
                service=service,
                outcome=outcome,
                status=status,
                wait_s=(sent_at or now) - found.arrived_at,
                run_s=None if sent_at is None else now - sent_at,
                cause=None if cause is None else cause.value,
                instance=found.instance,
                long=found.info.work_class is documents.WorkClass.LONG,
            )
        )

    def cancelled(self, request: ids.RequestId) -> None:
        """The caller went away."""
        if self._close(request) is not None:
            self._recorder.add(
                traces.Cancellation(self._recorder.now(), request)
            )

    def due_totals(
        self, now: float, at_once: bool = False
    ) -> reports.EntryTotals | None:
        """Return the totals for the next renewal, None between reports."""
        return self._counters.due(now, at_once)

    def due_busy(self, now: float) -> dict[ids.ServiceId, float] | None:
        """Return the instances that the mean of open requests would fill."""
        mean_by_service = self._busy.due(now)
        if mean_by_service is None:
            return None
        return {
            service: open_requests / self._slots
            for service, open_requests in mean_by_service.items()
        }

    def _close(self, request: ids.RequestId) -> _Open | None:
        found = self._open_by_id.pop(request, None)
        if found is not None:
            self._busy.change(found.info.service, -1, time.monotonic())
        return found

    def _cause(
        self, found: _Open, status: int, outcome: str, complete: bool
    ) -> reports.Cause | None:
        """Return why the request is bad, None for a good one."""
        ran = outcome == claims.Outcome.RAN.value
        if ran and status < 500 and complete:
            return None
        waited_in_vain = (
            found.first_sent_at is None
            and not found.claim_failed
            and self._may_send()
        )
        if waited_in_vain:
            return reports.Cause.OVERLOAD
        return reports.Cause.UNPLANNED


class _BusyMeter:
    """Mean of open requests by service between two reports."""

    def __init__(self) -> None:
        self._open_by_service: dict[ids.ServiceId, int] = {}
        self._sum_by_service: dict[ids.ServiceId, float] = {}
        self._changed_by_service: dict[ids.ServiceId, float] = {}
        self._reported_at = time.monotonic()

    def change(self, service: ids.ServiceId, by: int, now: float) -> None:
        self._advance(service, now)
        self._open_by_service[service] = (
            self._open_by_service.get(service, 0) + by
        )

    def due(self, now: float) -> dict[ids.ServiceId, float] | None:
        elapsed = now - self._reported_at
        if elapsed < _BUSY_INTERVAL_S:
            return None
        self._reported_at = now
        found = {}
        for service in self._open_by_service:
            self._advance(service, now)
            found[service] = self._sum_by_service.pop(service, 0.0) / elapsed
        return found

    def _advance(self, service: ids.ServiceId, now: float) -> None:
        since = self._changed_by_service.get(service, now)
        self._changed_by_service[service] = now
        added = self._open_by_service.get(service, 0) * (now - since)
        self._sum_by_service[service] = (
            self._sum_by_service.get(service, 0.0) + added
        )
