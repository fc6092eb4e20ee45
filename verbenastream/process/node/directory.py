"""What a node knows of the replicas, their leader and the first membership."""

from __future__ import annotations

import dataclasses

from verbenastream.process.node import messages
from verbenastream.process import settings

# All replicas of a new deployment start within some tenths of a second; the
# start of an interpreter on a small instance takes up to a second.
_FOUNDING_QUIET_S = 1.0
# A replica that has not introduced itself for this long is forgotten.
_FORGET_S = 20.0


@dataclasses.dataclass(slots=True)
class _Replica:
    peer: settings.Peer
    seen_at: float


class Founding:
    """Collects the replicas of a new deployment at one seed.

    The membership is complete once no new replica came for a second. After
    one replica reports a log the collection ends without a result: the
    deployment exists, and a second membership would split it.
    """

    def __init__(self) -> None:
        self._peers_by_name: dict[str, settings.Peer] = {}
        self._changed_at = 0.0
        self._ended = False

    def note(self, hello: messages.Hello, now: float) -> None:
        """Take over what a replica says of itself."""
        if hello.replica is None:
            return
        if hello.initialised:
            self._ended = True
        elif hello.bootstrap and hello.name not in self._peers_by_name:
            self._peers_by_name[hello.name] = hello.replica
            self._changed_at = now

    def result(self, now: float) -> dict[str, settings.Peer] | None:
        """Return the first membership once it is complete."""
        if self._ended or not self._peers_by_name:
            return None
        if now < self._changed_at + _FOUNDING_QUIET_S:
            return None
        return dict(self._peers_by_name)


class Directory:
    """Replicas and leader as far as this node has heard of them.

    ::

        directory.note_reply(reply, now)
        peer = directory.leader
    """

    def __init__(
        self, own_peer: settings.Peer, seeds: tuple[settings.Peer, ...]
    ) -> None:
        self.own_peer = own_peer
        self.seeds = seeds
        self.founding = Founding()
        self.founders_by_name: dict[str, settings.Peer] | None = None
        self.leader: settings.Peer | None = None
        self.leader_confirmed_at = float('-inf')
        self._term = 0
        self._replicas_by_name: dict[str, _Replica] = {}

    @property
    def collects(self) -> bool:
        """Whether this node collects the first membership."""
        first = min(
            self.seeds,
            key=lambda seed: (seed.address, seed.port),
            default=None,
        )
        return first == self.own_peer

    def replicas_by_name(self, now: float) -> dict[str, settings.Peer]:
        """Return the replicas that were heard of lately."""
        return {
            name: replica.peer
            for name, replica in self._replicas_by_name.items()
            if replica.seen_at + _FORGET_S >= now
        }

    def note_hello(self, hello: messages.Hello, now: float) -> None:
        """Learn from a node that introduces itself."""
        if hello.replica is not None:
            self._replicas_by_name[hello.name] = _Replica(hello.replica, now)
        self.founding.note(hello, now)

    def note_reply(
        self, sender: settings.Peer, reply: messages.HelloReply, now: float
    ) -> None:
        """Learn from the answer of ``sender`` to an introduction."""
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

    def note_leader(
        self, leader: settings.Peer | None, term: int, now: float
    ) -> None:
        """Take over what the own replica knows."""
        if leader is not None and term >= self._term:
            self._term = term
            self.leader = leader
            self.leader_confirmed_at = now

    def note_failure(self, peer: settings.Peer) -> None:
        """A call to ``peer`` failed; it may no longer lead."""
        if peer == self.leader:
            self.leader = None
            self.leader_confirmed_at = float('-inf')

    def targets(self, now: float) -> list[settings.Peer]:
        """Nodes to ask for the leader: the leader itself, or all known."""
        if self.leader is not None:
            return [self.leader]
        return self.everyone(now)

    def everyone(self, now: float) -> list[settings.Peer]:
        """Return the seeds and all replicas but this node."""
        found = list(self.seeds)
        for peer in self.replicas_by_name(now).values():
            if peer not in found:
                found.append(peer)
        return [peer for peer in found if peer != self.own_peer]
