"""Names the events behind spent budget from committed changes of instances."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.process.reports import report as reports
from verbenastream.version import fleet

_State = fleet.InstanceState

_KEPT_S = 28 * 86_400.0
# A day of the two-year size has about 400 changes that open an event, so
# this holds 28 days with a third in reserve; the oldest go first.
_MAX_EVENTS = 15_000
# Changes of the same kind and rack within this time are one event: a rack is
# lost or drained instance by instance.
_JOIN_S = 10.0


class _Open(msgspec.Struct):
    """An event that still lasts; ``waiting`` instances are not back yet."""

    event: reports.FleetEvent
    rack: str
    waiting: list[ids.InstanceId]


class _Kept(msgspec.Struct):
    open: list[_Open] = []
    ended: list[reports.FleetEvent] = []
    moves: int = 0


class FleetEvents:
    """Deterministic, so that it can be part of the replicated state."""

    def __init__(self) -> None:
        self._state = _Kept()

    @property
    def moves(self) -> int:
        """Moves between pools since the first start."""
        return self._state.moves

    def all(self) -> list[reports.FleetEvent]:
        lasting = [found.event for found in self._state.open]
        return [*self._state.ended, *lasting]

    def encode(self) -> bytes:
        return msgspec.json.encode(self._state)

    @classmethod
    def decode(cls, data: bytes) -> FleetEvents:
        events = cls()
        events._state = msgspec.json.decode(data, type=_Kept)
        return events

    def changed(
        self,
        before: fleet.InstanceRecord | None,
        after: fleet.InstanceRecord,
        moving: bool,
        at: float,
    ) -> None:
        """Record one committed change of an instance.

        ``moving`` tells a drain for a move from one for maintenance; ``at``
        is the time of the log in seconds.
        """
        if before is None or before.state is after.state:
            return
        match after.state:
            case _State.LOST:
                self._end(after, at)
                self._begin(reports.EventKind.LOSS, before, at)
            case _State.DRAINING if moving:
                self._state.moves += 1
                self._begin(reports.EventKind.MOVE, before, at)
            case _State.DRAINING:
                self._begin(reports.EventKind.MAINTENANCE, before, at)
            case _State.SERVING:
                self._end(after, at)
        self._drop_old(at)

    def removed(self, instance: fleet.InstanceRecord, at: float) -> None:
        """The instance is forgotten, so what waits for it ends."""
        self._end(instance, at)

    def _begin(
        self,
        kind: reports.EventKind,
        instance: fleet.InstanceRecord,
        at: float,
    ) -> None:
        if instance.pool is None:
            return
        service = ids.ServiceId(instance.pool)
        for found in self._state.open:
            event = found.event
            if (
                event.kind is kind
                and found.rack == instance.rack
                and at - event.at <= _JOIN_S
            ):
                services = dict.fromkeys((*event.services, service))
                found.event = msgspec.structs.replace(
                    event,
                    services=tuple(services),
                    instances=(*event.instances, instance.id),
                )
                found.waiting.append(instance.id)
                return
        event = reports.FleetEvent(
            kind=kind,
            name=f'{kind.value} in {instance.rack}',
            at=at,
            until=None,
            services=(service,),
            instances=(instance.id,),
        )
        self._state.open.append(_Open(event, instance.rack, [instance.id]))

    def _end(self, instance: fleet.InstanceRecord, at: float) -> None:
        for found in list(self._state.open):
            if instance.id not in found.waiting:
                continue
            found.waiting.remove(instance.id)
            if instance.pool is not None:
                service = ids.ServiceId(instance.pool)
                services = dict.fromkeys((*found.event.services, service))
                found.event = msgspec.structs.replace(
                    found.event, services=tuple(services)
                )
            if not found.waiting:
                self._state.open.remove(found)
                self._state.ended.append(
                    msgspec.structs.replace(found.event, until=at)
                )

    def _drop_old(self, at: float) -> None:
        ended = self._state.ended
        while ended and (
            len(ended) > _MAX_EVENTS or ended[0].ended_at() < at - _KEPT_S
        ):
            ended.pop(0)
