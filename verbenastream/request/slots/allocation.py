"""Choice of the entry and the target that get the next free slot."""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

from verbenastream import ids

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenastream.request.slots import ledger
    from verbenastream.request.slots import messages


@dataclasses.dataclass(slots=True)
class Need:
    """Demand of one entry for one pool, as of its last report.

    ``outstanding`` is the number of grants sent since that report; they are
    taken off the demand because the entry has not seen them yet.
    """

    entry: ids.EntryId
    data_centre: str
    demand: messages.Demand
    reported_at: float
    short_taken: int = 0
    long_taken: int = 0


def order(
    needs: Iterable[Need], long: bool, now: float
) -> list[tuple[float, int, Need]]:
    """Return a heap with the head of each entry, oldest first."""
    heap: list[tuple[float, int, Need]] = []
    for number, need in enumerate(needs):
        since = next_since(need, long)
        if since is not None:
            heap.append((since, number, need))
    heapq.heapify(heap)
    return heap


def next_since(need: Need, long: bool) -> float | None:
    """Return since when the entry's next request waits, or None."""
    demand = need.demand
    heads = demand.long if long else demand.short
    count = demand.long_count if long else demand.short_count
    taken = need.long_taken if long else need.short_taken
    if taken >= count or not heads:
        return None
    head = heads[min(taken, len(heads) - 1)]
    return need.reported_at - head.age_s


def choose_target(
    targets: Iterable[tuple[ledger.TargetLedger, int]],
    data_centre: str,
    avoid: frozenset[ids.InstanceId],
) -> ledger.TargetLedger | None:
    """Return the target whose slot to grant, or None.

    ``targets`` pairs each target with the slots it may still give. A target
    in the entry's data centre saves two network hops for each use of the
    slot; among equals the one with most free slots spreads the load.
    """
    best = None
    best_rank = (False, False, 0)
    for target, free in targets:
        if free <= 0:
            continue
        rank = (
            target.record.id not in avoid,
            target.record.data_centre == data_centre,
            free,
        )
        if best is None or rank > best_rank:
            best = target
            best_rank = rank
    return best
