"""The verbenastream-control process."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import time
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import web
import logbook

from verbenastream.connection import peers
from verbenastream.process.control import claim_batches
from verbenastream.process.control import documents_api
from verbenastream.process.control import duties
from verbenastream.process.control import feed
from verbenastream.process.control import fleet_api
from verbenastream.process.control import fleet_presence
from verbenastream.process.control import in_force
from verbenastream.process.control import leadership
from verbenastream.process.control import leases
from verbenastream.process.control import log_clock
from verbenastream.process.control import operators
from verbenastream.process.control import peer_api
from verbenastream.process.control import planning_duty
from verbenastream.process.control import proposer
from verbenastream.process.control import recording
from verbenastream.process.control import replica_gauges
from verbenastream.process.control import replication
from verbenastream.process import metrics
from verbenastream.process import state as states
from verbenastream.process import storage
from verbenastream.process import traces
from verbenastream.version import planning

if TYPE_CHECKING:
    from verbenastream.process.control import replicas
    from verbenastream.process import settings

LOG = logbook.Logger(__name__)

# A snapshot of the state is sent to another replica in one request.
_MAX_REQUEST_BODY_BYTES = 256 * 2**20


class ControlDaemon:
    """A control process: log replica, duties of the leader and listener.

    ::

        daemon = ControlDaemon.from_config(config)
        await daemon.start()
        await daemon.stop()
    """

    def __init__(
        self,
        config: settings.ControlSettings,
        state: states.ControlState,
        replica: replicas.Replica,
        registry: metrics.Metrics | None = None,
    ) -> None:
        self.config = config
        self.state = state
        self.replica = replica
        self.metrics = registry or metrics.Metrics()
        self.lease_table = leases.LeaseTable(config.timings.entry_lease_s)
        self.leader = leadership.Leadership(replica, self._start_term)
        self._clock = log_clock.LogClock(time.monotonic, time.time)
        self._presence = fleet_presence.FleetPresence()
        self._proposer = proposer.Proposer(replica, self.leader)
        self._tracker = in_force.InForceTracker(
            state, self.lease_table, self.metrics
        )
        self._trace = recording.TraceLog(
            traces.TraceRecorder.from_config(
                config.trace_file, config.deployment.name, config.id
            ),
            state,
            self.leader,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._runner: web.AppRunner | None = None
        self._client: peers.PeerClient | None = None
        self._create_components()

    @classmethod
    def from_config(cls, config: settings.ControlSettings) -> ControlDaemon:
        state = states.ControlState()
        registry = metrics.Metrics()
        client = peers.PeerClient.from_config(
            config.deployment, config.id, config.peer_tls, registry
        )
        replica = replication.Replicator.from_config(config, state, client)
        storage.register_gauges(
            registry, replica.status, pathlib.Path(config.data_folder)
        )
        daemon = cls(config, state, replica, registry)
        daemon._client = client
        return daemon

    def _create_components(self) -> None:
        config = self.config
        propose = self._proposer.propose
        self.feed = feed.RenewalFeed(
            self.state,
            self.leader,
            self.lease_table,
            self._clock,
            propose,
            config.timings.entry_lease_s,
        )
        self.planner = planning_duty.PlanningDuty(
            self.state,
            planning.Planner.from_config(config.weights),
            self._presence,
            self._clock,
            propose,
        )
        self.leader_duties = duties.LeaderDuties(
            self.state,
            self.leader,
            self.lease_table,
            self._clock,
            self._presence,
            self._tracker,
            self.planner,
            propose,
            config.timings.plan_interval_s,
        )
        self._documents = documents_api.DocumentsApi(
            self.state,
            self.leader,
            self._tracker,
            self._clock,
            operators.TeamKeys(config.teams),
            propose,
            self._proposer.read_barrier,
            self._trace,
        )
        self._fleet = fleet_api.FleetApi(
            config.deployment.name,
            self.state,
            self.replica,
            self.leader,
            self.lease_table,
            self._tracker,
            self._clock,
            self.planner,
            propose,
            self.leader_duties.merge_totals,
            self._proposer.read_barrier,
            self._trace,
        )

    def application(self) -> web.Application:
        """Return the aiohttp application with all routes."""
        app = web.Application(client_max_size=_MAX_REQUEST_BODY_BYTES)
        routes = peers.PeerRoutes(
            app, peers.Signer(self.config.deployment), self.metrics
        )
        peer_api.PeerApi(
            self.replica,
            self.leader,
            self.feed,
            claim_batches.ClaimBatcher(self._proposer.propose, self._clock),
            self._presence,
            self.planner,
            self.leader_duties,
            self._fleet,
            self.metrics,
        ).add_routes(routes)
        self._documents.add_routes(app)
        self._fleet.add_routes(app)
        app.router.add_get('/livez', self._livez)
        app.router.add_get('/readyz', self._readyz)
        app.router.add_get('/metrics', self._serve_metrics)
        return app

    def _add_gauges(self) -> None:
        replica_gauges.register(self.metrics, self.replica)
        self.metrics.gauge(
            'verbenastream_state_index',
            'Index up to which this replica applies the log.',
        ).set_function(lambda: self.state.view.index)

    async def start(self) -> None:
        """Recover the replica, open the listener and start the tasks."""
        listener = self.config.listener
        context = peers.ReloadingContext.for_server(listener.tls)
        self._runner = web.AppRunner(
            self.application(), access_log=None, shutdown_timeout=1.0
        )
        await self._runner.setup()
        self._add_gauges()
        self.replica.applied.subscribe(self.feed.on_applied)
        self.replica.applied.subscribe(self._trace.on_applied)
        await self.replica.start()
        await web.TCPSite(
            self._runner,
            listener.address,
            listener.port,
            ssl_context=None if context is None else context.ssl_context,
        ).start()
        for work in (self.leader.run(), self.leader_duties.run()):
            self._tasks.append(asyncio.create_task(work))
        if context is not None:
            self._tasks.append(asyncio.create_task(context.watch()))
        LOG.info('control listens on {}:{}', listener.address, listener.port)

    async def stop(self) -> None:
        """Stop the tasks, hand over leadership and close the listener."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.replica.stop()
        if self._runner is not None:
            await self._runner.cleanup()
        if self._client is not None:
            await self._client.close()
        self._trace.close()

    def _start_term(self) -> None:
        """Initialise the state that a leader keeps in memory."""
        now = asyncio.get_running_loop().time()
        self._clock.start(self.state.time)
        self.lease_table.start(now, self.state.view.entries_by_id.values())
        self._presence.start()
        self._tracker.start()
        self._trace.start()

    async def _livez(self, request: web.Request) -> web.StreamResponse:
        return web.Response(text='ok\n')

    async def _readyz(self, request: web.Request) -> web.StreamResponse:
        """Answer 200 if this process leads or knows the leader."""
        failure = self.replica.status().failure
        if failure:
            return web.Response(status=503, text=f'{failure}\n')
        if self.leader.ready:
            return web.Response(text='leader\n')
        if not self.replica.is_leader and self.replica.leader is not None:
            return web.Response(text='follower\n')
        return web.Response(status=503, text='no leader is known\n')

    async def _serve_metrics(self, request: web.Request) -> web.StreamResponse:
        self._update_gauges()
        return web.Response(
            body=self.metrics.expose(), content_type='text/plain'
        )

    def _update_gauges(self) -> None:
        status = self.replica.status()
        view = self.state.view
        for name, help_text, value in (
            ('is_leader', 'Whether this process leads.', self.leader.ready),
            ('term', 'Term of the replicated log.', status.term),
            ('applied_index', 'Last applied log index.', status.applied),
            ('view_index', 'Index of the last view change.', view.index),
            ('entries_live', 'Live entries.', len(view.live_entries())),
            ('instances', 'Known instances.', len(view.instances_by_id)),
            (
                'claims',
                'Kept claims of keyed requests.',
                self.state.claims.count,
            ),
            (
                'claim_body_bytes',
                'Bytes of recorded answers.',
                self.state.claims.bodies_bytes,
            ),
        ):
            self.metrics.gauge(f'verbenastream_control_{name}', help_text).set(
                float(value)
            )


async def run(config: settings.ControlSettings) -> None:
    """Run a control process until SIGTERM or SIGINT."""
    daemon = ControlDaemon.from_config(config)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await daemon.start()
    await stop_requested.wait()
    LOG.info('control stops')
    await daemon.stop()


def startup_error_text(error: Any) -> str:
    """Return the text of a start-up failure for standard error."""
    problems = getattr(error, 'problems', None)
    if problems:
        return '\n'.join(str(problem) for problem in problems)
    return str(error)
