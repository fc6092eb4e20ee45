"""The Raft state machine of one replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenastream import ids
from verbenastream.process.agreement import elections
from verbenastream.process.agreement import events
from verbenastream.process.agreement import following
from verbenastream.process.agreement import leading
from verbenastream.process.agreement import membership
from verbenastream.process.agreement import messages
from verbenastream.process.agreement import state as replica_state
from verbenastream import wire

if TYPE_CHECKING:
    import random

Role = replica_state.Role


class RaftCore:
    """Decides what one replica sends, writes and applies.

    The core performs no I/O and reads no clock. ``handle`` takes an event and
    the monotonic time in seconds and returns the actions to carry out, in
    order::

        for action in core.handle(events.Tick(), now):
            driver.carry_out(action)
    """

    def __init__(
        self,
        stored: replica_state.StoredState,
        rng: random.Random,
        now: float,
        timings: replica_state.Timings = replica_state.Timings(),
        limits: replica_state.Limits = replica_state.Limits(),
    ) -> None:
        state = replica_state.ReplicaState(stored, timings, limits, rng, now)
        self.state = state
        self.leading = leading.Leader(state)
        self._elections = elections.Elections(state)
        self._follower = following.Follower(state)
        self._membership = membership.Membership(state, self.leading)

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads, with or without a lease."""
        return self.state.role is Role.LEADER

    def holds_lease(self, now: float) -> bool:
        """Whether no other replica can lead at ``now``."""
        self.state.now = max(self.state.now, now)
        return self.is_leader and self.leading.has_lease()

    def wants_to_join(self, now: float) -> bool:
        """Whether this replica should ask the others to add it.

        That is so while its log is empty, and while it hears from no leader.
        A learner may be unknown to the next leader if the one that added it
        stepped down before the membership change was committed. A voter that
        was silent for long may have been removed, which its own log does not
        show.
        """
        self.state.now = max(self.state.now, now)
        return not self.state.log.last_index or not (
            self.is_leader or self.state.has_recent_leader()
        )

    @property
    def deadline(self) -> float:
        """When the next ``Tick`` is due."""
        match self.state.role:
            case Role.FAILED:
                return float('inf')
            case Role.LEADER:
                return self.leading.deadline
        return self.state.election_deadline

    def handle(self, event: events.Event, now: float) -> list[events.Action]:
        """Process ``event`` and return the actions to carry out in order."""
        state = self.state
        state.now = max(state.now, now)
        state.actions = []
        if state.role is Role.FAILED:
            self._handle_while_failed(event)
            return state.actions
        self._dispatch(event)
        if state.role is Role.LEADER:
            self._after_leader_event()
        return state.actions

    def _dispatch(self, event: events.Event) -> None:
        match event:
            case events.Tick():
                self._tick()
            case events.MessageReceived(envelope=envelope):
                self._receive(envelope)
            case events.SendFailed(envelope=envelope):
                if self.is_leader:
                    self.leading.handle_send_failure(
                        envelope.recipient, envelope.sequence
                    )
            case events.Persisted(sequence=sequence):
                self._handle_persisted(sequence)
            case events.Proposed(payloads_by_id=payloads_by_id):
                self._propose(payloads_by_id)
            case events.ReadRequested(id=id):
                if self.is_leader:
                    self.leading.request_read(id)
                else:
                    self._refuse(event)
            case events.SnapshotTaken(index=index, data=data):
                self._take_snapshot(index, data)
            case events.StorageFailed(reason=reason):
                self._fail(reason)
            case events.TransferRequested():
                if self.is_leader:
                    self._transfer_leadership('the replica is stopping')
            case events.JoinRequested(member=member):
                if self.is_leader:
                    self._membership.request_join(member)
            case events.LeaveAnnounced(replica=replica):
                self._membership.record_leave(replica)
            case events.BootstrapRequested(configuration=configuration):
                self._bootstrap(configuration)

    def _after_leader_event(self) -> None:
        state = self.state
        if self.leading.lost_quorum():
            self._step_down('a majority of replicas does not answer')
            return
        self.leading.answer_reads()
        self._membership.advance()
        committed = state.log.configuration_index <= state.commit
        if committed and not state.is_voter:
            self._transfer_leadership('the replica is no longer a voter')

    def _tick(self) -> None:
        if self.is_leader:
            self.leading.tick()
        else:
            self._elections.tick()

    # Messages.

    def _receive(self, envelope: messages.Envelope) -> None:
        state = self.state
        if envelope.recipient != state.identity:
            return
        message = envelope.message
        if isinstance(
            message, (messages.Join, messages.JoinReply, messages.Leave)
        ):
            return
        if message.term > state.term and self._should_adopt_term(message):
            self._adopt_term(message.term)
        match message:
            case messages.VoteRequest():
                self._elections.handle_request(envelope, message)
            case messages.VoteReply():
                if self._elections.handle_reply(envelope.sender, message):
                    self._become_leader()
            case messages.AppendRequest():
                self._follower.handle_append(envelope, message)
            case messages.SnapshotRequest():
                self._follower.handle_snapshot(envelope, message)
            case messages.AppendReply() if self.is_leader:
                self.leading.handle_append_reply(envelope, message)
            case messages.SnapshotReply() if self.is_leader:
                self.leading.handle_snapshot_reply(envelope, message)
            case messages.TimeoutNow():
                if message.term == state.term and not self.is_leader:
                    self._elections.start_for_transfer()

    def _should_adopt_term(self, message: messages.Message) -> bool:
        """Whether a later term in ``message`` becomes the current term.

        The term of a pre-vote does not, nor that of a vote request while
        there is a recent leader. Otherwise a single replica that is cut off
        from the leader could end the leader's term.
        """
        state = self.state
        match message:
            case messages.VoteRequest(pre_vote=True):
                return False
            case messages.VoteRequest(transfer=False):
                return not (self.is_leader or state.has_recent_leader())
        return True

    def _adopt_term(self, term: ids.Term) -> None:
        state = self.state
        if self.is_leader:
            self._step_down('another replica has a later term')
        state.role = Role.FOLLOWER
        state.leader = None
        state.set_term(term, None)

    def _handle_persisted(self, sequence: int) -> None:
        self.state.handle_persisted(sequence)
        if self._elections.count_own_vote():
            self._become_leader()
        elif self.is_leader:
            self.leading.advance_commit()

    def _become_leader(self) -> None:
        self._membership.clear()
        self.leading.start()

    # Commands.

    def _propose(self, payloads_by_id: dict[int, bytes]) -> None:
        state = self.state
        uncommitted_bytes = state.log.bytes_after(state.commit)
        if (
            not self.is_leader
            or uncommitted_bytes > state.limits.max_uncommitted_bytes
        ):
            for id in payloads_by_id:
                state.actions.append(events.Refused(id, state.leader))
            return
        first = state.log.last_index + 1
        for position, id in enumerate(payloads_by_id):
            state.actions.append(
                events.Appended(id, ids.LogIndex(first + position), state.term)
            )
        self.leading.append(
            messages.EntryKind.COMMAND, tuple(payloads_by_id.values())
        )

    def _handle_while_failed(self, event: events.Event) -> None:
        if isinstance(event, events.StorageRecovered):
            self._resume()
        else:
            self._refuse(event)

    def _refuse(self, event: events.Event) -> None:
        state = self.state
        match event:
            case events.Proposed(payloads_by_id=payloads_by_id):
                for id in payloads_by_id:
                    state.actions.append(events.Refused(id, state.leader))
            case events.ReadRequested(id=id):
                state.actions.append(events.Refused(id, state.leader))

    def _take_snapshot(self, index: ids.LogIndex, data: bytes) -> None:
        state = self.state
        current = state.log.snapshot
        if current is not None and index <= current.index:
            return
        term = state.log.term_at(index)
        assert term is not None and index <= state.applied
        snapshot = messages.Snapshot(
            index, term, state.log.configuration_at(index), data
        )
        first_kept = state.log.compact(
            snapshot, state.limits.kept_entries, state.limits.kept_bytes
        )
        state.save_snapshot(snapshot, first_kept)

    def _bootstrap(self, configuration: messages.Configuration) -> None:
        state = self.state
        if state.log.last_index > 0:
            return
        state.set_term(ids.Term(max(state.term, 1)), state.voted_for)
        entry = messages.Entry(
            ids.LogIndex(1),
            state.term,
            messages.EntryKind.CONFIGURATION,
            wire.encode(configuration),
        )
        state.append((entry,))

    # Stepping down.

    def _step_down(self, reason: str) -> None:
        state = self.state
        state.role = Role.FOLLOWER
        state.leader = None
        state.reset_election_timer()
        for id in self.leading.drop_reads():
            state.actions.append(events.Refused(id, None))
        state.actions.append(events.SteppedDown(reason))

    def _transfer_leadership(self, reason: str) -> None:
        """Step down, then ask the best follower to start an election.

        Stepping down comes first, because it ends the lease: voters grant
        the vote of a transfer although they heard from this leader recently.
        """
        state = self.state
        successor = self.leading.best_successor()
        self._step_down(reason)
        if successor is not None:
            request = messages.TimeoutNow(state.term)
            state.actions.append(
                events.Send(state.request(successor, request))
            )

    def _fail(self, reason: str) -> None:
        state = self.state
        if self.is_leader:
            self._transfer_leadership(reason)
        state.role = Role.FAILED
        state.failure = reason
        state.leader = None
        state.drop_pending_messages()

    def _resume(self) -> None:
        """Follow again after a storage failure.

        Memory holds nothing that the disk lacks, because the writes that
        failed are complete. Entries of the time in between come from the
        leader.
        """
        state = self.state
        state.role = Role.FOLLOWER
        state.failure = ''
        state.reset_election_timer()
