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
class Habit:
    """Share of reads, share of calls to the last replica, mean pause.

    A client that stays with its replica notices a leader that was replaced;
    one that does not stay finds the new leader early.
    """

    reads: float
    loyalty: float
    pause_s: float


HABITS = (
    Habit(reads=0.5, loyalty=0.8, pause_s=0.12),
    Habit(reads=0.2, loyalty=0.3, pause_s=0.06),
    Habit(reads=0.0, loyalty=0.6, pause_s=0.06),
    Habit(reads=1.0, loyalty=1.0, pause_s=0.04),
    Habit(reads=1.0, loyalty=0.9, pause_s=0.04),
)


class Client:
    """Writes and reads registers one at a time until it is stopped."""

    def __init__(
        self, cluster: clusters.Cluster, history: History, habit: Habit
    ) -> None:
        self._cluster = cluster
        self._history = history
        self._habit = habit
        self._replica: replicas.Replica | None = None
        self._current: linearizability.Operation | None = None
        self.stopped = False

    def start(self) -> None:
        self._pause()

    def _pause(self) -> None:
        rng = self._cluster.rng
        self._cluster.at(rng.uniform(0, 2 * self._habit.pause_s), self._call)

    def _choose(self) -> replicas.Replica | None:
        """Mostly the replica that answered last, sometimes any other."""
        rng = self._cluster.rng
        found = [
            replica
            for replica in self._cluster.replicas_by_name.values()
            if replica.is_up
        ]
        if not found:
            return None
        if self._replica in found and rng.random() < self._habit.loyalty:
            return self._replica
        return rng.choice(found)

    def _call(self) -> None:
        if self.stopped:
            return
        replica = self._choose()
        if replica is None:
            self._pause()
            return
        self._replica = replica
        rng = self._cluster.rng
        id = self._history.new_id()
        operation = linearizability.Operation(
            id,
            rng.choice(_KEYS),
            rng.random() < self._habit.reads,
            id,
            self._cluster.now,
        )
        self._current = operation
        self._cluster.at(_TIMEOUT_S, lambda: self._time_out(operation))
        if operation.is_read:
            replica.read(id, lambda result: self._note(operation, result))
            return
        self._history.operations.append(operation)
        payload = invariants.encode_write(id, operation.key, id)
        replica.propose(
            {id: payload}, lambda result: self._note(operation, result)
        )

    def _time_out(self, operation: linearizability.Operation) -> None:
        if self._current is operation:
            self._history.unknown += 1
            self._next()

    def _note(
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
                operation.returned = self._cluster.now
                self._history.operations.append(operation)
                self._history.completed += 1
            case _:
                operation.returned = self._cluster.now
                self._history.completed += 1
        self._next()

    def _next(self) -> None:
        self._current = None
        self._pause()
