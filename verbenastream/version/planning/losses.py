"""Detects lost instances from the presence reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from verbenastream import ids
from verbenastream.version import fleet

if TYPE_CHECKING:
    from verbenastream.version.planning import state as planning_state

# A larger simultaneous loss is more often caused by the isolation of the
# observer than real, so a second data centre must confirm it.
MAX_UNCONFIRMED_SHARE = 1 / 3

_EXPECTED_MISSING = frozenset(
    {fleet.InstanceState.LOST, fleet.InstanceState.IN_MAINTENANCE}
)


class Losses(msgspec.Struct, frozen=True):
    """Instances to mark as lost.

    If a loss is not confirmed, ``lost`` is empty, ``undecided`` contains the
    missing instances and ``suspended`` says why planning waits.
    """

    lost: tuple[ids.InstanceId, ...]
    undecided: frozenset[ids.InstanceId] = msgspec.field(
        default=frozenset(), name='doubted'
    )
    suspended: str | None = None


def detect(state: planning_state.FleetState) -> Losses:
    """Return the losses in ``state``.

    Instances that are lost already or in maintenance are not counted, as
    they are expected to be missing.
    """
    observer_count_by_id: dict[ids.InstanceId, int] = {}
    for view in state.presence_by_data_centre.values():
        for missing in view.missing:
            record = state.instances_by_id.get(missing)
            if record is not None and record.state not in _EXPECTED_MISSING:
                observer_count_by_id[missing] = (
                    observer_count_by_id.get(missing, 0) + 1
                )
    if not observer_count_by_id:
        return Losses(())
    expected_count = sum(
        1
        for record in state.instances_by_id.values()
        if record.state not in _EXPECTED_MISSING
    )
    missing_ids = sorted(observer_count_by_id)
    if len(missing_ids) <= expected_count * MAX_UNCONFIRMED_SHARE:
        return Losses(tuple(missing_ids))
    confirmed = tuple(
        key for key in missing_ids if observer_count_by_id[key] >= 2
    )
    unconfirmed = frozenset(missing_ids).difference(confirmed)
    if not unconfirmed:
        return Losses(confirmed)
    return Losses(
        (),
        frozenset(missing_ids),
        f'{len(missing_ids)} of {expected_count} instances are missing at '
        f'once and {len(unconfirmed)} of them in the view of one data centre '
        'only; moves wait until a second data centre confirms the loss',
    )
