"""Types of the service-level burn report."""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids


class EventKind(enum.Enum):
    """Kinds of fleet events."""

    LOSS = 'loss'
    MAINTENANCE = 'maintenance'
    MOVE = 'move'
    OVERLOAD = 'overload'


class FleetEvent(msgspec.Struct, frozen=True):
    """An event that may have caused bad requests; times are Unix time.

    ``until`` is None until the event ends. ``name`` is its description in the
    report, for instance ``rack mx-1-rack-2 lost``.
    """

    kind: EventKind
    name: str
    at: float
    until: float | None
    services: tuple[ids.ServiceId, ...]
    instances: tuple[ids.InstanceId, ...] = ()

    def ended_at(self) -> float:
        """Return the end, infinity for an event that has not ended."""
        return float('inf') if self.until is None else self.until

    def label(self) -> str:
        """Return the name followed by up to three of its instances."""
        if not self.instances:
            return self.name
        shown = ', '.join(self.instances[:3])
        more = len(self.instances) - 3
        if more > 0:
            shown += f' and {more} more'
        return f'{self.name} ({shown})'


class WindowBurn(msgspec.Struct, frozen=True):
    """Burn rate over the last ``seconds``; rate 1 spends exactly the budget.

    The rate is None if there are bad requests and the commitment is 100%,
    which has no budget.
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
    """Counts of the hour that starts at ``at``, for the charts."""

    at: float
    good: int
    bad_by_cause: dict[str, int]


class ServiceBurn(msgspec.Struct, frozen=True):
    """Budget of one service; a ``spent`` of 1 is the whole budget.

    ``spent`` is None if a service without budget has bad requests.
    ``exhausted_in_s`` is None if the recent rate spends nothing.
    ``short_wait_*`` are waits of short requests for a slot, None without any.
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
    """Costs of the fleet: buffers, moves and the latest roll-out.

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
    """All services and the fleet at the Unix time ``generated_at``."""

    generated_at: float
    recorded_s: float
    services: tuple[ServiceBurn, ...]
    fleet: FleetFigures
