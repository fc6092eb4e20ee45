"""Events that the Raft core handles and actions that it returns."""

from __future__ import annotations

import dataclasses

from verbenastream import ids
from verbenastream.process.agreement import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """``RaftCore.deadline`` has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another replica arrived."""

    envelope: messages.Envelope


@dataclasses.dataclass(frozen=True, slots=True)
class SendFailed:
    """A request got no reply; it may have been processed."""

    envelope: messages.Envelope


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """Commands to append together; each id is answered by an action.

    The answer is ``Appended`` or ``Refused``.
    """

    payloads_by_id: dict[int, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequested:
    """A linearizable read: it must see every command answered before."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Persisted:
    """All writes up to ``sequence`` are fsynced."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class StorageFailed:
    """A write failed; until ``StorageRecovered`` nothing is acknowledged."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StorageRecovered:
    """The writes that failed are fsynced now; ``Persisted`` follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The state machine was serialised after applying ``index``."""

    index: ids.LogIndex
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TransferRequested:
    """This replica is stopping and should transfer leadership."""


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequested:
    """A replica that no leader serves asks to become a voter."""

    member: messages.Member


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveAnnounced:
    """A replica is about to stop, perhaps for good."""

    replica: ids.ReplicaId


@dataclasses.dataclass(frozen=True, slots=True)
class BootstrapRequested:
    """Request to set the first membership of a new deployment.

    It is ignored unless the log is empty.
    """

    configuration: messages.Configuration


Event = (
    Tick
    | MessageReceived
    | SendFailed
    | Proposed
    | ReadRequested
    | Persisted
    | StorageFailed
    | StorageRecovered
    | SnapshotTaken
    | TransferRequested
    | JoinRequested
    | LeaveAnnounced
    | BootstrapRequested
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another replica."""

    envelope: messages.Envelope


@dataclasses.dataclass(frozen=True, slots=True)
class Persist:
    """Write and fsync in order of ``sequence``, then report ``Persisted``.

    Entries after ``truncate_after`` are dropped first. With ``snapshot`` the
    snapshot file is replaced; ``first_kept`` is the oldest entry that is
    still needed, or None when the snapshot replaces the whole log.
    """

    sequence: int
    term: ids.Term
    voted_for: ids.ReplicaId | None
    truncate_after: ids.LogIndex | None = None
    entries: tuple[messages.Entry, ...] = ()
    snapshot: messages.Snapshot | None = None
    first_kept: ids.LogIndex | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries to the state machine, in order."""

    entries: tuple[messages.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Restore:
    """Replace the state machine's state by the leader's snapshot."""

    snapshot: messages.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The command ``id`` was appended and is done once applied."""

    id: int
    index: ids.LogIndex
    term: ids.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The command or read ``id`` is refused: this replica does not lead."""

    id: int
    leader: ids.ReplicaId | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReady:
    """The read ``id`` may be answered from state applied up to ``index``."""

    id: int
    index: ids.LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class SteppedDown:
    """This replica no longer leads.

    The outcome of commands that were appended but not applied is unknown.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Elected:
    """This replica became the leader of ``term``."""

    term: ids.Term


Action = (
    Send
    | Persist
    | Apply
    | Restore
    | Appended
    | Refused
    | ReadReady
    | SteppedDown
    | Elected
)
