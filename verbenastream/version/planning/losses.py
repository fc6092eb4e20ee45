"""Decides from the presence pictures which instances are lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from verbenastream import ids
from verbenastream.version import fleet

if TYPE_CHECKING:
    from verbenastream.version.planning import state as planning_state

# A larger loss at once is more often the observer's own isolation than a
# real one; a second data centre has to see it too.
UNCONFIRMED_SHARE = 1 / 3

_AWAY = frozenset(
    {fleet.InstanceState.LOST, fleet.InstanceState.IN_MAINTENANCE}
)


class Losses(msgspec.Struct, frozen=True):
    """Instances to mark as lost, and why moves are suspended, or None.

    ``doubted`` are missing instances that nothing is decided about.
    """

    lost: tuple[ids.InstanceId, ...]
    doubted: frozenset[ids.InstanceId] = frozenset()
    suspended: str | None = None


def detect(state: planning_state.FleetState) -> Losses:
    """Return the losses in ``state``.

    Instances in maintenance are expected to be missing and not counted.
    """
    observers_by_id: dict[ids.InstanceId, int] = {}
    for picture in state.presence_by_data_centre.values():
        for missing in picture.missing:
            record = state.instances_by_id.get(missing)
            if record is not None and record.state not in _AWAY:
                observers_by_id[missing] = observers_by_id.get(missing, 0) + 1
    if not observers_by_id:
        return Losses(())
    known = sum(
        1
        for record in state.instances_by_id.values()
        if record.state not in _AWAY
    )
    missing_ids = sorted(observers_by_id)
    if len(missing_ids) <= known * UNCONFIRMED_SHARE:
        return Losses(tuple(missing_ids))
    confirmed = tuple(key for key in missing_ids if observers_by_id[key] >= 2)
    doubted = frozenset(missing_ids).difference(confirmed)
    if not doubted:
        return Losses(confirmed)
    return Losses(
        (),
        frozenset(missing_ids),
        f'{len(missing_ids)} of {known} instances are missing at once and '
        f'{len(doubted)} of them in the view of one data centre only; '
        'moves wait until a second data centre confirms the loss',
    )
