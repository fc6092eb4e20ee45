"""Events that the placement core handles."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.placement import jobs


class WorkerJoined(msgspec.Struct, frozen=True):
    """A worker is new, changed or reachable again."""

    record: fleet.InstanceRecord


class WorkerLeft(msgspec.Struct, frozen=True):
    """A worker takes no new work; its tasks go on."""

    instance: ids.InstanceId


class WorkerUnreachable(msgspec.Struct, frozen=True):
    """A worker does not answer; its tasks may go on."""

    instance: ids.InstanceId


class Submitted(msgspec.Struct, frozen=True):
    job: jobs.Job


class Cancelled(msgspec.Struct, frozen=True):
    """A wave of cancellations; unknown jobs are ignored."""

    jobs: tuple[ids.JobId, ...]


class Started(msgspec.Struct, frozen=True):
    lease: ids.LeaseId


class Ended(msgspec.Struct, frozen=True):
    """The worker no longer runs the lease, whatever it ran.

    The worker repeats it until it is acknowledged.
    """

    lease: ids.LeaseId
    instance: ids.InstanceId
    result: jobs.Result
    peak: jobs.Usage | None = None


class Fenced(msgspec.Struct, frozen=True):
    """The platform made sure that the lease does not run and never will."""

    lease: ids.LeaseId


class UsageReported(msgspec.Struct, frozen=True):
    """Usage by lease, measured at ``at``; it renews these leases."""

    instance: ids.InstanceId
    at: float
    usage_by_lease: dict[ids.LeaseId, jobs.Usage]


class QuotaChanged(msgspec.Struct, frozen=True):
    team: ids.TeamId
    quota: fleet.Resources


class Tick(msgspec.Struct, frozen=True):
    """Time passed; sent every 0.1 s or so."""


Event = (
    WorkerJoined
    | WorkerLeft
    | WorkerUnreachable
    | Submitted
    | Cancelled
    | Started
    | Ended
    | Fenced
    | UsageReported
    | QuotaChanged
    | Tick
)
