"""State of one replica that all parts of the Raft core share."""

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
    """What a replica does in its term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    # The storage failed; the replica neither votes nor acknowledges.
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class Timings:
    """Times in seconds.

    A voter that heard from a leader grants no vote for ``election_min_s`` by
    its own clock. Clock rates differ by at most ``drift``, so the leader's
    lease is shorter than that by ``drift`` on both sides.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1.0
    drift: float = 0.01

    @property
    def lease_s(self) -> float:
        """How long a majority's answer excludes another leader, in seconds."""
        return self.election_min_s * (1 - self.drift) / (1 + self.drift)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Sizes that bound messages and memory."""

    batch_bytes: int = 262_144
    requests_in_flight: int = 4
    # A call costs the leader about 0.5 ms of processor time, so two
    # followers cost it at most a quarter of a core.
    pace_s: float = 0.004
    snapshot_part_bytes: int = 262_144
    kept_entries: int = 16_384
    # A learner this close to the end of the log may become a voter.
    learner_lag: int = 256
    # A silent voter is removed while more than this many vote; 0 keeps all.
    # Replacements with another name would otherwise add up to dead voters.
    min_voters: int = 0
    silent_s: float = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """What a replica finds on its disk when it starts."""

    identity: ids.ReplicaId
    term: ids.Term = ids.Term(0)
    voted_for: ids.ReplicaId | None = None
    snapshot: messages.Snapshot | None = None
    entries: tuple[messages.Entry, ...] = ()


@dataclasses.dataclass(slots=True)
class _Write:
    sequence: int
    last_index: ids.LogIndex


class ReplicaState:
    """Term, vote, log, role and what waits for the disk."""

    def __init__(
        self,
        stored: Stored,
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
        # A replica that restarts may have promised a leader not to vote and
        # has forgotten it, so it waits as if it had just heard from one.
        self.heard_at = now
        self.election_at = 0.0
        self.actions: list[events.Action] = []
        self._next_message = 0
        self._written = 0
        self._durable = 0
        self._vote_written = 0
        self._writes: collections.deque[_Write] = collections.deque()
        self._gated: collections.deque[tuple[int, messages.Envelope]] = (
            collections.deque()
        )
        self.reset_election_timer()

    @property
    def configuration(self) -> messages.Configuration:
        """Newest configuration in the log, committed or not."""
        return self.log.configuration

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes."""
        return self.identity in self.configuration.voter_ids

    def reset_election_timer(self) -> None:
        """Wait a random election timeout from now on."""
        self.election_at = self.now + self.rng.uniform(
            self.timings.election_min_s, self.timings.election_max_s
        )

    def hears_leader(self) -> bool:
        """Whether the promise not to vote still binds this replica."""
        return self.now < self.heard_at + self.timings.election_min_s

    # Messages.

    def request(
        self, recipient: ids.ReplicaId, message: messages.Request
    ) -> messages.Envelope:
        """Return a message with a new number."""
        self._next_message += 1
        return messages.Envelope(
            self.identity, recipient, self._next_message, message
        )

    def reply(
        self, request: messages.Envelope, message: messages.Reply
    ) -> messages.Envelope:
        """Return the answer to ``request``; it carries the same number."""
        return messages.Envelope(
            self.identity, request.sender, request.sequence, message
        )

    def send_after_vote(self, envelope: messages.Envelope) -> None:
        """Send once the current term and vote are durable."""
        self._send_after(self._vote_written, envelope)

    def send_after_writes(self, envelope: messages.Envelope) -> None:
        """Send once everything written so far is durable."""
        self._send_after(self._written, envelope)

    def _send_after(self, sequence: int, envelope: messages.Envelope) -> None:
        if sequence <= self._durable:
            self.actions.append(events.Send(envelope))
        else:
            self._gated.append((sequence, envelope))

    # Durable state.

    def set_term(
        self, term: ids.Term, voted_for: ids.ReplicaId | None
    ) -> None:
        """Enter a term; what waits to be sent in the old one is dropped."""
        if term != self.term:
            # Replies of an earlier term must not arrive as acknowledgements
            # after this replica has promised itself to a later one.
            self._gated.clear()
        self.term = term
        self.voted_for = voted_for
        self._write()
        self._vote_written = self._written

    def append(
        self,
        entries: tuple[messages.Entry, ...],
        truncate_after: ids.LogIndex | None = None,
    ) -> None:
        """Add entries, after dropping those after ``truncate_after``."""
        if truncate_after is not None:
            assert truncate_after >= self.commit
            self.log.truncate_after(truncate_after)
            self.persisted = min(self.persisted, truncate_after)
            for write in self._writes:
                write.last_index = min(write.last_index, truncate_after)
        self.log.append(entries)
        self._write(truncate_after=truncate_after, entries=entries)

    def save_snapshot(
        self,
        snapshot: messages.Snapshot,
        first_kept: ids.LogIndex | None,
    ) -> None:
        """Store a snapshot; entries before ``first_kept`` are dropped.

        None drops the whole log, as the snapshot replaces it.
        """
        if first_kept is None:
            self.persisted = ids.LogIndex(0)
            self._writes.clear()
        self._write(snapshot=snapshot, first_kept=first_kept)

    def _write(
        self,
        truncate_after: ids.LogIndex | None = None,
        entries: tuple[messages.Entry, ...] = (),
        snapshot: messages.Snapshot | None = None,
        first_kept: ids.LogIndex | None = None,
    ) -> None:
        self._written += 1
        self._writes.append(_Write(self._written, self.log.last_index))
        self.actions.append(
            events.Persist(
                self._written,
                self.term,
                self.voted_for,
                truncate_after,
                entries,
                snapshot,
                first_kept,
            )
        )

    def note_persisted(self, sequence: int) -> None:
        """Send what waited for the writes up to ``sequence``."""
        self._durable = max(self._durable, sequence)
        while self._writes and self._writes[0].sequence <= sequence:
            write = self._writes.popleft()
            self.persisted = max(self.persisted, write.last_index)
        waiting = self._gated
        self._gated = collections.deque()
        for needed, envelope in waiting:
            self._send_after(needed, envelope)

    def vote_is_durable(self) -> bool:
        """Whether the current term and vote are on disk."""
        return self._vote_written <= self._durable

    def drop_gated(self) -> None:
        """Drop the messages that wait for a write."""
        self._gated.clear()

    # Commit and application.

    def commit_to(self, index: ids.LogIndex) -> None:
        """Commit and apply the entries up to ``index``."""
        if index <= self.commit:
            return
        self.commit = index
        entries = self.log.between(self.applied, index)
        self.applied = index
        self.actions.append(events.Apply(entries))
