"""Discovers the leader and the replicas by periodic hello messages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from verbenastream.connection import peers
from verbenastream.process import clock
from verbenastream.process.node import messages

if TYPE_CHECKING:
    from verbenastream.process.node import config as configs
    from verbenastream.process.node import directory as directories
    from verbenastream.process.node import replica as replicas
    from verbenastream.process import settings

LOG = logbook.Logger(__name__)

_NO_LEADER_INTERVAL_S = 0.12
_LEADER_INTERVAL_S = 0.7
# Replicas also send hellos to the seeds, which new nodes ask for replicas.
_SEED_INTERVAL_S = 2.0
_HELLO_TIMEOUT_S = 0.6


class LeaderDiscovery:
    """Sends hellos to the leader, or to all known nodes if it is unknown."""

    def __init__(
        self,
        config: configs.NodeSettings,
        directory: directories.Directory,
        client: peers.PeerClient,
        replica: replicas.LocalReplica,
    ) -> None:
        self._config = config
        self._directory = directory
        self._client = client
        self._replica = replica
        self._seeds_contacted_at = float('-inf')
        self._search_requested = asyncio.Event()

    def search(self) -> None:
        """Send hellos at once, for instance if the leader does not answer."""
        self._search_requested.set()

    async def run(self) -> None:
        """Send hellos periodically until cancelled."""
        while True:
            try:
                await self._send_hellos()
            except Exception:
                # Without this task the node would never find a leader.
                LOG.exception('sending hello messages failed')
            interval_s = (
                _LEADER_INTERVAL_S
                if self._directory.leader is not None
                else _NO_LEADER_INTERVAL_S
            )
            self._search_requested.clear()
            try:
                await asyncio.wait_for(
                    self._search_requested.wait(), interval_s
                )
            except asyncio.TimeoutError:
                pass

    async def _send_hellos(self) -> None:
        now = clock.boot_time()
        self._replica.update(self._directory, now)
        nodes = self._directory.nodes_to_contact(now)
        if (
            self._config.data_folder is not None
            and now >= self._seeds_contacted_at + _SEED_INTERVAL_S
        ):
            self._seeds_contacted_at = now
            nodes = [*nodes, *self._directory.seeds]
        hello = self._replica.hello()
        if self._directory.collects_founders:
            self._directory.record_hello(hello, now)
            self._directory.founders_by_name = (
                self._directory.founder_collector.founders(now)
                or self._directory.founders_by_name
            )
        await asyncio.gather(
            *(
                self._send_hello(peer, hello)
                for peer in dict.fromkeys(nodes)
                if peer != self._config.peers
            )
        )

    async def _send_hello(
        self, peer: settings.Peer, hello: messages.Hello
    ) -> None:
        try:
            reply = await self._client.call(
                peer,
                messages.HELLO_PATH,
                hello,
                messages.HelloReply,
                _HELLO_TIMEOUT_S,
            )
        except peers.PeerError as error:
            LOG.debug('no reply to hello from {}: {}', peer, error)
            self._directory.forget_leader(peer)
            return
        self._directory.record_reply(peer, reply, clock.boot_time())

    def answer(self, hello: messages.Hello) -> messages.HelloReply:
        """Return the reply to a hello: what this node knows."""
        now = clock.boot_time()
        directory = self._directory
        directory.record_hello(hello, now)
        self._replica.update(directory, now)
        replicas_by_name = directory.replicas_by_name(now)
        own_peer = self._replica.own_peer
        if own_peer is not None:
            replicas_by_name[self._config.name] = own_peer
        founders = directory.founders_by_name
        if directory.collects_founders:
            founders = directory.founder_collector.founders(now) or founders
        return messages.HelloReply(
            leader=directory.leader,
            term=directory.leader_term,
            replicas_by_name=replicas_by_name,
            founders_by_name=founders,
        )
