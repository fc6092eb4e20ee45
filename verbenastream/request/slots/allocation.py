"""Choice of the entry and the target that get the next free slot."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from verbenastream import ids

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenastream.request.slots import messages


# Waiting times that differ by less, or by less than the share, count as
# equal: moving a slot between entries costs the time of two hops.
_TOLERANCE_S = 0.03
_TOLERANCE_SHARE = 0.5
# Other slots are waited for this long before one to avoid is granted.
_AVOID_S = 0.2


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


def tolerance(oldest_s: float) -> float:
    """Return the difference in seconds that is not worth moving a slot."""
    return max(_TOLERANCE_S, _TOLERANCE_SHARE * oldest_s)


def choose_need(
    needs: Iterable[Need],
    long: bool,
    instance: ids.InstanceId,
    data_centre: str,
    now: float,
) -> Need | None:
    """Return the entry that gets a free slot of the target, or None.

    The oldest request comes first. Among requests within the tolerance, one
    from the target's data centre saves two network hops, for which the slot
    would be idle, in this and each later use by the entry. Work that failed
    on the target goes last.
    """
    oldest = None
    oldest_since = math.inf
    near = None
    near_since = math.inf
    for need in needs:
        since = next_since(need, long)
        if since is None:
            continue
        if instance in need.demand.avoid:
            since += _AVOID_S
        if since < oldest_since:
            oldest = need
            oldest_since = since
        if since < near_since and need.data_centre == data_centre:
            near = need
            near_since = since
    if near is not None and (
        near_since <= oldest_since + tolerance(now - oldest_since)
    ):
        return near
    return oldest


def oldest_since(needs: Iterable[Need], long: bool) -> float | None:
    """Return since when the oldest request of a lane waits, or None."""
    return min(
        (
            since
            for since in (next_since(need, long) for need in needs)
            if since is not None
        ),
        default=None,
    )
