"""Simulated replicas and their network on virtual time."""

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
    """Faults of the network.

    ``blocked_links`` holds pairs of the names of sender and recipient.
    """

    blocked_links: set[tuple[str, str]] = dataclasses.field(
        default_factory=set
    )
    loss_probability: float = 0.0
    duplication_probability: float = 0.0
    delay_s: float = 0.001
    jitter_s: float = 0.002

    def heal(self) -> None:
        self.blocked_links.clear()
        self.loss_probability = 0.0
        self.duplication_probability = 0.0
        self.delay_s = 0.001
        self.jitter_s = 0.002


class Cluster:
    """Runs replicas with the real Raft core and the real storage code."""

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
        self.checker = invariants.InvariantChecker()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._names_by_identity: dict[ids.ReplicaId, str] = {}
        self._identity_count = 0
        self.replicas_by_name = {
            f'control-{number}': replicas.Replica(
                f'control-{number}', number, self, make_variant()
            )
            for number in range(1, size + 1)
        }

    def start(self) -> None:
        """Start all replicas and bootstrap the first configuration."""
        members = []
        for replica in self.replicas_by_name.values():
            replica.start()
            members.append(replica.member())
        first = next(iter(self.replicas_by_name.values()))
        first.bootstrap(agreement.Configuration(tuple(members)))

    def new_identity(self, name: str) -> ids.ReplicaId:
        self._identity_count += 1
        identity = ids.ReplicaId(f'{name}#{self._identity_count}')
        self._names_by_identity[identity] = name
        return identity

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.steps += 1
        heapq.heappush(
            self._scheduled, (self.now + delay_s, self.steps, callback)
        )

    def run_until(self, end: float) -> None:
        while self._scheduled and self._scheduled[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._scheduled)
            callback()
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
        if (
            source,
            target,
        ) in network.blocked_links or rng.random() < network.loss_probability:
            if is_request and rng.random() < 0.5:
                delay = rng.uniform(0, 1.0)
                self.schedule(delay, self._make_send_failure(source, envelope))
            return
        copies = 2 if rng.random() < network.duplication_probability else 1
        for _ in range(copies):
            delay = network.delay_s + rng.random() * network.jitter_s
            self.schedule(delay, self._make_delivery(target, envelope))

    def _make_delivery(
        self, target: str, envelope: messages.Envelope
    ) -> Callable[[], None]:
        return lambda: self.replicas_by_name[target].receive(envelope)

    def _make_send_failure(
        self, source: str, envelope: messages.Envelope
    ) -> Callable[[], None]:
        return lambda: self.replicas_by_name[source].handle_send_failure(
            envelope
        )

    def can_reach(self, source: str, target: str) -> bool:
        return (
            (source, target) not in self.network.blocked_links
            and (target, source) not in self.network.blocked_links
            and self.replicas_by_name[target].is_up
        )

    def leader(self) -> replicas.Replica | None:
        """Return the running leader of the highest term."""
        leaders = [
            replica
            for replica in self.replicas_by_name.values()
            if replica.core is not None and replica.core.is_leader
        ]
        if not leaders:
            return None
        return max(leaders, key=lambda replica: replica.term)
