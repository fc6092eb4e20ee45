"""Events of the fleet for the burn report, and recent moves."""

from __future__ import annotations

import collections

import msgspec

from verbenastream import ids
from verbenastream.process.reports import report
from verbenastream.version import fleet
from verbenastream.version import planning

# Holds one week at the fleet size expected in two years: 391 failures,
# restarts and replacements and 43 maintenances a day, about 12,000 events in
# 28 days. The report names only recent events.
_MAX_EVENTS = 3_000
_MOVE_RETENTION_S = 3_600.0
_MAINTENANCE_REASONS = frozenset(
    (planning.Reason.MAINTENANCE.value, planning.Reason.NOTICE.value)
)
_NAMES_BY_KIND = {
    report.EventKind.LOSS: 'instance lost',
    report.EventKind.MAINTENANCE: 'maintenance',
    report.EventKind.MOVE: 'move',
}


class FleetLogSnapshot(msgspec.Struct):
    """Snapshot of a ``FleetLog``."""

    closed: tuple[report.FleetEvent, ...] = ()
    open: tuple[report.FleetEvent, ...] = ()
    moves: tuple[float, ...] = ()


class FleetLog:
    """Records from when to when instances are out of service."""

    def __init__(self, snapshot: FleetLogSnapshot | None = None) -> None:
        snapshot = snapshot or FleetLogSnapshot()
        self._closed = collections.deque(snapshot.closed, maxlen=_MAX_EVENTS)
        self._open_by_instance = {
            event.instances[0]: event for event in snapshot.open
        }
        self._moves = collections.deque(snapshot.moves)

    def snapshot(self) -> FleetLogSnapshot:
        return FleetLogSnapshot(
            tuple(self._closed),
            tuple(self._open_by_instance.values()),
            tuple(self._moves),
        )

    def events(self) -> list[report.FleetEvent]:
        """Return closed events, oldest first, then open ones."""
        return [*self._closed, *self._open_by_instance.values()]

    def moves(self, now: float) -> tuple[float, ...]:
        """Return when the moves of the last hour began."""
        return tuple(at for at in self._moves if now - at <= _MOVE_RETENTION_S)

    def record(
        self,
        before: fleet.InstanceRecord | None,
        after: fleet.InstanceRecord,
        now: float,
    ) -> None:
        """Open or close the event of an instance whose record changes."""
        kind = _event_kind(after)
        event = self._open_by_instance.get(after.id)
        if event is not None and event.kind is not kind:
            del self._open_by_instance[after.id]
            self._closed.append(msgspec.structs.replace(event, until=now))
            event = None
        if kind is None or event is not None:
            return
        pool = after.pool or (before.pool if before else None)
        self._open_by_instance[after.id] = report.FleetEvent(
            kind=kind,
            name=_NAMES_BY_KIND[kind],
            at=now,
            until=None,
            services=(ids.ServiceId(pool),) if pool else (),
            instances=(after.id,),
        )
        if kind is report.EventKind.MOVE:
            self._moves.append(now)
            while now - self._moves[0] > _MOVE_RETENTION_S:
                self._moves.popleft()


def _event_kind(after: fleet.InstanceRecord) -> report.EventKind | None:
    match after.state:
        case fleet.InstanceState.LOST:
            return report.EventKind.LOSS
        case fleet.InstanceState.IN_MAINTENANCE:
            return report.EventKind.MAINTENANCE
        case fleet.InstanceState.DRAINING if (
            after.reason in _MAINTENANCE_REASONS
        ):
            return report.EventKind.MAINTENANCE
        case fleet.InstanceState.DRAINING:
            return report.EventKind.MOVE
    return None
