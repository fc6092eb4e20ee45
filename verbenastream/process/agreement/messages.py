"""Log entries, membership and messages of the Raft protocol."""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids


class EntryKind(enum.Enum):
    """Kind of a log entry."""

    COMMAND = 'command'
    CONFIGURATION = 'configuration'
    # Appended by a new leader, because entries of earlier terms are
    # committed only together with an entry of the current term.
    NO_OP = 'no_op'


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A log entry; the payload of a configuration is JSON.

    The garbage collector does not track entries: they hold no references
    that could form a cycle, and a full collection over many of them took
    57 ms.
    """

    index: ids.LogIndex
    term: ids.Term
    kind: EntryKind
    payload: bytes


class Member(msgspec.Struct, frozen=True):
    """A member of the cluster; ``id`` is the identity of its data folder."""

    id: ids.ReplicaId
    name: str
    address: str
    port: int


class Configuration(msgspec.Struct, frozen=True):
    """Cluster membership: voters, and learners that only receive the log."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def voter_ids(self) -> frozenset[ids.ReplicaId]:
        """Ids of the voters."""
        return frozenset(member.id for member in self.voters)

    @property
    def majority(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def find(self, replica: ids.ReplicaId | None) -> Member | None:
        """Return the member with this id, None if there is none."""
        for member in self.members:
            if member.id == replica:
                return member
        return None


class Snapshot(msgspec.Struct, frozen=True):
    """State machine state after the entry at ``index``, which has ``term``."""

    index: ids.LogIndex
    term: ids.Term
    configuration: Configuration
    data: bytes


class VoteRequest(msgspec.Struct, frozen=True, tag='vote'):
    """Asks for a vote in ``term``.

    A pre-vote asks whether a vote would be granted and changes no state.
    ``transfer`` marks an election that the leader itself started to transfer
    leadership; voters grant it although they heard from that leader recently.
    """

    term: ids.Term
    last_index: ids.LogIndex
    last_term: ids.Term
    pre_vote: bool
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag='vote_reply'):
    """Whether a replica votes for the sender of the request."""

    term: ids.Term
    granted: bool
    pre_vote: bool


class AppendRequest(msgspec.Struct, frozen=True, tag='append'):
    """Sends the entries after ``prev_index``; without entries a heartbeat.

    ``sent_at`` is the leader's monotonic time in seconds. The reply returns
    it, so that the lease counts from when the request was sent.
    """

    term: ids.Term
    prev_index: ids.LogIndex
    prev_term: ids.Term
    commit: ids.LogIndex
    sent_at: float
    entries: tuple[Entry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, tag='append_reply'):
    """Reply to an ``AppendRequest``.

    If the append was accepted, ``match`` is the last index that matches the
    leader's log and is durable; otherwise it is the index to try next.
    """

    term: ids.Term
    accepted: bool
    match: ids.LogIndex
    sent_at: float


class SnapshotRequest(msgspec.Struct, frozen=True, tag='snapshot'):
    """Sends one part of a snapshot, from byte ``offset`` of ``size``."""

    term: ids.Term
    index: ids.LogIndex
    index_term: ids.Term
    configuration: Configuration
    offset: int
    size: int
    data: bytes
    sent_at: float


class SnapshotReply(msgspec.Struct, frozen=True, tag='snapshot_reply'):
    """Reply to a ``SnapshotRequest``.

    ``offset`` is the next byte to send, or ``size`` once the whole snapshot
    is durable.
    """

    term: ids.Term
    index: ids.LogIndex
    offset: int
    done: bool
    sent_at: float


class TimeoutNow(msgspec.Struct, frozen=True, tag='timeout_now'):
    """Transfers leadership: the recipient starts an election at once."""

    term: ids.Term


class Join(msgspec.Struct, frozen=True, tag='join'):
    """Asks to add ``member``, a replica that no leader serves yet."""

    member: Member


class JoinReply(msgspec.Struct, frozen=True, tag='join_reply'):
    """Identity of the sender of the reply.

    ``initialised`` is true once its log has an entry.
    """

    identity: ids.ReplicaId
    initialised: bool


class Leave(msgspec.Struct, frozen=True, tag='leave'):
    """Tells another replica that the sender is about to stop."""


Request = VoteRequest | AppendRequest | SnapshotRequest | TimeoutNow
Reply = VoteReply | AppendReply | SnapshotReply
Message = Request | Reply


class Envelope(msgspec.Struct, frozen=True):
    """A message between two replicas; a reply repeats ``sequence``."""

    sender: ids.ReplicaId
    recipient: ids.ReplicaId
    sequence: int
    message: (
        VoteRequest
        | VoteReply
        | AppendRequest
        | AppendReply
        | SnapshotRequest
        | SnapshotReply
        | TimeoutNow
        | Join
        | JoinReply
        | Leave
    )
