"""Changes of instance records: announcements and transitions."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.process.state import commands
from verbenastream.version import fleet
from verbenastream.version import planning

_State = fleet.InstanceState


def apply_announcement(
    current: fleet.InstanceRecord | None,
    announcement: messages.Announcement,
    now: float,
) -> fleet.InstanceRecord | None:
    """Return the record after an announcement, or None if it changes nothing.

    An instance that starts again gets a new epoch. A serving one keeps its
    pool, and one in maintenance returns.
    """
    if current is None:
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
    if announcement.incarnation <= current.incarnation:
        return None
    record = msgspec.structs.replace(
        current,
        data_centre=announcement.data_centre,
        rack=announcement.rack,
        address=announcement.address,
        port=announcement.port,
        resources=announcement.resources,
        slots=announcement.slots,
        connections=announcement.connections,
        incarnation=announcement.incarnation,
        epoch=ids.Epoch(current.epoch + 1),
    )
    if current.state is not _State.IN_MAINTENANCE:
        return record
    return msgspec.structs.replace(
        record,
        state=_State.RETURNING,
        maintained_at=now,
        since=now,
        reason=planning.Reason.RETURNED.value,
    )


def apply_transition(
    current: fleet.InstanceRecord | None,
    change: planning.Transition,
    now: float,
) -> tuple[commands.TransitionVerdict, fleet.InstanceRecord | None]:
    """Return the verdict on a transition and the record after it.

    The record is None if the transition was refused.
    """
    if current is None:
        return commands.TransitionVerdict.UNKNOWN_INSTANCE, None
    change = msgspec.structs.replace(change, at=now)
    try:
        record = planning.apply_transition(current, change)
    except planning.StaleTransitionError:
        return commands.TransitionVerdict.STALE_EPOCH, None
    except planning.InvalidTransitionError:
        return commands.TransitionVerdict.NOT_ALLOWED, None
    return commands.TransitionVerdict.DONE, record
