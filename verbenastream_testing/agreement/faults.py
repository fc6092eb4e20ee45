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
    BLOCK_ONE_WAY = 'one way'
    MESSAGE_LOSS = 'loss'
    MESSAGE_DELAY = 'delay'
    MESSAGE_DUPLICATION = 'duplication'
    FULL_DISK = 'full disk'
    FAILED_SYNC = 'failed sync'
    SLOW_SYNC = 'slow sync'
    WIPE_DISK = 'replace'
    TRANSFER_LEADERSHIP = 'hand over'
    STALE_LEADER = 'stale leader'


class Injector:
    """Injects faults; at most one replica at a time has a wiped disk."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster
        self._rng = cluster.rng
        # A third of the schedules has slow disks throughout, so that crashes
        # hit writes that are not yet durable.
        self._sync_s = self._rng.choice((0.002, 0.002, 0.06))
        for replica in cluster.replicas_by_name.values():
            replica.sync_s = self._sync_s
        self._wiped: replicas.Replica | None = None
        self.stopped = False
        self.counts_by_fault: dict[Fault, int] = {}

    def inject(self, fault: Fault) -> None:
        if self.stopped:
            return
        self.counts_by_fault[fault] = self.counts_by_fault.get(fault, 0) + 1
        replica = self._choose_replica()
        match fault:
            case Fault.KILL:
                replica.kill(power_loss=self._rng.random() < 0.5)
                self._restart_later(replica)
            case Fault.CRASH_IN_WRITE:
                replica.disk.crash_after = self._rng.randint(1, 8)
                self._restart_later(replica)
            case Fault.POWER_LOSS_OF_ALL:
                for affected in self._cluster.replicas_by_name.values():
                    affected.kill(power_loss=True)
                    self._restart_later(affected)
            case Fault.FULL_DISK:
                replica.disk.full = True
                self._cluster.schedule(2.0, lambda: self._repair_disk(replica))
            case Fault.FAILED_SYNC:
                replica.disk.fsync_fails = True
                self._cluster.schedule(1.5, lambda: self._repair_disk(replica))
            case Fault.SLOW_SYNC:
                replica.sync_s = self._rng.uniform(0.05, 1.5)
                self._cluster.schedule(
                    2.0, lambda: self._restore_sync_speed(replica)
                )
            case Fault.WIPE_DISK:
                self._wipe_disk(replica)
            case Fault.TRANSFER_LEADERSHIP:
                replica.transfer_leadership()
            case Fault.STALE_LEADER:
                self._isolate_leader_gradually()
            case _:
                self._inject_network_fault(fault, replica)

    def _choose_replica(self) -> replicas.Replica:
        """Return a random replica, more often the leader.

        Most faults have the largest effect on the leader.
        """
        leader = self._cluster.leader()
        if leader is not None and self._rng.random() < 0.5:
            return leader
        return self._rng.choice(list(self._cluster.replicas_by_name.values()))

    def _restart_later(self, replica: replicas.Replica) -> None:
        self._cluster.schedule(self._rng.uniform(0.01, 1.5), replica.start)

    def _repair_disk(self, replica: replicas.Replica) -> None:
        """Clear disk faults; half of the failed processes are restarted."""
        replica.disk.full = False
        replica.disk.fsync_fails = False
        if replica.failed and self._rng.random() < 0.5:
            replica.kill(power_loss=self._rng.random() < 0.5)
        replica.start()

    def _restore_sync_speed(self, replica: replicas.Replica) -> None:
        replica.sync_s = self._sync_s

    def _inject_network_fault(
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
                    network.blocked_links.add((replica.name, name))
                    network.blocked_links.add((name, replica.name))
            case Fault.BLOCK_ONE_WAY:
                outgoing = self._rng.random() < 0.5
                for name in others:
                    pair = (replica.name, name)
                    network.blocked_links.add(pair if outgoing else pair[::-1])
            case Fault.MESSAGE_LOSS:
                network.loss_probability = self._rng.uniform(0.05, 0.4)
            case Fault.MESSAGE_DELAY:
                network.jitter_s = self._rng.uniform(0.05, 0.6)
            case Fault.MESSAGE_DUPLICATION:
                network.duplication_probability = self._rng.uniform(0.1, 0.5)
        self._cluster.schedule(self._rng.uniform(0.3, 3.0), network.heal)

    def _isolate_leader_gradually(self) -> None:
        """Block the leader from one follower, then from all replicas.

        The follower starts an election at about the time of the isolation,
        while the leader still holds its lease.
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
        network.blocked_links.add((leader.name, self._rng.choice(others)))

        def isolate() -> None:
            for name in others:
                network.blocked_links.add((leader.name, name))
                network.blocked_links.add((name, leader.name))

        self._cluster.schedule(self._rng.uniform(0.4, 1.0), isolate)
        self._cluster.schedule(2.5, network.heal)

    def _wipe_disk(self, replica: replicas.Replica) -> None:
        """Wipe a disk, sometimes another one right after its replacement."""
        if self._wiped is not None:
            return
        self._wiped = replica
        replica.wipe_disk()
        self._restart_later(replica)
        self._cluster.schedule(0.1, self._await_replacement)

    def _await_replacement(self) -> None:
        wiped = self._wiped
        if wiped is None or self.stopped:
            return
        if not self._is_voter(wiped):
            if not wiped.is_up:
                wiped.start()
            self._cluster.schedule(0.1, self._await_replacement)
            return
        self._wiped = None
        if self._rng.random() < 0.5:
            others = [
                replica
                for replica in self._cluster.replicas_by_name.values()
                if replica is not wiped
            ]
            self._wipe_disk(self._rng.choice(others))

    def _is_voter(self, replica: replicas.Replica) -> bool:
        """Return whether a committed configuration has it as a voter."""
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
            # A crash may have interrupted the recovery above.
            replica.start()
