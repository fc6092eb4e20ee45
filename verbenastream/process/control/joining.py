"""First membership of the log, and joining an existing one."""

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

PATH = '/v1/raft'
_INTERVAL_S = 0.25


class Transport(Protocol):
    """The part of ``PeerClient`` that replication uses."""

    async def call_raw(
        self, peer: Peer, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Return the body of the answer; raises ``PeerError``."""
        ...


class Rendezvous(Protocol):
    """Where a replica finds the others before the log names them."""

    @property
    def replicas_by_name(self) -> dict[str, Peer]:
        """All replicas known, this one included or not."""
        ...

    @property
    def creates(self) -> bool:
        """Whether this replica creates the first membership."""
        ...


class ConfiguredReplicas:
    """The replicas that the settings name.

    The first by name creates the membership, and only in a new deployment.
    """

    def __init__(self, config: ControlSettings) -> None:
        self._config = config

    @property
    def replicas_by_name(self) -> dict[str, Peer]:
        """Return the replicas that the settings name."""
        return self._config.replicas

    @property
    def creates(self) -> bool:
        """Whether this replica creates the log of a new deployment."""
        config = self._config
        return config.bootstrap and config.id == min(config.replicas)


class Joining:
    """Presents an identity that is not a member yet to the other replicas.

    ``create`` takes the first membership; ``wants_to_join`` and ``is_empty``
    tell the state of the own log.
    """

    def __init__(
        self,
        own_name: str,
        rendezvous: Rendezvous,
        transport: Transport,
        timeout_s: float,
        wants_to_join: Callable[[], bool],
        is_empty: Callable[[], bool],
        own_member: Callable[[], messages.Member],
        create: Callable[[messages.Configuration], None],
    ) -> None:
        self._own_name = own_name
        self._rendezvous = rendezvous
        self._transport = transport
        self._timeout_s = timeout_s
        self._wants_to_join = wants_to_join
        self._is_empty = is_empty
        self._own_member = own_member
        self._create_log = create

    async def run(self) -> None:
        """Join whenever it is necessary, until cancelled.

        One replica alone may create the membership, and only after all
        others have answered that their logs are empty too, so that a
        replica that lost its disk does not create a second log.
        """
        while True:
            if self._wants_to_join():
                others = self._others()
                replies = await asyncio.gather(
                    *(self._present(peer) for peer in others.values())
                )
                if self._rendezvous.creates and self._is_empty():
                    self._create(others, replies)
            await asyncio.sleep(_INTERVAL_S)

    def _others(self) -> dict[str, Peer]:
        return {
            name: peer
            for name, peer in self._rendezvous.replicas_by_name.items()
            if name != self._own_name
        }

    def _create(
        self,
        others: dict[str, Peer],
        replies: list[messages.JoinReply | None],
    ) -> None:
        voters = [self._own_member()]
        for (name, peer), reply in zip(others.items(), replies):
            if reply is None or reply.initialised:
                return
            voters.append(
                messages.Member(reply.identity, name, peer.address, peer.port)
            )
        LOG.info('creating the log for {} replicas', len(voters))
        self._create_log(messages.Configuration(tuple(voters)))

    async def _present(self, peer: Peer) -> messages.JoinReply | None:
        member = self._own_member()
        envelope = messages.Envelope(
            member.id, ids.ReplicaId(''), 0, messages.Join(member)
        )
        try:
            body = await self._transport.call_raw(
                peer, PATH, wire.encode(envelope), self._timeout_s
            )
            reply = wire.decode(body, messages.Envelope).message
        except (peer_calls.PeerError, ValueError) as error:
            LOG.debug('cannot present this replica to {}: {}', peer, error)
            return None
        return reply if isinstance(reply, messages.JoinReply) else None
