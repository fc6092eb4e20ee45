"""Follower side of replication: appends and snapshot parts."""

from __future__ import annotations

import dataclasses

from verbenastream import ids
from verbenastream.process.agreement import events
from verbenastream.process.agreement import messages
from verbenastream.process.agreement import state as replica_state

Role = replica_state.Role


@dataclasses.dataclass(slots=True)
class _PartialSnapshot:
    """A snapshot of which the first bytes have arrived."""

    index: ids.LogIndex
    index_term: ids.Term
    data: bytearray


class Follower:
    """Accepts log entries and snapshots from the current leader."""

    def __init__(self, state: replica_state.ReplicaState) -> None:
        self._state = state
        self._partial_snapshot: _PartialSnapshot | None = None

    def _follow_leader(self, leader: ids.ReplicaId) -> None:
        state = self._state
        state.role = Role.FOLLOWER
        state.leader = leader
        state.leader_contact_at = state.now
        state.reset_election_timer()

    def handle_append(
        self, envelope: messages.Envelope, request: messages.AppendRequest
    ) -> None:
        """Append the entries of a request, and reply."""
        state = self._state
        if request.term < state.term:
            self._reply_append(envelope, request, False, state.log.last_index)
            return
        self._follow_leader(envelope.sender)
        prev = request.prev_index
        entries = request.entries
        if prev < state.commit:
            # The leader has the same committed entries, so they are skipped.
            skipped = min(state.commit - prev, len(entries))
            entries = entries[skipped:]
            prev = ids.LogIndex(prev + skipped)
        elif state.log.term_at(prev) != request.prev_term:
            self._reply_append(
                envelope, request, False, self._match_hint(prev)
            )
            return
        self._append(prev, entries)
        last = ids.LogIndex(prev + len(entries))
        if last >= state.commit:
            state.commit_to(ids.LogIndex(min(request.commit, last)))
        if request.entries or last <= state.persisted:
            self._reply_append(envelope, request, True, last)
        else:
            # A heartbeat is answered without waiting for entry writes, so
            # that a slow disk does not cost the leader its lease. Only
            # durable entries are confirmed.
            reply = self._append_reply(request, True, state.persisted)
            state.send_once_vote_durable(state.reply(envelope, reply))

    def _append(
        self, prev: ids.LogIndex, entries: tuple[messages.Entry, ...]
    ) -> None:
        """Append missing entries; drop own entries that conflict."""
        state = self._state
        for position, entry in enumerate(entries):
            term = state.log.term_at(entry.index)
            if term == entry.term:
                continue
            truncate_after = None
            if term is not None:
                truncate_after = ids.LogIndex(entry.index - 1)
            state.append(entries[position:], truncate_after)
            return

    def _match_hint(self, prev: ids.LogIndex) -> ids.LogIndex:
        """Return the last index that may match the leader's log.

        All uncommitted entries of a conflicting term are skipped at once.
        """
        log = self._state.log
        if prev > log.last_index:
            return log.last_index
        conflicting_term = log.term_at(prev)
        index = prev
        while index > self._state.commit and (
            log.term_at(index) == conflicting_term
        ):
            index = ids.LogIndex(index - 1)
        return index

    def _append_reply(
        self,
        request: messages.AppendRequest,
        accepted: bool,
        match: ids.LogIndex,
    ) -> messages.AppendReply:
        return messages.AppendReply(
            self._state.term, accepted, match, request.sent_at
        )

    def _reply_append(
        self,
        envelope: messages.Envelope,
        request: messages.AppendRequest,
        accepted: bool,
        match: ids.LogIndex,
    ) -> None:
        state = self._state
        reply = state.reply(
            envelope, self._append_reply(request, accepted, match)
        )
        if accepted and match > state.persisted:
            state.send_once_writes_durable(reply)
        else:
            state.send_once_vote_durable(reply)

    def handle_snapshot(
        self, envelope: messages.Envelope, request: messages.SnapshotRequest
    ) -> None:
        """Store one part of a snapshot, and reply."""
        state = self._state
        if request.term < state.term:
            self._reply_snapshot(envelope, request, 0, False)
            return
        self._follow_leader(envelope.sender)
        if request.index <= state.commit:
            self._reply_snapshot(envelope, request, request.size, True)
            return
        partial = self._partial_snapshot
        if partial is None or (partial.index, partial.index_term) != (
            request.index,
            request.index_term,
        ):
            partial = _PartialSnapshot(
                request.index, request.index_term, bytearray()
            )
            self._partial_snapshot = partial
        if request.offset == len(partial.data):
            partial.data += request.data
        if len(partial.data) < request.size:
            self._reply_snapshot(envelope, request, len(partial.data), False)
            return
        self._install_snapshot(request, bytes(partial.data))
        self._partial_snapshot = None
        self._reply_snapshot(envelope, request, request.size, True)

    def _install_snapshot(
        self, request: messages.SnapshotRequest, data: bytes
    ) -> None:
        state = self._state
        snapshot = messages.Snapshot(
            request.index, request.index_term, request.configuration, data
        )
        state.log.replace(snapshot)
        state.commit = snapshot.index
        state.applied = snapshot.index
        state.save_snapshot(snapshot, first_kept=None)
        state.actions.append(events.Restore(snapshot))

    def _reply_snapshot(
        self,
        envelope: messages.Envelope,
        request: messages.SnapshotRequest,
        offset: int,
        done: bool,
    ) -> None:
        state = self._state
        reply = state.reply(
            envelope,
            messages.SnapshotReply(
                state.term, request.index, offset, done, request.sent_at
            ),
        )
        if done:
            state.send_once_writes_durable(reply)
        else:
            state.send_once_vote_durable(reply)
