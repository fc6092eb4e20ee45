"""State of one replica of the log, for operators and metrics."""

from __future__ import annotations

import msgspec

from verbenastream import ids
from verbenastream.process import agreement


class ReplicaStatus(msgspec.Struct, frozen=True):
    """State of one replica; ``lag_by_name`` is empty except on the leader."""

    id: ids.ReplicaId
    name: str
    role: agreement.Role
    term: ids.Term
    leader: str | None
    commit: ids.LogIndex
    applied: ids.LogIndex
    durable: ids.LogIndex
    first_index: ids.LogIndex
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    lag_by_name: dict[str, int]
    failure: str

    @classmethod
    def from_core(cls, name: str, core: agreement.RaftCore) -> ReplicaStatus:
        """Return the status of the replica ``name`` with a running core."""
        state = core.state
        configuration = state.configuration
        leader = configuration.find(state.leader)
        return cls(
            id=state.identity,
            name=name,
            role=state.role,
            term=state.term,
            leader=None if leader is None else leader.name,
            commit=state.commit,
            applied=state.applied,
            durable=state.persisted,
            first_index=ids.LogIndex(state.log.base_index + 1),
            voters=tuple(member.name for member in configuration.voters),
            learners=tuple(member.name for member in configuration.learners),
            lag_by_name=_lag_by_name(core),
            failure=state.failure,
        )

    @classmethod
    def before_opening(cls, name: str, failure: str) -> ReplicaStatus:
        """Return the status of a replica whose data folder is not open."""
        none = ids.LogIndex(0)
        return cls(
            id=ids.ReplicaId(''),
            name=name,
            role=agreement.Role.FAILED,
            term=ids.Term(0),
            leader=None,
            commit=none,
            applied=none,
            durable=none,
            first_index=none,
            voters=(),
            learners=(),
            lag_by_name={},
            failure=failure,
        )


def _lag_by_name(core: agreement.RaftCore) -> dict[str, int]:
    """Return how many log entries the other members lack, by their name."""
    if not core.is_leader:
        return {}
    lag_by_name = {}
    for member in core.state.configuration.members:
        progress = core.leading.progress_by_id.get(member.id)
        if progress is not None:
            lag = core.state.log.last_index - progress.match
            lag_by_name[member.name] = lag
    return lag_by_name
