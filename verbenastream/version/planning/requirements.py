"""What each pool needs and how large the shared reserve must be."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from verbenastream import ids
from verbenastream.version.planning import state as planning_state

if TYPE_CHECKING:
    from verbenastream.version.documents import schema

# A lost data centre is assumed to stay away for an hour, the longest
# partition between regions that the size in two years expects.
DATA_CENTRE_OUTAGE_S = 3_600.0


class Requirement(msgspec.Struct, frozen=True):
    """The sizes of one pool in instances.

    Capacity under ``need`` spends availability budget. ``target`` adds the
    headroom, so that the loss of one rack leaves ``need``.
    """

    pool: ids.PoolId
    service: ids.ServiceId
    data_centres: frozenset[ids.DataCentreId]
    need: int
    target: int
    spare: bool
    budget_left_s: float
    demand: bool = False

    @property
    def tolerated_shortage(self) -> float:
        """Instances that may lack for one data centre outage."""
        share = min(1.0, self.budget_left_s / DATA_CENTRE_OUTAGE_S)
        return self.need * max(0.0, share)


def budget_s(document: schema.Document) -> float:
    """Return the seconds of full unavailability allowed in 28 days."""
    return (1.0 - document.availability) * planning_state.BUDGET_PERIOD_S


def with_headroom(instances: float, headroom: float) -> int:
    # Without the margin 5 * 1.2 rounds up to 7.
    return math.ceil(instances * (1.0 + headroom) - 1e-9)


def requirement(
    document: schema.Document,
    demand: planning_state.Demand,
    spent: planning_state.BudgetSpent,
    racks: int,
    serving: int,
) -> Requirement:
    """Return the sizes of the pool of ``document``.

    ``racks`` is the number of racks in its data centres. The target is at
    least what leaves ``need`` after the loss of the fullest rack when the
    pool is spread evenly, and follows lasting demand with hysteresis.
    """
    need = document.instances
    target = max(need + 1, with_headroom(need, document.headroom))
    while racks > 1 and target - math.ceil(target / racks) < need:
        target += 1
    wanted = with_headroom(demand.lasting, document.headroom)
    follows = wanted > target
    if follows:
        target = wanted
    elif _keeps(document, demand, target, serving):
        follows = True
        target = serving
    return Requirement(
        pool=document.pool,
        service=ids.ServiceId(document.service),
        data_centres=frozenset(
            ids.DataCentreId(name) for name in document.data_centres
        ),
        need=need,
        target=target,
        spare=document.spare,
        budget_left_s=budget_s(document) - spent.total_s,
        demand=follows,
    )


def _keeps(
    document: schema.Document,
    demand: planning_state.Demand,
    target: int,
    serving: int,
) -> bool:
    """Whether a pool above target is not worth shrinking yet.

    An instance is given back only when the lasting demand has fallen by
    more than one and a half instances under what the pool holds: a demand
    that swings around a whole number would move an instance each time.
    """
    if serving <= target:
        return False
    return demand.lasting * (1.0 + document.headroom) > serving - 1.5
