"""Entries, membership and messages of the replicated log."""

from __future__ import annotations

import enum

import msgspec

from verbenastream import ids


class EntryKind(enum.Enum):
    """What an entry of the log holds."""

    COMMAND = 'command'
    CONFIGURATION = 'configuration'
    # Lets a new leader commit entries of earlier terms.
    NO_OP = 'no_op'


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One record of the log; a configuration's payload is JSON.

    The garbage collector skips entries: they hold no references that could
    form a cycle, and a full collection over many of them took 57 ms.
    """

    index: ids.LogIndex
    term: ids.Term
    kind: EntryKind
    payload: bytes


class Member(msgspec.Struct, frozen=True):
    """A replica; ``id`` is the identity of its data folder."""

    id: ids.ReplicaId
    name: str
    address: str
    port: int


class Configuration(msgspec.Struct, frozen=True):
    """Replicas that vote and replicas that only receive the log."""

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
        """How many voters are a majority."""
        return len(self.voters) // 2 + 1

    def find(self, replica: ids.ReplicaId | None) -> Member | None:
        """Return the member with this id, None if there is none."""
        for member in self.members:
            if member.id == replica:
                return member
        return None


class Snapshot(msgspec.Struct, frozen=True):
    """State after ``index``; ``term`` is the term of that entry."""

    index: ids.LogIndex
    term: ids.Term
    configuration: Configuration
    data: bytes


class VoteRequest(msgspec.Struct, frozen=True, tag='vote'):
    """Asks for a vote in ``term``.

    A pre-vote asks whether a vote would be granted and changes no state.
    ``transfer`` marks an election that the leader itself asked for, which
    voters grant although they hear from that leader.
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
    """Entries after ``prev_index``; empty as a heartbeat.

    ``sent_at`` is the leader's monotonic time in seconds, which the reply
    returns, so that the lease counts from when the request was sent.
    """

    term: ids.Term
    prev_index: ids.LogIndex
    prev_term: ids.Term
    commit: ids.LogIndex
    sent_at: float
    entries: tuple[Entry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, tag='append_reply'):
    """``match`` is the last durable matching index of an accepted append.

    For a rejected one ``match`` is the index to try next.
    """

    term: ids.Term
    accepted: bool
    match: ids.LogIndex
    sent_at: float


class SnapshotRequest(msgspec.Struct, frozen=True, tag='snapshot'):
    """One part of a snapshot, from byte ``offset`` of ``size``."""

    term: ids.Term
    index: ids.LogIndex
    index_term: ids.Term
    configuration: Configuration
    offset: int
    size: int
    data: bytes
    sent_at: float


class SnapshotReply(msgspec.Struct, frozen=True, tag='snapshot_reply'):
    """``offset`` is the next byte wanted, or ``size`` once durable."""

    term: ids.Term
    index: ids.LogIndex
    offset: int
    done: bool
    sent_at: float


class TimeoutNow(msgspec.Struct, frozen=True, tag='timeout_now'):
    """The leader hands over: the receiver starts an election at once."""

    term: ids.Term


class Join(msgspec.Struct, frozen=True, tag='join'):
    """A replica with an empty log presents its identity."""

    member: Member


class JoinReply(msgspec.Struct, frozen=True, tag='join_reply'):
    """``initialised`` is true once the replier's log has an entry."""

    identity: ids.ReplicaId
    initialised: bool


Request = VoteRequest | AppendRequest | SnapshotRequest | TimeoutNow
Reply = VoteReply | AppendReply | SnapshotReply
Message = Request | Reply


class Envelope(msgspec.Struct, frozen=True):
    """A message between two identities; a reply repeats ``sequence``."""

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
    )
