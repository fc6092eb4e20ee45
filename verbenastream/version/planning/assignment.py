"""Chooses the instances that join or leave a pool."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.version.planning import index as planning_index

if TYPE_CHECKING:
    from verbenastream.version.planning import requirements


def choose_idle_instance(
    index: planning_index.FleetIndex,
    requirement: requirements.Requirement,
    maintained_after: float = -math.inf,
) -> ids.InstanceId | None:
    """Return the idle instance that adds the least risk to the pool.

    Candidate racks are compared by these criteria, in this order: fewest
    serving instances of the pool in the rack, fewest in its data centre, an
    idle instance that served the pool last (so that a restart does not count
    as a move), and most idle instances, which keeps the reserve spread out.
    Within the rack the most recently maintained instance is preferred. Racks
    whose idle instances were all maintained before ``maintained_after`` are
    excluded. Returns None if no rack qualifies.
    """
    serving_by_rack = index.serving_by_pool_rack[requirement.pool]
    serving_by_data_centre = index.serving_by_pool_data_centre[
        requirement.pool
    ]
    former_racks = {
        planning_index.rack_of(index.records_by_id[instance])
        for instance in index.idle_by_last_pool[requirement.pool]
    }
    candidates = [
        (
            serving_by_rack[rack],
            serving_by_data_centre[rack.data_centre],
            rack not in former_racks,
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


def choose_instance_to_drain(
    index: planning_index.FleetIndex,
    requirement: requirements.Requirement,
) -> ids.InstanceId:
    """Return the instance whose removal improves the spread most.

    Instances outside the data centres of the document are chosen first, then
    those in the rack, and the data centre, with the most of the pool.
    """
    serving_by_rack = index.serving_by_pool_rack[requirement.pool]
    serving_by_data_centre = index.serving_by_pool_data_centre[
        requirement.pool
    ]
    rack = max(
        serving_by_rack,
        key=lambda rack: (
            rack.data_centre not in requirement.data_centres,
            serving_by_rack[rack],
            serving_by_data_centre[rack.data_centre],
            rack,
        ),
    )
    return min(
        instance
        for instance in index.serving_by_pool[requirement.pool]
        if index.records_by_id[instance].rack == rack.rack
        and index.records_by_id[instance].data_centre == rack.data_centre
    )


def rack_loss_deficit(
    index: planning_index.FleetIndex,
    requirement: requirements.Requirement,
) -> int:
    """Return the shortage after the loss of the rack with most of the pool.

    The shortage is counted in instances below the commitment. Instances
    outside the data centres of the document are added to it.
    """
    serving_by_rack = index.serving_by_pool_rack[requirement.pool]
    serving_count = sum(serving_by_rack.values())
    fullest_rack_count = max(serving_by_rack.values(), default=0)
    misplaced = sum(
        count
        for rack, count in serving_by_rack.items()
        if rack.data_centre not in requirement.data_centres
    )
    return (
        max(0, requirement.need - (serving_count - fullest_rack_count))
        + misplaced
    )
