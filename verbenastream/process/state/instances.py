"""Lifecycle of instances; each change is made under the current epoch."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.process.state import commands
from verbenastream.version import fleet
from verbenastream.version import planning

_State = fleet.InstanceState


def announced(
    found: fleet.InstanceRecord | None,
    announcement: messages.Announcement,
    now: float,
) -> fleet.InstanceRecord | None:
    """Return the record after an announcement, or None if it changes nothing.

    A new start of a serving instance keeps its pool under a new epoch. An
    instance in maintenance returns with a new start.
    """
    if found is None:
        return fleet.InstanceRecord(
            id=announcement.id,
            data_centre=announcement.data_centre,
            rack=announcement.rack,
            address=announcement.address,
            port=announcement.port,
            resources=announcement.resources,
            slots=announcement.slots,
            connections=announcement.connections,
            epoch=ids.Epoch(1),
            incarnation=announcement.incarnation,
            maintained_at=now,
            since=now,
            reason=planning.Reason.ANNOUNCED.value,
        )
    if announcement.incarnation <= found.incarnation:
        return None
    record = msgspec.structs.replace(
        found,
        data_centre=announcement.data_centre,
        rack=announcement.rack,
        address=announcement.address,
        port=announcement.port,
        resources=announcement.resources,
        slots=announcement.slots,
        connections=announcement.connections,
        incarnation=announcement.incarnation,
        epoch=ids.Epoch(found.epoch + 1),
    )
    if found.state is not _State.IN_MAINTENANCE:
        return record
    return msgspec.structs.replace(
        record,
        state=_State.RETURNING,
        maintained_at=now,
        since=now,
        reason=planning.Reason.RETURNED.value,
    )


def transition(
    found: fleet.InstanceRecord | None, change: planning.Transition, now: float
) -> tuple[commands.TransitionVerdict, fleet.InstanceRecord | None]:
    """Return the verdict on a change and the record after it."""
    if found is None:
        return commands.TransitionVerdict.UNKNOWN_INSTANCE, None
    change = msgspec.structs.replace(change, at=now)
    try:
        record = planning.apply_transition(found, change)
    except planning.StaleTransitionError:
        return commands.TransitionVerdict.STALE_EPOCH, None
    except planning.InvalidTransitionError:
        return commands.TransitionVerdict.NOT_ALLOWED, None
    return commands.TransitionVerdict.DONE, record
