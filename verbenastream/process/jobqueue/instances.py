"""Interface to the platform that lists, moves and maintains instances."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
from typing import Protocol

from verbenastream import ids
from verbenastream.process.jobqueue import model


# A list may be this much older than the request for it, and does not show the
# effect of a call before.
LISTING_LAG_S = 0.5


class InstanceState(enum.Enum):
    """State of an instance as the platform reports it."""

    UP = 'up'
    MOVING = 'moving'
    MAINTENANCE = 'upkeep'
    DOWN = 'down'


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An instance as the platform lists it.

    ``capacity`` and ``labels`` are those of any worker on it. ``worker`` is
    the worker that runs on it, empty if none is known.
    """

    id: ids.InstanceId
    pool: ids.PoolId
    state: InstanceState
    data_centre: ids.DataCentreId
    rack: ids.RackId
    capacity: model.Resources
    labels: frozenset[str] = frozenset()
    worker: ids.WorkerId = ids.WorkerId('')


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All instances; ``requested_at`` is when the first page was requested.

    ``unreadable_ids`` are the instances whose rows could not be used. With
    ``has_unreadable_rows``, there were also rows that did not even tell whose
    they are, so that an instance that is missing may still exist.
    """

    requested_at: float
    by_id: dict[ids.InstanceId, Instance]
    has_unreadable_rows: bool = False
    unreadable_ids: frozenset[ids.InstanceId] = frozenset()

    @classmethod
    def from_rows(
        cls,
        requested_at: float,
        rows: Iterable[Instance],
        names_pool: Callable[[ids.PoolId], bool],
        has_unreadable_rows: bool = False,
        unreadable_ids: Iterable[ids.InstanceId] = (),
    ) -> Listing:
        """Return a list of the rows that can be used.

        A row with a pool that ``names_pool`` does not know is that of another
        writer and says nothing; another row of the same instance holds. If
        an instance has rows that differ, as it changed while the pages were
        read, none of them is evidence, and the instance counts as unreadable.
        """
        rows_by_id: dict[ids.InstanceId, set[Instance]] = {}
        unreadable = set(unreadable_ids)
        for row in rows:
            if names_pool(row.pool):
                rows_by_id.setdefault(row.id, set()).add(row)
            else:
                unreadable.add(row.id)
        by_id = {
            id: next(iter(found))
            for id, found in rows_by_id.items()
            if len(found) == 1
        }
        unreadable.update(rows_by_id)
        return cls(
            requested_at,
            by_id,
            has_unreadable_rows,
            frozenset(unreadable - by_id.keys()),
        )

    def may_include(self, id: ids.InstanceId) -> bool:
        """Whether the instance was listed, or may have been."""
        return (
            id in self.by_id
            or id in self.unreadable_ids
            or self.has_unreadable_rows
        )


class CallOutcome(enum.Enum):
    """Result of a call that changes an instance."""

    DONE = 'done'
    # The instance is not up, or its worker is shutting down.
    BUSY = 'busy'
    # A caller with a higher fencing token has already called.
    FENCED = 'fenced'
    NOT_IN_WAVE = 'not_in_wave'
    # The instance does not exist, or the pool cannot accept it.
    IMPOSSIBLE = 'impossible'
    # The rate limit was exceeded; the call had no effect.
    LIMITED = 'limited'
    # The caller's permission expired before the call was sent.
    NOT_SENT = 'not_sent'
    # No response arrived: the call may or may not have been executed.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class FencedCaller:
    """The calling leader; ``fence`` is its fencing token.

    Each new leader has a higher one, so the platform can reject late calls
    of an earlier leader. ``is_permitted`` tells whether the caller still
    leads; it is called right before a call is sent.
    """

    name: str
    fence: int
    is_permitted: Callable[[], bool] = lambda: True


class InstancePlatform(Protocol):
    """Operations that the job queue needs from the platform."""

    async def list_instances(
        self, names_pool: Callable[[ids.PoolId], bool]
    ) -> Listing | None:
        """Return all instances, None if the platform does not respond.

        Rows with a pool that ``names_pool`` does not know are not used.
        """
        ...

    async def start_maintenance(
        self, instance: ids.InstanceId, wave: int, caller: FencedCaller
    ) -> CallOutcome:
        """Take ``instance`` down for maintenance; the call is idempotent."""
        ...

    async def move(
        self, instance: ids.InstanceId, pool: ids.PoolId, caller: FencedCaller
    ) -> CallOutcome:
        """Move ``instance`` to ``pool``; the call is idempotent."""
        ...
