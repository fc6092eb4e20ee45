"""Lines of a trace: JSON objects with a type, in the order of ``at``.

``docs/traces.md`` describes the format. Times count in seconds from the start
of the trace. A trace holds neither keys nor bodies.
"""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids
from verbenastream.version import documents
from verbenastream.version import fleet

VERSION = 1


class Header(msgspec.Struct, frozen=True, tag='header'):
    """First line; ``started_at`` is the wall clock at the start."""

    deployment: str
    started_at: float
    process: str
    version: int = VERSION
    seed: int | None = None


class Arrival(msgspec.Struct, frozen=True, tag='arrival', omit_defaults=True):
    """A request; ``declared`` is its class, ``run_s`` its actual run time.

    A recorded trace has ``run_s`` only if the request ran; it is then taken
    from the outcome. ``keyed`` tells that the caller gave a key.
    """

    at: float
    id: str
    service: ids.ServiceId
    operation: str
    customer: ids.CustomerId
    declared: documents.WorkClass
    deadline_s: float
    run_s: float | None = None
    idempotent: bool = True
    keyed: bool = False
    body_bytes: int = 0


class Cancellation(msgspec.Struct, frozen=True, tag='cancellation'):
    """The caller of a request has gone."""

    at: float
    id: str


class Outcome(msgspec.Struct, frozen=True, tag='outcome', omit_defaults=True):
    """What became of a request, for reports from a recorded trace.

    ``cause`` is a value of ``reports.Cause`` for a bad request, None for a
    good one; ``wait_s`` is the time until its first attempt started.
    """

    at: float
    id: str
    service: ids.ServiceId
    outcome: str
    status: int
    wait_s: float
    run_s: float | None = None
    cause: str | None = None
    instance: ids.InstanceId | None = None
    long: bool = False


class Announced(msgspec.Struct, frozen=True, tag='announced'):
    """An instance was seen for the first time or with a new start."""

    at: float
    id: ids.InstanceId
    incarnation: ids.Incarnation
    data_centre: ids.DataCentreId
    rack: ids.RackId
    resources: fleet.Resources
    slots: int = 8
    connections: int = 64


class InstanceChange(msgspec.Struct, frozen=True, tag='instance'):
    """A committed change; ``instance.reason`` tells a move from other."""

    at: float
    instance: fleet.InstanceRecord


class Domain(enum.Enum):
    """Failure domain that a failure or notice covers."""

    INSTANCE = 'instance'
    RACK = 'rack'
    DATA_CENTRE = 'data_centre'
    ENTRY = 'entry'
    CONTROL = 'control'


class Failure(msgspec.Struct, frozen=True, tag='failure'):
    """A domain is lost at ``at`` and returns at ``until``, if ever."""

    at: float
    domain: Domain
    name: str
    until: float | None


class Maintenance(msgspec.Struct, frozen=True, tag='maintenance'):
    """The platform will take a domain at ``deadline``, for ``seconds``."""

    at: float
    domain: Domain
    name: str
    deadline: float
    seconds: float


class Submission(msgspec.Struct, frozen=True, tag='submission'):
    """An operator submits a document under a base revision."""

    at: float
    id: ids.SubmissionId
    base_revision: ids.Revision
    document: documents.Document


Event = (
    Arrival
    | Cancellation
    | Outcome
    | Announced
    | InstanceChange
    | Failure
    | Maintenance
    | Submission
)
Line = Header | Event
