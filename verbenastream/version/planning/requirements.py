"""What each pool needs and how large the shared reserve must be."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from verbenastream import ids
from verbenastream.version.documents import schema
from verbenastream.version.planning import state as planning_state

if TYPE_CHECKING:
    from verbenastream.process.settings import schema as settings

# A lost data centre is assumed to stay away for an hour, the longest
# partition between regions that the size in two years expects.
DATA_CENTRE_OUTAGE_S = 3_600.0


class Requirement(msgspec.Struct, frozen=True):
    """The sizes of one pool in instances.

    Capacity under ``need`` spends availability budget. ``target`` adds the
    headroom, so that the loss of one rack leaves ``need``. ``wanted`` is
    above ``target`` while lasting demand asks for more, and ``held`` tells
    why the pool keeps what the demand no longer asks for.
    """

    pool: ids.PoolId
    document: schema.Document
    data_centres: frozenset[ids.DataCentreId]
    need: int
    target: int
    wanted: int
    spare: bool
    budget_left_s: float
    held: str | None = None

    @property
    def tolerated_shortage(self) -> float:
        """Instances that may lack for one data centre outage."""
        share = min(1.0, self.budget_left_s / DATA_CENTRE_OUTAGE_S)
        return self.need * max(0.0, share)


class Margins(msgspec.Struct, frozen=True):
    """Hysteresis of the demand that a pool follows, in instances.

    A pool grows when lasting demand is ``grow`` above its target and gives
    an instance back when it is ``shrink`` under what the pool holds.
    """

    grow: float
    shrink: float

    @classmethod
    def from_weights(cls, weights: settings.Weights) -> Margins:
        """Return margins that widen with the weight of moves.

        At equal weights a pool shrinks by an instance only when one and a
        half are unused: a demand that swings around a whole number would
        move an instance each time.
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
    # Without the margin 5 * 1.2 rounds up to 7.
    return math.ceil(instances * (1.0 + headroom) - 1e-9)


def committed_target(document: schema.Document, racks: int) -> int:
    """Return the size that leaves the commitment after a rack loss.

    ``racks`` is the number of racks in the document's data centres; the
    pool is taken as spread evenly over them.
    """
    need = document.instances
    target = max(need + 1, with_headroom(need, document.headroom))
    while racks > 1 and target - math.ceil(target / racks) < need:
        target += 1
    return target


def requirement(
    document: schema.Document,
    demand: planning_state.Demand,
    spent: planning_state.BudgetSpent,
    racks: int,
    serving: int,
    margins: Margins,
) -> Requirement:
    """Return the sizes of the pool of ``document``, now ``serving``."""
    target = committed_target(document, racks)
    asked = demand.lasting * (1.0 + document.headroom)
    wanted = target
    held = None
    if asked > max(target, serving) + margins.grow:
        wanted = math.ceil(asked - 1e-9)
    elif serving > target and asked > serving - margins.shrink:
        wanted = serving
        held = (
            f'keeps {serving}: lasting demand asks for {asked:.1f}, and a '
            f'release pays for its move only {margins.shrink:.1f} under that'
        )
    elif asked > target + margins.grow:
        wanted = math.ceil(asked - 1e-9)
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
        held=held,
    )
