"""Choice of the instance that joins or leaves a pool."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version.planning import index as planning_index

if TYPE_CHECKING:
    from verbenastream.version.planning import requirements


def best_idle(
    index: planning_index.FleetIndex,
    requirement: requirements.Requirement,
    maintained_after: float = -math.inf,
) -> ids.InstanceId | None:
    """Return the idle instance that adds the least risk to the pool.

    It is in the rack, then in the data centre, that holds the fewest of the
    pool; of these a rack with an instance that served the pool before, so
    that a restart is no move, then the rack with the most idle instances,
    which keeps the reserve spread out. None if no data centre of the pool
    has one. Within the rack the last maintained is taken; racks without one
    maintained at or after ``maintained_after`` are left out.
    """
    in_pool = index.serving_by_pool_rack[requirement.pool]
    by_data_centre = index.serving_by_pool_data_centre[requirement.pool]
    former = {
        planning_index.rack_of(index.records_by_id[instance])
        for instance in index.idle_by_last_pool[requirement.pool]
    }
    candidates = [
        (
            in_pool[rack],
            by_data_centre[rack.data_centre],
            rack not in former,
            -len(idle),
            rack,
        )
        for rack, idle in index.idle_by_rack.items()
        if rack.data_centre in requirement.data_centres
        and any(
            index.records_by_id[instance].maintained_at >= maintained_after
            for instance in idle
        )
    ]
    if not candidates:
        return None
    return max(
        index.idle_by_rack[min(candidates)[-1]],
        key=lambda instance: (
            index.records_by_id[instance].last_pool == requirement.pool,
            index.records_by_id[instance].maintained_at,
            instance,
        ),
    )


def worst_serving(
    index: planning_index.FleetIndex,
    requirement: requirements.Requirement,
) -> ids.InstanceId:
    """Return the instance whose departure improves the spread the most.

    Instances outside the data centres of the document go first, then those
    of the fullest rack, then of the fullest data centre.
    """
    in_pool = index.serving_by_pool_rack[requirement.pool]
    by_data_centre = index.serving_by_pool_data_centre[requirement.pool]
    rack = max(
        in_pool,
        key=lambda rack: (
            rack.data_centre not in requirement.data_centres,
            in_pool[rack],
            by_data_centre[rack.data_centre],
            rack,
        ),
    )
    return min(
        instance
        for instance in index.serving_by_pool[requirement.pool]
        if index.records_by_id[instance].rack == rack.rack
        and index.records_by_id[instance].data_centre == rack.data_centre
    )


def exposed(
    index: planning_index.FleetIndex,
    requirement: requirements.Requirement,
) -> int:
    """Return how far the loss of the fullest rack takes the pool under need.

    Instances outside the data centres of the document count as exposed.
    """
    in_pool = index.serving_by_pool_rack[requirement.pool]
    serving = sum(in_pool.values())
    fullest = max(in_pool.values(), default=0)
    misplaced = sum(
        number
        for rack, number in in_pool.items()
        if rack.data_centre not in requirement.data_centres
    )
    return max(0, requirement.need - (serving - fullest)) + misplaced
