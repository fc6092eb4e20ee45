"""Explains the sizes of pools and of the reserve to operators."""

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
    decisions: Sequence[str] = (),
    refusals: Sequence[str] = (),
) -> planning_plan.Explanation:
    """Return the explanation of the size of one pool after the plan."""
    summary = (
        f'the document commits {requirement.need}; headroom and the '
        f'loss of one rack ask for {requirement.target}'
    )
    if requirement.wanted > requirement.target:
        summary += f', lasting demand for {requirement.wanted}'
    return planning_plan.Explanation(
        need=requirement.need,
        target=requirement.target,
        serving=len(index.serving_by_pool[requirement.pool]),
        notes=(summary, *decisions),
        refused=tuple(refusals),
    )


def explain_reserve(
    group: reserve.DataCentreGroup, group_reserve: reserve.Reserve
) -> tuple[bool, str]:
    """Return whether the reserve is complete and a sentence about it."""
    data_centres = ', '.join(sorted(group.data_centres))
    return (
        group_reserve.kept >= group_reserve.wanted,
        f'{group_reserve.kept} of {group_reserve.wanted} shared reserve '
        f'instances in {data_centres}: {group_reserve.cause}',
    )
