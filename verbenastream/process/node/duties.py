"""What the leader asks of the platform: upkeep and moves of instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.jobqueue import commands
from verbenastream.process.jobqueue import errors
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import sizing
from verbenastream.process.jobqueue import upkeep
from verbenastream.process.jobqueue import waves

if TYPE_CHECKING:
    from verbenastream.process.jobqueue import dispatcher as dispatchers
    from verbenastream.process.node import service as services

LOG = logbook.Logger(__name__)

_INTERVAL_S = 0.12
_LIST_AGE_S = 0.6


class InstanceDuties:
    """Carries out the plans for instances while this node leads.

    A call leaves only after its intent is in the log, so that a later leader
    repeats it instead of exceeding a bound.
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
        self._planned_for: dispatchers.Dispatcher | None = None
        self._planner: upkeep.UpkeepPlanner | None = None
        self._sizer: sizing.PoolSizer | None = None
        self._listing: instances.Listing | None = None
        self._quiet_until = 0.0
        # Instances that the predecessor may have called for until then.
        self._left_alone: set[ids.InstanceId] = set()

    async def run(self) -> None:
        """Plan and carry out until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            try:
                await self._work()
            except errors.JobQueueError as error:
                LOG.warning('duties wait: {}', error)
            except Exception:
                # A fault in one plan must not end all later ones.
                LOG.exception('duties failed')

    async def _work(self) -> None:
        if not self._service.leader.ready:
            return
        dispatcher = self._service.require_leader()
        now = clock.boot_time()
        if dispatcher is not self._planned_for:
            # The predecessor may have sent a call just before its end.
            self._planned_for = dispatcher
            self._planner = upkeep.UpkeepPlanner(
                self._service.state, dispatcher
            )
            self._sizer = sizing.PoolSizer(self._service.state, dispatcher)
            self._listing = None
            self._quiet_until = now + self._quiet_s
            # Wide, as the calls of the predecessor may have been slow.
            self._left_alone = self._service.state.called_lately(
                2 * self._quiet_s
            )
        if now >= self._quiet_until:
            self._left_alone = set()
        assert self._planner is not None and self._sizer is not None
        if self._planner.is_idle() and self._sizer.is_idle():
            return
        listing = await self._fresh_listing(now)
        if listing is None:
            return
        now = clock.boot_time()
        actions = self._planner.plan(
            listing,
            self._left_alone | self._sizer.arriving(),
            now,
            clock.unix_time(),
        )
        reserved = self._planner.reserved() | self._left_alone
        moves = self._sizer.plan(listing, reserved, now)
        self._service.wake_workers_with_stops()
        if moves:
            await self._service.propose(
                commands.BeginMoves(
                    tuple(move.instance for move in moves), clock.unix_time()
                )
            )
        await asyncio.gather(
            *(self._carry_out(dispatcher, action) for action in actions),
            *(self._move(dispatcher, move) for move in moves),
        )

    async def _fresh_listing(self, now: float) -> instances.Listing | None:
        listing = self._listing
        if listing is None or now > listing.asked_at + _LIST_AGE_S:
            listing = await self._platform.list_instances()
            if listing is None:
                LOG.warning('the platform lists no instances')
                return None
            self._listing = listing
        return listing

    async def _carry_out(
        self, dispatcher: dispatchers.Dispatcher, action: upkeep.Action
    ) -> None:
        match action:
            case upkeep.Note():
                await self._note(action.wave, action.instance, action.phase)
            case upkeep.Take():
                await self._take(dispatcher, action)

    async def _take(
        self, dispatcher: dispatchers.Dispatcher, take: upkeep.Take
    ) -> None:
        wave = self._service.state.book.waves_by_number[take.wave]
        phase = wave.phases_by_id[take.instance]
        if phase is waves.UpkeepPhase.WAITING:
            begun = await self._service.propose(
                commands.BeginUpkeep(
                    take.wave, take.instance, clock.unix_time()
                )
            )
            if not begun:
                self._reopen(dispatcher, take)
                return
        if self._service.require_leader() is not dispatcher:
            return
        holder = instances.Holder(self._name, self._service.fence)
        outcome = await self._platform.upkeep(take.instance, take.wave, holder)
        LOG.info(
            'upkeep called',
            extra={
                'instance': take.instance,
                'wave': take.wave,
                'worker': take.worker,
                'outcome': outcome.value,
                'fence': holder.fence,
            },
        )
        await self._note_outcome(dispatcher, take, outcome)

    async def _move(
        self, dispatcher: dispatchers.Dispatcher, move: sizing.Move
    ) -> None:
        """Move an instance; the log holds that it was called for.

        Only empty workers are moved, and the list of the platform tells the
        next leader where each instance is.
        """
        worker = dispatcher.find_worker(move.worker)
        if worker is not None:
            worker.taken = True
        if self._service.require_leader() is not dispatcher:
            return
        holder = instances.Holder(self._name, self._service.fence)
        outcome = await self._platform.move(move.instance, move.pool, holder)
        LOG.info(
            'move called',
            extra={
                'instance': move.instance,
                'pool': move.pool,
                'worker': move.worker,
                'outcome': outcome.value,
                'fence': holder.fence,
            },
        )
        assert self._sizer is not None
        kinds = instances.CallOutcome
        if outcome is kinds.DONE:
            if move.worker is not None:
                await self._service.worker_gone(move.worker)
            return
        if outcome is kinds.IMPOSSIBLE:
            self._sizer.note_impossible(move.instance, move.pool)
        elif outcome is not kinds.UNKNOWN:
            self._sizer.note_failed(move.instance)
        if worker is not None and outcome is not kinds.UNKNOWN:
            worker.taken = False

    async def _note_outcome(
        self,
        dispatcher: dispatchers.Dispatcher,
        take: upkeep.Take,
        outcome: instances.CallOutcome,
    ) -> None:
        kinds = instances.CallOutcome
        match outcome:
            case kinds.DONE:
                assert self._planner is not None
                self._planner.taken_at_by_id[take.instance] = clock.boot_time()
                await self._note(
                    take.wave, take.instance, waves.UpkeepPhase.TAKEN
                )
                if take.worker is not None:
                    await self._service.worker_gone(take.worker)
            case kinds.UNKNOWN:
                # Called again with the next plan; it is idempotent.
                return
            case kinds.IMPOSSIBLE | kinds.NOT_IN_WAVE:
                await self._note(
                    take.wave, take.instance, waves.UpkeepPhase.GONE
                )
                self._reopen(dispatcher, take)
            case _:
                await self._note(
                    take.wave, take.instance, waves.UpkeepPhase.WAITING
                )
                self._reopen(dispatcher, take)

    def _reopen(
        self, dispatcher: dispatchers.Dispatcher, take: upkeep.Take
    ) -> None:
        worker = dispatcher.find_worker(take.worker)
        if worker is not None:
            worker.taken = False

    async def _note(
        self,
        wave: int,
        instance: ids.InstanceId,
        phase: waves.UpkeepPhase,
    ) -> None:
        await self._service.propose(
            commands.NoteUpkeep(wave, instance, phase.value, clock.unix_time())
        )
