"""Events of the fleet that the burn report names, and recent moves."""

from __future__ import annotations

import collections

import msgspec

from verbenastream import ids
from verbenastream.process.reports import report
from verbenastream.version import fleet
from verbenastream.version import planning

# Two years' size: 391 failures, restarts and replacements a day and 43
# maintenances make about 12,000 events in 28 days; the report names recent
# ones, so a week is kept.
_MAX_EVENTS = 3_000
_MOVES_KEPT_S = 3_600.0
_TAKEN = frozenset(
    (planning.Reason.MAINTENANCE.value, planning.Reason.NOTICE.value)
)
_NAMES_BY_KIND = {
    report.EventKind.LOSS: 'instance lost',
    report.EventKind.MAINTENANCE: 'maintenance',
    report.EventKind.MOVE: 'move',
}


class FleetLogImage(msgspec.Struct):
    """Snapshot of the log."""

    closed: tuple[report.FleetEvent, ...] = ()
    open: tuple[report.FleetEvent, ...] = ()
    moves: tuple[float, ...] = ()


class FleetLog:
    """Opens an event when an instance leaves service, closes it later."""

    def __init__(self, image: FleetLogImage | None = None) -> None:
        image = image or FleetLogImage()
        self._closed = collections.deque(image.closed, maxlen=_MAX_EVENTS)
        self._open_by_instance = {
            event.instances[0]: event for event in image.open
        }
        self._moves = collections.deque(image.moves)

    def image(self) -> FleetLogImage:
        return FleetLogImage(
            tuple(self._closed),
            tuple(self._open_by_instance.values()),
            tuple(self._moves),
        )

    def events(self) -> list[report.FleetEvent]:
        """Return closed events, oldest first, then open ones."""
        return [*self._closed, *self._open_by_instance.values()]

    def moves(self, now: float) -> tuple[float, ...]:
        """Return the times of the moves of the last hour."""
        return tuple(at for at in self._moves if now - at <= _MOVES_KEPT_S)

    def record(
        self,
        before: fleet.InstanceRecord | None,
        after: fleet.InstanceRecord,
        now: float,
    ) -> None:
        """Note what the change of one instance means for its service."""
        kind = _kind(after)
        found = self._open_by_instance.get(after.id)
        if found is not None and found.kind is not kind:
            del self._open_by_instance[after.id]
            self._closed.append(msgspec.structs.replace(found, until=now))
            found = None
        if kind is None or found is not None:
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
            while now - self._moves[0] > _MOVES_KEPT_S:
                self._moves.popleft()


def _kind(after: fleet.InstanceRecord) -> report.EventKind | None:
    match after.state:
        case fleet.InstanceState.LOST:
            return report.EventKind.LOSS
        case fleet.InstanceState.IN_MAINTENANCE:
            return report.EventKind.MAINTENANCE
        case fleet.InstanceState.DRAINING if after.reason in _TAKEN:
            return report.EventKind.MAINTENANCE
        case fleet.InstanceState.DRAINING:
            return report.EventKind.MOVE
    return None
