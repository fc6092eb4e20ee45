"""Events that the Raft core takes and actions that it returns."""

from __future__ import annotations

import dataclasses

from verbenastream import ids
from verbenastream.process.agreement import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due at ``RaftCore.deadline``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message of another replica arrived."""

    envelope: messages.Envelope


@dataclasses.dataclass(frozen=True, slots=True)
class SendFailed:
    """A request got no reply; it may have been processed."""

    envelope: messages.Envelope


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """Commands to append as one batch, with ids for the answer."""

    payloads_by_id: dict[int, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequested:
    """A caller wants to read state that covers all answered calls."""

    id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Persisted:
    """All writes up to ``sequence`` are fsynced."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class StorageFailed:
    """A write failed; the replica may not acknowledge anything more."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The state machine's state after ``index``."""

    index: ids.LogIndex
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TransferRequested:
    """This replica stops; another one should lead."""


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequested:
    """``member`` has an empty log and wants to become a voter."""

    member: messages.Member


@dataclasses.dataclass(frozen=True, slots=True)
class Bootstrapped:
    """First membership of a new deployment, for an empty log only."""

    configuration: messages.Configuration


Event = (
    Tick
    | Received
    | SendFailed
    | Proposed
    | ReadRequested
    | Persisted
    | StorageFailed
    | SnapshotTaken
    | TransferRequested
    | JoinRequested
    | Bootstrapped
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another replica."""

    envelope: messages.Envelope


@dataclasses.dataclass(frozen=True, slots=True)
class Persist:
    """Write and fsync in order of ``sequence``, then report ``Persisted``.

    ``truncate_after`` drops all later entries first. With ``snapshot`` the
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
    """Replace the state machine's state; sent by the leader."""

    snapshot: messages.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """The command ``id`` is at ``index``; done when that is applied."""

    id: int
    index: ids.LogIndex
    term: ids.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """This replica does not lead; a command was not appended."""

    id: int
    leader: ids.ReplicaId | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReady:
    """State applied up to ``index`` may be read for the request ``id``."""

    id: int
    index: ids.LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class SteppedDown:
    """Commands appended but not applied have an unknown outcome."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Elected:
    """This replica leads from now on."""

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
