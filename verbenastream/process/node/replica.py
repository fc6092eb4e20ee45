"""The log replica of a node with a data folder, seen by the other parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.process import clock
from verbenastream.process.node import messages

if TYPE_CHECKING:
    from verbenastream.process.control import replication
    from verbenastream.process.node import config as configs
    from verbenastream.process.node import directory as directories
    from verbenastream.process import settings


class DiscoveredReplicas:
    """The replicas that a new replica discovers through the directory.

    The founder whose name sorts first creates the initial membership; all
    other replicas join the existing log.
    """

    def __init__(
        self,
        config: configs.NodeSettings,
        directory: directories.Directory,
    ) -> None:
        self._config = config
        self._directory = directory

    @property
    def replicas_by_name(self) -> dict[str, settings.Peer]:
        """The founders for the creating replica, else all known replicas."""
        founders = self._directory.founders_by_name or {}
        if self.may_create_log:
            return founders
        replicas = self._directory.replicas_by_name(clock.boot_time())
        return {**founders, **replicas}

    @property
    def may_create_log(self) -> bool:
        """Whether this replica creates the initial membership."""
        founders = self._directory.founders_by_name
        return (
            self._config.bootstrap
            and bool(founders)
            and self._config.name == min(founders or ())
        )


class LocalReplica:
    """Reports the local replica, if any, to the directory and other nodes."""

    def __init__(
        self,
        config: configs.NodeSettings,
        replicator: replication.Replicator | None,
    ) -> None:
        self._config = config
        self._replicator = replicator

    @property
    def own_peer(self) -> settings.Peer | None:
        """Address of the local replica, None without a data folder."""
        return None if self._replicator is None else self._config.peers

    @property
    def term(self) -> int:
        """Term of the local replica, 0 without one."""
        return 0 if self._replicator is None else int(self._replicator.term)

    def update(self, directory: directories.Directory, now: float) -> None:
        """Update the directory with the leader that the replica follows.

        A replica without a leader, for instance one that cannot store, keeps
        the leader that other nodes report, but never itself.
        """
        replicator = self._replicator
        if replicator is None:
            return
        if replicator.is_leader:
            directory.update_leader(self._config.peers, self.term, now)
        elif replicator.leader is not None:
            directory.update_leader(replicator.leader, self.term, now)
        else:
            directory.forget_leader(self._config.peers)

    def hello(self) -> messages.Hello:
        """Return the hello message of this node."""
        replicator = self._replicator
        if replicator is None or not replicator.is_open:
            return messages.Hello(self._config.name)
        return messages.Hello(
            self._config.name,
            self._config.peers,
            initialised=replicator.status().durable > 0,
            bootstrap=self._config.bootstrap,
        )
