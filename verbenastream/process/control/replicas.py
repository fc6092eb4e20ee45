"""What the control daemon needs of a replica."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import reactivex

    from verbenastream import ids
    from verbenastream.process.control import replication
    from verbenastream.process import settings


class Replica(Protocol):
    """Implemented by ``replication.Replicator``."""

    applied: reactivex.Subject[ids.LogIndex]

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    async def propose(self, payload: bytes) -> Any: ...

    async def read_barrier(self) -> ids.LogIndex: ...

    async def handle_message(self, body: bytes) -> bytes: ...

    @property
    def is_leader(self) -> bool: ...

    @property
    def term(self) -> ids.Term: ...

    @property
    def leader(self) -> settings.Peer | None: ...

    def status(self) -> replication.ReplicaStatus: ...
