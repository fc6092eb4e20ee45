"""What a node knows of the replicas, their leader and the initial members."""

from __future__ import annotations

import dataclasses

from verbenastream.process.node import messages
from verbenastream.process import settings

# All replicas of a new deployment start within some tenths of a second; the
# start of an interpreter on a small instance takes up to a second.
_COLLECTION_QUIET_S = 1.0
# A replica is removed after this time without a hello message.
_REPLICA_EXPIRY_S = 20.0


@dataclasses.dataclass(slots=True)
class _Replica:
    peer: settings.Peer
    seen_at: float


class FounderCollector:
    """Collects the initial members of a new deployment at one seed.

    The collection is complete once no new replica has appeared for a second.
    It ends without a result when a replica reports an existing log, because
    a second initial membership would split the deployment.
    """

    def __init__(self) -> None:
        self._peers_by_name: dict[str, settings.Peer] = {}
        self._last_addition_at = 0.0
        self._log_exists = False

    def record(self, hello: messages.Hello, now: float) -> None:
        """Update the collection from a hello message."""
        if hello.replica is None:
            return
        if hello.initialised:
            self._log_exists = True
        elif hello.bootstrap and hello.name not in self._peers_by_name:
            self._peers_by_name[hello.name] = hello.replica
            self._last_addition_at = now

    def founders(self, now: float) -> dict[str, settings.Peer] | None:
        """Return the initial members once the collection is complete."""
        if self._log_exists or not self._peers_by_name:
            return None
        if now < self._last_addition_at + _COLLECTION_QUIET_S:
            return None
        return dict(self._peers_by_name)


class Directory:
    """The replicas and the leader that this node knows of.

    ::

        directory.record_reply(reply, now)
        peer = directory.leader
    """

    def __init__(
        self, own_peer: settings.Peer, seeds: tuple[settings.Peer, ...]
    ) -> None:
        self.own_peer = own_peer
        self.seeds = seeds
        self.founder_collector = FounderCollector()
        self.founders_by_name: dict[str, settings.Peer] | None = None
        self.leader: settings.Peer | None = None
        self.leader_confirmed_at = float('-inf')
        self._term = 0
        self._replicas_by_name: dict[str, _Replica] = {}

    @property
    def leader_term(self) -> int:
        """Term of the latest known leader, 0 before the first."""
        return self._term

    @property
    def collects_founders(self) -> bool:
        """Whether this node collects the initial members."""
        first = min(
            self.seeds,
            key=lambda seed: (seed.address, seed.port),
            default=None,
        )
        return first == self.own_peer

    def replicas_by_name(self, now: float) -> dict[str, settings.Peer]:
        """Return the replicas that were seen recently."""
        return {
            name: replica.peer
            for name, replica in self._replicas_by_name.items()
            if replica.seen_at + _REPLICA_EXPIRY_S >= now
        }

    def record_hello(self, hello: messages.Hello, now: float) -> None:
        """Update the directory from a hello message that was received."""
        if hello.replica is not None:
            self._replicas_by_name[hello.name] = _Replica(hello.replica, now)
        self.founder_collector.record(hello, now)

    def record_reply(
        self, sender: settings.Peer, reply: messages.HelloReply, now: float
    ) -> None:
        """Update the directory from the reply of ``sender`` to a hello."""
        for name, peer in reply.replicas_by_name.items():
            known = self._replicas_by_name.get(name)
            if known is None or known.peer != peer:
                self._replicas_by_name[name] = _Replica(peer, now)
        if reply.founders_by_name is not None:
            self.founders_by_name = reply.founders_by_name
        if reply.leader is None:
            if sender == self.leader:
                self.leader = None
            return
        if reply.term >= self._term:
            self._term = reply.term
            self.leader = reply.leader
            if reply.leader == sender:
                self.leader_confirmed_at = now

    def update_leader(
        self, leader: settings.Peer | None, term: int, now: float
    ) -> None:
        """Update the leader from the state of the local replica."""
        if leader is not None and term >= self._term:
            self._term = term
            self.leader = leader
            self.leader_confirmed_at = now

    def forget_leader(self, peer: settings.Peer) -> None:
        """Forget the leader if it is ``peer``.

        Called when a call of it failed or when it does not lead any more.
        """
        if peer == self.leader:
            self.leader = None
            self.leader_confirmed_at = float('-inf')

    def nodes_to_contact(self, now: float) -> list[settings.Peer]:
        """Return the leader, or all known nodes while it is unknown."""
        if self.leader is not None:
            return [self.leader]
        return self.all_nodes(now)

    def all_nodes(self, now: float) -> list[settings.Peer]:
        """Return the seeds and all known replicas except this node."""
        peers = list(self.seeds)
        for peer in self.replicas_by_name(now).values():
            if peer not in peers:
                peers.append(peer)
        return [peer for peer in peers if peer != self.own_peer]
