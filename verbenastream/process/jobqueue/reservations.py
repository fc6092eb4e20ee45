"""Workers that are reserved for waiting long-running tasks.

A reservation belongs to one task, or gang, and is kept from pass to pass until
the task is assigned or the reservation has lost its reason. Others start on a
reserved worker if they leave room for the task, or if they are expected to end
before the room comes (backfill).
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING

import logbook

from verbenastream import ids
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import step_counts

if TYPE_CHECKING:
    from collections.abc import Collection

LOG = logbook.Logger(__name__)

_NO_ROOM = model.Resources(-1, -1, -1)


class EndReason(enum.Enum):
    """Why a reservation has ended, as the log names it."""

    ASSIGNED = 'task assigned'
    NOT_WAITING = 'task does not wait any more'
    WORKER_UNAVAILABLE = 'worker gets no tasks'
    NO_ROOM = 'no room can come'
    OVERDUE = 'room is overdue'


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Keeps room for tasks on ``worker``, which is expected at ``room_at``.

    ``unit`` is the task that waits, or the first one of a gang, of which
    ``count`` tasks get room on the worker; ``need`` is that of all of them.
    Nothing else starts on the worker if it ``is_exclusive``. ``since`` is when
    the reservation was made.
    """

    unit: model.TaskKey
    worker: ids.WorkerId
    count: int
    need: model.Resources
    room_at: float
    since: float
    is_exclusive: bool = False


class Reservations:
    """The reservations of one leader, by unit and by worker.

    ::

        reservations.add([reservation], now)
        free = reservations.available(worker, free, unit, ends_at)
        reservations.end(unit, EndReason.ASSIGNED, now)
    """

    def __init__(self) -> None:
        # A gang has one reservation for each worker that it needs.
        self.by_unit: dict[model.TaskKey, list[Reservation]] = {}
        self._by_worker: dict[ids.WorkerId, list[Reservation]] = {}
        self._units_by_step: collections.Counter[step_counts.StepId] = (
            collections.Counter()
        )
        # Computed when it is needed, None after a change.
        self._latest_room_at: float | None = None

    def __bool__(self) -> bool:
        return bool(self.by_unit)

    def add(self, added: list[Reservation], now: float) -> None:
        """Add the reservations of a unit that has none."""
        self._latest_room_at = None
        unit = added[0].unit
        self.by_unit[unit] = added
        self._units_by_step[step_counts.step_id(unit)] += 1
        for reservation in added:
            on_worker = self._by_worker.setdefault(reservation.worker, [])
            on_worker.append(reservation)
            LOG.info(
                'worker reserved',
                extra={
                    'worker': reservation.worker,
                    'task': format_task(reservation.unit),
                    'tasks': reservation.count,
                    'room_in_s': round(reservation.room_at - now, 2),
                    'exclusive': reservation.is_exclusive,
                },
            )

    def end(self, unit: model.TaskKey, reason: EndReason, now: float) -> None:
        """End the reservations of a unit, if it has any."""
        ended = self.by_unit.pop(unit, None)
        if ended is None:
            return
        self._latest_room_at = None
        step_id = step_counts.step_id(unit)
        self._units_by_step[step_id] -= 1
        if not self._units_by_step[step_id]:
            del self._units_by_step[step_id]
        for reservation in ended:
            on_worker = self._by_worker[reservation.worker]
            on_worker.remove(reservation)
            if not on_worker:
                del self._by_worker[reservation.worker]
        LOG.info(
            'reservation ended',
            extra={
                'workers': ' '.join(item.worker for item in ended),
                'task': format_task(unit),
                'reason': reason.value,
                'held_s': round(now - ended[0].since, 2),
            },
        )

    def count_of_step(self, key: model.TaskKey) -> int:
        """Return how many units of the step of a task have reservations."""
        return self._units_by_step.get(step_counts.step_id(key), 0)

    def on_worker(self, worker: ids.WorkerId) -> Collection[Reservation]:
        """Return the reservations of a worker."""
        return self._by_worker.get(worker, ())

    @property
    def reserved_workers(self) -> Collection[ids.WorkerId]:
        """The workers that are reserved for any task."""
        return self._by_worker.keys()

    @property
    def latest_room_at(self) -> float:
        """When the last of the reserved workers is expected to have room."""
        if self._latest_room_at is None:
            self._latest_room_at = max(
                (items[0].room_at for items in self.by_unit.values()),
                default=float('-inf'),
            )
        return self._latest_room_at

    def available(
        self,
        worker: ids.WorkerId,
        free: model.Resources,
        unit: model.TaskKey | None = None,
        ends_at: float = float('inf'),
    ) -> model.Resources:
        """Return what a task of ``unit`` may take of the ``free`` capacity.

        ``ends_at`` is when it is expected to end. The result does not fit
        anything if another unit has the worker to itself.
        """
        for reservation in self.on_worker(worker):
            if reservation.unit == unit:
                continue
            if reservation.is_exclusive:
                return _NO_ROOM
            if ends_at > reservation.room_at:
                free = capacity.subtract(free, reservation.need)
        return free


def format_task(key: model.TaskKey) -> str:
    """Return the key of a task as log lines write it."""
    return f'{key.job}.{key.occurrence}.{key.step}.{key.position}'
