"""Pre-votes, votes and the election timer."""

from __future__ import annotations

from verbenastream import ids
from verbenastream.process.agreement import messages
from verbenastream.process.agreement import state as replica_state

Role = replica_state.Role


class Elections:
    """Asks for votes as a candidate and grants votes as a voter."""

    def __init__(self, state: replica_state.ReplicaState) -> None:
        self._state = state
        self._granted_voters: set[ids.ReplicaId] = set()
        self._is_transfer = False

    def tick(self) -> None:
        """Start a pre-vote if the election timeout has passed.

        A learner only forgets the leader that it no longer hears from.
        """
        state = self._state
        if state.role is Role.LEADER or state.now < state.election_deadline:
            return
        if not state.is_voter:
            state.leader = None
            state.reset_election_timer()
            return
        self._start_pre_vote()

    def start_for_transfer(self) -> None:
        """Start an election at once, because the leader asked for it."""
        if self._state.is_voter:
            self._start_vote(transfer=True)

    def _start_pre_vote(self) -> None:
        state = self._state
        state.role = Role.PRE_CANDIDATE
        state.leader = None
        # A failed pre-vote is repeated after a shorter timeout than the first
        # one, because by then no leader has been heard from for at least the
        # minimum election timeout.
        state.election_deadline = state.now + state.rng.uniform(
            state.timings.heartbeat_s, state.timings.election_min_s
        )
        self._granted_voters = {state.identity}
        if self._has_majority():
            self._start_vote(transfer=False)
            return
        self._request_votes(ids.Term(state.term + 1), pre_vote=True)

    def _start_vote(self, transfer: bool) -> None:
        state = self._state
        state.role = Role.CANDIDATE
        state.leader = None
        self._is_transfer = transfer
        state.reset_election_timer()
        state.set_term(ids.Term(state.term + 1), state.identity)
        self._granted_voters = set()
        self._request_votes(state.term, pre_vote=False)

    def _request_votes(self, term: ids.Term, pre_vote: bool) -> None:
        state = self._state
        request = messages.VoteRequest(
            term,
            state.log.last_index,
            state.log.last_term,
            pre_vote,
            self._is_transfer and not pre_vote,
        )
        for member in state.configuration.voters:
            if member.id != state.identity:
                state.send_once_vote_durable(state.request(member.id, request))

    def count_own_vote(self) -> bool:
        """Count this replica's vote for itself once it is durable.

        Returns whether the replica is now elected.
        """
        state = self._state
        if state.role is not Role.CANDIDATE or not state.vote_is_durable():
            return False
        self._granted_voters.add(state.identity)
        return self._has_majority()

    def handle_request(
        self, envelope: messages.Envelope, request: messages.VoteRequest
    ) -> None:
        """Grant or reject a vote.

        A voter that heard from a leader recently grants a vote only for a
        leadership transfer.
        """
        state = self._state
        has_leader = state.role is Role.LEADER or state.has_recent_leader()
        if has_leader and not request.transfer:
            self._reply(envelope, False, request.pre_vote)
            return
        if request.pre_vote:
            granted = request.term > state.term and self._log_is_up_to_date(
                request
            )
            self._reply(envelope, granted, True)
            return
        granted = (
            request.term == state.term
            and state.voted_for in (None, envelope.sender)
            and self._log_is_up_to_date(request)
        )
        if granted:
            state.reset_election_timer()
            if state.voted_for is None:
                state.set_term(state.term, envelope.sender)
        self._reply(envelope, granted, False)

    def _reply(
        self, envelope: messages.Envelope, granted: bool, pre_vote: bool
    ) -> None:
        state = self._state
        reply = messages.VoteReply(state.term, granted, pre_vote)
        state.send_once_vote_durable(state.reply(envelope, reply))

    def _log_is_up_to_date(self, request: messages.VoteRequest) -> bool:
        log = self._state.log
        return (request.last_term, request.last_index) >= (
            log.last_term,
            log.last_index,
        )

    def handle_reply(
        self, sender: ids.ReplicaId, reply: messages.VoteReply
    ) -> bool:
        """Count a vote; return whether this replica is now elected."""
        state = self._state
        required_role = (
            Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        )
        if state.role is not required_role or not reply.granted:
            return False
        if not reply.pre_vote and reply.term != state.term:
            return False
        if reply.pre_vote and reply.term > state.term:
            return False
        self._granted_voters.add(sender)
        if not self._has_majority():
            return False
        if reply.pre_vote:
            self._start_vote(transfer=False)
            return False
        return True

    def _has_majority(self) -> bool:
        configuration = self._state.configuration
        granted = self._granted_voters & configuration.voter_ids
        return len(granted) >= configuration.majority
