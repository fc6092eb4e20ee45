"""Simulated clients that record the history of their calls."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream.process import agreement
from verbenastream.process.agreement import events
from verbenastream_testing.agreement import checks as invariants
from verbenastream_testing.agreement import linearizability

if TYPE_CHECKING:
    from verbenastream_testing.agreement import cluster as clusters
    from verbenastream_testing.agreement import replica as replicas

_KEYS = ('a', 'b', 'c', 'd')
_TIMEOUT_S = 2.0


class History:
    """All operations whose effect a client may have seen or caused."""

    def __init__(self) -> None:
        self.operations: list[linearizability.Operation] = []
        self.completed = 0
        self.unknown = 0
        self._last_id = 0

    def new_id(self) -> int:
        self._last_id += 1
        return self._last_id


@dataclasses.dataclass(frozen=True, slots=True)
class ClientProfile:
    """How a simulated client chooses its operations and replicas.

    A client that keeps calling the same replica detects stale reads of a
    replaced leader; one that switches finds the new leader early.
    """

    read_share: float
    same_replica_share: float
    mean_pause_s: float


CLIENT_PROFILES = (
    ClientProfile(read_share=0.5, same_replica_share=0.8, mean_pause_s=0.12),
    ClientProfile(read_share=0.2, same_replica_share=0.3, mean_pause_s=0.06),
    ClientProfile(read_share=0.0, same_replica_share=0.6, mean_pause_s=0.06),
    ClientProfile(read_share=1.0, same_replica_share=1.0, mean_pause_s=0.04),
    ClientProfile(read_share=1.0, same_replica_share=0.9, mean_pause_s=0.04),
)


class Client:
    """Reads and writes registers, one call at a time, until it is stopped."""

    def __init__(
        self,
        cluster: clusters.Cluster,
        history: History,
        profile: ClientProfile,
    ) -> None:
        self._cluster = cluster
        self._history = history
        self._profile = profile
        self._replica: replicas.Replica | None = None
        self._current: linearizability.Operation | None = None
        self.stopped = False

    def start(self) -> None:
        self._schedule_call()

    def _schedule_call(self) -> None:
        rng = self._cluster.rng
        self._cluster.schedule(
            rng.uniform(0, 2 * self._profile.mean_pause_s), self._call
        )

    def _choose_replica(self) -> replicas.Replica | None:
        """Return the replica called last or a random running one, if any."""
        rng = self._cluster.rng
        running = [
            replica
            for replica in self._cluster.replicas_by_name.values()
            if replica.is_up
        ]
        if not running:
            return None
        if (
            self._replica in running
            and rng.random() < self._profile.same_replica_share
        ):
            return self._replica
        return rng.choice(running)

    def _call(self) -> None:
        if self.stopped:
            return
        replica = self._choose_replica()
        if replica is None:
            self._schedule_call()
            return
        self._replica = replica
        rng = self._cluster.rng
        id = self._history.new_id()
        operation = linearizability.Operation(
            id,
            rng.choice(_KEYS),
            rng.random() < self._profile.read_share,
            id,
            self._cluster.now,
        )
        self._current = operation
        self._cluster.schedule(_TIMEOUT_S, lambda: self._time_out(operation))
        if operation.is_read:
            replica.read(
                id, lambda result: self._handle_result(operation, result)
            )
            return
        self._history.operations.append(operation)
        payload = invariants.encode_write(id, operation.key, id)
        replica.propose(
            {id: payload},
            lambda result: self._handle_result(operation, result),
        )

    def _time_out(self, operation: linearizability.Operation) -> None:
        if self._current is operation:
            self._history.unknown += 1
            self._finish_call()

    def _handle_result(
        self, operation: linearizability.Operation, result: object
    ) -> None:
        if self._current is not operation:
            return
        match result:
            case events.Refused():
                # The command was not appended, so it never takes effect.
                if not operation.is_read:
                    self._history.operations.remove(operation)
                self._replica = None
            case agreement.OutcomeUnknownError():
                self._history.unknown += 1
                self._replica = None
            case dict():
                operation.value = result.get(operation.key, 0)
                operation.returned_at = self._cluster.now
                self._history.operations.append(operation)
                self._history.completed += 1
            case _:
                operation.returned_at = self._cluster.now
                self._history.completed += 1
        self._finish_call()

    def _finish_call(self) -> None:
        self._current = None
        self._schedule_call()
