"""Creates, starts and stops the parts of one node."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib

from aiohttp import web
import logbook

from verbenastream.connection import peers
from verbenastream.process import agreement
from verbenastream.process import background
from verbenastream.process import clock
from verbenastream.process.control import joining
from verbenastream.process.control import replica_gauges
from verbenastream.process.control import replication
from verbenastream.process.jobqueue import instances
from verbenastream.process.jobqueue import permissions
from verbenastream.process.jobqueue import state as states
from verbenastream.process import metrics
from verbenastream.process.node import config as configs
from verbenastream.process.node import directory as directories
from verbenastream.process.node import duties
from verbenastream.process.node import introductions
from verbenastream.process.node import job_calls
from verbenastream.process.node import messages
from verbenastream.process.node import policy as policies
from verbenastream.process.node import relay as relays
from verbenastream.process.node import replica as node_replicas
from verbenastream.process.node import service as services
from verbenastream.process import settings
from verbenastream.process import storage

LOG = logbook.Logger(__name__)

# The largest message is a batch of entries; snapshots are sent in parts.
MAX_BODY_BYTES = 8 * 2**20
# Time for which commands are batched before they are appended, which delays
# orders by as much. With eight replicas, an append to each for every few
# commands would be a third of the leader's work.
_APPEND_INTERVAL_S = 0.015
# A node is unready once its leader has not been confirmed for this long.
_LEADER_CONFIRMATION_S = 2.5


class NodeDaemon:
    """One node, without the listeners of its platform.

    It runs a replica of the log if it has a data folder, the job queue while
    it leads and a relay of calls to the leader.

    ::

        node = NodeDaemon.from_config(config)
        node.relay.handler = handle_call
        await node.start()
    """

    def __init__(self, config: configs.NodeSettings) -> None:
        self.config = config
        self.metrics = metrics.Metrics()
        self.directory = directories.Directory(config.peers, config.seeds)
        self._client = peers.PeerClient.from_config(
            config.deployment, config.name, settings.TlsOff.OFF, self.metrics
        )
        self.state = states.JobQueueState(config.limits.keep_s)
        self.replicator: replication.Replicator | None = None
        self.service: services.JobService | None = None
        if config.data_folder is not None:
            self.replicator = replication.Replicator.from_config(
                config.control_settings(),
                self.state,
                self._client,
                node_replicas.DiscoveredReplicas(config, self.directory),
                agreement.Limits(
                    min_batch_interval_s=_APPEND_INTERVAL_S,
                    min_voters=2 * config.tolerated_losses + 1,
                    removal_delay_s=config.limits.voter_removal_delay_s,
                ),
            )
            storage.register_gauges(
                self.metrics,
                self.replicator.status,
                pathlib.Path(config.data_folder),
            )
            replica_gauges.register(self.metrics, self.replicator)
            self.service = services.JobService(
                self.state, self.replicator, config.limits, self.metrics
            )
        self._replica = node_replicas.LocalReplica(config, self.replicator)
        self._discovery = introductions.LeaderDiscovery(
            config, self.directory, self._client, self._replica
        )
        self.relay = relays.Relay(
            self.directory, self._client, self._discovery
        )
        # Set before ``start`` if the platform can change instances.
        self.machines_client: instances.InstancePlatform | None = None
        # Set before ``start`` if queues have a policy for their workers.
        self.policy_client: permissions.PolicyService | None = None
        self.stopping = False
        self.metrics.gauge(
            'verbenastream_node_ready',
            '1 while this node reports ready to the load balancer.',
        ).set_function(lambda: self.ready)
        self._tasks: list[asyncio.Task[None]] = []
        self._runner: web.AppRunner | None = None

    @classmethod
    def from_config(cls, config: configs.NodeSettings) -> NodeDaemon:
        """Return a node that is not started yet."""
        return cls(config)

    @property
    def leads(self) -> bool:
        """Whether this node leads and may answer calls itself."""
        return self.service is not None and self.service.leader.ready

    @property
    def ready(self) -> bool:
        """Whether this node should receive new calls."""
        if self.stopping:
            return False
        if self.leads:
            return True
        confirmed_at = self.directory.leader_confirmed_at
        return clock.boot_time() < confirmed_at + _LEADER_CONFIRMATION_S

    async def start(self) -> None:
        """Listen for peers and start the replica and the background tasks."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        routes = peers.PeerRoutes(
            app, peers.Signer(self.config.deployment), self.metrics
        )
        routes.add(messages.HELLO_PATH, messages.Hello, self._hello)
        routes.add_raw(messages.RELAY_PATH, self.relay.answer)
        calls = job_calls.JobCalls(self.service, self.directory)
        routes.add(job_calls.JOBS_PATH, job_calls.JobRequest, calls.answer)
        if self.replicator is not None:
            routes.add_raw(joining.RAFT_PATH, self._raft)
            await self.replicator.start()
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.5
        )
        await self._runner.setup()
        listener = self.config.peers
        await web.TCPSite(
            self._runner, listener.address, listener.port
        ).start()
        if self.service is not None:
            self.service.start()
            if self.machines_client is not None:
                controller = duties.InstanceController(
                    self.service,
                    self.machines_client,
                    self.config.name,
                    self.config.limits.quiet_s,
                )
                self._start_task('instance changes', controller.run)
            if self.policy_client is not None:
                poller = policies.PolicyPoller(
                    self.service, self.policy_client
                )
                self._start_task('policy queries', poller.run)
        self._start_task('leader discovery', self._discovery.run)
        LOG.info(
            'node started',
            extra={
                'replica': self.replicator is not None,
                'bootstrap': self.config.bootstrap,
                'seeds': len(self.config.seeds),
            },
        )

    def _start_task(
        self, name: str, start: Callable[[], Awaitable[None]]
    ) -> None:
        work = background.run_forever(name, start)
        self._tasks.append(asyncio.create_task(work))

    async def prepare_stop(self) -> None:
        """Become unready and hand over leadership.

        Calls that still arrive are relayed to the new leader.
        """
        LOG.info('node stops', extra={'leads': self.leads})
        self.stopping = True
        if self.service is not None:
            self.service.answer_held_heartbeats()
        if self.replicator is not None and self.leads:
            await self.replicator.transfer_leadership()

    async def stop(self) -> None:
        """Stop all parts; no calls should arrive any more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.service is not None:
            self.service.answer_held_heartbeats()
        if self.replicator is not None:
            await self.replicator.stop()
        if self.service is not None:
            await self.service.stop()
        if self._runner is not None:
            await self._runner.cleanup()
        await self._client.close()

    def replace_seeds(self, seeds: tuple[settings.Peer, ...]) -> None:
        """Replace the seeds."""
        if seeds != self.directory.seeds:
            self.directory.seeds = seeds
            LOG.info('seeds changed', extra={'seeds': len(seeds)})

    async def _hello(
        self, sender: str, hello: messages.Hello
    ) -> messages.HelloReply:
        return self._discovery.answer(hello)

    async def _raft(self, sender: str, body: bytes) -> bytes:
        assert self.replicator is not None
        return await self.replicator.handle_message(body)
