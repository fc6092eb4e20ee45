"""Decides for which waiting tasks a worker is reserved, and which one."""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

import logbook

from verbenastream import ids
from verbenastream.process.jobqueue import capacity
from verbenastream.process.jobqueue import crashes
from verbenastream.process.jobqueue import forecasts
from verbenastream.process.jobqueue import model
from verbenastream.process.jobqueue import reservations
from verbenastream.process.jobqueue import step_counts

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping

    from verbenastream.process.jobqueue import isolation
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

    # Returns the workers that may start a task once they have room.
    PermittedWorkers = Callable[[model.TaskKey], list[workers.Worker]]

LOG = logbook.Logger(__name__)

# A reservation is made anew once room is this late: the forecast was wrong,
# and other workers may have room sooner by now.
_MAX_OVERDUE_S = 0.5
# Tasks of a step with a reservation at a time; the others follow as these are
# assigned. Limits the time of a pass if a step has thousands of them.
_MAX_TASKS_PER_STEP = 32
# Workers whose tasks are looked at for one reservation.
_MAX_FORECASTS = 16


class ReservationPlanner:
    """Makes and ends reservations, on evidence that room can come.

    ::

        planner.review(is_candidate, is_waiting, now)
        planner.plan(job, keys, permitted_workers, now)
        planner.reservations.by_unit
    """

    def __init__(
        self,
        state: states.JobQueueState,
        workers_by_id: Mapping[ids.WorkerId, workers.Worker],
        room_forecasts: forecasts.Forecasts,
        suspects: isolation.Isolation,
    ) -> None:
        self._state = state
        self._workers_by_id = workers_by_id
        self._forecasts = room_forecasts
        self._isolation = suspects
        self.reservations = reservations.Reservations()
        # What keeps the tasks of a step from all workers, as logged last.
        self._obstacles_by_step: dict[
            step_counts.StepId, frozenset[forecasts.Obstacle]
        ] = {}

    def review(
        self,
        is_candidate: Callable[[workers.Worker], bool],
        is_waiting: Callable[[model.TaskKey], bool],
        now: float,
    ) -> None:
        """End the reservations that have lost their reason."""
        for unit, reserved in list(self.reservations.by_unit.items()):
            reason = (
                self._end_reason(unit, reserved, is_candidate)
                if is_waiting(unit)
                else reservations.EndReason.NOT_WAITING
            )
            if reason is not None:
                self.reservations.end(unit, reason, now)
        for step_id in list(self._obstacles_by_step):
            if step_id[0] not in self._state.open_jobs:
                del self._obstacles_by_step[step_id]

    def _end_reason(
        self,
        unit: model.TaskKey,
        reserved: list[reservations.Reservation],
        is_candidate: Callable[[workers.Worker], bool],
    ) -> reservations.EndReason | None:
        """Return why the reservations of a unit end, None if they are kept."""
        job = self._state.open_jobs[unit.job]
        assert job.spec is not None
        step = job.spec.steps[unit.step]
        for reservation in reserved:
            worker = self._workers_by_id.get(reservation.worker)
            if worker is None or worker.pool != job.pool:
                return reservations.EndReason.WORKER_UNAVAILABLE
            if not is_candidate(worker):
                return reservations.EndReason.WORKER_UNAVAILABLE
            others = [
                other
                for other in self.reservations.on_worker(worker.id)
                if other.unit != unit
            ]
            possible = self._forecasts.count_possible(
                worker, unit, step, others
            )
            if possible < reservation.count:
                return reservations.EndReason.NO_ROOM
        return None

    def has_current(self, unit: model.TaskKey, now: float) -> bool:
        """Whether a worker is reserved for a unit, and room is not overdue."""
        reserved = self.reservations.by_unit.get(unit)
        return (
            reserved is not None
            and now <= reserved[0].room_at + _MAX_OVERDUE_S
        )

    def plan(
        self,
        job: model.Job,
        keys: list[model.TaskKey],
        permitted_workers: PermittedWorkers,
        now: float,
    ) -> None:
        """Reserve workers for waiting tasks of a step that fit nowhere.

        The ``keys`` are in order of preference; each is reserved a worker,
        until there is none for one of them. A gang gets workers for all or
        none. Overdue reservations are replaced.
        """
        assert job.spec is not None
        step = job.spec.steps[keys[0].step]
        if step.gang:
            unit = crashes.unit(keys[0], step)
            if len(keys) == step.count:
                self._plan_unit(unit, step, permitted_workers(unit), now)
            return
        current = self.reservations.count_of_step(keys[0])
        overdue = sum(key in self.reservations.by_unit for key in keys)
        for key in keys[: max(0, _MAX_TASKS_PER_STEP - current + overdue)]:
            if self._plan_unit(key, step, permitted_workers(key), now):
                continue
            # A suspect may have to wait for others to start, so its miss says
            # nothing about the other tasks.
            if not self._isolation.is_suspect(key):
                return

    def _plan_unit(
        self,
        unit: model.TaskKey,
        step: model.Step,
        permitted: list[workers.Worker],
        now: float,
    ) -> bool:
        """Reserve workers for a task or a gang; return whether there are any.

        Workers come first on which room is expected first.
        """
        self.reservations.end(unit, reservations.EndReason.OVERDUE, now)
        possible = self._possible_workers(unit, step, permitted)
        count = step.count if step.gang else 1
        # A gang may need more workers than one that has most of the room.
        considered = max(_MAX_FORECASTS, count)
        nearest = heapq.nsmallest(
            considered, possible, key=lambda row: self._emptiness(row[0])
        )
        rows = sorted(
            (
                (worker, most, self._room_in_s(worker, unit, step, now))
                for worker, most in nearest
            ),
            key=lambda row: (row[0].due_for_maintenance, row[2]),
        )
        planned = self._share_out(unit, step, count, rows, now)
        if not planned:
            if possible:
                self._log_obstacles(unit, {forecasts.Obstacle.GANG})
            return False
        self.reservations.add(planned, now)
        self._obstacles_by_step.pop(step_counts.step_id(unit), None)
        return True

    def _share_out(
        self,
        unit: model.TaskKey,
        step: model.Step,
        count: int,
        rows: list[tuple[workers.Worker, int, float]],
        now: float,
    ) -> list[reservations.Reservation]:
        """Reserve room for all ``count`` tasks, or for none.

        The ``rows`` are workers with how many tasks they may get room for and
        the time until there is room for one.
        """
        is_exclusive = self._is_exclusive(unit)
        planned = []
        for worker, most, _ in rows:
            if not count:
                break
            on_worker = min(count, most)
            count -= on_worker
            room_in_s = self._room_in_s(worker, unit, step, now, on_worker)
            if is_exclusive:
                room_in_s = max(room_in_s, crashes.RECENT_START_S)
            planned.append(
                reservations.Reservation(
                    unit,
                    worker.id,
                    on_worker,
                    capacity.multiply(capacity.reservation(step), on_worker),
                    now + room_in_s,
                    now,
                    is_exclusive,
                )
            )
        if count:
            return []
        # A gang starts once there is room for all of its tasks.
        room_at = max(item.room_at for item in planned)
        return [dataclasses.replace(item, room_at=room_at) for item in planned]

    def _possible_workers(
        self,
        unit: model.TaskKey,
        step: model.Step,
        permitted: list[workers.Worker],
    ) -> list[tuple[workers.Worker, int]]:
        """Return where room can come, and for how many tasks.

        If it comes nowhere, the reasons are logged.
        """
        is_exclusive = self._is_exclusive(unit)
        obstacles = set()
        possible = []
        for worker in permitted:
            others = self.reservations.on_worker(worker.id)
            obstacle = self._forecasts.obstacle(worker, unit, step, others)
            if any(is_exclusive or other.is_exclusive for other in others):
                obstacle = forecasts.Obstacle.NOT_PERMITTED
            if obstacle is not None:
                obstacles.add(obstacle)
            elif step.gang:
                most = self._forecasts.count_possible(
                    worker, unit, step, others
                )
                possible.append((worker, most))
            else:
                possible.append((worker, 1))
        if not possible:
            self._log_obstacles(unit, obstacles)
        return possible

    def _is_exclusive(self, unit: model.TaskKey) -> bool:
        """Whether nothing else may start beside a task."""
        return self._isolation.is_suspect(
            unit
        ) and not self._isolation.may_share(unit)

    def _emptiness(self, worker: workers.Worker) -> tuple[bool, int]:
        free = capacity.free_capacity(worker, self._state)
        return worker.due_for_maintenance, -free.millicores

    def _room_in_s(
        self,
        worker: workers.Worker,
        unit: model.TaskKey,
        step: model.Step,
        now: float,
        count: int = 1,
    ) -> float:
        others = self.reservations.on_worker(worker.id)
        forecast = self._forecasts.forecast(
            worker, unit, step, now, others, count
        )
        assert forecast.room_in_s is not None
        return forecast.room_in_s

    def obstacles(self, key: model.TaskKey) -> Collection[forecasts.Obstacle]:
        """Return what keeps a task from all workers, none if room can come."""
        return self._obstacles_by_step.get(step_counts.step_id(key), ())

    def count_exclusive(self, pool: ids.PoolId) -> int:
        """Return how many workers of a pool are reserved for one suspect."""
        return sum(
            item.is_exclusive
            and item.worker in self._workers_by_id
            and self._workers_by_id[item.worker].pool == pool
            for reserved in self.reservations.by_unit.values()
            for item in reserved
        )

    def _log_obstacles(
        self, key: model.TaskKey, obstacles: set[forecasts.Obstacle]
    ) -> None:
        """Log once why no worker is reserved for the tasks of a step."""
        found = frozenset(obstacles) or frozenset(
            (forecasts.Obstacle.NOT_PERMITTED,)
        )
        step_id = step_counts.step_id(key)
        if self._obstacles_by_step.get(step_id) != found:
            self._obstacles_by_step[step_id] = found
            LOG.info(
                'no worker is reserved',
                extra={
                    'task': reservations.format_task(key),
                    'obstacles': ', '.join(
                        sorted(obstacle.value for obstacle in found)
                    ),
                },
            )
