"""Messages between operators, the platform and the control process."""

from __future__ import annotations

import msgspec

from verbenastream import errors
from verbenastream import ids
from verbenastream.process.state import commands
from verbenastream.version.documents import schema
from verbenastream.version import planning


class LaggingEntry(msgspec.Struct, frozen=True):
    """An entry that has not applied the revision, and since how long."""

    entry: ids.EntryId
    seconds: float


class InForce(msgspec.Struct, frozen=True):
    """Which entries apply a revision, and whether it is in force.

    ``absent`` entries hold no lease, so they serve no requests.
    ``in_force_revision`` is the highest revision that this leader has seen
    in force, 0 if none yet.
    """

    service: ids.ServiceId
    revision: ids.Revision
    in_force: bool
    in_force_revision: ids.Revision
    acknowledged: tuple[ids.EntryId, ...]
    lagging: tuple[LaggingEntry, ...]
    absent: tuple[ids.EntryId, ...]


class DocumentReply(msgspec.Struct, frozen=True):
    """The current document of a service and its rollout status."""

    service: ids.ServiceId
    revision: ids.Revision
    submitted_at: float
    document: schema.Document
    status: InForce


class HistoryItem(msgspec.Struct, frozen=True):
    revision: ids.Revision
    index: ids.LogIndex
    submission: ids.SubmissionId
    submitted_at: float


class History(msgspec.Struct, frozen=True):
    """The stored revisions of a service, oldest first."""

    service: ids.ServiceId
    items: tuple[HistoryItem, ...]


class HistoryDocument(msgspec.Struct, frozen=True):
    """A stored revision with its document."""

    revision: ids.Revision
    submitted_at: float
    document: schema.Document


class EntryStatus(msgspec.Struct, frozen=True):
    id: ids.EntryId
    data_centre: ids.DataCentreId
    live: bool
    silent_s: float
    applied_index: ids.LogIndex
    lag: int


class PoolStatus(msgspec.Struct, frozen=True):
    """The pool of a service; ``needed`` does not include the headroom.

    ``explanation`` is None until the leader has made its first plan.
    """

    service: ids.ServiceId
    revision: ids.Revision
    in_force: bool
    needed: int
    instances_by_state: dict[str, int]
    explanation: planning.Explanation | None = None


class ReplicaSummary(msgspec.Struct, frozen=True):
    """The replica that answers, and how far the others lag behind.

    ``lag_by_name`` counts log records.
    """

    id: str
    role: str
    term: int
    applied_index: ids.LogIndex
    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    lag_by_name: dict[str, int] = {}


class Status(msgspec.Struct, frozen=True):
    """The state of the deployment as the leader sees it."""

    deployment: str
    replica: ReplicaSummary
    view_index: ids.LogIndex
    entry_epoch: ids.Epoch
    entries: tuple[EntryStatus, ...]
    pools: tuple[PoolStatus, ...]
    instances_by_state: dict[str, int]
    open_claims: int
    notices: tuple[planning.Notice, ...]
    moves_suspended: str | None = None


class Problem(msgspec.Struct, frozen=True):
    path: str
    found: str
    message: str
    remedy: str

    @classmethod
    def from_error(cls, problem: errors.Problem) -> Problem:
        return cls(
            problem.path, problem.found, problem.message, problem.remedy
        )


class Failure(msgspec.Struct, frozen=True):
    """Body of every error response to an operator."""

    kind: str
    message: str
    remedy: str
    problems: tuple[Problem, ...] = ()
    result: commands.SubmitResult | None = None


class NoticeRequest(msgspec.Struct, frozen=True):
    """Announces that the platform will take racks or instances down.

    ``in_s`` is the time until they go down and ``for_s`` how long they stay
    down, both in seconds. A rack is (data centre, rack).
    """

    id: str
    in_s: float
    for_s: float = 3_600.0
    racks: tuple[tuple[ids.DataCentreId, ids.RackId], ...] = ()
    instances: tuple[ids.InstanceId, ...] = ()


class NoticeReply(msgspec.Struct, frozen=True):
    """The instances that the notice affects."""

    id: str
    instances: tuple[ids.InstanceId, ...]
