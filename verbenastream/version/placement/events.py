"""Events that the placement core handles."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.version import fleet
from verbenastream.version.placement import jobs


class WorkerJoined(msgspec.Struct, frozen=True):
    """A worker joined, changed or is reachable again."""

    record: fleet.InstanceRecord


class WorkerLeft(msgspec.Struct, frozen=True):
    """A worker accepts no new jobs; its tasks continue."""

    instance: ids.InstanceId


class WorkerUnreachable(msgspec.Struct, frozen=True):
    """A worker does not answer; its tasks may continue."""

    instance: ids.InstanceId


class Submitted(msgspec.Struct, frozen=True):
    """A job was submitted."""

    job: jobs.Job


class Cancelled(msgspec.Struct, frozen=True):
    """Jobs were cancelled; unknown jobs are ignored."""

    jobs: tuple[ids.JobId, ...]


class Started(msgspec.Struct, frozen=True):
    """A worker confirmed the start of a task."""

    lease: ids.LeaseId


class Ended(msgspec.Struct, frozen=True):
    """The worker no longer runs the task of the lease.

    The worker repeats this report until it is acknowledged.
    """

    lease: ids.LeaseId
    instance: ids.InstanceId
    result: jobs.Result
    peak: jobs.Usage | None = None


class Fenced(msgspec.Struct, frozen=True):
    """The platform ensured that the task of the lease never runs again."""

    lease: ids.LeaseId


class UsageReported(msgspec.Struct, frozen=True):
    """Usage by lease, measured at ``at``; the report renews these leases."""

    instance: ids.InstanceId
    at: float
    usage_by_lease: dict[ids.LeaseId, jobs.Usage]


class QuotaChanged(msgspec.Struct, frozen=True):
    """The quota of a team was set or changed."""

    team: ids.TeamId
    quota: fleet.Resources


class Tick(msgspec.Struct, frozen=True):
    """Time has passed; sent about every 0.1 s."""


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
