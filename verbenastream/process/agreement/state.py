"""Replica state that all parts of the Raft core share."""

from __future__ import annotations

import collections
import dataclasses
import enum
import random

from verbenastream import ids
from verbenastream.process.agreement import events
from verbenastream.process.agreement import log as memory_log
from verbenastream.process.agreement import messages


class Role(enum.Enum):
    """Role of a replica in the current term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    # A write failed; until a retry succeeds the replica neither votes nor
    # acknowledges.
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class Timings:
    """Timeouts in seconds, and the bound of the clock drift.

    A voter that heard from a leader grants no vote for ``election_min_s`` by
    its own clock. The rate of each clock differs from real time by at most
    the fraction ``drift``, so the leader's lease is shorter by the drift of
    both clocks.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1.0
    drift: float = 0.01

    @property
    def lease_s(self) -> float:
        """How long the replies of a majority exclude another leader."""
        return self.election_min_s * (1 - self.drift) / (1 + self.drift)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of messages, memory and membership."""

    batch_bytes: int = 262_144
    # A larger command is refused. An append carries at least one entry, in
    # base64, and must fit into what the other replicas accept.
    max_command_bytes: int = 5 * 2**20
    requests_in_flight: int = 4
    # Minimum interval between small batches to one follower. A call costs
    # the leader about 0.5 ms of CPU time, so two followers cost it at most a
    # quarter of a core.
    min_batch_interval_s: float = 0.004
    snapshot_part_bytes: int = 262_144
    # Entries before a snapshot that stay for replicas that lag a little,
    # limited by their number and by the bytes of their payloads.
    kept_entries: int = 16_384
    kept_bytes: int = 4 * 2**20
    # The payloads of entries that no majority has stored yet. Disks that
    # stall must not fill the memory of the leader.
    max_uncommitted_bytes: int = 16 * 2**20
    # A learner may become a voter if it lacks at most this many entries.
    max_learner_lag: int = 256
    # A voter that does not respond for ``removal_delay_s``, or that announced
    # its stop and no longer responds, is removed while there are more voters
    # than this; 0 keeps all. Otherwise dead voters would accumulate when
    # replicas are replaced under another name.
    min_voters: int = 0
    removal_delay_s: float = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredState:
    """Durable state that a replica loads when it starts."""

    identity: ids.ReplicaId
    term: ids.Term = ids.Term(0)
    voted_for: ids.ReplicaId | None = None
    snapshot: messages.Snapshot | None = None
    entries: tuple[messages.Entry, ...] = ()


@dataclasses.dataclass(slots=True)
class _PendingWrite:
    """A write that is not durable yet and the last log index after it."""

    sequence: int
    last_index: ids.LogIndex


class ReplicaState:
    """Term, vote, log and role, and messages that wait for a write."""

    def __init__(
        self,
        stored: StoredState,
        timings: Timings,
        limits: Limits,
        rng: random.Random,
        now: float,
    ) -> None:
        self.identity = stored.identity
        self.timings = timings
        self.limits = limits
        self.rng = rng
        self.now = now
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.log = memory_log.MemoryLog(stored.snapshot, list(stored.entries))
        self.role = Role.FOLLOWER
        self.leader: ids.ReplicaId | None = None
        self.failure = ''
        start = ids.LogIndex(0)
        if stored.snapshot is not None:
            start = stored.snapshot.index
        self.commit = start
        self.applied = start
        self.persisted = self.log.last_index
        # Before a restart the replica may have promised a leader not to vote.
        # The promise is not stored, so the replica waits as if it had just
        # heard from a leader.
        self.leader_contact_at = now
        self.election_deadline = 0.0
        self.actions: list[events.Action] = []
        self._last_message_sequence = 0
        self._last_write_sequence = 0
        self._durable_write_sequence = 0
        self._vote_write_sequence = 0
        self._pending_writes: collections.deque[_PendingWrite] = (
            collections.deque()
        )
        self._pending_messages: collections.deque[
            tuple[int, messages.Envelope]
        ] = collections.deque()
        self.reset_election_timer()

    @property
    def configuration(self) -> messages.Configuration:
        """Latest configuration in the log, committed or not."""
        return self.log.configuration

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes."""
        return self.identity in self.configuration.voter_ids

    def reset_election_timer(self) -> None:
        """Start a new random election timeout."""
        self.election_deadline = self.now + self.rng.uniform(
            self.timings.election_min_s, self.timings.election_max_s
        )

    def has_recent_leader(self) -> bool:
        """Whether a leader was heard from too recently to grant a vote."""
        return self.now < self.leader_contact_at + self.timings.election_min_s

    # Messages.

    def request(
        self, recipient: ids.ReplicaId, message: messages.Request
    ) -> messages.Envelope:
        """Return an envelope with a new sequence number."""
        self._last_message_sequence += 1
        return messages.Envelope(
            self.identity, recipient, self._last_message_sequence, message
        )

    def reply(
        self, request: messages.Envelope, message: messages.Reply
    ) -> messages.Envelope:
        """Return the reply to ``request``, with the same sequence number."""
        return messages.Envelope(
            self.identity, request.sender, request.sequence, message
        )

    def send_once_vote_durable(self, envelope: messages.Envelope) -> None:
        """Send once the current term and vote are durable."""
        self._send_once_durable(self._vote_write_sequence, envelope)

    def send_once_writes_durable(self, envelope: messages.Envelope) -> None:
        """Send once everything written so far is durable."""
        self._send_once_durable(self._last_write_sequence, envelope)

    def _send_once_durable(
        self, sequence: int, envelope: messages.Envelope
    ) -> None:
        if sequence <= self._durable_write_sequence:
            self.actions.append(events.Send(envelope))
        else:
            self._pending_messages.append((sequence, envelope))

    # Durable state.

    def set_term(
        self, term: ids.Term, voted_for: ids.ReplicaId | None
    ) -> None:
        """Set term and vote; a new term drops the pending messages."""
        if term != self.term:
            # Replies of an earlier term must not acknowledge anything after
            # this replica has entered a later term.
            self._pending_messages.clear()
        self.term = term
        self.voted_for = voted_for
        self._write()
        self._vote_write_sequence = self._last_write_sequence

    def append(
        self,
        entries: tuple[messages.Entry, ...],
        truncate_after: ids.LogIndex | None = None,
    ) -> None:
        """Append entries, after dropping those after ``truncate_after``."""
        if truncate_after is not None:
            assert truncate_after >= self.commit
            self.log.truncate_after(truncate_after)
            self.persisted = min(self.persisted, truncate_after)
            for write in self._pending_writes:
                write.last_index = min(write.last_index, truncate_after)
        self.log.append(entries)
        self._write(truncate_after=truncate_after, entries=entries)

    def save_snapshot(
        self,
        snapshot: messages.Snapshot,
        first_kept: ids.LogIndex | None,
    ) -> None:
        """Write a snapshot; entries before ``first_kept`` are dropped.

        With None the snapshot replaces the whole log.
        """
        if first_kept is None:
            self.persisted = ids.LogIndex(0)
            self._pending_writes.clear()
        self._write(snapshot=snapshot, first_kept=first_kept)

    def _write(
        self,
        truncate_after: ids.LogIndex | None = None,
        entries: tuple[messages.Entry, ...] = (),
        snapshot: messages.Snapshot | None = None,
        first_kept: ids.LogIndex | None = None,
    ) -> None:
        self._last_write_sequence += 1
        self._pending_writes.append(
            _PendingWrite(self._last_write_sequence, self.log.last_index)
        )
        self.actions.append(
            events.Persist(
                self._last_write_sequence,
                self.term,
                self.voted_for,
                truncate_after,
                entries,
                snapshot,
                first_kept,
            )
        )

    def handle_persisted(self, sequence: int) -> None:
        """Send the messages that waited for writes up to ``sequence``."""
        self._durable_write_sequence = max(
            self._durable_write_sequence, sequence
        )
        while (
            self._pending_writes
            and self._pending_writes[0].sequence <= sequence
        ):
            write = self._pending_writes.popleft()
            self.persisted = max(self.persisted, write.last_index)
        waiting = self._pending_messages
        self._pending_messages = collections.deque()
        for required_sequence, envelope in waiting:
            self._send_once_durable(required_sequence, envelope)

    def vote_is_durable(self) -> bool:
        """Whether the current term and vote are on disk."""
        return self._vote_write_sequence <= self._durable_write_sequence

    def drop_pending_messages(self) -> None:
        """Drop the messages that wait for a write to become durable."""
        self._pending_messages.clear()

    # Commit and application.

    def commit_to(self, index: ids.LogIndex) -> None:
        """Commit and apply the entries up to ``index``."""
        if index <= self.commit:
            return
        self.commit = index
        entries = self.log.entries_between(self.applied, index)
        self.applied = index
        self.actions.append(events.Apply(entries))
