"""Types of the lines of a trace, JSON objects sorted by ``at``.

``docs/traces.md`` describes the format. Times are seconds since the start of
the trace. A trace contains neither keys nor bodies of requests.
"""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids
from verbenastream.version import documents
from verbenastream.version import fleet

VERSION = 1


class Header(msgspec.Struct, frozen=True, tag='header'):
    """First line; ``started_at`` is the Unix time of the start."""

    deployment: str
    started_at: float
    process: str
    version: int = VERSION
    seed: int | None = None


class Arrival(msgspec.Struct, frozen=True, tag='arrival', omit_defaults=True):
    """A request; ``declared`` is its declared work class.

    ``run_s`` is the actual run time; a recorded trace has it only if the
    request ran, taken from the outcome. ``keyed`` is true if the caller sent
    an idempotency key.
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
    """The caller of a request disconnected."""

    at: float
    id: str


class Outcome(msgspec.Struct, frozen=True, tag='outcome', omit_defaults=True):
    """The outcome of a request, for reports on recorded traces.

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
    """An instance announced itself for the first time or after a restart."""

    at: float
    id: ids.InstanceId
    incarnation: ids.Incarnation
    data_centre: ids.DataCentreId
    rack: ids.RackId
    resources: fleet.Resources
    slots: int = 8
    connections: int = 64


class InstanceChange(msgspec.Struct, frozen=True, tag='instance'):
    """A committed change; ``instance.reason`` shows whether it is a move."""

    at: float
    instance: fleet.InstanceRecord


class Domain(enum.Enum):
    """Failure domains that a failure or notice can affect."""

    INSTANCE = 'instance'
    RACK = 'rack'
    DATA_CENTRE = 'data_centre'
    ENTRY = 'entry'
    CONTROL = 'control'


class Failure(msgspec.Struct, frozen=True, tag='failure'):
    """A domain fails at ``at`` and returns at ``until``, None for never."""

    at: float
    domain: Domain
    name: str
    until: float | None


class Maintenance(msgspec.Struct, frozen=True, tag='maintenance'):
    """The platform takes a domain down at ``deadline`` for ``seconds``."""

    at: float
    domain: Domain
    name: str
    deadline: float
    seconds: float


class Submission(msgspec.Struct, frozen=True, tag='submission'):
    """An operator submits a document based on ``base_revision``."""

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
