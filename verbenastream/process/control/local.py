"""A single replica in memory, for tests and for checks of the API."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import TYPE_CHECKING

import reactivex

from verbenastream import ids

if TYPE_CHECKING:
    from verbenastream.process import settings


@dataclasses.dataclass(frozen=True, slots=True)
class LocalStatus:
    """The part of a replica's status that one replica has."""

    id: str
    role: str
    term: int
    applied_index: ids.LogIndex


class LocalReplicator:
    """Applies each command at once; nothing is durable."""

    def __init__(self, name: str, machine: Any) -> None:
        self.applied: reactivex.Subject[Any] = reactivex.Subject()
        self.leads = True
        self._name = name
        self._machine = machine
        self._index = 0

    async def start(self) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        self.leads = False

    async def propose(self, payload: bytes) -> Any:
        self._index += 1
        result = self._machine.apply(ids.LogIndex(self._index), payload)
        self.applied.on_next(ids.LogIndex(self._index))
        return result

    async def read_barrier(self) -> ids.LogIndex:
        return ids.LogIndex(self._index)

    async def handle_message(self, body: bytes) -> bytes:
        return b''

    @property
    def is_leader(self) -> bool:
        return self.leads

    @property
    def leader(self) -> settings.Peer | None:
        return None

    def status(self) -> LocalStatus:
        return LocalStatus(self._name, 'leader', 1, ids.LogIndex(self._index))
