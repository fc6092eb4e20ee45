"""Membership changes, which the leader makes one at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from verbenastream.process.agreement import messages
from verbenastream.process.agreement import state as replica_state
from verbenastream import wire

if TYPE_CHECKING:
    from verbenastream import ids
    from verbenastream.process.agreement import leading


# How long a replica may still answer after it has announced its stop.
_STOPPING_S = 3.0


class Membership:
    """Replaces a lost voter by a new replica with the same name.

    The new replica first receives the log as a learner. Once it has caught
    up, the old voter is removed and the learner becomes a voter, in two
    changes, each committed before the next.
    """

    def __init__(
        self,
        state: replica_state.ReplicaState,
        leader: leading.Leader,
    ) -> None:
        self._state = state
        self._leader = leader
        self._joining_by_name: dict[str, messages.Member] = {}
        # When voters announced that they stop.
        self._left_at_by_id: dict[ids.ReplicaId, float] = {}

    def clear(self) -> None:
        """Drop the join requests; replicas repeat them to a new leader.

        Who has left is kept: it was announced to all replicas.
        """
        self._joining_by_name = {}

    def request_join(self, member: messages.Member) -> None:
        """Add a member once no other change is in progress."""
        self._joining_by_name[member.name] = member
        self._left_at_by_id.pop(member.id, None)
        self.advance()

    def record_leave(self, replica: ids.ReplicaId) -> None:
        """Record that a voter stops, so that it is removed without delay.

        It is removed as others are, only while there are enough voters: one
        that merely restarts stays.
        """
        self._left_at_by_id[replica] = self._state.now

    def advance(self) -> None:
        """Make the next change if none is in progress."""
        state = self._state
        if (
            state.commit < self._leader.term_start
            or state.log.configuration_index > state.commit
        ):
            return
        configuration = self._next_configuration(state.configuration)
        if configuration is not None:
            self._leader.append(
                messages.EntryKind.CONFIGURATION, (wire.encode(configuration),)
            )

    def _next_configuration(
        self, current: messages.Configuration
    ) -> messages.Configuration | None:
        for member in self._joining_by_name.values():
            if current.find(
                member.id
            ) is None and not self._name_has_responsive_voter(member):
                others = _without_name(current.learners, member.name)
                return msgspec.structs.replace(
                    current, learners=(*others, member)
                )
        for learner in current.learners:
            if self._has_caught_up(learner.id):
                return self._next_promotion_step(current, learner)
        return self._without_unresponsive_voter(current)

    def _without_unresponsive_voter(
        self, current: messages.Configuration
    ) -> messages.Configuration | None:
        """Return the configuration without an unresponsive voter.

        None if there is no such voter, if no more than ``min_voters`` vote,
        or if too few of the remaining voters respond to commit the change.
        """
        state = self._state
        limits = state.limits
        if not limits.min_voters or len(current.voters) <= limits.min_voters:
            return None
        for voter in current.voters:
            progress = self._leader.progress_by_id.get(voter.id)
            delay_s = limits.removal_delay_s
            if self._has_left(voter.id):
                delay_s = state.timings.election_max_s
            if progress is None or state.now - delay_s < max(
                progress.acked_at, self._leader.elected_at
            ):
                continue
            remaining = _without_name(current.voters, voter.name)
            responsive = sum(
                self._is_responsive(member.id) for member in remaining
            )
            if responsive >= len(remaining) // 2 + 1:
                return msgspec.structs.replace(current, voters=remaining)
        return None

    def _has_left(self, replica: ids.ReplicaId) -> bool:
        """Whether a voter announced its stop and was not heard of since.

        It still answers requests for a while as it stops.
        """
        left_at = self._left_at_by_id.get(replica)
        progress = self._leader.progress_by_id.get(replica)
        if left_at is None or progress is None:
            return False
        if progress.acked_at > left_at + _STOPPING_S:
            # It has restarted.
            del self._left_at_by_id[replica]
            return False
        return True

    def _next_promotion_step(
        self, current: messages.Configuration, learner: messages.Member
    ) -> messages.Configuration | None:
        voters = _without_name(current.voters, learner.name)
        if len(voters) < len(current.voters):
            if self._can_remove_replaced_voter(voters, learner):
                return msgspec.structs.replace(current, voters=voters)
            return None
        return messages.Configuration(
            voters=(*current.voters, learner),
            learners=_without_name(current.learners, learner.name),
        )

    def _can_remove_replaced_voter(
        self,
        remaining: tuple[messages.Member, ...],
        learner: messages.Member,
    ) -> bool:
        """Whether enough replicas respond to commit both changes."""
        responsive = sum(
            1 for member in remaining if self._is_responsive(member.id)
        )
        return (
            responsive >= len(remaining) // 2 + 1
            and responsive + 1 >= (len(remaining) + 1) // 2 + 1
            and self._is_responsive(learner.id)
        )

    def _is_responsive(self, replica: ids.ReplicaId) -> bool:
        state = self._state
        if replica == state.identity:
            return True
        progress = self._leader.progress_by_id.get(replica)
        responsive_since = state.now - state.timings.election_max_s
        return progress is not None and progress.acked_at >= responsive_since

    def _name_has_responsive_voter(self, member: messages.Member) -> bool:
        """Whether a responsive voter already has the name of ``member``.

        Two running processes were then given the same name, and the voter
        stays.
        """
        return any(
            voter.name == member.name and self._is_responsive(voter.id)
            for voter in self._state.configuration.voters
        )

    def _has_caught_up(self, replica: ids.ReplicaId) -> bool:
        state = self._state
        progress = self._leader.progress_by_id.get(replica)
        return (
            progress is not None
            and progress.match + state.limits.max_learner_lag
            >= state.log.last_index
            and progress.match >= self._leader.term_start
        )


def _without_name(
    members: tuple[messages.Member, ...], name: str
) -> tuple[messages.Member, ...]:
    return tuple(member for member in members if member.name != name)
