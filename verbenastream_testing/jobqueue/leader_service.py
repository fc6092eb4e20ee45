"""A leader's job service with a scripted platform, without network."""

from __future__ import annotations

import asyncio
from unittest import mock

from verbenastream import ids
from verbenastream.process import clock
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import model
from verbenastream.process import metrics
from verbenastream.process.node import config
from verbenastream.process.node import duties
from verbenastream.process.node import service as services
from verbenastream_testing.jobqueue import leader as leaders
from verbenastream_testing import local_replicator

QUIET_S = 3.0


class ScriptedPlatform:
    """Records the calls; answers them with ``outcome``."""

    def __init__(self):
        self.names = ('m-1', 'm-2')
        self.pool = leaders.POOL
        # Instances in another pool.
        self.pool_by_id = {}
        # Rows beside those of the instances.
        self.other_rows = []
        self.calls = []
        self.moves = []
        self.down_ids = set()
        self.missing_ids = set()
        self.failed_ids = set()
        self.worker_by_id = {}
        self.has_unreadable_rows = False
        self.unreadable_ids = set()
        self.outcome = instances.CallOutcome.UNKNOWN
        self.on_call = lambda: None

    async def list_instances(self, names_pool):
        rows = [
            instances.Instance(
                ids.InstanceId(name),
                self.pool_by_id.get(name, self.pool),
                self._state(name),
                'z',
                'r',
                model.Resources(1000, 1000),
                worker=ids.WorkerId(self.worker_by_id.get(name, '')),
            )
            for name in self.names
            if name not in self.missing_ids
        ]
        return instances.Listing.from_rows(
            clock.boot_time(),
            [*rows, *self.other_rows],
            names_pool,
            self.has_unreadable_rows,
            self.unreadable_ids,
        )

    def _state(self, name):
        if name in self.down_ids:
            return instances.InstanceState.MAINTENANCE
        if name in self.failed_ids:
            return instances.InstanceState.DOWN
        return instances.InstanceState.UP

    async def start_maintenance(self, instance, wave, caller):
        self.on_call()
        self.calls.append((instance, caller.fence, caller.is_permitted()))
        return self.outcome

    async def move(self, instance, pool, caller):
        self.on_call()
        self.moves.append((instance, pool))
        return self.outcome


class LeaderService:
    """The service and the controller of one leader on a manual clock."""

    def __init__(self):
        self.now = 1000.0
        self.loop = asyncio.new_event_loop()
        self.replica = local_replicator.LocalReplicator('n1', None)
        self.platform = ScriptedPlatform()
        self.state = services.states.JobQueueState()
        self.replica._machine = self.state
        self.start_leader()

    def start_leader(self):
        self.service = services.JobService(
            self.state,
            self.replica,
            config.JobLimits(max_hold_s=6.0),
            metrics.Metrics(),
        )
        self.controller = duties.InstanceController(
            self.service, self.platform, 'n1', QUIET_S
        )

    def run(self, work):
        """Return the result of a coroutine; its clocks show ``now``."""
        with (
            mock.patch.object(clock, 'boot_time', lambda: self.now),
            mock.patch.object(clock, 'unix_time', lambda: self.now),
        ):
            return self.loop.run_until_complete(work)

    def plan(self):
        """Plan and execute the changes of instances once."""
        self.run(self._plan())

    def plan_for(self, duration_s):
        """Plan repeatedly while the clock advances by ``duration_s``."""
        end = self.now + duration_s
        while self.now < end:
            self.now += 0.5
            self.plan()

    async def _plan(self):
        await self.service.leader.update()
        await self.controller._plan_changes()
