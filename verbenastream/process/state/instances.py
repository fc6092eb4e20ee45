"""Lifecycle of instances; each change is made under the current epoch."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.process.membership import messages
from verbenastream.process.state import commands
from verbenastream.version import fleet

_State = fleet.InstanceState

# A move is drain, release, assign: no pair leads from serving one pool to
# serving another without passing a state that has no pool.
_ALLOWED: dict[_State, frozenset[_State]] = {
    _State.ANNOUNCED: frozenset((_State.IDLE, _State.LOST)),
    _State.IDLE: frozenset(
        (_State.SERVING, _State.IN_MAINTENANCE, _State.LOST)
    ),
    _State.SERVING: frozenset((_State.DRAINING, _State.LOST)),
    _State.DRAINING: frozenset(
        (_State.SERVING, _State.IDLE, _State.IN_MAINTENANCE, _State.LOST)
    ),
    _State.IN_MAINTENANCE: frozenset((_State.RETURNING, _State.LOST)),
    _State.RETURNING: frozenset((_State.IDLE, _State.LOST)),
    _State.LOST: frozenset((_State.ANNOUNCED,)),
}
_WITH_POOL = frozenset((_State.SERVING, _State.DRAINING))


class Drain(msgspec.Struct, frozen=True):
    """Why and since when (log time) an instance drains."""

    instance: ids.InstanceId
    purpose: commands.DrainPurpose
    since: float


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
        )
    if announcement.incarnation < found.incarnation:
        return None
    restarted = announcement.incarnation > found.incarnation
    state = found.state
    maintained_at = found.maintained_at
    if state is _State.LOST:
        state = _State.ANNOUNCED
    elif restarted and state is _State.IN_MAINTENANCE:
        state = _State.RETURNING
        maintained_at = now
    if not restarted and state is found.state:
        return None
    return msgspec.structs.replace(
        found,
        data_centre=announcement.data_centre,
        rack=announcement.rack,
        address=announcement.address,
        port=announcement.port,
        resources=announcement.resources,
        slots=announcement.slots,
        connections=announcement.connections,
        incarnation=announcement.incarnation,
        state=state,
        maintained_at=maintained_at,
        epoch=ids.Epoch(found.epoch + 1),
    )


def transition(
    found: fleet.InstanceRecord | None, change: commands.Transition
) -> tuple[commands.TransitionVerdict, fleet.InstanceRecord | None]:
    """Return the verdict on a change and the record after it."""
    if found is None:
        return commands.TransitionVerdict.UNKNOWN_INSTANCE, None
    if change.expected_epoch != found.epoch:
        return commands.TransitionVerdict.STALE_EPOCH, None
    if not _is_allowed(found, change):
        return commands.TransitionVerdict.NOT_ALLOWED, None
    record = msgspec.structs.replace(
        found,
        state=change.state,
        pool=_pool_after(found, change),
        epoch=ids.Epoch(found.epoch + 1),
    )
    return commands.TransitionVerdict.DONE, record


def _is_allowed(
    found: fleet.InstanceRecord, change: commands.Transition
) -> bool:
    if change.state not in _ALLOWED[found.state]:
        return False
    if change.state not in _WITH_POOL:
        return True
    if found.state is _State.IDLE:
        return change.pool is not None
    return change.pool is None or change.pool == found.pool


def _pool_after(
    found: fleet.InstanceRecord, change: commands.Transition
) -> ids.PoolId | None:
    if change.state not in _WITH_POOL:
        return None
    if found.state is _State.IDLE:
        return change.pool
    return found.pool
