"""Combines committed instance records and presence into usable targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream.request import events
from verbenastream.version import fleet

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenastream import ids
    from verbenastream.process.membership import presence
    from verbenastream.process.membership import view as views


def usable_targets(
    view: views.EntryView,
    present_by_id: Mapping[ids.InstanceId, presence.TargetPresence],
) -> tuple[events.TargetInfo, ...]:
    """Return the targets that serve a pool and are present.

    A target that announces another epoch does not know its pool yet and is
    left out. A draining target is included as leaving, because its running
    work still counts.
    """
    usable = []
    for id, record in view.instances_by_id.items():
        presence = present_by_id.get(id)
        if presence is None or record.pool is None:
            continue
        draining = record.state is fleet.InstanceState.DRAINING
        serving = record.state is fleet.InstanceState.SERVING
        announced = presence.announcement
        if not draining and not (serving and announced.epoch == record.epoch):
            continue
        usable.append(
            events.TargetInfo(
                record,
                announced.running,
                draining or announced.leaving,
                presence.suspected,
            )
        )
    return tuple(usable)
