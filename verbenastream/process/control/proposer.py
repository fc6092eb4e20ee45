"""Proposes commands and runs read barriers while this process leads."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from verbenastream.process import agreement
from verbenastream.process.control import errors
from verbenastream import wire

if TYPE_CHECKING:
    from verbenastream.process.control import leadership
    from verbenastream.process.control import replicas
    from verbenastream.process import state


# An operator's client tries the next process after a few seconds, so the
# answer must come earlier.
_BARRIER_TIMEOUT_S = 2.0


class Proposer:
    """Passes commands to the replica if this process is a ready leader."""

    def __init__(
        self, replica: replicas.Replica, leader: leadership.Leadership
    ) -> None:
        self._replica = replica
        self._leader = leader

    async def propose(self, command: state.Command) -> Any:
        """Commit the command and return its result.

        Raises ``NotLeaderError``, ``NotReadyError`` or
        ``ReplicaOutcomeUnknownError``.
        """
        self._leader.require_ready()
        try:
            return await self._replica.propose(wire.encode(command))
        except agreement.OutcomeUnknownError as error:
            raise errors.ReplicaOutcomeUnknownError(
                f'leadership was lost: {error.message}',
                'Repeat the call with the same id.',
            ) from error

    async def read_barrier(self) -> None:
        """Wait until the state includes all completed commands."""
        self._leader.require_ready()
        try:
            await asyncio.wait_for(
                self._replica.read_barrier(), _BARRIER_TIMEOUT_S
            )
        except asyncio.TimeoutError:
            raise errors.NotReadyError(
                'no majority of the replicas answers', 'Try again.'
            ) from None
