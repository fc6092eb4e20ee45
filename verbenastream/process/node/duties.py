"""Calls the platform for maintenance and moves of instances at the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import errors
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import pending_moves
from verbenastream.process.jobqueue import sizing
from verbenastream.process.jobqueue import upkeep
from verbenastream.process.jobqueue import waves

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import dispatcher as dispatchers
    from verbenastream.process.node import service as services

LOG = logbook.Logger(__name__)

_PLAN_INTERVAL_S = 0.12
# Most of the processor time that planning may take.
_MAX_PLAN_SHARE = 0.2
_MAX_LISTING_AGE_S = 0.6


class InstanceController:
    """Plans and executes changes of instances while this node leads.

    A call is sent only after its intent is committed to the log, so that a
    later leader repeats it instead of exceeding a limit.
    """

    def __init__(
        self,
        service: services.JobService,
        platform: instances.InstancePlatform,
        name: str,
        quiet_s: float,
    ) -> None:
        self._service = service
        self._platform = platform
        self._name = name
        self._quiet_s = quiet_s
        self._last_dispatcher: dispatchers.Dispatcher | None = None
        self._planner: upkeep.MaintenancePlanner | None = None
        self._sizer: sizing.PoolSizer | None = None
        self._listing: instances.Listing | None = None
        self._previous_listing: instances.Listing | None = None
        self._quiet_until = 0.0
        self._pause_s = _PLAN_INTERVAL_S
        # Instances that a call of the previous leader may still change.
        self._excluded_ids: set[ids.InstanceId] = set()

    async def run(self) -> None:
        """Plan and execute changes until cancelled."""
        while True:
            await asyncio.sleep(self._pause_s)
            try:
                await self._plan_changes()
            except errors.JobQueueError as error:
                LOG.warning(
                    'planning of instance changes postponed: {}', error
                )
            except Exception:
                # An error in one plan must not prevent all later ones.
                LOG.exception('planning of instance changes failed')

    async def _plan_changes(self) -> None:
        if not self._service.leader.ready:
            return
        dispatcher = self._service.require_leader()
        now = clock.boot_time()
        if dispatcher is not self._last_dispatcher:
            # The previous leader may have sent a call just before its end.
            self._last_dispatcher = dispatcher
            self._planner = upkeep.MaintenancePlanner(
                self._service.state, dispatcher, self._quiet_s
            )
            self._sizer = sizing.PoolSizer(
                self._service.state, dispatcher, self._quiet_s
            )
            self._listing = self._previous_listing = None
            self._quiet_until = now + self._quiet_s
            # Twice the time, as calls of that leader may have been slow.
            # Maintenance that has begun may have been called again since.
            self._excluded_ids = (
                self._service.state.recently_called(2 * self._quiet_s)
                | self._service.state.waves.begun_instances()
            )
        if now >= self._quiet_until:
            self._excluded_ids = set()
        assert self._planner is not None and self._sizer is not None
        if (
            self._planner.is_idle()
            and self._sizer.is_idle()
            and not dispatcher.may_have_lost_workers(now)
        ):
            return
        listing = await self._recent_listing(now)
        if listing is None:
            return
        await self._service.end_lost_workers(listing, self._previous_listing)
        now = clock.boot_time()
        actions = self._planner.plan(
            listing,
            self._excluded_ids | self._sizer.moving_instances(),
            now,
            clock.unix_time(),
        )
        reserved = self._planner.reserved() | self._excluded_ids
        moves = self._sizer.plan(listing, reserved, now)
        planning_s = clock.boot_time() - now
        self._pause_s = max(
            _PLAN_INTERVAL_S, planning_s * (1 / _MAX_PLAN_SHARE - 1)
        )
        self._service.wake_workers_with_stops()
        if moves:
            await self._begin_moves(moves)
        await asyncio.gather(
            *(self._execute(dispatcher, action) for action in actions),
            *(self._call_move(dispatcher, move) for move in moves),
        )

    async def _begin_moves(self, moves: list[pending_moves.Move]) -> None:
        """Commit the moves; without a commit, none of them is called."""
        assert self._sizer is not None
        instance_ids = tuple(move.instance for move in moves)
        try:
            await self._service.propose(
                commands.BeginMoves(instance_ids, clock.unix_time())
            )
        except errors.JobQueueError:
            for id in instance_ids:
                self._sizer.record_failed(id)
            raise

    async def _recent_listing(self, now: float) -> instances.Listing | None:
        listing = self._listing
        if listing is None or now > listing.requested_at + _MAX_LISTING_AGE_S:
            listing = await self._platform.list_instances(
                self._service.state.names_pool
            )
            if listing is None:
                LOG.warning('the platform did not return a list of instances')
                return None
            self._previous_listing = self._listing
            self._listing = listing
            self._service.require_leader().listing = listing
        return listing

    async def _execute(
        self, dispatcher: dispatchers.Dispatcher, action: upkeep.Action
    ) -> None:
        match action:
            case upkeep.RecordPhase():
                await self._record_phase(
                    action.wave, action.instance, action.phase
                )
            case upkeep.TakeDown():
                await self._start_maintenance(dispatcher, action)

    async def _start_maintenance(
        self, dispatcher: dispatchers.Dispatcher, action: upkeep.TakeDown
    ) -> None:
        wave = self._service.state.waves.waves_by_number[action.wave]
        phase = wave.phases_by_id[action.instance]
        if phase is waves.MaintenancePhase.WAITING:
            committed = await self._service.propose(
                commands.BeginMaintenance(
                    action.wave, action.instance, clock.unix_time()
                )
            )
            if not committed:
                self._make_available(dispatcher, action)
                return
        if self._service.require_leader() is not dispatcher:
            return
        caller = self._caller(dispatcher)
        outcome = await self._platform.start_maintenance(
            action.instance, action.wave, caller
        )
        LOG.info(
            'upkeep called',
            extra={
                'instance': action.instance,
                'wave': action.wave,
                'worker': action.worker,
                'outcome': outcome.value,
                'fence': caller.fence,
            },
        )
        await self._record_outcome(dispatcher, action, outcome)

    def _caller(
        self, dispatcher: dispatchers.Dispatcher
    ) -> instances.FencedCaller:
        """Return the caller, which may call while ``dispatcher`` leads."""
        service = self._service
        return instances.FencedCaller(
            self._name,
            service.fencing_token,
            lambda: service.leader.ready and service.dispatcher is dispatcher,
        )

    async def _call_move(
        self, dispatcher: dispatchers.Dispatcher, move: pending_moves.Move
    ) -> None:
        """Move an instance after its move has been committed to the log.

        Only empty workers are moved, and the next leader finds the pool of
        each instance in the list of the platform. The list also shows that
        the worker has ended, which an answer does not: the call may have been
        done before.
        """
        if self._service.require_leader() is not dispatcher:
            return
        caller = self._caller(dispatcher)
        outcome = await self._platform.move(move.instance, move.pool, caller)
        LOG.info(
            'move called',
            extra={
                'instance': move.instance,
                'pool': move.pool,
                'worker': move.worker,
                'outcome': outcome.value,
                'fence': caller.fence,
            },
        )
        assert self._sizer is not None
        outcomes = instances.CallOutcome
        match outcome:
            case outcomes.DONE:
                return
            case outcomes.IMPOSSIBLE:
                self._sizer.record_impossible(move.instance, move.pool)
            case outcomes.UNKNOWN:
                self._sizer.record_unanswered(move.instance, clock.boot_time())
            case _:
                # The only call for this move was refused.
                self._sizer.record_failed(move.instance)

    async def _record_outcome(
        self,
        dispatcher: dispatchers.Dispatcher,
        action: upkeep.TakeDown,
        outcome: instances.CallOutcome,
    ) -> None:
        outcomes = instances.CallOutcome
        match outcome:
            case outcomes.DONE:
                assert self._planner is not None
                now = clock.boot_time()
                self._planner.taken_down_at_by_id[action.instance] = now
                # The maintenance is under way, even if that cannot be
                # committed.
                self._planner.record_call(action.wave, action.instance, now)
                await self._record_phase(
                    action.wave, action.instance, waves.MaintenancePhase.TAKEN
                )
            case (
                outcomes.UNKNOWN
                | outcomes.LIMITED
                | outcomes.FENCED
                | outcomes.NOT_SENT
            ):
                # This call or an earlier one may have been executed, so the
                # instance keeps its place in the wave. The next plan repeats
                # the call, which is idempotent.
                assert self._planner is not None
                self._planner.record_call(
                    action.wave, action.instance, clock.boot_time()
                )
            case outcomes.IMPOSSIBLE | outcomes.NOT_IN_WAVE:
                await self._record_phase(
                    action.wave, action.instance, waves.MaintenancePhase.GONE
                )
                self._make_available(dispatcher, action)
            case outcomes.BUSY:
                assert self._planner is not None
                self._planner.record_refused(
                    action.wave, action.instance, clock.boot_time()
                )
                if action.is_repeated:
                    # It may be busy with what an earlier call has begun. The
                    # place is kept until a list shows otherwise.
                    return
                await self._record_phase(
                    action.wave,
                    action.instance,
                    waves.MaintenancePhase.WAITING,
                )
                self._make_available(dispatcher, action)

    def _make_available(
        self, dispatcher: dispatchers.Dispatcher, action: upkeep.TakeDown
    ) -> None:
        worker = dispatcher.find_worker(action.worker)
        if worker is not None:
            worker.is_being_taken_down = False

    async def _record_phase(
        self,
        wave: int,
        instance: ids.InstanceId,
        phase: waves.MaintenancePhase,
    ) -> None:
        await self._service.propose(
            commands.RecordMaintenancePhase(
                wave, instance, phase.value, clock.unix_time()
            )
        )
