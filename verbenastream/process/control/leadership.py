"""Whether this process may act as the control leader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import logbook

from verbenastream.connection import peers
from verbenastream.process import agreement
from verbenastream.process.control import errors

if TYPE_CHECKING:
    from verbenastream import ids
    from verbenastream.process.control import replicas

LOG = logbook.Logger(__name__)

_POLL_INTERVAL_S = 0.02
# Without a majority, a read barrier would wait until the leader steps down.
_BARRIER_TIMEOUT_S = 1.0


class Leadership:
    """Runs ``on_start`` once per term, after a read barrier.

    Before the barrier completes, the state may lack commands that the previous
    leader has acknowledged; a renewal answered from it would carry an older
    revision.
    """

    def __init__(
        self, replica: replicas.Replica, on_start: Callable[[], None]
    ) -> None:
        self._replica = replica
        self._on_start = on_start
        self._ready_term: ids.Term | None = None

    @property
    def ready(self) -> bool:
        """Whether this process leads, holds its lease and is up to date."""
        return (
            self._ready_term is not None
            and self._replica.is_leader
            and self._replica.term == self._ready_term
        )

    def require_ready(self) -> None:
        """Raise ``NotLeaderError`` or ``NotReadyError`` unless ready."""
        if self.ready:
            return
        if not self._replica.is_leader:
            raise peers.NotLeaderError(self._replica.leader)
        raise errors.NotReadyError(
            'the leader has not caught up yet', 'Repeat the call at once.'
        )

    async def run(self) -> None:
        """Poll the role of the replica until cancelled."""
        while True:
            await self.update()
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def update(self) -> None:
        """Call ``on_start`` once a new leader has passed its read barrier."""
        if not self._replica.is_leader or self.ready:
            return
        term = self._replica.term
        try:
            await asyncio.wait_for(
                self._replica.read_barrier(), _BARRIER_TIMEOUT_S
            )
        except (
            peers.PeerError,
            agreement.OutcomeUnknownError,
            asyncio.TimeoutError,
        ) as error:
            LOG.warning('leadership not ready, will retry: {!r}', error)
            return
        if self._replica.term != term:
            return
        self._on_start()
        self._ready_term = term
        LOG.info('this process leads', extra={'term': term})
