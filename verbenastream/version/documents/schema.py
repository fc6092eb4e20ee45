"""Types of the service document of a team."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from verbenastream import ids

Name = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)]
KeyHash = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}$')]


class WorkClass(enum.Enum):
    """Expected size of a request, corrected by measured run times."""

    SHORT = 'short'
    LONG = 'long'


class DrainEscalation(enum.Enum):
    """How work that is still running after the drain timeout is handled."""

    WAIT = 'wait'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


class Weekday(enum.Enum):
    MONDAY = 'mon'
    TUESDAY = 'tue'
    WEDNESDAY = 'wed'
    THURSDAY = 'thu'
    FRIDAY = 'fri'
    SATURDAY = 'sat'
    SUNDAY = 'sun'


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pass


class MaintenanceWindow(_Strict, frozen=True):
    """A weekly period, in UTC, when instances may be taken out of service."""

    days: tuple[Weekday, ...]
    start_hour: Annotated[int, msgspec.Meta(ge=0, le=23)]
    hours: Annotated[int, msgspec.Meta(ge=1, le=24)]


class MaintenancePolicy(_Strict, frozen=True):
    windows: tuple[MaintenanceWindow, ...]
    max_unavailable: PositiveInt = 1
    drain_timeout_s: Seconds = 600.0
    escalation: DrainEscalation = DrainEscalation.WAIT


class Operation(_Strict, frozen=True):
    """One operation of a service and how its requests may be handled."""

    work_class: WorkClass = WorkClass.SHORT
    idempotent: bool = True
    deadline_s: Seconds = 30.0


class Customer(_Strict, frozen=True):
    """A customer and the SHA-256 of its key.

    ``weight`` sets its fair share.
    """

    key_sha256: KeyHash
    weight: PositiveInt = 1


class RequestLimits(_Strict, frozen=True):
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1)] = 16 * 2**20
    max_waiting: PositiveInt = 10_000
    retry_budget: Share = 0.1
    long_share: Share = 0.5


class Document(_Strict, frozen=True):
    """What one team asks for its service.

    ``instances`` is the capacity that the service needs, ``headroom`` the
    share kept on top, ``data_centres`` where it may run, ``availability`` the
    committed share of good requests over 28 days.
    """

    service: Name
    team: Name
    instances: PositiveInt
    data_centres: tuple[Name, ...]
    operations: dict[str, Operation]
    customers: dict[str, Customer]
    maintenance: MaintenancePolicy
    headroom: Share = 0.2
    availability: Share = 0.999
    spare: bool = False
    limits: RequestLimits = RequestLimits()

    @property
    def pool(self) -> ids.PoolId:
        return ids.PoolId(self.service)
