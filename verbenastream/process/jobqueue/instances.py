"""The instances that the platform lists, and the calls that change them."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

from verbenastream import ids


class InstanceState(enum.Enum):
    """What the platform says about an instance."""

    UP = 'up'
    MOVING = 'moving'
    UPKEEP = 'upkeep'
    DOWN = 'down'


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One row of the platform's list."""

    id: ids.InstanceId
    pool: ids.PoolId
    state: InstanceState
    data_centre: ids.DataCentreId
    rack: ids.RackId
    millicores: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All instances; ``asked_at`` is when the first page was asked for."""

    asked_at: float
    by_id: dict[ids.InstanceId, Instance]


class CallOutcome(enum.Enum):
    """How the platform answered a call that changes an instance."""

    DONE = 'done'
    # Not up, or its worker is leaving.
    BUSY = 'busy'
    # A later holder has called already.
    FENCED = 'fenced'
    NOT_IN_WAVE = 'not_in_wave'
    # No such instance, or the pool cannot take it.
    IMPOSSIBLE = 'impossible'
    # Too many calls; nothing was done.
    LIMITED = 'limited'
    # No answer: the call may have been executed.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """Who calls; ``fence`` grows with each leader."""

    name: str
    fence: int


class InstancePlatform(Protocol):
    """What the product needs of the platform's machines."""

    async def list_instances(self) -> Listing | None:
        """Return all instances, None if the platform does not answer."""
        ...

    async def upkeep(
        self, instance: ids.InstanceId, wave: int, holder: Holder
    ) -> CallOutcome:
        """Take ``instance`` down for ``wave``; repeating it is harmless."""
        ...

    async def move(
        self, instance: ids.InstanceId, pool: ids.PoolId, holder: Holder
    ) -> CallOutcome:
        """Move ``instance`` to ``pool``; repeating it is harmless."""
        ...
