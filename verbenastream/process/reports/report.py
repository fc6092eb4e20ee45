"""Types of the service-level burn report."""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids


class EventKind(enum.Enum):
    """What happened to the fleet."""

    LOSS = 'loss'
    MAINTENANCE = 'maintenance'
    MOVE = 'move'
    OVERLOAD = 'overload'


class FleetEvent(msgspec.Struct, frozen=True):
    """Something that may have spent budget; times in wall-clock seconds.

    ``until`` is None while it lasts. ``name`` is what the reader knows it by,
    for instance ``rack mx-1-rack-2 lost``.
    """

    kind: EventKind
    name: str
    at: float
    until: float | None
    services: tuple[ids.ServiceId, ...]
    instances: tuple[ids.InstanceId, ...] = ()

    def ended_at(self) -> float:
        return float('inf') if self.until is None else self.until

    def label(self) -> str:
        """Return the name with its instances, at most three of them."""
        if not self.instances:
            return self.name
        shown = ', '.join(self.instances[:3])
        more = len(self.instances) - 3
        if more > 0:
            shown += f' and {more} more'
        return f'{self.name} ({shown})'


class WindowBurn(msgspec.Struct, frozen=True):
    """Burn rate over the last ``seconds``: 1 spends exactly the budget.

    None if bad requests meet a commitment of 100%, which has no budget.
    """

    name: str
    seconds: float
    good: int
    bad: int
    burn_rate: float | None


class CauseSpent(msgspec.Struct, frozen=True):
    """Bad requests of one cause, as a share of all bad requests."""

    cause: str
    bad: int
    share: float
    events: tuple[str, ...]


class HourCount(msgspec.Struct, frozen=True):
    """Counts of the hour from ``at``, for the plots."""

    at: float
    good: int
    bad_by_cause: dict[str, int]


class ServiceBurn(msgspec.Struct, frozen=True):
    """Budget of one service; ``spent`` is a share, 1 is all of it.

    ``spent`` is None for bad requests of a service without budget.
    ``exhausted_in_s`` is None when the recent rate spends nothing. Waits are
    those of short work for a slot, in seconds, None without any.
    """

    service: ids.ServiceId
    availability: float
    good: int
    bad: int
    budget_requests: float
    spent: float | None
    windows: tuple[WindowBurn, ...]
    exhausted_in_s: float | None
    causes: tuple[CauseSpent, ...]
    short_wait_p50_s: float | None
    short_wait_p99_s: float | None
    moves: int
    hours: tuple[HourCount, ...] = ()


class FleetFigures(msgspec.Struct, frozen=True):
    """What the fleet pays: buffers, moves and the latest roll-out.

    ``buffer_instances`` are held in reserve now; ``buffer_instance_hours``
    were held over the recorded time. ``rollout_s`` is the time from the
    acceptance of the latest document until it was in force.
    """

    instances: int = 0
    buffer_instances: float = 0.0
    buffer_instance_hours: float = 0.0
    moves: int = 0
    rollout_s: float | None = None


class BurnReport(msgspec.Struct, frozen=True):
    """All services and the fleet at ``generated_at`` (wall clock)."""

    generated_at: float
    recorded_s: float
    services: tuple[ServiceBurn, ...]
    fleet: FleetFigures
