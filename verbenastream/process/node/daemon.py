"""One node: replica of the log, job queue at the leader, relay elsewhere."""

from __future__ import annotations

import asyncio

from aiohttp import web
import logbook

from verbenastream.connection import peers
from verbenastream.process import agreement
from verbenastream.process import clock
from verbenastream.process.control import joining
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

LOG = logbook.Logger(__name__)

# Snapshots travel in parts; the largest message is a batch of entries.
_MAX_BODY_BYTES = 8 * 2**20
# Orders may come this much later; with eight replicas an append to each for
# every few commands would be a third of what the leader does.
_APPEND_PACE_S = 0.015
# A node whose leader was not confirmed for this long takes no new callers.
_READY_S = 2.5


class NodeDaemon:
    """Everything of one node but the listeners of its platform.

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
                node_replicas.FoundReplicas(config, self.directory),
                agreement.Limits(
                    pace_s=_APPEND_PACE_S,
                    min_voters=2 * config.tolerated_losses + 1,
                ),
            )
            self.service = services.JobService(
                self.state, self.replicator, config.limits, self.metrics
            )
        self._replica = node_replicas.NodeReplica(config, self.replicator)
        self._introductions = introductions.Introductions(
            config, self.directory, self._client, self._replica
        )
        self.relay = relays.Relay(
            self.directory, self._client, self._introductions
        )
        # Set before ``start`` where the platform lets instances be changed.
        self.platform: instances.InstancePlatform | None = None
        # Set before ``start`` where queues have a policy on their workers.
        self.policy: permissions.PolicyService | None = None
        self.stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self._runner: web.AppRunner | None = None

    @classmethod
    def from_config(cls, config: configs.NodeSettings) -> NodeDaemon:
        """Return a node that is not started."""
        return cls(config)

    @property
    def leads(self) -> bool:
        """Whether this node may answer calls itself."""
        return self.service is not None and self.service.leader.ready

    @property
    def ready(self) -> bool:
        """Whether this node should be given new callers."""
        if self.stopping:
            return False
        if self.leads:
            return True
        confirmed = self.directory.leader_confirmed_at
        return clock.boot_time() < confirmed + _READY_S

    async def start(self) -> None:
        """Listen for peers and take part in the agreement."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        routes = peers.PeerRoutes(
            app, peers.Signer(self.config.deployment), self.metrics
        )
        routes.add(messages.HELLO_PATH, messages.Hello, self._hello)
        routes.add_raw(messages.RELAY_PATH, self.relay.answer)
        calls = job_calls.JobCalls(self.service, self.directory)
        routes.add(job_calls.JOBS_PATH, job_calls.JobRequest, calls.answer)
        if self.replicator is not None:
            routes.add_raw(joining.PATH, self._raft)
            await self.replicator.start()
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.5
        )
        await self._runner.setup()
        own = self.config.peers
        await web.TCPSite(self._runner, own.address, own.port).start()
        if self.service is not None:
            self.service.start()
            if self.platform is not None:
                duty = duties.InstanceDuties(
                    self.service,
                    self.platform,
                    self.config.name,
                    self.config.limits.quiet_s,
                )
                self._tasks.append(asyncio.create_task(duty.run()))
            if self.policy is not None:
                asking = policies.PolicyDuty(self.service, self.policy)
                self._tasks.append(asyncio.create_task(asking.run()))
        self._tasks.append(asyncio.create_task(self._introductions.run()))
        LOG.info(
            'node started',
            extra={
                'replica': self.replicator is not None,
                'bootstrap': self.config.bootstrap,
                'seeds': len(self.config.seeds),
            },
        )

    async def prepare_stop(self) -> None:
        """Turn unready and let another node lead; calls are passed on."""
        LOG.info('node stops', extra={'leads': self.leads})
        self.stopping = True
        if self.service is not None:
            self.service.release_all()
        if self.replicator is not None and self.leads:
            await self.replicator.hand_over()

    async def stop(self) -> None:
        """Close everything; callers should be gone."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.service is not None:
            self.service.release_all()
        if self.replicator is not None:
            await self.replicator.stop()
        if self.service is not None:
            await self.service.stop()
        if self._runner is not None:
            await self._runner.cleanup()
        await self._client.close()

    def take_seeds(self, seeds: tuple[settings.Peer, ...]) -> None:
        """Use other seeds from now on."""
        if seeds != self.directory.seeds:
            self.directory.seeds = seeds
            LOG.info('seeds changed', extra={'seeds': len(seeds)})

    async def _hello(
        self, sender: str, hello: messages.Hello
    ) -> messages.HelloReply:
        return self._introductions.answer(hello)

    async def _raft(self, sender: str, body: bytes) -> bytes:
        assert self.replicator is not None
        return await self.replicator.handle_message(body)
