"""Events that the dispatcher of an entry receives from its driver."""

from __future__ import annotations

import dataclasses
import enum

from verbenastream import ids
from verbenastream.version.documents import schema
from verbenastream.version import fleet


@dataclasses.dataclass(frozen=True, slots=True)
class RequestInfo:
    """A request as the dispatcher sees it.

    ``deadline`` is a time of the dispatcher's clock, in seconds.
    """

    id: ids.RequestId
    service: ids.ServiceId
    operation: str
    customer: ids.CustomerId
    deadline: float
    work_class: schema.WorkClass
    idempotent: bool
    key: ids.IdempotencyKey | None = None


class FailureKind(enum.Enum):
    """Why an attempt failed."""

    CONNECT = 'connect'
    RESET = 'reset'
    TIMEOUT = 'timeout'
    TRUNCATED = 'truncated'
    STATUS = 'status'
    STALE_EPOCH = 'stale_epoch'
    # The grant expired before anything was sent.
    GRANT_EXPIRED = 'grant_expired'


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    request: RequestInfo


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCancelled:
    id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The status line arrived and is passed on, so no retry is possible."""

    id: ids.RequestId
    instance: ids.InstanceId
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """The whole answer arrived; ``seconds`` is the attempt's run time."""

    id: ids.RequestId
    instance: ids.InstanceId
    status: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt failed.

    ``bytes_sent`` tells whether any byte may have reached the target.
    """

    id: ids.RequestId
    instance: ids.InstanceId
    kind: FailureKind
    bytes_sent: bool
    answer_started: bool = False
    status: int | None = None
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TargetInfo:
    """A target that this entry may use, from the view and from presence.

    ``running_count`` is the number of requests that the target announced to
    run, ``age_s`` the time since that announcement. Without a newer event the
    count is taken as unchanged for the presence period.
    """

    record: fleet.InstanceRecord
    running_count: int
    leaving: bool
    suspected: bool
    age_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsChanged:
    """The complete set of targets; replaces the one before."""

    targets: tuple[TargetInfo, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentsChanged:
    documents: tuple[schema.Document, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesChanged:
    """The live entries of the region and the epoch of this entry set.

    ``leaving`` entries own no slots, but still get grants for their work.
    """

    epoch: ids.Epoch
    entries: tuple[ids.EntryId, ...]
    leaving: tuple[ids.EntryId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """A slot message from another entry (or from this one to itself)."""

    sender: ids.EntryId
    message: object


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseChanged:
    """The lease became valid or expired; without it, no work starts."""

    valid: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Runs what is due; sent at least every 20 ms while work waits."""


Event = (
    RequestArrived
    | RequestCancelled
    | AnswerStarted
    | AttemptCompleted
    | AttemptFailed
    | TargetsChanged
    | DocumentsChanged
    | EntriesChanged
    | PeerMessage
    | LeaseChanged
    | Tick
)
