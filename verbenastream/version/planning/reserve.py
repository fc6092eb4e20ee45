"""Computes the reserve that the pools of connected data centres share."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from verbenastream import ids

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from verbenastream.version.planning import index as planning_index
    from verbenastream.version.planning import requirements


class DataCentreGroup(msgspec.Struct):
    """Data centres that are connected by pools which span them.

    Their pools share one reserve and can lend each other instances.
    """

    data_centres: set[ids.DataCentreId]
    pools: list[requirements.Requirement]


class Reserve(msgspec.Struct, frozen=True):
    """Idle instances to keep in a group of data centres.

    ``wanted`` is the number of instances that the worst loss of one rack or
    data centre calls for, and ``cause`` describes that loss. ``kept`` is the
    number of idle instances held back for it, ``free`` the number of the
    other idle instances.
    """

    wanted: int
    kept: int
    free: int
    cause: str


def connected_groups(
    pool_requirements: Iterable[requirements.Requirement],
) -> list[DataCentreGroup]:
    """Return the connected groups of data centres.

    Two data centres are connected if one pool may use both.
    """
    merged_groups: list[DataCentreGroup] = []
    for requirement in pool_requirements:
        merged = DataCentreGroup(set(requirement.data_centres), [requirement])
        disjoint = []
        for group in merged_groups:
            if group.data_centres & merged.data_centres:
                merged.data_centres |= group.data_centres
                merged.pools = group.pools + merged.pools
            else:
                disjoint.append(group)
        merged_groups = [*disjoint, merged]
    return merged_groups


def compute_reserve(
    group: DataCentreGroup, index: planning_index.FleetIndex
) -> Reserve:
    """Return the reserve of ``group``.

    If a rack is lost, the idle instances elsewhere must replace those that
    served in it. If a data centre is lost, they must replace what its pools
    lack beyond the shortage that their remaining availability budgets allow.
    """
    idle_by_rack = {
        rack: len(idle)
        for rack, idle in index.idle_by_rack.items()
        if rack.data_centre in group.data_centres
    }
    loss_by_rack = _rack_losses(group, index)
    loss_by_data_centre = _data_centre_losses(group, index)
    cause = 'no loss asks for a reserve'
    worst = 0
    # Sorted so that ties select the same rack in every process.
    for rack, loss in sorted(loss_by_rack.items()):
        if loss > worst:
            worst = loss
            cause = f'loss of rack {rack.rack} in {rack.data_centre}'
    for data_centre, loss in loss_by_data_centre.items():
        if loss > worst:
            worst = loss
            cause = f'loss of data centre {data_centre}'
    if not worst:
        return Reserve(0, 0, sum(idle_by_rack.values()), cause)
    # Spare pools cover at most half of the reserve, because draining one of
    # their instances can take the whole drain timeout.
    spare_headroom = min(worst // 2, _spare_headroom(group, index))
    kept, missing = _select_idle(
        loss_by_rack, loss_by_data_centre, idle_by_rack, spare_headroom
    )
    return Reserve(
        wanted=kept + missing,
        kept=kept,
        free=sum(idle_by_rack.values()) - kept,
        cause=cause,
    )


def _rack_losses(
    group: DataCentreGroup, index: planning_index.FleetIndex
) -> collections.Counter[planning_index.RackKey]:
    losses: collections.Counter[planning_index.RackKey] = collections.Counter()
    for requirement in group.pools:
        losses.update(index.serving_by_pool_rack[requirement.pool])
    return losses


def _data_centre_losses(
    group: DataCentreGroup, index: planning_index.FleetIndex
) -> dict[ids.DataCentreId, int]:
    losses: dict[ids.DataCentreId, float] = dict.fromkeys(
        sorted(group.data_centres), 0.0
    )
    for requirement in group.pools:
        counts = index.serving_by_pool_data_centre[requirement.pool]
        serving = sum(counts.values())
        for data_centre, count in counts.items():
            shortage = requirement.need - (serving - count)
            if shortage > 0:
                uncovered = shortage - requirement.tolerated_shortage
                losses[data_centre] += max(0.0, uncovered)
    # Budgets cover fractions of an instance; the reserve is rounded up.
    return {key: int(loss + 1 - 1e-9) for key, loss in losses.items()}


def _spare_headroom(
    group: DataCentreGroup, index: planning_index.FleetIndex
) -> int:
    """Return the instances that spare pools can release after a rack loss.

    A spare pool may shrink to its commitment. Its headroom either replaces
    instances that another pool lost, or needs no replacement when lost itself.
    """
    spare_headroom = 0
    for requirement in group.pools:
        if requirement.spare:
            serving = len(index.serving_by_pool[requirement.pool])
            headroom = min(serving, requirement.target) - requirement.need
            spare_headroom += max(0, headroom)
    return spare_headroom


def _select_idle(
    loss_by_rack: Mapping[planning_index.RackKey, int],
    loss_by_data_centre: Mapping[ids.DataCentreId, int],
    idle_by_rack: Mapping[planning_index.RackKey, int],
    spare_headroom: int,
) -> tuple[int, int]:
    """Select idle instances, rack by rack, until every loss is covered.

    Returns how many were selected and how many are missing. Racks whose loss
    affects the fewest serving instances come first. ``spare_headroom`` is the
    number of instances that spare pools contribute. An idle instance in a
    rack or data centre does not help when that place is lost, so selecting it
    raises the number needed for that loss.
    """
    remaining_by_rack = {
        rack: count for rack, count in idle_by_rack.items() if count
    }
    order = sorted(
        remaining_by_rack, key=lambda rack: (loss_by_rack.get(rack, 0), rack)
    )
    selected_by_rack: dict[planning_index.RackKey, int] = {}
    selected_by_data_centre: dict[ids.DataCentreId, int] = {}
    needed_for_rack = max(loss_by_rack.values(), default=0)
    needed_for_data_centre = max(loss_by_data_centre.values(), default=0)
    selected = 0
    needed_for_data_centre = max(0, needed_for_data_centre - spare_headroom)
    needed_for_rack = max(0, needed_for_rack - spare_headroom)
    while order and selected < max(needed_for_rack, needed_for_data_centre):
        for rack in list(order):
            if selected >= max(needed_for_rack, needed_for_data_centre):
                break
            selected += 1
            remaining_by_rack[rack] -= 1
            if not remaining_by_rack[rack]:
                order.remove(rack)
            selected_here = selected_by_rack.get(rack, 0) + 1
            selected_by_rack[rack] = selected_here
            needed_for_rack = max(
                needed_for_rack,
                loss_by_rack.get(rack, 0) + selected_here - spare_headroom,
            )
            data_centre = rack.data_centre
            selected_here = selected_by_data_centre.get(data_centre, 0) + 1
            selected_by_data_centre[data_centre] = selected_here
            loss = loss_by_data_centre.get(data_centre, 0)
            if loss:
                needed_for_data_centre = max(
                    needed_for_data_centre,
                    loss + selected_here - spare_headroom,
                )
    needed = max(needed_for_rack, needed_for_data_centre)
    return selected, max(0, needed - selected)
