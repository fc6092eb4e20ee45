"""Faults that a schedule injects into a simulated cluster."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenastream_testing.agreement import cluster as clusters
    from verbenastream_testing.agreement import replica as replicas


class Fault(enum.Enum):
    KILL = 'kill'
    CRASH_IN_WRITE = 'crash in write'
    POWER_LOSS_OF_ALL = 'power loss of all'
    ISOLATE = 'isolate'
    ONE_WAY = 'one way'
    LOSS = 'loss'
    DELAY = 'delay'
    DUPLICATION = 'duplication'
    FULL_DISK = 'full disk'
    FAILED_SYNC = 'failed sync'
    SLOW_SYNC = 'slow sync'
    REPLACE = 'replace'
    HAND_OVER = 'hand over'
    STALE_LEADER = 'stale leader'


class Injector:
    """Applies faults; at most one disk is lost until it is replaced."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster
        self._rng = cluster.rng
        # Every third schedule has slow disks throughout, so that crashes
        # find writes that are not yet durable.
        self._sync_s = self._rng.choice((0.002, 0.002, 0.06))
        for replica in cluster.replicas_by_name.values():
            replica.sync_s = self._sync_s
        self._lost: replicas.Replica | None = None
        self.stopped = False
        self.counts_by_fault: dict[Fault, int] = {}

    def inject(self, fault: Fault) -> None:
        if self.stopped:
            return
        self.counts_by_fault[fault] = self.counts_by_fault.get(fault, 0) + 1
        replica = self._victim()
        match fault:
            case Fault.KILL:
                replica.kill(power_loss=self._rng.random() < 0.5)
                self._restart_later(replica)
            case Fault.CRASH_IN_WRITE:
                replica.disk.crash_after = self._rng.randint(1, 8)
                self._restart_later(replica)
            case Fault.POWER_LOSS_OF_ALL:
                for each in self._cluster.replicas_by_name.values():
                    each.kill(power_loss=True)
                    self._restart_later(each)
            case Fault.FULL_DISK:
                replica.disk.full = True
                self._cluster.at(2.0, lambda: self._repair_disk(replica))
            case Fault.FAILED_SYNC:
                replica.disk.failing = True
                self._cluster.at(1.5, lambda: self._repair_disk(replica))
            case Fault.SLOW_SYNC:
                replica.sync_s = self._rng.uniform(0.05, 1.5)
                self._cluster.at(2.0, lambda: self._speed_up(replica))
            case Fault.REPLACE:
                self._lose_disk(replica)
            case Fault.HAND_OVER:
                replica.hand_over()
            case Fault.STALE_LEADER:
                self._cut_off_slowly()
            case _:
                self._disturb_network(fault, replica)

    def _victim(self) -> replicas.Replica:
        """Any replica; more often the leader, where faults matter most."""
        leader = self._cluster.leader()
        if leader is not None and self._rng.random() < 0.5:
            return leader
        return self._rng.choice(list(self._cluster.replicas_by_name.values()))

    def _restart_later(self, replica: replicas.Replica) -> None:
        self._cluster.at(self._rng.uniform(0.01, 1.5), replica.start)

    def _repair_disk(self, replica: replicas.Replica) -> None:
        """Free the disk; a failed replica needs a restart by its operator."""
        replica.disk.full = False
        replica.disk.failing = False
        if replica.failed:
            replica.kill(power_loss=self._rng.random() < 0.5)
        replica.start()

    def _speed_up(self, replica: replicas.Replica) -> None:
        replica.sync_s = self._sync_s

    def _disturb_network(
        self, fault: Fault, replica: replicas.Replica
    ) -> None:
        network = self._cluster.network
        others = [
            name
            for name in self._cluster.replicas_by_name
            if name != replica.name
        ]
        match fault:
            case Fault.ISOLATE:
                for name in others:
                    network.cuts.add((replica.name, name))
                    network.cuts.add((name, replica.name))
            case Fault.ONE_WAY:
                outgoing = self._rng.random() < 0.5
                for name in others:
                    pair = (replica.name, name)
                    network.cuts.add(pair if outgoing else pair[::-1])
            case Fault.LOSS:
                network.loss = self._rng.uniform(0.05, 0.4)
            case Fault.DELAY:
                network.jitter_s = self._rng.uniform(0.05, 0.6)
            case Fault.DUPLICATION:
                network.duplication = self._rng.uniform(0.1, 0.5)
        self._cluster.at(self._rng.uniform(0.3, 3.0), network.heal)

    def _cut_off_slowly(self) -> None:
        """First one follower cannot hear the leader, then nobody can.

        The follower asks for votes at about the time of the second cut, when
        the leader still holds its lease.
        """
        leader = self._cluster.leader()
        if leader is None:
            return
        others = [
            name
            for name in self._cluster.replicas_by_name
            if name != leader.name
        ]
        network = self._cluster.network
        network.cuts.add((leader.name, self._rng.choice(others)))

        def isolate() -> None:
            for name in others:
                network.cuts.add((leader.name, name))
                network.cuts.add((name, leader.name))

        self._cluster.at(self._rng.uniform(0.4, 1.0), isolate)
        self._cluster.at(2.5, network.heal)

    def _lose_disk(self, replica: replicas.Replica) -> None:
        """Wipe one disk, and a second one right after the repair."""
        if self._lost is not None:
            return
        self._lost = replica
        replica.wipe()
        self._restart_later(replica)
        self._cluster.at(0.1, self._watch_replacement)

    def _watch_replacement(self) -> None:
        lost = self._lost
        if lost is None or self.stopped:
            return
        if not self._is_voter(lost):
            if not lost.is_up:
                lost.start()
            self._cluster.at(0.1, self._watch_replacement)
            return
        self._lost = None
        if self._rng.random() < 0.5:
            others = [
                replica
                for replica in self._cluster.replicas_by_name.values()
                if replica is not lost
            ]
            self._lose_disk(self._rng.choice(others))

    def _is_voter(self, replica: replicas.Replica) -> bool:
        """Whether a membership with the new identity is committed."""
        leader = self._cluster.leader()
        if leader is None or replica.core is None or leader.core is None:
            return False
        state = leader.core.state
        return (
            state.log.configuration_index <= state.commit
            and replica.core.state.identity in state.configuration.voter_ids
        )

    def heal(self) -> None:
        """End all faults and start every replica."""
        self.stopped = True
        self._cluster.network.heal()
        for replica in self._cluster.replicas_by_name.values():
            replica.disk.crash_after = None
            replica.sync_s = self._sync_s
            self._repair_disk(replica)
            # A recovery may itself have been interrupted by a crash.
            replica.start()
