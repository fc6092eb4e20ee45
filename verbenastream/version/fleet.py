"""Types of the fleet: instances, their resources and their lifecycle."""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids


class InstanceState(enum.Enum):
    """Lifecycle state of an instance.

    Each transition is a committed command.
    """

    ANNOUNCED = 'announced'
    IDLE = 'idle'
    SERVING = 'serving'
    DRAINING = 'draining'
    IN_MAINTENANCE = 'in_maintenance'
    RETURNING = 'returning'
    LOST = 'lost'


class Resources(msgspec.Struct, frozen=True):
    """Capacity of a worker or the need of a job."""

    cores: float
    memory_gb: float
    accelerators: int = 0


class InstanceRecord(msgspec.Struct, frozen=True):
    """Committed state of one instance.

    ``pool`` is set only while ``state`` is serving or draining. ``epoch``
    increases with each committed change of the instance. ``since`` and
    ``reason`` are the time and the reason of the last transition.
    ``maintained_at`` is the end of its last maintenance, or the time at which
    it joined the fleet. ``last_pool`` is the pool that it served last.
    """

    id: ids.InstanceId
    data_centre: ids.DataCentreId
    rack: ids.RackId
    address: str
    port: int
    resources: Resources
    slots: int = 8
    connections: int = 64
    state: InstanceState = InstanceState.ANNOUNCED
    pool: ids.PoolId | None = None
    epoch: ids.Epoch = ids.Epoch(0)
    incarnation: ids.Incarnation = ids.Incarnation(0)
    maintained_at: float = 0.0
    since: float = 0.0
    reason: str = ''
    last_pool: ids.PoolId | None = None
