"""Choice of the entry and the target that get the next free slot."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from verbenastream import ids

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenastream.request.slots import messages


# Waiting times that differ by less than the larger of the two bounds count
# as equal: moving a slot to another entry takes two network hops.
_MIN_WAIT_DIFFERENCE_S = 0.03
_MIN_WAIT_DIFFERENCE_RATIO = 0.5
# An entry with work that failed on the target ranks as if its request were
# this much younger, so that slots of other targets are preferred for it.
_FAILED_TARGET_PENALTY_S = 0.2


@dataclasses.dataclass(slots=True)
class EntryDemand:
    """Demand of one entry for one pool, as of its last report.

    ``short_granted`` and ``long_granted`` count the grants that the report
    does not reflect yet; they are subtracted from the demand.
    """

    entry: ids.EntryId
    data_centre: str
    demand: messages.Demand
    reported_at: float
    short_granted: int = 0
    long_granted: int = 0


def next_waiting_since(
    entry_demand: EntryDemand, long_lane: bool
) -> float | None:
    """Return the time since which the next request waits, or None."""
    demand = entry_demand.demand
    heads = demand.long_heads if long_lane else demand.short_heads
    waiting_count = demand.long_count if long_lane else demand.short_count
    granted = (
        entry_demand.long_granted if long_lane else entry_demand.short_granted
    )
    if granted >= waiting_count or not heads:
        return None
    head = heads[min(granted, len(heads) - 1)]
    return entry_demand.reported_at - head.age_s


def wait_tolerance(oldest_s: float) -> float:
    """Return the difference in waiting time that counts as equal, in seconds.

    ``oldest_s`` is the waiting time of the oldest request.
    """
    return max(_MIN_WAIT_DIFFERENCE_S, _MIN_WAIT_DIFFERENCE_RATIO * oldest_s)


def choose_entry(
    entry_demands: Iterable[EntryDemand],
    long_lane: bool,
    instance: ids.InstanceId,
    data_centre: str,
    now: float,
) -> EntryDemand | None:
    """Return the entry that gets a free slot of the target, or None.

    The oldest request comes first. Among requests within the tolerance, one
    from the target's data centre is preferred: it saves two network hops,
    during which the slot would be idle, in this and each later use by the
    entry. Entries with work that failed on the target get a penalty.
    """
    oldest = None
    oldest_since = math.inf
    local = None
    local_since = math.inf
    for entry_demand in entry_demands:
        since = next_waiting_since(entry_demand, long_lane)
        if since is None:
            continue
        if instance in entry_demand.demand.failed_instances:
            since += _FAILED_TARGET_PENALTY_S
        if since < oldest_since:
            oldest = entry_demand
            oldest_since = since
        if since < local_since and entry_demand.data_centre == data_centre:
            local = entry_demand
            local_since = since
    if local is not None and (
        local_since <= oldest_since + wait_tolerance(now - oldest_since)
    ):
        return local
    return oldest


def oldest_waiting_since(
    entry_demands: Iterable[EntryDemand], long_lane: bool
) -> float | None:
    """Return the time since which a lane's oldest request waits, or None."""
    return min(
        (
            since
            for since in (
                next_waiting_since(entry_demand, long_lane)
                for entry_demand in entry_demands
            )
            if since is not None
        ),
        default=None,
    )
