"""Makes a burn report from a recorded or generated trace."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process import reports
from verbenastream.process.state import fleet_log
from verbenastream.process.traces import format as formats
from verbenastream.version import fleet

if TYPE_CHECKING:
    from collections.abc import Iterable

# Totals go to the history in this interval, as a live control would commit.
_COMMIT_S = 60.0


class TraceBurn:
    """Feeds the events of a trace to the same book as the live state."""

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
        self._at = 0.0

    def report(self, events: Iterable[formats.Event]) -> reports.BurnReport:
        """Return the report at the end of ``events``."""
        for event in events:
            self._commit(event.at)
            self._handle(event)
        self._commit(self._at + _COMMIT_S)
        spare = sum(
            instance.state is fleet.InstanceState.IDLE
            for instance in self._instances_by_id.values()
        )
        figures = reports.FleetFigures(
            instances=len(self._instances_by_id),
            buffer_instances=spare,
            moves=sum(
                event.kind is reports.EventKind.MOVE
                for event in self._fleet_log.events()
            ),
        )
        events_named = self._fleet_log.events()
        calculator = reports.BurnCalculator(self._history, events_named)
        return calculator.report(
            reports.commitments_of(self._availability_by_service),
            figures,
            self._started_at + self._at,
        )

    def _commit(self, at: float) -> None:
        self._at = max(self._at, at)
        if at - self._committed_at < _COMMIT_S:
            return
        self._committed_at = at
        totals = self._counters.due(at)
        if totals is not None:
            self._history.merge([totals], self._started_at + at)

    def _handle(self, event: formats.Event) -> None:
        match event:
            case formats.Submission():
                service = ids.ServiceId(event.document.service)
                self._availability_by_service[service] = (
                    event.document.availability
                )
            case formats.Outcome():
                self._outcome(event)
            case formats.InstanceChange(instance=instance):
                before = self._instances_by_id.get(instance.id)
                self._instances_by_id[instance.id] = instance
                self._fleet_log.record(
                    before, instance, self._started_at + event.at
                )

    def _outcome(self, event: formats.Outcome) -> None:
        if event.cause is None:
            self._counters.good(event.service, event.at)
        else:
            cause = reports.Cause(event.cause)
            self._counters.bad(event.service, cause, event.at, event.instance)
        if not event.long:
            self._counters.short_wait(event.service, event.wait_s, event.at)
