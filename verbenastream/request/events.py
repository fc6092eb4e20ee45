"""Events that the dispatcher of an entry receives from its drivers."""

from __future__ import annotations

import dataclasses
import enum

from verbenastream import ids
from verbenastream.version.documents import schema
from verbenastream.version import fleet


@dataclasses.dataclass(frozen=True, slots=True)
class RequestInfo:
    """What the dispatcher knows of a request; ``deadline`` is monotonic."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    request: RequestInfo


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCancelled:
    id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The status line arrived and is being passed on; no retry any more."""

    id: ids.RequestId
    instance: ids.InstanceId
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """The whole answer arrived; ``seconds`` is the time at the target."""

    id: ids.RequestId
    instance: ids.InstanceId
    status: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """``bytes_sent`` tells whether any byte may have reached the target."""

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

    ``age_s`` is the time since the target announced ``running``. Without a
    newer event the count is taken as unchanged for the presence period.
    """

    record: fleet.InstanceRecord
    running: int
    leaving: bool
    suspected: bool
    age_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsChanged:
    """The whole set of usable targets by pool."""

    targets: tuple[TargetInfo, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentsChanged:
    documents: tuple[schema.Document, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Live entries of the region, under the epoch of the entry set."""

    epoch: ids.Epoch
    entries: tuple[ids.EntryId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """A slot message from another entry (or from this one to itself)."""

    sender: ids.EntryId
    message: object


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseChanged:
    """Whether this entry may send work; false after its lease expired."""

    valid: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent at least every 20 ms while work waits."""


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
