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
    """What the leader knows of one other replica.

    ``acked_at`` is when the leader sent the latest request that was
    answered; it is the conservative start of the replica's promise.
    ``sent_at_by_sequence`` holds the entry requests under way.
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
class _Read:
    id: int
    index: ids.LogIndex
    asked_at: float


class Leading:
    """Replicates the log while this replica leads."""

    def __init__(self, state: replica_state.ReplicaState) -> None:
        self._state = state
        self.progress_by_id: dict[ids.ReplicaId, Progress] = {}
        self.term_start = ids.LogIndex(0)
        self.elected_at = 0.0
        self._heartbeat_at = 0.0
        self._flush_at = float('inf')
        self._reads: list[_Read] = []

    def start(self) -> None:
        """Take office: append an entry of the new term and announce it."""
        state = self._state
        state.role = Role.LEADER
        state.leader = state.identity
        self.elected_at = state.now
        self.progress_by_id = {}
        self._reads = []
        self.term_start = ids.LogIndex(state.log.last_index + 1)
        state.actions.append(events.Elected(state.term))
        self.append(messages.EntryKind.NO_OP, (b'',))

    def append(
        self, kind: messages.EntryKind, payloads: tuple[bytes, ...]
    ) -> ids.LogIndex:
        """Append entries of the current term and send them; the last index."""
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
        self._sync_members()
        self.replicate()
        return state.log.last_index

    def _sync_members(self) -> None:
        state = self._state
        wanted = [
            member.id
            for member in state.configuration.members
            if member.id != state.identity
        ]
        for replica in list(self.progress_by_id):
            if replica not in wanted:
                del self.progress_by_id[replica]
        for replica in wanted:
            if replica not in self.progress_by_id:
                self.progress_by_id[replica] = Progress(self.term_start)

    # Sending.

    def replicate(self) -> None:
        """Send each replica the entries that it lacks."""
        for replica, progress in self.progress_by_id.items():
            self._send_entries(replica, progress)

    def _send_entries(
        self, replica: ids.ReplicaId, progress: Progress
    ) -> None:
        state = self._state
        allowed = state.limits.requests_in_flight
        if progress.probing:
            allowed = 1
        while len(progress.sent_at_by_sequence) < allowed:
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
        """Send the next entries, unless a small batch had better wait.

        Small batches follow each other by at least ``pace_s``, because each
        message costs both sides far more than the entries in it. A command
        after a pause is sent at once.
        """
        state = self._state
        prev = ids.LogIndex(progress.next - 1)
        entries = state.log.batch(prev, state.limits.batch_bytes)
        due = progress.sent_at + state.limits.pace_s
        if entries[-1].index == state.log.last_index and state.now < due:
            self._flush_at = min(self._flush_at, due)
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
        state.send_after_vote(envelope)
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
        state.send_after_vote(envelope)
        progress.sent_at_by_sequence[envelope.sequence] = state.now

    @property
    def deadline(self) -> float:
        """When ``tick`` is due, in seconds of the clock of the core."""
        return min(self._heartbeat_at, self._flush_at)

    def tick(self) -> None:
        """Send heartbeats and gathered entries when they are due."""
        state = self._state
        if state.now >= self._flush_at:
            self._flush_at = float('inf')
            self.replicate()
        if state.now >= self._heartbeat_at:
            self._heartbeat()

    def _heartbeat(self) -> None:
        state = self._state
        self._heartbeat_at = state.now + state.timings.heartbeat_s
        for replica, progress in self.progress_by_id.items():
            self._expire_requests(progress)
            # With entries under way the heartbeat may overtake them, so it
            # refers only to what has been confirmed.
            prev = progress.next - 1
            if progress.sent_at_by_sequence:
                prev = progress.match
            prev = max(prev, state.log.base_index)
            self._send_append(replica, ids.LogIndex(prev), ())
            self._send_entries(replica, progress)

    def _expire_requests(self, progress: Progress) -> None:
        limit = self._state.now - self._state.timings.election_max_s
        for sequence, sent_at in list(progress.sent_at_by_sequence.items()):
            if sent_at < limit:
                self._forget_request(progress, sequence)

    def _forget_request(self, progress: Progress, sequence: int) -> None:
        """Treat a request as lost and send again from the last match."""
        if progress.sent_at_by_sequence.pop(sequence, None) is not None:
            progress.next = ids.LogIndex(progress.match + 1)
            progress.probing = True

    def note_send_failed(self, replica: ids.ReplicaId, sequence: int) -> None:
        """The next heartbeat sends again; an immediate retry would spin."""
        progress = self.progress_by_id.get(replica)
        if progress is not None:
            self._forget_request(progress, sequence)

    # Replies.

    def handle_append_reply(
        self, envelope: messages.Envelope, reply: messages.AppendReply
    ) -> None:
        """Note what a replica holds, and send what it lacks."""
        state = self._state
        progress = self.progress_by_id.get(envelope.sender)
        if progress is None or reply.term != state.term:
            return
        progress.acked_at = max(progress.acked_at, reply.sent_at)
        progress.sent_at_by_sequence.pop(envelope.sequence, None)
        if reply.accepted:
            self._note_match(progress, reply.match)
            progress.probing = False
        elif reply.match < progress.next - 1 and progress.snapshot is None:
            progress.next = ids.LogIndex(max(reply.match, progress.match) + 1)
            progress.probing = True
        self._send_entries(envelope.sender, progress)

    def handle_snapshot_reply(
        self, envelope: messages.Envelope, reply: messages.SnapshotReply
    ) -> None:
        """Note how much of the snapshot a replica holds, and go on."""
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
                self._note_match(progress, reply.index)
        self._send_entries(envelope.sender, progress)

    def _note_match(self, progress: Progress, match: ids.LogIndex) -> None:
        if match > progress.match:
            progress.match = match
            progress.next = ids.LogIndex(max(progress.next, match + 1))
            self.advance_commit()

    def advance_commit(self) -> None:
        """Commit what a majority of voters holds durably."""
        state = self._state
        voters = state.configuration.voter_ids
        matches = sorted(
            (self._match_of(replica) for replica in voters), reverse=True
        )
        index = matches[state.configuration.majority - 1]
        if index < self.term_start:
            # Only entries of the own term commit by counting; earlier ones
            # commit with them.
            return
        state.commit_to(index)

    def _match_of(self, replica: ids.ReplicaId) -> ids.LogIndex:
        if replica == self._state.identity:
            return self._state.persisted
        return self.progress_by_id[replica].match

    # Lease and reads.

    def quorum_acked_at(self) -> float:
        """Latest time since which a majority has followed this leader."""
        state = self._state
        times = sorted(
            (
                state.now
                if replica == state.identity
                else self.progress_by_id[replica].acked_at
                for replica in state.configuration.voter_ids
            ),
            reverse=True,
        )
        return times[state.configuration.majority - 1]

    def lost_quorum(self) -> bool:
        """Whether no majority has answered for an election timeout."""
        since = max(self.quorum_acked_at(), self.elected_at)
        return self._state.now > since + self._state.timings.election_max_s

    def has_lease(self) -> bool:
        """Whether no other replica can lead yet."""
        state = self._state
        return state.now < self.quorum_acked_at() + state.timings.lease_s

    def request_read(self, id: int) -> None:
        """Answer at once under a lease, else after a majority confirms."""
        state = self._state
        index = ids.LogIndex(max(state.commit, self.term_start))
        self._reads.append(_Read(id, index, state.now))
        self.answer_reads()
        if self._reads:
            self._heartbeat()

    def answer_reads(self) -> None:
        """Answer the reads whose state is confirmed and applied."""
        if not self._reads:
            return
        state = self._state
        confirmed = self.quorum_acked_at()
        leased = self.has_lease()
        waiting = []
        for read in self._reads:
            current = leased or confirmed >= read.asked_at
            if current and state.applied >= read.index:
                state.actions.append(events.ReadReady(read.id, read.index))
            else:
                waiting.append(read)
        self._reads = waiting

    def drop_reads(self) -> list[int]:
        """Return the ids of all waiting reads and forget them."""
        dropped = [read.id for read in self._reads]
        self._reads = []
        return dropped

    def best_successor(self) -> ids.ReplicaId | None:
        """The voter with the most of the log that answered recently."""
        state = self._state
        recent = state.now - state.timings.election_max_s
        found = [
            (progress.match, replica)
            for replica, progress in self.progress_by_id.items()
            if replica in state.configuration.voter_ids
            and progress.acked_at >= recent
        ]
        return max(found)[1] if found else None
