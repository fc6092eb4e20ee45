"""A single in-memory replica for tests and benchmarks of the daemon."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import reactivex

from verbenastream.connection import peers
from verbenastream import ids
from verbenastream.process import agreement
from verbenastream.process.control import replica_status
from verbenastream.process.control import replication

if TYPE_CHECKING:
    from verbenastream.process import settings


class LocalReplicator:
    """Applies each command immediately; nothing is durable.

    Tests set ``leads`` and ``term`` to simulate a change of the leader.
    """

    def __init__(self, name: str, machine: replication.StateMachine) -> None:
        self.applied: reactivex.Subject[ids.LogIndex] = reactivex.Subject()
        self.leads = True
        self.term = ids.Term(1)
        self._name = name
        self._machine = machine
        self._index = 0

    async def start(self) -> None:
        """Nothing to start."""

    async def stop(self) -> None:
        self.leads = False

    async def propose(self, payload: bytes) -> Any:
        if not self.leads:
            raise peers.NotLeaderError(None)
        self._index += 1
        result = self._machine.apply(ids.LogIndex(self._index), payload)
        self.applied.on_next(ids.LogIndex(self._index))
        return result

    async def read_barrier(self) -> ids.LogIndex:
        if not self.leads:
            raise peers.NotLeaderError(None)
        return ids.LogIndex(self._index)

    async def handle_message(self, body: bytes) -> bytes:
        return b''

    @property
    def is_leader(self) -> bool:
        return self.leads

    @property
    def leader(self) -> settings.Peer | None:
        return None

    def status(self) -> replica_status.ReplicaStatus:
        index = ids.LogIndex(self._index)
        role = agreement.Role.LEADER if self.leads else agreement.Role.FOLLOWER
        return replica_status.ReplicaStatus(
            id=ids.ReplicaId(self._name),
            name=self._name,
            role=role,
            term=ids.Term(self.term),
            leader=self._name if self.leads else None,
            commit=index,
            applied=index,
            durable=index,
            first_index=ids.LogIndex(1),
            voters=(self._name,),
            learners=(),
            lag_by_name={},
            failure='',
        )
