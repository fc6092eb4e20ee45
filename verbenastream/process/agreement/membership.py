"""Membership changes, one at a time, made by the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from verbenastream.process.agreement import messages
from verbenastream.process.agreement import state as replica_state
from verbenastream import wire

if TYPE_CHECKING:
    from verbenastream import ids
    from verbenastream.process.agreement import leading


class Membership:
    """Replaces a lost identity by a new one with the same name.

    The new identity first receives the log as a learner. Once it has caught
    up, the old identity is removed and the new one becomes a voter, in two
    changes, each committed before the next.
    """

    def __init__(
        self,
        state: replica_state.ReplicaState,
        leader: leading.Leading,
    ) -> None:
        self._state = state
        self._leader = leader
        self._joining_by_name: dict[str, messages.Member] = {}

    def clear(self) -> None:
        """Forget requests to join; a new leader hears of them again."""
        self._joining_by_name = {}

    def request_join(self, member: messages.Member) -> None:
        """Add a member as soon as no other change is under way."""
        self._joining_by_name[member.name] = member
        self.advance()

    def advance(self) -> None:
        """Make the next change if none is under way."""
        state = self._state
        if (
            state.commit < self._leader.term_start
            or state.log.configuration_index > state.commit
        ):
            return
        change = self._next_change(state.configuration)
        if change is not None:
            self._leader.append(
                messages.EntryKind.CONFIGURATION, (wire.encode(change),)
            )

    def _next_change(
        self, now: messages.Configuration
    ) -> messages.Configuration | None:
        for member in self._joining_by_name.values():
            if now.find(member.id) is None and not self._replaces_live(member):
                others = _without_name(now.learners, member.name)
                return msgspec.structs.replace(now, learners=(*others, member))
        for learner in now.learners:
            if self._has_caught_up(learner.id):
                return self._promote(now, learner)
        return self._without_silent(now)

    def _without_silent(
        self, now: messages.Configuration
    ) -> messages.Configuration | None:
        """Leave out a voter that is gone and has been replaced."""
        state = self._state
        limits = state.limits
        silent_since = state.now - limits.silent_s
        if not limits.min_voters or len(now.voters) <= limits.min_voters:
            return None
        if self._leader.elected_at > silent_since:
            return None
        for voter in now.voters:
            progress = self._leader.progress_by_id.get(voter.id)
            if progress is None or progress.acked_at > silent_since:
                continue
            remaining = _without_name(now.voters, voter.name)
            answering = sum(self._answers(member.id) for member in remaining)
            if answering >= len(remaining) // 2 + 1:
                return msgspec.structs.replace(now, voters=remaining)
        return None

    def _promote(
        self, now: messages.Configuration, learner: messages.Member
    ) -> messages.Configuration | None:
        voters = _without_name(now.voters, learner.name)
        if len(voters) < len(now.voters):
            if self._can_lose_old(voters, learner):
                return msgspec.structs.replace(now, voters=voters)
            return None
        return messages.Configuration(
            voters=(*now.voters, learner),
            learners=_without_name(now.learners, learner.name),
        )

    def _can_lose_old(
        self,
        remaining: tuple[messages.Member, ...],
        learner: messages.Member,
    ) -> bool:
        """Whether enough replicas answer to commit both changes."""
        answering = sum(1 for member in remaining if self._answers(member.id))
        return (
            answering >= len(remaining) // 2 + 1
            and answering + 1 >= (len(remaining) + 1) // 2 + 1
            and self._answers(learner.id)
        )

    def _answers(self, replica: ids.ReplicaId) -> bool:
        state = self._state
        if replica == state.identity:
            return True
        progress = self._leader.progress_by_id.get(replica)
        recent = state.now - state.timings.election_max_s
        return progress is not None and progress.acked_at >= recent

    def _replaces_live(self, member: messages.Member) -> bool:
        """Two running processes have the same name; keep the member."""
        return any(
            voter.name == member.name and self._answers(voter.id)
            for voter in self._state.configuration.voters
        )

    def _has_caught_up(self, replica: ids.ReplicaId) -> bool:
        state = self._state
        progress = self._leader.progress_by_id.get(replica)
        return (
            progress is not None
            and progress.match + state.limits.learner_lag
            >= state.log.last_index
            and progress.match >= self._leader.term_start
        )


def _without_name(
    members: tuple[messages.Member, ...], name: str
) -> tuple[messages.Member, ...]:
    return tuple(member for member in members if member.name != name)
