"""Moves of instances that were planned and are not known to be complete."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from verbenastream.process.jobqueue import instances

if TYPE_CHECKING:
    from collections.abc import Collection

    from verbenastream import ids
    from verbenastream.process.jobqueue import dispatcher as dispatchers

# An instance counts towards its new pool for this long after the move call.
_MOVE_TIMEOUT_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A move of ``instance`` to ``pool``; ``worker`` currently runs on it."""

    instance: ids.InstanceId
    pool: ids.PoolId
    worker: ids.WorkerId | None


@dataclasses.dataclass(slots=True)
class _PendingMove:
    """A move that may be executed until ``settled_at`` at the latest."""

    move: Move
    planned_at: float
    settled_at: float


class PendingMoves:
    """Keeps the workers of moving instances closed until the move fails."""

    def __init__(
        self,
        dispatcher: dispatchers.Dispatcher,
        max_call_delay_s: float = 0.0,
    ) -> None:
        self._dispatcher = dispatcher
        # A call without an answer may be executed for this long.
        self._max_call_delay_s = max_call_delay_s
        self._pending_by_id: dict[ids.InstanceId, _PendingMove] = {}

    def __contains__(self, instance: ids.InstanceId) -> bool:
        """Whether ``instance`` is being moved."""
        return instance in self._pending_by_id

    def instance_ids(self) -> set[ids.InstanceId]:
        """Return the instances that are being moved."""
        return set(self._pending_by_id)

    def arriving(self, pool: ids.PoolId) -> set[ids.InstanceId]:
        """Return the instances that are being moved to ``pool``."""
        return {
            id
            for id, pending in self._pending_by_id.items()
            if pending.move.pool == pool
        }

    def add(self, move: Move, now: float) -> None:
        """Record a planned move.

        No task may start on the instance while the move is committed.
        """
        self._pending_by_id[move.instance] = _PendingMove(
            move, now, now + _MOVE_TIMEOUT_S
        )
        self._set_taken_down(move, True)

    def record_unanswered(self, instance: ids.InstanceId, now: float) -> None:
        """Record that nobody knows whether a move was executed."""
        pending = self._pending_by_id.get(instance)
        if pending is not None:
            pending.settled_at = max(
                pending.settled_at,
                now + self._max_call_delay_s + instances.LISTING_LAG_S,
            )

    def record_failed(self, instance: ids.InstanceId) -> None:
        """Record that a move was not executed; its worker gets tasks again."""
        pending = self._pending_by_id.pop(instance, None)
        if pending is not None:
            self._set_taken_down(pending.move, False)

    def _set_taken_down(self, move: Move, is_taken_down: bool) -> None:
        worker = self._dispatcher.find_worker(move.worker)
        if worker is not None:
            worker.is_being_taken_down = is_taken_down

    def drop_completed(
        self,
        listing: instances.Listing,
        spare_pools: Collection[ids.PoolId],
        now: float,
    ) -> None:
        """Remove the moves that are complete or have timed out.

        A move is complete when a worker of the new pool runs on the instance,
        or, for a spare pool, when the platform lists the instance there. It
        has failed when a list from after its time still shows the worker.
        """
        present = {
            (worker.heartbeat.instance, worker.pool)
            for worker in self._dispatcher.workers_by_id.values()
        }
        for id, pending in list(self._pending_by_id.items()):
            pool = pending.move.pool
            row = listing.by_id.get(id)
            is_in_spare_pool = (
                pool in spare_pools
                and row is not None
                and row.pool == pool
                and row.state is instances.InstanceState.UP
                and listing.requested_at > pending.planned_at
            )
            if is_in_spare_pool or (id, pool) in present:
                del self._pending_by_id[id]
            elif now > pending.settled_at:
                if row is None and listing.may_include(id):
                    continue
                if row is None or row.worker not in ('', pending.move.worker):
                    del self._pending_by_id[id]
                elif listing.requested_at > pending.settled_at:
                    self.record_failed(id)
