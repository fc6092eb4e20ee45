"""Proposes commands with the time of the log."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from verbenastream.process import agreement
from verbenastream.process.control import errors
from verbenastream import wire

if TYPE_CHECKING:
    from verbenastream.process.control import leadership
    from verbenastream.process.control import replicas
    from verbenastream.process import state


class Proposer:
    """Only a leader that has caught up proposes."""

    def __init__(
        self, replica: replicas.Replica, leader: leadership.Leadership
    ) -> None:
        self._replica = replica
        self._leader = leader

    async def propose(self, command: state.Command) -> Any:
        """Return the result of the command.

        Raises ``NotLeaderError``, ``NotReadyError`` or
        ``ReplicaOutcomeUnknownError``.
        """
        self._leader.require()
        try:
            return await self._replica.propose(wire.encode(command))
        except agreement.OutcomeUnknownError as error:
            raise errors.ReplicaOutcomeUnknownError(
                f'leadership was lost: {error.message}',
                'Repeat the call with the same id.',
            ) from error
