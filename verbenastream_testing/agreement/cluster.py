"""Replicas, network and disks on virtual time."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import heapq
import random

from verbenastream import ids
from verbenastream.process import agreement
from verbenastream.process.agreement import messages
from verbenastream_testing.agreement import checks as invariants
from verbenastream_testing.agreement import replica as replicas


@dataclasses.dataclass(slots=True)
class Network:
    """Faults of the links; ``cuts`` holds one-way pairs of names."""

    cuts: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.001
    jitter_s: float = 0.002

    def heal(self) -> None:
        self.cuts.clear()
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_s = 0.001
        self.jitter_s = 0.002


class Cluster:
    """Runs replicas through the real core and the real storage code."""

    def __init__(
        self,
        rng: random.Random,
        size: int,
        make_variant: Callable[[], replicas.Variant] = replicas.Variant,
    ) -> None:
        self.rng = rng
        self.now = 0.0
        self.steps = 0
        self.network = Network()
        self.checks = invariants.Checks()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._names_by_identity: dict[ids.ReplicaId, str] = {}
        self._identities = 0
        self.replicas_by_name = {
            f'control-{number}': replicas.Replica(
                f'control-{number}', number, self, make_variant()
            )
            for number in range(1, size + 1)
        }

    def start(self) -> None:
        """Start all replicas and create the membership."""
        members = []
        for replica in self.replicas_by_name.values():
            replica.start()
            members.append(replica.member())
        first = next(iter(self.replicas_by_name.values()))
        first.bootstrap(agreement.Configuration(tuple(members)))

    def new_identity(self, name: str) -> ids.ReplicaId:
        self._identities += 1
        identity = ids.ReplicaId(f'{name}#{self._identities}')
        self._names_by_identity[identity] = name
        return identity

    def at(self, delay_s: float, work: Callable[[], None]) -> None:
        self.steps += 1
        heapq.heappush(self._queue, (self.now + delay_s, self.steps, work))

    def run_until(self, end: float) -> None:
        while self._queue and self._queue[0][0] <= end:
            self.now, _, work = heapq.heappop(self._queue)
            work()
        self.now = end

    # Network.

    def send(self, source: str, envelope: messages.Envelope) -> None:
        target = self._names_by_identity[envelope.recipient]
        rng = self.rng
        network = self.network
        is_request = isinstance(
            envelope.message,
            (
                messages.VoteRequest,
                messages.AppendRequest,
                messages.SnapshotRequest,
                messages.TimeoutNow,
            ),
        )
        if (source, target) in network.cuts or rng.random() < network.loss:
            if is_request and rng.random() < 0.5:
                delay = rng.uniform(0, 1.0)
                self.at(delay, self._failure(source, envelope))
            return
        copies = 2 if rng.random() < network.duplication else 1
        for _ in range(copies):
            delay = network.delay_s + rng.random() * network.jitter_s
            self.at(delay, self._delivery(target, envelope))

    def _delivery(
        self, target: str, envelope: messages.Envelope
    ) -> Callable[[], None]:
        return lambda: self.replicas_by_name[target].receive(envelope)

    def _failure(
        self, source: str, envelope: messages.Envelope
    ) -> Callable[[], None]:
        return lambda: self.replicas_by_name[source].note_lost(envelope)

    def reaches(self, source: str, target: str) -> bool:
        return (
            (source, target) not in self.network.cuts
            and (target, source) not in self.network.cuts
            and self.replicas_by_name[target].is_up
        )

    def leader(self) -> replicas.Replica | None:
        """The up replica that leads in the highest term."""
        found = [
            replica
            for replica in self.replicas_by_name.values()
            if replica.core is not None and replica.core.is_leader
        ]
        if not found:
            return None
        return max(found, key=lambda replica: replica.term)
