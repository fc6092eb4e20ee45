"""Size of the buffer that the pools of connected data centres share."""

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


class Group(msgspec.Struct):
    """Data centres whose pools can lend each other instances."""

    data_centres: set[ids.DataCentreId]
    pools: list[requirements.Requirement]


class Reserve(msgspec.Struct, frozen=True):
    """Idle instances to keep in a group.

    ``wanted`` is what the worst loss of one rack or data centre asks for,
    ``kept`` what there is of it, ``cause`` the loss that decides.
    """

    wanted: int
    kept: int
    free: int
    cause: str


def groups(
    required: Iterable[requirements.Requirement],
) -> list[Group]:
    """Return the connected groups of data centres, by shared documents."""
    found: list[Group] = []
    for requirement in required:
        joined = Group(set(requirement.data_centres), [requirement])
        separate = []
        for group in found:
            if group.data_centres & joined.data_centres:
                joined.data_centres |= group.data_centres
                joined.pools = group.pools + joined.pools
            else:
                separate.append(group)
        found = [*separate, joined]
    return found


def size(group: Group, index: planning_index.FleetIndex) -> Reserve:
    """Return the reserve of ``group``.

    The idle instances outside a lost rack have to replace what served in
    it. Outside a lost data centre they have to replace what the pools lack
    beyond the shortage that their remaining budgets pay for.
    """
    idle_by_rack = {
        rack: len(idle)
        for rack, idle in index.idle_by_rack.items()
        if rack.data_centre in group.data_centres
    }
    by_rack = _rack_losses(group, index)
    by_data_centre = _data_centre_losses(group, index)
    cause = 'no loss asks for a reserve'
    worst = 0
    # Sorted, so that equal losses name the same rack in every process.
    for rack, loss in sorted(by_rack.items()):
        if loss > worst:
            worst = loss
            cause = f'loss of rack {rack.rack} in {rack.data_centre}'
    for data_centre, loss in by_data_centre.items():
        if loss > worst:
            worst = loss
            cause = f'loss of data centre {data_centre}'
    if not worst:
        return Reserve(0, 0, sum(idle_by_rack.values()), cause)
    # Draining a spare instance takes up to its drain timeout, so at least
    # half of the reserve is idle.
    lent = min(worst // 2, _spare_headroom(group, index))
    kept, short = _fill(by_rack, by_data_centre, idle_by_rack, lent)
    return Reserve(
        wanted=kept + short,
        kept=kept,
        free=sum(idle_by_rack.values()) - kept,
        cause=cause,
    )


def _rack_losses(
    group: Group, index: planning_index.FleetIndex
) -> collections.Counter[planning_index.RackKey]:
    losses: collections.Counter[planning_index.RackKey] = collections.Counter()
    for requirement in group.pools:
        losses.update(index.serving_by_pool_rack[requirement.pool])
    return losses


def _data_centre_losses(
    group: Group, index: planning_index.FleetIndex
) -> dict[ids.DataCentreId, int]:
    losses: dict[ids.DataCentreId, float] = dict.fromkeys(
        sorted(group.data_centres), 0.0
    )
    for requirement in group.pools:
        counts = index.serving_by_pool_data_centre[requirement.pool]
        serving = sum(counts.values())
        for data_centre, number in counts.items():
            lack = requirement.need - (serving - number)
            if lack > 0:
                lack_unpaid = lack - requirement.tolerated_shortage
                losses[data_centre] += max(0.0, lack_unpaid)
    # The budget pays in fractions of an instance, a reserve is whole.
    return {key: int(loss + 1 - 1e-9) for key, loss in losses.items()}


def _spare_headroom(group: Group, index: planning_index.FleetIndex) -> int:
    """Return what the spare pools can give after the loss of a rack.

    A spare pool goes down to its commitment: its headroom either replaces
    what another pool lost or need not be replaced itself.
    """
    lent = 0
    for requirement in group.pools:
        if requirement.spare:
            serving = len(index.serving_by_pool[requirement.pool])
            headroom = min(serving, requirement.target) - requirement.need
            lent += max(0, headroom)
    return lent


def _fill(
    by_rack: Mapping[planning_index.RackKey, int],
    by_data_centre: Mapping[ids.DataCentreId, int],
    idle_by_rack: Mapping[planning_index.RackKey, int],
    lent: int,
) -> tuple[int, int]:
    """Pick idle instances rack by rack until every loss is covered.

    Returns how many were picked and how many are lacking. Racks whose loss
    takes the fewest serving instances come first. ``lent`` are instances
    that spare pools give on top.
    """
    left = {rack: number for rack, number in idle_by_rack.items() if number}
    order = sorted(left, key=lambda rack: (by_rack.get(rack, 0), rack))
    picked_by_rack: dict[planning_index.RackKey, int] = {}
    picked_by_data_centre: dict[ids.DataCentreId, int] = {}
    rack_bound = max(by_rack.values(), default=0)
    data_centre_bound = max(by_data_centre.values(), default=0)
    picked = 0
    data_centre_bound = max(0, data_centre_bound - lent)
    rack_bound = max(0, rack_bound - lent)
    while order and picked < max(rack_bound, data_centre_bound):
        for rack in list(order):
            if picked >= max(rack_bound, data_centre_bound):
                break
            picked += 1
            left[rack] -= 1
            if not left[rack]:
                order.remove(rack)
            inside = picked_by_rack.get(rack, 0) + 1
            picked_by_rack[rack] = inside
            rack_bound = max(rack_bound, by_rack.get(rack, 0) + inside - lent)
            centre = rack.data_centre
            inside = picked_by_data_centre.get(centre, 0) + 1
            picked_by_data_centre[centre] = inside
            lost = by_data_centre.get(centre, 0)
            if lost:
                data_centre_bound = max(
                    data_centre_bound, lost + inside - lent
                )
    bound = max(rack_bound, data_centre_bound)
    return picked, max(0, bound - picked)
