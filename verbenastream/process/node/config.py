"""Settings of one node of a deployment without separate control daemons."""

from __future__ import annotations

import msgspec

from verbenastream.process import settings


_MIN_VOTER_REMOVAL_DELAY_S = 2.0


class JobLimits(msgspec.Struct, frozen=True):
    """Times in seconds that bound leases and calls to the platform.

    ``max_hold_s`` is the longest lease that a worker accepts, and
    ``heartbeat_interval_s`` the time between its heartbeats. ``keep_s`` is
    how long a job can be queried after its end. For ``quiet_s`` a new leader
    does not change instances that its predecessor may have called the
    platform for. ``away_notice_s`` is how long a long-running task that does
    not run counts as away. ``catch_up_s`` is how long a replica may take
    until it holds what the others hold; then the next one may be lost.
    """

    max_hold_s: float = 4.0
    heartbeat_interval_s: float = 1.5
    keep_s: float = 150.0
    quiet_s: float = 3.0
    away_notice_s: float = 4.5
    catch_up_s: float = 12.0

    @property
    def voter_removal_delay_s(self) -> float:
        """After how long without an answer a surplus voter is removed.

        While it counts, the loss of one more may take the majority, so that
        it is half of the time in which none is lost. A voter that is paused
        for less than two seconds stays.
        """
        return max(_MIN_VOTER_REMOVAL_DELAY_S, self.catch_up_s / 2)


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of one node.

    A node with a ``data_folder`` is a replica of the log. ``seeds`` are the
    peer listeners of some nodes. In a new deployment the first seed in sorted
    order collects the replicas with ``bootstrap`` set as initial members.
    """

    name: str
    data_centre: str
    region: str
    peers: settings.Peer
    seeds: tuple[settings.Peer, ...]
    deployment: settings.Deployment
    data_folder: str | None = None
    bootstrap: bool = False
    tolerated_losses: int = 1
    limits: JobLimits = JobLimits()
    logging: settings.Logging = settings.Logging()

    def control_settings(self) -> settings.ControlSettings:
        """Return the settings of this node's replica of the log."""
        assert self.data_folder is not None
        return settings.ControlSettings(
            id=self.name,
            data_centre=self.data_centre,
            region=self.region,
            deployment=self.deployment,
            listener=settings.Listener(
                self.peers.address, self.peers.port, settings.TlsOff.OFF
            ),
            peer_tls=settings.TlsOff.OFF,
            data_folder=self.data_folder,
            replicas={},
            teams={},
            bootstrap=self.bootstrap,
        )
