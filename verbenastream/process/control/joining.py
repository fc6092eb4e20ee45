"""Creates the first membership of the log, or joins an existing one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol
from typing import TYPE_CHECKING

import logbook

from verbenastream.connection import peers as peer_calls
from verbenastream import ids
from verbenastream.process.agreement import messages
from verbenastream import wire

if TYPE_CHECKING:
    from verbenastream.process.settings import ControlSettings
    from verbenastream.process.settings import Peer

LOG = logbook.Logger(__name__)

RAFT_PATH = '/v1/raft'
_RETRY_INTERVAL_S = 0.25


class Transport(Protocol):
    """The part of ``PeerClient`` that the replication uses."""

    async def call_raw(
        self, peer: Peer, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Return the body of the response; raises ``PeerError``."""
        ...


class ReplicaDiscovery(Protocol):
    """Finds the other replicas while the log does not list them yet."""

    @property
    def replicas_by_name(self) -> dict[str, Peer]:
        """All known replicas, with or without this one."""
        ...

    @property
    def may_create_log(self) -> bool:
        """Whether this replica may create the first membership."""
        ...


class ConfiguredReplicas:
    """Takes the replicas from the settings.

    The replica whose name sorts first creates the membership, and only in a
    new deployment.
    """

    def __init__(self, config: ControlSettings) -> None:
        self._config = config

    @property
    def replicas_by_name(self) -> dict[str, Peer]:
        """Return the replicas of the settings."""
        return self._config.replicas

    @property
    def may_create_log(self) -> bool:
        """Whether this replica may create the log of a new deployment."""
        config = self._config
        return config.bootstrap and config.id == min(config.replicas)


class MembershipJoiner:
    """Asks the other replicas to accept this one as a member of the log.

    ``wants_to_join`` tells whether this replica is not a member yet, and
    ``is_empty`` whether its log is empty. ``create_log`` starts a log with the
    given membership.
    """

    def __init__(
        self,
        own_name: str,
        discovery: ReplicaDiscovery,
        transport: Transport,
        timeout_s: float,
        wants_to_join: Callable[[], bool],
        is_empty: Callable[[], bool],
        own_member: Callable[[], messages.Member],
        create_log: Callable[[messages.Configuration], None],
    ) -> None:
        self._own_name = own_name
        self._discovery = discovery
        self._transport = transport
        self._timeout_s = timeout_s
        self._wants_to_join = wants_to_join
        self._is_empty = is_empty
        self._own_member = own_member
        self._create_log = create_log

    async def run(self) -> None:
        """Ask to join whenever necessary, until cancelled.

        Only one replica may create the membership, and only after all others
        have answered that their logs are empty too. So a replica that lost
        its disk does not create a second log.
        """
        while True:
            if self._wants_to_join():
                other_replicas = self._other_replicas()
                replies = await asyncio.gather(
                    *(
                        self._request_join(peer)
                        for peer in other_replicas.values()
                    )
                )
                if self._discovery.may_create_log and self._is_empty():
                    self._create_if_all_empty(other_replicas, replies)
            await asyncio.sleep(_RETRY_INTERVAL_S)

    def _other_replicas(self) -> dict[str, Peer]:
        return {
            name: peer
            for name, peer in self._discovery.replicas_by_name.items()
            if name != self._own_name
        }

    def _create_if_all_empty(
        self,
        other_replicas: dict[str, Peer],
        replies: list[messages.JoinReply | None],
    ) -> None:
        voters = [self._own_member()]
        for (name, peer), reply in zip(other_replicas.items(), replies):
            if reply is None or reply.initialised:
                return
            voters.append(
                messages.Member(reply.identity, name, peer.address, peer.port)
            )
        LOG.info('creating the log for {} replicas', len(voters))
        self._create_log(messages.Configuration(tuple(voters)))

    async def _request_join(self, peer: Peer) -> messages.JoinReply | None:
        member = self._own_member()
        envelope = messages.Envelope(
            member.id, ids.ReplicaId(''), 0, messages.Join(member)
        )
        try:
            body = await self._transport.call_raw(
                peer, RAFT_PATH, wire.encode(envelope), self._timeout_s
            )
            reply = wire.decode(body, messages.Envelope).message
        except (peer_calls.PeerError, ValueError) as error:
            LOG.debug('join request to {} failed: {}', peer, error)
            return None
        return reply if isinstance(reply, messages.JoinReply) else None
