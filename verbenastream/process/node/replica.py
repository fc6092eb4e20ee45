"""The replica of the log that a node with a disk carries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.process import clock
from verbenastream.process.node import messages

if TYPE_CHECKING:
    from verbenastream.process.control import replication
    from verbenastream.process.node import config as configs
    from verbenastream.process.node import directory as directories
    from verbenastream.process import settings


class FoundReplicas:
    """The replicas that a new one finds through the directory.

    The founder with the first name creates the membership; everyone else
    joins the log that exists.
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
        """The founders for the one that creates, else all known."""
        founders = self._directory.founders_by_name or {}
        if self.creates:
            return founders
        known = self._directory.replicas_by_name(clock.boot_time())
        return {**founders, **known}

    @property
    def creates(self) -> bool:
        """Whether this replica creates the first membership."""
        founders = self._directory.founders_by_name
        return (
            self._config.bootstrap
            and bool(founders)
            and self._config.name == min(founders or ())
        )


class NodeReplica:
    """Tells the directory and other nodes about the own replica, if any."""

    def __init__(
        self,
        config: configs.NodeSettings,
        replicator: replication.Replicator | None,
    ) -> None:
        self._config = config
        self._replicator = replicator

    @property
    def own_peer(self) -> settings.Peer | None:
        """Where the own replica listens, None without a disk."""
        return None if self._replicator is None else self._config.peers

    @property
    def term(self) -> int:
        """Term of the own replica, 0 without one."""
        return 0 if self._replicator is None else int(self._replicator.term)

    def update(self, directory: directories.Directory, now: float) -> None:
        """Take over the leader that the own replica follows."""
        replicator = self._replicator
        if replicator is None:
            return
        if replicator.is_leader:
            directory.note_leader(self._config.peers, self.term, now)
        elif replicator.leader is not None:
            directory.note_leader(replicator.leader, self.term, now)

    def hello(self) -> messages.Hello:
        """Return how this node introduces itself."""
        replicator = self._replicator
        if replicator is None:
            return messages.Hello(self._config.name)
        return messages.Hello(
            self._config.name,
            self._config.peers,
            initialised=replicator.status().durable > 0,
            bootstrap=self._config.bootstrap,
        )
