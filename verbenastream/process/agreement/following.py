"""Follower side of replication: appends and snapshot parts."""

from __future__ import annotations

import dataclasses

from verbenastream import ids
from verbenastream.process.agreement import events
from verbenastream.process.agreement import messages
from verbenastream.process.agreement import state as replica_state

Role = replica_state.Role


@dataclasses.dataclass(slots=True)
class _Partial:
    index: ids.LogIndex
    index_term: ids.Term
    data: bytearray


class Following:
    """Accepts the log of the current leader."""

    def __init__(self, state: replica_state.ReplicaState) -> None:
        self._state = state
        self._partial: _Partial | None = None

    def _note_leader(self, leader: ids.ReplicaId) -> None:
        state = self._state
        state.role = Role.FOLLOWER
        state.leader = leader
        state.heard_at = state.now
        state.reset_election_timer()

    def handle_append(
        self, envelope: messages.Envelope, request: messages.AppendRequest
    ) -> None:
        """Take over entries or a heartbeat, and answer."""
        state = self._state
        if request.term < state.term:
            self._reply_append(envelope, request, False, state.log.last_index)
            return
        self._note_leader(envelope.sender)
        prev = request.prev_index
        entries = request.entries
        if prev < state.commit:
            # Committed entries are the same on the leader; skip them.
            skipped = min(state.commit - prev, len(entries))
            entries = entries[skipped:]
            prev = ids.LogIndex(prev + skipped)
        elif state.log.term_at(prev) != request.prev_term:
            self._reply_append(envelope, request, False, self._hint(prev))
            return
        self._append(prev, entries)
        last = ids.LogIndex(prev + len(entries))
        if last >= state.commit:
            state.commit_to(ids.LogIndex(min(request.commit, last)))
        if request.entries or last <= state.persisted:
            self._reply_append(envelope, request, True, last)
        else:
            # A heartbeat is answered at once, so that a slow disk does not
            # cost the leader its lease; only durable entries are confirmed.
            reply = self._append_reply(request, True, state.persisted)
            state.send_after_vote(state.reply(envelope, reply))

    def _append(
        self, prev: ids.LogIndex, entries: tuple[messages.Entry, ...]
    ) -> None:
        """Append what is missing; drop own entries that conflict."""
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

    def _hint(self, prev: ids.LogIndex) -> ids.LogIndex:
        """The last index that may match, skipping a conflicting term."""
        log = self._state.log
        if prev > log.last_index:
            return log.last_index
        conflicting = log.term_at(prev)
        index = prev
        while index > self._state.commit and (
            log.term_at(index) == conflicting
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
            state.send_after_writes(reply)
        else:
            state.send_after_vote(reply)

    def handle_snapshot(
        self, envelope: messages.Envelope, request: messages.SnapshotRequest
    ) -> None:
        """Take over one part of a snapshot, and answer."""
        state = self._state
        if request.term < state.term:
            self._reply_snapshot(envelope, request, 0, False)
            return
        self._note_leader(envelope.sender)
        if request.index <= state.commit:
            self._reply_snapshot(envelope, request, request.size, True)
            return
        partial = self._partial
        if partial is None or (partial.index, partial.index_term) != (
            request.index,
            request.index_term,
        ):
            partial = _Partial(request.index, request.index_term, bytearray())
            self._partial = partial
        if request.offset == len(partial.data):
            partial.data += request.data
        if len(partial.data) < request.size:
            self._reply_snapshot(envelope, request, len(partial.data), False)
            return
        self._install(request, bytes(partial.data))
        self._partial = None
        self._reply_snapshot(envelope, request, request.size, True)

    def _install(self, request: messages.SnapshotRequest, data: bytes) -> None:
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
            state.send_after_writes(reply)
        else:
            state.send_after_vote(reply)
