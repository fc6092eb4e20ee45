"""Which instances of a wave are emptied and taken next."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import availability as availabilities
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import waves

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import dispatcher as dispatchers
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

# Time of one round beside the platform's own: emptying, the call, and the
# report of the new worker.
_ROUND_S = 4.5
# Part of a pool's workers that is emptied at the same time.
_SHARE_AT_ONCE = 0.25
# Within this time of a takeover each living worker has reported, or its lease
# has ended.
_FIRST_REPORT_S = 6.0
# The list may lag behind a call that was just answered.
_LIST_LAG_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Take:
    """Ask the platform to take ``instance`` for ``wave``."""

    wave: int
    instance: ids.InstanceId
    worker: ids.WorkerId | None


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """Note in the log what became of an instance of ``wave``."""

    wave: int
    instance: ids.InstanceId
    phase: waves.UpkeepPhase


Action = Take | Note


class UpkeepPlanner:
    """Walks the waves; idle instances first, within every bound.

    ``plan`` also closes the workers that come next, so that they are empty
    when a place in the wave is free::

        for action in planner.plan(listing, now, wall):
            await duty.carry_out(action)
    """

    def __init__(
        self,
        state: states.JobQueueState,
        dispatcher: dispatchers.Dispatcher,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._availability = availabilities.Availability(
            state, dispatcher.workers_by_id
        )
        # When this leader saw the platform take an instance.
        self.taken_at_by_id: dict[ids.InstanceId, float] = {}

    def is_idle(self) -> bool:
        """Whether no wave needs anything."""
        return all(
            wave.completed and not wave.down
            for wave in self._state.book.waves_by_number.values()
        )

    def reserved(self) -> set[ids.InstanceId]:
        """Instances that are down for a wave or close to their turn."""
        found: set[ids.InstanceId] = set()
        for wave in self._state.book.waves_by_number.values():
            for name, phase in wave.phases_by_id.items():
                if phase in (waves.UpkeepPhase.BEGUN, waves.UpkeepPhase.TAKEN):
                    found.add(ids.InstanceId(name))
        for worker in self._dispatcher.workers_by_id.values():
            if worker.closed_for_upkeep:
                found.add(worker.beat.instance)
        return found

    def plan(
        self,
        listing: instances.Listing,
        left_alone: set[ids.InstanceId],
        now: float,
        wall: float,
    ) -> list[Action]:
        """Return what to do now; no call goes to ``left_alone``."""
        worker_by_instance = {
            worker.beat.instance: worker
            for worker in self._dispatcher.workers_by_id.values()
            if worker.lease_until > now or worker.seen_at > now - 1.0
        }
        actions: list[Action] = []
        closed: set[ids.WorkerId] = set()
        due: set[ids.InstanceId] = set()
        for wave in self._state.book.waves_by_number.values():
            due.update(_waiting(wave))
            actions += self._plan_wave(
                wave, listing, worker_by_instance, closed, now, wall
            )
        for worker in self._dispatcher.workers_by_id.values():
            worker.due_for_upkeep = worker.beat.instance in due
            if worker.closed_for_upkeep and worker.id not in closed:
                if not worker.taken and not worker.says_goodbye:
                    worker.closed_for_upkeep = False
        return [
            action
            for action in actions
            if isinstance(action, Note) or action.instance not in left_alone
        ]

    def _plan_wave(
        self,
        wave: waves.Wave,
        listing: instances.Listing,
        worker_by_instance: dict[ids.InstanceId, workers.Worker],
        closed: set[ids.WorkerId],
        now: float,
        wall: float,
    ) -> list[Action]:
        actions: list[Action] = []
        for name, phase in wave.phases_by_id.items():
            id = ids.InstanceId(name)
            if phase is waves.UpkeepPhase.BEGUN:
                actions.append(Take(wave.number, id, None))
            elif phase is waves.UpkeepPhase.TAKEN:
                if self._has_returned(id, listing, now):
                    actions.append(
                        Note(wave.number, id, waves.UpkeepPhase.RETURNED)
                    )
            elif phase is waves.UpkeepPhase.WAITING:
                if id not in listing.by_id:
                    actions.append(
                        Note(wave.number, id, waves.UpkeepPhase.GONE)
                    )
        free = wave.at_once - wave.down
        candidates = self._candidates(wave, listing, worker_by_instance, now)
        rounds = math.ceil(len(candidates) / max(1, wave.at_once))
        pressed = wave.due_at - wall < rounds * _ROUND_S
        if not pressed:
            candidates = self._convenient(candidates)
        # Empties the instances of the next round while this one is down.
        ahead = max(0, free) + wave.at_once
        for id, worker in candidates[:ahead]:
            if worker is None:
                if free > 0:
                    free -= 1
                    actions.append(Take(wave.number, id, None))
                continue
            closed.add(worker.id)
            if not worker.closed_for_upkeep:
                worker.closed_for_upkeep = True
                self._dispatcher.scheduler.release(worker)
            self._evacuate(worker, now)
            if free > 0 and self._may_take(worker, pressed, now):
                free -= 1
                worker.taken = True
                actions.append(Take(wave.number, id, worker.id))
        return actions

    def _convenient(
        self,
        candidates: list[tuple[ids.InstanceId, workers.Worker | None]],
    ) -> list[tuple[ids.InstanceId, workers.Worker | None]]:
        """Leave out instances that their pools need now.

        A pool with waiting work gives none, any other one a part at a time.
        """
        behind = self._dispatcher.scheduler.pools_behind()
        open_by_pool: dict[ids.PoolId, int] = {}
        for worker in self._dispatcher.workers_by_id.values():
            open_by_pool[worker.pool] = open_by_pool.get(worker.pool, 0) + 1
        given_by_pool: dict[ids.PoolId, int] = {}
        found = []
        for id, candidate in candidates:
            if candidate is not None:
                pool = candidate.pool
                given = given_by_pool.get(pool, 0)
                share = math.ceil(open_by_pool[pool] * _SHARE_AT_ONCE)
                if not candidate.closed_for_upkeep and (
                    pool in behind or given >= share
                ):
                    continue
                given_by_pool[pool] = given + 1
            found.append((id, candidate))
        return found

    def _evacuate(self, worker: workers.Worker, now: float) -> None:
        """Stop lasting tasks that may not end together, one at a time."""
        if self._availability.may_take(worker.id, now):
            return
        for key, number in self._state.runs_by_worker.get(worker.id, {}):
            if (
                self._dispatcher.is_lasting(key)
                and (key, number) not in worker.stops
                and self._availability.may_stop(key, now)
                and self._dispatcher.has_room_elsewhere(key, worker, now)
            ):
                worker.stops.add((key, number))

    def _candidates(
        self,
        wave: waves.Wave,
        listing: instances.Listing,
        worker_by_instance: dict[ids.InstanceId, workers.Worker],
        now: float,
    ) -> list[tuple[ids.InstanceId, workers.Worker | None]]:
        """Instances that wait and are up, the least busy first."""
        found = []
        for id in _waiting(wave):
            instance = listing.by_id.get(id)
            if instance is None or instance.state is not (
                instances.InstanceState.UP
            ):
                continue
            worker = worker_by_instance.get(id)
            if worker is None:
                if self._may_have_worker(instance, now):
                    continue
            elif worker.beat.draining:
                continue
            found.append((id, worker))
        return sorted(found, key=self._rank)

    def _may_have_worker(
        self, instance: instances.Instance, now: float
    ) -> bool:
        """Whether a worker may run there that has not reported yet.

        A new leader hears of a worker with its next heartbeat; instances of
        a spare pool are off.
        """
        pool = self._state.pools_by_id.get(instance.pool)
        if pool is not None and pool.spare:
            return False
        return now < self._dispatcher.took_over_at + _FIRST_REPORT_S

    def _rank(
        self, item: tuple[ids.InstanceId, workers.Worker | None]
    ) -> tuple[bool, int, int, str]:
        id, worker = item
        if worker is None:
            return (False, 0, 0, id)
        runs = self._state.runs_by_worker.get(worker.id, {})
        lasting = sum(self._dispatcher.is_lasting(key) for key, _ in runs)
        return (not worker.closed_for_upkeep, lasting, len(runs), id)

    def _may_take(
        self, worker: workers.Worker, pressed: bool, now: float
    ) -> bool:
        runs = self._state.runs_by_worker.get(worker.id, {})
        if not pressed and any(
            not self._dispatcher.is_lasting(key) for key, _ in runs
        ):
            return False
        return self._availability.may_take(worker.id, now) and all(
            self._dispatcher.has_room_elsewhere(key, worker, now)
            for key, _ in runs
            if self._dispatcher.is_lasting(key)
        )

    def _has_returned(
        self, id: ids.InstanceId, listing: instances.Listing, now: float
    ) -> bool:
        taken_at = self.taken_at_by_id.setdefault(id, now)
        instance = listing.by_id.get(id)
        if listing.asked_at < taken_at + _LIST_LAG_S:
            return False
        return instance is None or (
            instance.state is instances.InstanceState.UP
        )


def _waiting(wave: waves.Wave) -> list[ids.InstanceId]:
    return [
        ids.InstanceId(name)
        for name, phase in wave.phases_by_id.items()
        if phase is waves.UpkeepPhase.WAITING
    ]
