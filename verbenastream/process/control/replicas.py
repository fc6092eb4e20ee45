"""The interface of a log replica that the control daemon uses."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import reactivex

    from verbenastream import ids
    from verbenastream.process.control import replica_status
    from verbenastream.process import settings


class Replica(Protocol):
    """A replica of the log, as ``replication.Replicator`` implements it."""

    applied: reactivex.Subject[ids.LogIndex]

    async def start(self) -> None:
        """Recover from the disk and join the replication of the log."""
        ...

    async def stop(self) -> None:
        """Hand leadership over, if held, and close."""
        ...

    async def propose(self, payload: bytes) -> Any:
        """Return the result of a command once it is committed."""
        ...

    async def read_barrier(self) -> ids.LogIndex:
        """Return an applied index that covers all completed commands."""
        ...

    async def handle_message(self, body: bytes) -> bytes:
        """Return the reply to a message of another replica."""
        ...

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and holds its lease."""
        ...

    @property
    def term(self) -> ids.Term:
        """Current term; 0 before the start."""
        ...

    @property
    def leader(self) -> settings.Peer | None:
        """Address of the leader as far as it is known."""
        ...

    def status(self) -> replica_status.ReplicaStatus:
        """Return the state of this replica."""
        ...
