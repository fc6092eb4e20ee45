"""Computes the size that each pool needs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from verbenastream import ids
from verbenastream.version.documents import schema
from verbenastream.version.planning import state as planning_state

if TYPE_CHECKING:
    from verbenastream.process.settings import schema as settings

# Assumed length of a data centre outage: the longest partition between
# regions that the deployment of two years from now is designed for.
DATA_CENTRE_OUTAGE_S = 3_600.0


class Requirement(msgspec.Struct, frozen=True):
    """Sizes of one pool, in instances.

    A pool below ``need``, its commitment, consumes availability budget.
    ``target`` adds the headroom, so that ``need`` remains after the loss of
    one rack. ``wanted`` exceeds ``target`` while lasting demand is higher.
    ``retention_reason`` explains why the pool keeps instances that the demand
    no longer requires.
    """

    pool: ids.PoolId
    document: schema.Document
    data_centres: frozenset[ids.DataCentreId]
    need: int
    target: int
    wanted: int
    spare: bool
    budget_left_s: float
    retention_reason: str | None = msgspec.field(default=None, name='held')

    @property
    def tolerated_shortage(self) -> float:
        """Missing instances that the budget allows for one outage."""
        share = min(1.0, self.budget_left_s / DATA_CENTRE_OUTAGE_S)
        return self.need * max(0.0, share)


class DemandHysteresis(msgspec.Struct, frozen=True):
    """Thresholds, in instances, for resizing a pool to its lasting demand.

    A pool grows when the demand exceeds its size by ``grow`` and releases an
    instance when the demand is ``shrink`` below its size.
    """

    grow: float
    shrink: float

    @classmethod
    def from_weights(cls, weights: settings.Weights) -> DemandHysteresis:
        """Return thresholds that widen with the weight of moves.

        With equal weights a pool releases an instance only when one and a
        half are unused. Otherwise a demand that oscillates around a whole
        number would move an instance each time.
        """
        moves = weights.moves
        return cls(
            grow=min(1.0, 0.5 * moves / max(weights.short_wait, 1e-9)),
            shrink=min(4.0, max(1.1, 1.5 * moves / max(weights.buffer, 1e-9))),
        )


def budget_s(document: schema.Document) -> float:
    """Return the seconds of full unavailability allowed in 28 days."""
    return (1.0 - document.availability) * planning_state.BUDGET_PERIOD_S


def with_headroom(instances: float, headroom: float) -> int:
    # Without the tolerance 50 * 1.1 would be rounded up to 56.
    return math.ceil(instances * (1.0 + headroom) - 1e-9)


def committed_target(document: schema.Document, racks: int) -> int:
    """Return the size that still meets the commitment after a rack loss.

    ``racks`` is the number of racks in the document's data centres. The pool
    is assumed to be spread evenly over them.
    """
    need = document.instances
    target = max(need + 1, with_headroom(need, document.headroom))
    while racks > 1 and target - math.ceil(target / racks) < need:
        target += 1
    return target


def compute_requirement(
    document: schema.Document,
    demand: planning_state.Demand,
    spent: planning_state.BudgetSpent,
    racks: int,
    serving: int,
    hysteresis: DemandHysteresis,
) -> Requirement:
    """Return the sizes of the pool of ``document``.

    ``serving`` is its current number of serving instances.
    """
    target = committed_target(document, racks)
    demanded = demand.lasting * (1.0 + document.headroom)
    wanted = target
    retention_reason = None
    if demanded > max(target, serving) + hysteresis.grow:
        wanted = math.ceil(demanded - 1e-9)
    elif serving > target and demanded > serving - hysteresis.shrink:
        wanted = serving
        retention_reason = (
            f'keeps {serving}: lasting demand asks for {demanded:.1f}, and a '
            'release pays for its move only when the demand is '
            f'{hysteresis.shrink:.1f} below that size'
        )
    elif demanded > target + hysteresis.grow:
        wanted = math.ceil(demanded - 1e-9)
    return Requirement(
        pool=document.pool,
        document=document,
        data_centres=frozenset(
            ids.DataCentreId(name) for name in document.data_centres
        ),
        need=document.instances,
        target=target,
        wanted=wanted,
        spare=document.spare,
        budget_left_s=budget_s(document) - spent.total_s,
        retention_reason=retention_reason,
    )
