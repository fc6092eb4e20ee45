"""Keeps a node in touch with the leader and the other replicas."""

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

_SEARCH_INTERVAL_S = 0.12
_CONTACT_INTERVAL_S = 0.7
# Seeds hear of all replicas this often, so that they can tell newcomers.
_ANNOUNCE_INTERVAL_S = 2.0
_TIMEOUT_S = 0.6


class Introductions:
    """Says hello to the leader, or to all known nodes while it is unknown."""

    def __init__(
        self,
        config: configs.NodeSettings,
        directory: directories.Directory,
        client: peers.PeerClient,
        replica: replicas.NodeReplica,
    ) -> None:
        self._config = config
        self._directory = directory
        self._client = client
        self._replica = replica
        self._announced_at = float('-inf')
        self._search = asyncio.Event()

    def search(self) -> None:
        """Look for the leader at once: the known one does not answer."""
        self._search.set()

    async def run(self) -> None:
        """Stay in touch until cancelled."""
        while True:
            try:
                await self._introduce()
            except Exception:
                # Without this task the node would never find a leader.
                LOG.exception('introduction failed')
            interval_s = (
                _CONTACT_INTERVAL_S
                if self._directory.leader is not None
                else _SEARCH_INTERVAL_S
            )
            self._search.clear()
            try:
                await asyncio.wait_for(self._search.wait(), interval_s)
            except asyncio.TimeoutError:
                pass

    async def _introduce(self) -> None:
        now = clock.boot_time()
        self._replica.update(self._directory, now)
        targets = self._directory.targets(now)
        if (
            self._config.data_folder is not None
            and now >= self._announced_at + _ANNOUNCE_INTERVAL_S
        ):
            self._announced_at = now
            targets = [*targets, *self._directory.seeds]
        hello = self._replica.hello()
        if self._directory.collects:
            self._directory.note_hello(hello, now)
            self._directory.founders_by_name = (
                self._directory.founding.result(now)
                or self._directory.founders_by_name
            )
        await asyncio.gather(
            *(
                self._say_hello(peer, hello)
                for peer in dict.fromkeys(targets)
                if peer != self._config.peers
            )
        )

    async def _say_hello(
        self, peer: settings.Peer, hello: messages.Hello
    ) -> None:
        try:
            reply = await self._client.call(
                peer,
                messages.HELLO_PATH,
                hello,
                messages.HelloReply,
                _TIMEOUT_S,
            )
        except peers.PeerError as error:
            LOG.debug('no answer from {}: {}', peer, error)
            self._directory.note_failure(peer)
            return
        self._directory.note_reply(peer, reply, clock.boot_time())

    def answer(self, hello: messages.Hello) -> messages.HelloReply:
        """Return what this node knows."""
        now = clock.boot_time()
        directory = self._directory
        directory.note_hello(hello, now)
        self._replica.update(directory, now)
        known = directory.replicas_by_name(now)
        own = self._replica.own_peer
        if own is not None:
            known[self._config.name] = own
        founders = directory.founders_by_name
        if directory.collects:
            founders = directory.founding.result(now) or founders
        return messages.HelloReply(
            leader=directory.leader,
            term=self._replica.term,
            replicas_by_name=known,
            founders_by_name=founders,
        )
