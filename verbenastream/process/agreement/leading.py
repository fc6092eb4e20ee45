"""Leader side of replication: appends, commit, lease and reads."""

from __future__ import annotations

import dataclasses

from verbenastream import ids
from verbenastream.process.agreement import events
from verbenastream.process.agreement import messages
from verbenastream.process.agreement import state as replica_state

Role = replica_state.Role


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication progress of one other replica.

    ``next`` is the next entry to send and ``match`` the last entry that the
    replica is known to hold. ``acked_at`` is when the leader sent the latest
    request that was answered: the earliest time from which the replica may
    count its promise not to vote. ``sent_at_by_sequence`` holds the requests
    in flight, without heartbeats. While ``probing`` there is at most one.
    """

    next: ids.LogIndex
    match: ids.LogIndex = ids.LogIndex(0)
    acked_at: float = float('-inf')
    sent_at: float = float('-inf')
    probing: bool = True
    snapshot: messages.Snapshot | None = None
    snapshot_offset: int = 0
    sent_at_by_sequence: dict[int, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRead:
    id: int
    index: ids.LogIndex
    requested_at: float


class Leader:
    """Replicates the log while this replica is the leader."""

    def __init__(self, state: replica_state.ReplicaState) -> None:
        self._state = state
        self.progress_by_id: dict[ids.ReplicaId, Progress] = {}
        self.term_start = ids.LogIndex(0)
        self.elected_at = 0.0
        self._next_heartbeat_at = 0.0
        self._next_flush_at = float('inf')
        self._pending_reads: list[_PendingRead] = []

    def start(self) -> None:
        """Become the leader of the current term and append a no-op entry."""
        state = self._state
        state.role = Role.LEADER
        state.leader = state.identity
        self.elected_at = state.now
        self.progress_by_id = {}
        self._pending_reads = []
        self.term_start = ids.LogIndex(state.log.last_index + 1)
        state.actions.append(events.Elected(state.term))
        self.append(messages.EntryKind.NO_OP, (b'',))

    def append(
        self, kind: messages.EntryKind, payloads: tuple[bytes, ...]
    ) -> ids.LogIndex:
        """Append entries of the current term and return the last index.

        They are sent at once.
        """
        state = self._state
        first = state.log.last_index + 1
        state.append(
            tuple(
                messages.Entry(
                    ids.LogIndex(first + position), state.term, kind, payload
                )
                for position, payload in enumerate(payloads)
            )
        )
        self._update_members()
        self.replicate()
        return state.log.last_index

    def _update_members(self) -> None:
        state = self._state
        member_ids = [
            member.id
            for member in state.configuration.members
            if member.id != state.identity
        ]
        for replica in list(self.progress_by_id):
            if replica not in member_ids:
                del self.progress_by_id[replica]
        for replica in member_ids:
            if replica not in self.progress_by_id:
                self.progress_by_id[replica] = Progress(self.term_start)

    # Sending.

    def replicate(self) -> None:
        """Send each replica the entries that it does not have yet."""
        for replica, progress in self.progress_by_id.items():
            self._send_entries(replica, progress)

    def _send_entries(
        self, replica: ids.ReplicaId, progress: Progress
    ) -> None:
        state = self._state
        max_in_flight = state.limits.requests_in_flight
        if progress.probing:
            max_in_flight = 1
        while len(progress.sent_at_by_sequence) < max_in_flight:
            if progress.snapshot is not None:
                self._send_snapshot_part(replica, progress)
                return
            if progress.next > state.log.last_index:
                return
            if progress.next <= state.log.base_index:
                self._start_snapshot(replica, progress)
                continue
            if not self._send_batch(replica, progress):
                return

    def _send_batch(self, replica: ids.ReplicaId, progress: Progress) -> bool:
        """Send the next entries; return False if a small batch is delayed.

        Small batches are sent at least ``min_batch_interval_s`` apart, because
        a message costs both sides far more than the entries in it. A command
        after a pause is sent at once.
        """
        state = self._state
        prev = ids.LogIndex(progress.next - 1)
        entries = state.log.next_batch(prev, state.limits.batch_bytes)
        due_at = progress.sent_at + state.limits.min_batch_interval_s
        if entries[-1].index == state.log.last_index and state.now < due_at:
            self._next_flush_at = min(self._next_flush_at, due_at)
            return False
        progress.next = ids.LogIndex(entries[-1].index + 1)
        sequence = self._send_append(replica, prev, entries)
        progress.sent_at_by_sequence[sequence] = state.now
        progress.sent_at = state.now
        return True

    def _send_append(
        self,
        replica: ids.ReplicaId,
        prev: ids.LogIndex,
        entries: tuple[messages.Entry, ...],
    ) -> int:
        state = self._state
        prev_term = state.log.term_at(prev)
        assert prev_term is not None
        envelope = state.request(
            replica,
            messages.AppendRequest(
                state.term, prev, prev_term, state.commit, state.now, entries
            ),
        )
        state.send_once_vote_durable(envelope)
        return envelope.sequence

    def _start_snapshot(
        self, replica: ids.ReplicaId, progress: Progress
    ) -> None:
        progress.snapshot = self._state.log.snapshot
        progress.snapshot_offset = 0
        assert progress.snapshot is not None

    def _send_snapshot_part(
        self, replica: ids.ReplicaId, progress: Progress
    ) -> None:
        state = self._state
        snapshot = progress.snapshot
        assert snapshot is not None
        start = progress.snapshot_offset
        envelope = state.request(
            replica,
            messages.SnapshotRequest(
                state.term,
                snapshot.index,
                snapshot.term,
                snapshot.configuration,
                start,
                len(snapshot.data),
                snapshot.data[
                    start : start + state.limits.snapshot_part_bytes
                ],
                state.now,
            ),
        )
        state.send_once_vote_durable(envelope)
        progress.sent_at_by_sequence[envelope.sequence] = state.now

    @property
    def deadline(self) -> float:
        """When ``tick`` is due, in monotonic seconds."""
        return min(self._next_heartbeat_at, self._next_flush_at)

    def tick(self) -> None:
        """Send heartbeats and delayed batches when they are due."""
        state = self._state
        if state.now >= self._next_flush_at:
            self._next_flush_at = float('inf')
            self.replicate()
        if state.now >= self._next_heartbeat_at:
            self._heartbeat()

    def _heartbeat(self) -> None:
        state = self._state
        self._next_heartbeat_at = state.now + state.timings.heartbeat_s
        for replica, progress in self.progress_by_id.items():
            self._expire_requests(progress)
            # A heartbeat may overtake entries in flight, so in that case it
            # refers to the last confirmed entry.
            prev = progress.next - 1
            if progress.sent_at_by_sequence:
                prev = progress.match
            prev = max(prev, state.log.base_index)
            self._send_append(replica, ids.LogIndex(prev), ())
            self._send_entries(replica, progress)

    def _expire_requests(self, progress: Progress) -> None:
        expired_before = self._state.now - self._state.timings.election_max_s
        for sequence, sent_at in list(progress.sent_at_by_sequence.items()):
            if sent_at < expired_before:
                self._reset_after_lost_request(progress, sequence)

    def _reset_after_lost_request(
        self, progress: Progress, sequence: int
    ) -> None:
        """Treat a request as lost; sending resumes after the last match."""
        if progress.sent_at_by_sequence.pop(sequence, None) is not None:
            progress.next = ids.LogIndex(progress.match + 1)
            progress.probing = True

    def handle_send_failure(
        self, replica: ids.ReplicaId, sequence: int
    ) -> None:
        """Leave the retry to the next heartbeat.

        An immediate retry to an unreachable replica would loop.
        """
        progress = self.progress_by_id.get(replica)
        if progress is not None:
            self._reset_after_lost_request(progress, sequence)

    # Replies.

    def handle_append_reply(
        self, envelope: messages.Envelope, reply: messages.AppendReply
    ) -> None:
        """Update the progress of a replica and send the next entries."""
        state = self._state
        progress = self.progress_by_id.get(envelope.sender)
        if progress is None or reply.term != state.term:
            return
        progress.acked_at = max(progress.acked_at, reply.sent_at)
        progress.sent_at_by_sequence.pop(envelope.sequence, None)
        if reply.accepted:
            self._update_match(progress, reply.match)
            progress.probing = False
        elif reply.match < progress.next - 1 and progress.snapshot is None:
            progress.next = ids.LogIndex(max(reply.match, progress.match) + 1)
            progress.probing = True
        self._send_entries(envelope.sender, progress)

    def handle_snapshot_reply(
        self, envelope: messages.Envelope, reply: messages.SnapshotReply
    ) -> None:
        """Update the snapshot progress of a replica and send the next part."""
        state = self._state
        progress = self.progress_by_id.get(envelope.sender)
        if progress is None or reply.term != state.term:
            return
        progress.acked_at = max(progress.acked_at, reply.sent_at)
        progress.sent_at_by_sequence.pop(envelope.sequence, None)
        snapshot = progress.snapshot
        if snapshot is not None and snapshot.index == reply.index:
            progress.snapshot_offset = reply.offset
            if reply.done:
                progress.snapshot = None
                progress.next = ids.LogIndex(reply.index + 1)
                self._update_match(progress, reply.index)
        self._send_entries(envelope.sender, progress)

    def _update_match(self, progress: Progress, match: ids.LogIndex) -> None:
        if match > progress.match:
            progress.match = match
            progress.next = ids.LogIndex(max(progress.next, match + 1))
            self.advance_commit()

    def advance_commit(self) -> None:
        """Commit the entries that a majority of voters has made durable."""
        state = self._state
        voters = state.configuration.voter_ids
        matches = sorted(
            (self._durable_index_of(replica) for replica in voters),
            reverse=True,
        )
        index = matches[state.configuration.majority - 1]
        if index < self.term_start:
            # Counting replicas commits only entries of the current term.
            # Entries of earlier terms are committed together with these.
            return
        state.commit_to(index)

    def _durable_index_of(self, replica: ids.ReplicaId) -> ids.LogIndex:
        if replica == self._state.identity:
            return self._state.persisted
        return self.progress_by_id[replica].match

    # Lease and reads.

    def quorum_acked_at(self) -> float:
        """Latest send time of requests that a majority has answered."""
        state = self._state
        acked_times = sorted(
            (
                state.now
                if replica == state.identity
                else self.progress_by_id[replica].acked_at
                for replica in state.configuration.voter_ids
            ),
            reverse=True,
        )
        return acked_times[state.configuration.majority - 1]

    def lost_quorum(self) -> bool:
        """Whether no majority answered within the maximum election timeout."""
        since = max(self.quorum_acked_at(), self.elected_at)
        return self._state.now > since + self._state.timings.election_max_s

    def has_lease(self) -> bool:
        """Whether the lease still excludes another leader."""
        state = self._state
        return state.now < self.quorum_acked_at() + state.timings.lease_s

    def request_read(self, id: int) -> None:
        """Answer a read at once under the lease.

        Without the lease a majority has to confirm the leadership first.
        """
        state = self._state
        index = ids.LogIndex(max(state.commit, self.term_start))
        self._pending_reads.append(_PendingRead(id, index, state.now))
        self.answer_reads()
        if self._pending_reads:
            self._heartbeat()

    def answer_reads(self) -> None:
        """Answer the reads that are confirmed and whose index is applied."""
        if not self._pending_reads:
            return
        state = self._state
        confirmed_at = self.quorum_acked_at()
        has_lease = self.has_lease()
        waiting = []
        for read in self._pending_reads:
            confirmed = has_lease or confirmed_at >= read.requested_at
            if confirmed and state.applied >= read.index:
                state.actions.append(events.ReadReady(read.id, read.index))
            else:
                waiting.append(read)
        self._pending_reads = waiting

    def drop_reads(self) -> list[int]:
        """Drop all pending reads and return their ids."""
        dropped = [read.id for read in self._pending_reads]
        self._pending_reads = []
        return dropped

    def best_successor(self) -> ids.ReplicaId | None:
        """Return the recently responsive voter with the longest match."""
        state = self._state
        responsive_since = state.now - state.timings.election_max_s
        candidates = [
            (progress.match, replica)
            for replica, progress in self.progress_by_id.items()
            if replica in state.configuration.voter_ids
            and progress.acked_at >= responsive_since
        ]
        return max(candidates)[1] if candidates else None
