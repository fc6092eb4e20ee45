"""Sentences on why a pool has what it has."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.version.planning import plan as planning_plan

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenastream.version.planning import index as planning_index
    from verbenastream.version.planning import requirements
    from verbenastream.version.planning import reserve


def explain(
    index: planning_index.FleetIndex,
    requirement: requirements.Requirement,
    notes: Sequence[str] = (),
    refused: Sequence[str] = (),
) -> planning_plan.Explanation:
    """Return the explanation of one pool after the plan."""
    size = (
        f'the document commits {requirement.need}; headroom and the '
        f'loss of one rack ask for {requirement.target}'
    )
    if requirement.wanted > requirement.target:
        size += f', lasting demand for {requirement.wanted}'
    return planning_plan.Explanation(
        need=requirement.need,
        target=requirement.target,
        serving=len(index.serving_by_pool[requirement.pool]),
        notes=(size, *notes),
        refused=tuple(refused),
    )


def explain_reserve(
    group: reserve.Group, size: reserve.Reserve
) -> tuple[bool, str]:
    """Return whether the reserve is complete, and a sentence on it."""
    places = ', '.join(sorted(group.data_centres))
    return (
        size.kept >= size.wanted,
        f'{size.kept} of {size.wanted} shared reserve instances in {places}: '
        f'{size.cause}',
    )
