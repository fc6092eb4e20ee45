"""Computes the burn report of a recorded or generated trace."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process import reports
from verbenastream.process.state import fleet_log
from verbenastream.process.traces import format as formats
from verbenastream.version import fleet

if TYPE_CHECKING:
    from collections.abc import Iterable

# Interval at which a running control leader commits totals.
_COMMIT_INTERVAL_S = 60.0


class TraceBurn:
    """Applies the events of a trace to the classes that a deployment uses."""

    def __init__(self, header: formats.Header) -> None:
        self._started_at = header.started_at
        self._counters = reports.BurnCounters(
            ids.EntryId(header.process), ids.Incarnation(1)
        )
        self._history = reports.BurnHistory()
        self._fleet_log = fleet_log.FleetLog()
        self._availability_by_service: dict[ids.ServiceId, float] = {}
        self._instances_by_id: dict[ids.InstanceId, fleet.InstanceRecord] = {}
        self._committed_at = 0.0
        self._now = 0.0

    def report(self, events: Iterable[formats.Event]) -> reports.BurnReport:
        """Return the report one commit interval after the last event."""
        for event in events:
            self._commit_totals(event.at)
            self._handle_event(event)
        self._commit_totals(self._now + _COMMIT_INTERVAL_S)
        idle_count = sum(
            instance.state is fleet.InstanceState.IDLE
            for instance in self._instances_by_id.values()
        )
        figures = reports.FleetFigures(
            instances=len(self._instances_by_id),
            buffer_instances=idle_count,
            moves=sum(
                event.kind is reports.EventKind.MOVE
                for event in self._fleet_log.events()
            ),
        )
        fleet_events = self._fleet_log.events()
        calculator = reports.BurnCalculator(self._history, fleet_events)
        return calculator.report(
            reports.commitments_of(self._availability_by_service),
            figures,
            self._started_at + self._now,
        )

    def _commit_totals(self, at: float) -> None:
        self._now = max(self._now, at)
        if at - self._committed_at < _COMMIT_INTERVAL_S:
            return
        self._committed_at = at
        totals = self._counters.totals_to_send(at)
        if totals is not None:
            self._history.merge([totals], self._started_at + at)

    def _handle_event(self, event: formats.Event) -> None:
        match event:
            case formats.Submission():
                service = ids.ServiceId(event.document.service)
                self._availability_by_service[service] = (
                    event.document.availability
                )
            case formats.Outcome():
                self._count_outcome(event)
            case formats.InstanceChange(instance=instance):
                previous = self._instances_by_id.get(instance.id)
                self._instances_by_id[instance.id] = instance
                self._fleet_log.record(
                    previous, instance, self._started_at + event.at
                )

    def _count_outcome(self, event: formats.Outcome) -> None:
        if event.cause is None:
            self._counters.count_good(event.service, event.at)
        else:
            cause = reports.Cause(event.cause)
            self._counters.count_bad(
                event.service, cause, event.at, event.instance
            )
        if not event.long:
            self._counters.record_short_wait(
                event.service, event.wait_s, event.at
            )
