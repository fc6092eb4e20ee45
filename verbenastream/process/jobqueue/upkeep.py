"""Plans which instances of a maintenance wave are drained and taken down."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.jobqueue import availability as availabilities
from verbenastream.process.jobqueue import evacuation
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import step_counts
from verbenastream.process.jobqueue import waves

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import dispatcher as dispatchers
    from verbenastream.process.jobqueue import model
    from verbenastream.process.jobqueue import state as states
    from verbenastream.process.jobqueue import workers

# Time that a round of a wave takes in addition to the maintenance itself: for
# draining, the platform call and the first heartbeat of the new worker.
_ROUND_OVERHEAD_S = 4.5
# Share of the workers of a pool that may be drained at the same time.
_MAX_DRAINING_SHARE = 0.25
# By this time after a leader change each live worker has sent a heartbeat, or
# its lease has expired.
_FIRST_HEARTBEAT_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class TakeDown:
    """Action to take ``instance`` down for ``wave``.

    An earlier call may be under way if it ``is_repeated``, so that a refusal
    of this one does not tell whether the instance is being maintained.
    """

    wave: int
    instance: ids.InstanceId
    worker: ids.WorkerId | None
    is_repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RecordPhase:
    """Action to record the new phase of an instance of ``wave``."""

    wave: int
    instance: ids.InstanceId
    phase: waves.MaintenancePhase


Action = TakeDown | RecordPhase


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    """What one plan is based on, and the workers that it closes."""

    listing: instances.Listing
    worker_by_instance: dict[ids.InstanceId, workers.Worker]
    # Instances that must not be taken down now.
    excluded: set[ids.InstanceId]
    now: float
    unix_time: float
    closed_workers: set[ids.WorkerId] = dataclasses.field(default_factory=set)
    # Instances that a call for one of the waves may be taking down.
    called: set[ids.InstanceId] = dataclasses.field(default_factory=set)


class MaintenancePlanner:
    """Plans the maintenance waves, with the least busy instances first.

    Each plan keeps within the limits of the waves and of the long-running
    steps. It also closes the workers that come next, so that they are drained
    when a slot of the wave becomes free::

        for action in planner.plan(listing, excluded, now, unix_time):
            await duty.carry_out(action)
    """

    def __init__(
        self,
        state: states.JobQueueState,
        dispatcher: dispatchers.Dispatcher,
        max_call_delay_s: float = 0.0,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        # A call without an answer may be executed for this long.
        self._max_call_delay_s = max_call_delay_s
        # When the latest call was executed, or given up without an answer that
        # tells whether it was.
        self._called_at: dict[tuple[int, ids.InstanceId], float] = {}
        # When a call was last refused because the instance is busy.
        self._refused_at: dict[tuple[int, ids.InstanceId], float] = {}
        self._availability = availabilities.Availability(
            state, dispatcher.workers_by_id
        )
        # When this leader observed that an instance was taken down.
        self.taken_down_at_by_id: dict[ids.InstanceId, float] = {}
        # Request time of the first list in a row that lacks an instance.
        self._missing_since: dict[tuple[int, ids.InstanceId], float] = {}

    def record_call(
        self, wave: int, instance: ids.InstanceId, now: float
    ) -> None:
        """Record a call that was executed, or may be for a while from now."""
        self._called_at[wave, instance] = now

    def record_refused(
        self, wave: int, instance: ids.InstanceId, now: float
    ) -> None:
        """Record that a call was refused, as the instance is busy."""
        self._refused_at[wave, instance] = now

    def is_idle(self) -> bool:
        """Whether all waves are complete and no instance is down."""
        return all(
            wave.completed and not wave.down_count
            for wave in self._state.waves.waves_by_number.values()
        )

    def reserved(self) -> set[ids.InstanceId]:
        """Return the instances that are down for a wave or being drained."""
        reserved_ids = self._state.waves.down_instances()
        for worker in self._dispatcher.workers_by_id.values():
            if worker.closed_for_maintenance:
                reserved_ids.add(worker.heartbeat.instance)
        return reserved_ids

    def plan(
        self,
        listing: instances.Listing,
        excluded: set[ids.InstanceId],
        now: float,
        unix_time: float,
    ) -> list[Action]:
        """Return the actions to take now; do not take down ``excluded``."""
        plan = _Plan(
            listing,
            self._workers_by_instance(now),
            excluded,
            now,
            unix_time,
            called=self._state.waves.down_instances(),
        )
        actions: list[Action] = []
        due: set[ids.InstanceId] = set()
        with self._availability.one_plan():
            for wave in self._state.waves.waves_by_number.values():
                due.update(_waiting_instances(wave))
                actions += self._plan_wave(wave, plan)
        for worker in self._dispatcher.workers_by_id.values():
            worker.due_for_maintenance = worker.heartbeat.instance in due
            if (
                worker.closed_for_maintenance
                and worker.id not in plan.closed_workers
            ):
                if (
                    not worker.is_being_taken_down
                    and worker.shutdown_announced_at is None
                ):
                    worker.closed_for_maintenance = False
        return [
            action
            for action in actions
            if isinstance(action, RecordPhase)
            or action.instance not in excluded
        ]

    def _workers_by_instance(
        self, now: float
    ) -> dict[ids.InstanceId, workers.Worker]:
        """Return the worker on each instance, the latest if several are known.

        A new leader may hear of an earlier one first.
        """
        present = [
            worker
            for worker in self._dispatcher.workers_by_id.values()
            if worker.lease_until > now or worker.seen_at > now - 1.0
        ]
        present.sort(key=lambda worker: worker.incarnation)
        return {worker.heartbeat.instance: worker for worker in present}

    def _plan_wave(self, wave: waves.Wave, plan: _Plan) -> list[Action]:
        candidates = self._candidates(wave, plan)
        rounds = math.ceil(len(candidates) / max(1, wave.at_once))
        slack_s = wave.due_at - plan.unix_time - rounds * _ROUND_OVERHEAD_S
        deadline_is_near = slack_s < 0.0
        actions = self._plan_started(wave, deadline_is_near, plan)
        free_slots = wave.at_once - wave.down_count
        if not deadline_is_near:
            candidates = self._without_needed(candidates, slack_s)
        # Drains the instances of the next round while this one is down.
        lookahead = max(0, free_slots) + wave.at_once
        for id, worker in candidates[:lookahead]:
            if worker is None:
                if free_slots > 0:
                    free_slots -= 1
                    plan.called.add(id)
                    actions.append(TakeDown(wave.number, id, None))
                continue
            self._drain(worker, plan)
            if free_slots > 0 and self._may_take_down(
                worker, deadline_is_near, plan.now
            ):
                free_slots -= 1
                plan.called.add(id)
                self._take_down(worker)
                actions.append(TakeDown(wave.number, id, worker.id))
        return actions

    def _plan_started(
        self, wave: waves.Wave, deadline_is_near: bool, plan: _Plan
    ) -> list[Action]:
        """Return the actions for instances that are down, or removed."""
        actions: list[Action] = []
        for name, phase in wave.phases_by_id.items():
            id = ids.InstanceId(name)
            match phase:
                case waves.MaintenancePhase.BEGUN:
                    if self._is_settled(wave, id, plan):
                        actions.append(self._release(wave, id, plan))
                    elif self._prepare_repeated_call(
                        id, deadline_is_near, plan
                    ):
                        worker = plan.worker_by_instance.get(id)
                        actions.append(
                            TakeDown(
                                wave.number,
                                id,
                                None if worker is None else worker.id,
                                is_repeated=True,
                            )
                        )
                case waves.MaintenancePhase.TAKEN:
                    if self._has_returned(wave, id, plan):
                        _open_returned_worker(id, plan)
                        actions.append(
                            RecordPhase(
                                wave.number,
                                id,
                                waves.MaintenancePhase.RETURNED,
                            )
                        )
                case waves.MaintenancePhase.WAITING:
                    if self._is_removed(wave, id, plan.listing):
                        actions.append(
                            RecordPhase(
                                wave.number, id, waves.MaintenancePhase.GONE
                            )
                        )
        return actions

    def _is_settled(
        self, wave: waves.Wave, id: ids.InstanceId, plan: _Plan
    ) -> bool:
        """Whether no maintenance of a busy instance is under way or to come.

        A list shows that if it was requested when the calls before could not
        be executed any more. The predecessor of this leader may have called
        until its end. An instance that is up and not refused is called again.
        """
        called_at = self._called_at.get(
            (wave.number, id), self._dispatcher.took_over_at
        )
        settled_at = (
            called_at + self._max_call_delay_s + instances.LISTING_LAG_S
        )
        if plan.listing.requested_at <= settled_at:
            return False
        instance = plan.listing.by_id.get(id)
        if instance is None:
            return self._is_removed(wave, id, plan.listing)
        match instance.state:
            case instances.InstanceState.DOWN:
                return True
            case instances.InstanceState.UP:
                return (wave.number, id) in self._refused_at
        return False

    def _release(
        self, wave: waves.Wave, id: ids.InstanceId, plan: _Plan
    ) -> RecordPhase:
        """Give up the place of an instance in the wave, which is called again.

        It may be busy for long: down for another cause, or its worker leaves.
        """
        self._called_at.pop((wave.number, id), None)
        worker = plan.worker_by_instance.get(id)
        if worker is not None:
            worker.is_being_taken_down = False
        phase = waves.MaintenancePhase.WAITING
        if id not in plan.listing.by_id:
            phase = waves.MaintenancePhase.GONE
        return RecordPhase(wave.number, id, phase)

    def _prepare_repeated_call(
        self, id: ids.InstanceId, deadline_is_near: bool, plan: _Plan
    ) -> bool:
        """Drain the worker; return whether the call may be sent again.

        If the first call was not executed, this one ends the tasks on the
        instance, and only the leader that sent it has drained the worker.
        """
        worker = plan.worker_by_instance.get(id)
        if worker is None:
            instance = plan.listing.by_id.get(id)
            if instance is None:
                # It may no longer exist, which more lists will tell.
                return plan.listing.may_include(id)
            return (
                instance.state is not instances.InstanceState.UP
                or not self._may_have_worker(instance, plan.now)
            )
        if worker.is_being_taken_down:
            return True
        instance = plan.listing.by_id.get(id)
        if instance is not None and instance.worker not in ('', worker.id):
            return False
        self._drain(worker, plan)
        if id in plan.excluded or not self._may_take_down(
            worker, deadline_is_near, plan.now
        ):
            return False
        self._take_down(worker)
        return True

    def _take_down(self, worker: workers.Worker) -> None:
        worker.is_being_taken_down = True
        self._availability.record_take_down(worker.id)

    def _drain(self, worker: workers.Worker, plan: _Plan) -> None:
        """Give the worker no new tasks and evacuate long-running ones."""
        plan.closed_workers.add(worker.id)
        if not worker.closed_for_maintenance:
            worker.closed_for_maintenance = True
            self._dispatcher.scheduler.unassign_worker(worker)
        self._evacuate(worker, plan.now)

    def _without_needed(
        self,
        candidates: list[tuple[ids.InstanceId, workers.Worker | None]],
        slack_s: float,
    ) -> list[tuple[ids.InstanceId, workers.Worker | None]]:
        """Leave out instances that their pools need now.

        No further instance of a pool with unassigned tasks is drained, and
        only a share of the workers of any other pool at the same time. A
        worker whose evacuation would not end within ``slack_s`` if it began
        later is drained in any case.
        """
        evacuation_s_by_worker = evacuation.remaining_times_s(
            self._state,
            [worker.id for _, worker in candidates if worker is not None],
        )
        loaded_pools = self._dispatcher.scheduler.pools_with_unassigned_tasks()
        open_by_pool: dict[ids.PoolId, int] = {}
        for worker in self._dispatcher.workers_by_id.values():
            open_by_pool[worker.pool] = open_by_pool.get(worker.pool, 0) + 1
        selected_by_pool: dict[ids.PoolId, int] = {}
        remaining = []
        for id, candidate in candidates:
            if candidate is not None:
                pool = candidate.pool
                selected = selected_by_pool.get(pool, 0)
                limit = math.ceil(open_by_pool[pool] * _MAX_DRAINING_SHARE)
                may_wait = (
                    not candidate.closed_for_maintenance
                    and evacuation_s_by_worker[candidate.id] < slack_s
                )
                if may_wait and (pool in loaded_pools or selected >= limit):
                    continue
                selected_by_pool[pool] = selected + 1
            remaining.append((id, candidate))
        return remaining

    def _evacuate(self, worker: workers.Worker, now: float) -> None:
        """Stop long-running tasks step by step if they may not end together.

        Each is stopped only if it fits on another worker.
        """
        if self._availability.may_take_down(worker.id, now):
            return
        runs = self._state.runs_by_worker.get(worker.id, {})
        has_room_by_step: dict[step_counts.StepId, bool] = {}
        for (key, number), run in runs.items():
            if (
                self._dispatcher.is_long_running(key)
                and (key, number) not in worker.stops
                and self._availability.may_stop_run(key, now)
                and self._has_room(key, worker, now, has_room_by_step)
            ):
                was_available = self._availability.is_available(key, run, now)
                worker.stops.add((key, number))
                if was_available:
                    self._availability.record_stop(key, run)

    def _has_room(
        self,
        key: model.TaskKey,
        worker: workers.Worker,
        now: float,
        has_room_by_step: dict[step_counts.StepId, bool],
    ) -> bool:
        """Whether a long-running task fits elsewhere, found once a step."""
        step_id = step_counts.step_id(key)
        if step_id not in has_room_by_step:
            has_room_by_step[step_id] = (
                self._dispatcher.fits_on_another_worker(key, worker, now)
            )
        return has_room_by_step[step_id]

    def _candidates(
        self, wave: waves.Wave, plan: _Plan
    ) -> list[tuple[ids.InstanceId, workers.Worker | None]]:
        """Return the waiting instances that are up, the least busy first."""
        candidates = []
        for id in _waiting_instances(wave):
            if id in plan.called:
                # Another wave has its turn.
                continue
            instance = plan.listing.by_id.get(id)
            if instance is None or instance.state is not (
                instances.InstanceState.UP
            ):
                continue
            worker = plan.worker_by_instance.get(id)
            if worker is None:
                if self._may_have_worker(instance, plan.now):
                    continue
            elif worker.heartbeat.draining:
                continue
            elif instance.worker not in ('', worker.id):
                # One of the two has ended, which the next heartbeat or the
                # next list tells. What runs on the other is not known.
                continue
            candidates.append((id, worker))
        candidates.sort(key=self._sort_key)
        # Those that were busy come last, as they may be so for long.
        candidates.sort(
            key=lambda item: self._refused_at.get((wave.number, item[0]), 0.0)
        )
        return candidates

    def _may_have_worker(
        self, instance: instances.Instance, now: float
    ) -> bool:
        """Whether an unknown worker may be running on the instance.

        A new leader knows a worker only after its first heartbeat. Instances
        of a spare pool are switched off and have none.
        """
        pool = self._state.pools_by_id.get(instance.pool)
        if pool is not None and pool.spare:
            return False
        return now < self._dispatcher.took_over_at + _FIRST_HEARTBEAT_S

    def _sort_key(
        self, item: tuple[ids.InstanceId, workers.Worker | None]
    ) -> tuple[bool, int, int, str]:
        id, worker = item
        if worker is None:
            return (False, 0, 0, id)
        runs = self._state.runs_by_worker.get(worker.id, {})
        long_running = sum(
            self._dispatcher.is_long_running(key) for key, _ in runs
        )
        return (not worker.closed_for_maintenance, long_running, len(runs), id)

    def _may_take_down(
        self, worker: workers.Worker, deadline_is_near: bool, now: float
    ) -> bool:
        runs = self._state.runs_by_worker.get(worker.id, {})
        if not deadline_is_near and any(
            not self._dispatcher.is_long_running(key) for key, _ in runs
        ):
            return False
        has_room_by_step: dict[step_counts.StepId, bool] = {}
        return self._availability.may_take_down(worker.id, now) and all(
            self._has_room(key, worker, now, has_room_by_step)
            for key, _ in runs
            if self._dispatcher.is_long_running(key)
        )

    def _has_returned(
        self, wave: waves.Wave, id: ids.InstanceId, plan: _Plan
    ) -> bool:
        taken_at = self.taken_down_at_by_id.setdefault(id, plan.now)
        instance = plan.listing.by_id.get(id)
        if plan.listing.requested_at < taken_at + instances.LISTING_LAG_S:
            return False
        if self._is_removed(wave, id, plan.listing):
            return True
        return (
            instance is not None
            and instance.state is instances.InstanceState.UP
        )

    def _is_removed(
        self,
        wave: waves.Wave,
        id: ids.InstanceId,
        listing: instances.Listing,
    ) -> bool:
        """Whether two lists in a row lack an instance of the wave.

        The list in use may be older than the wave and lack an instance that
        joined the fleet since, or miss one that changes while its pages are
        read.
        """
        if id in listing.by_id:
            self._missing_since.pop((wave.number, id), None)
            return False
        if listing.may_include(id):
            return False
        missing_since = self._missing_since.setdefault(
            (wave.number, id), listing.requested_at
        )
        return listing.requested_at > missing_since


def _open_returned_worker(id: ids.InstanceId, plan: _Plan) -> None:
    """Let a worker that started before a repeated call get tasks again."""
    worker = plan.worker_by_instance.get(id)
    instance = plan.listing.by_id.get(id)
    if worker is not None and instance is not None:
        if instance.worker in ('', worker.id):
            worker.is_being_taken_down = False


def _waiting_instances(wave: waves.Wave) -> list[ids.InstanceId]:
    return [
        ids.InstanceId(name)
        for name, phase in wave.phases_by_id.items()
        if phase is waves.MaintenancePhase.WAITING
    ]
