"""Groups the claim batches of many entries into few log records."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING

from verbenastream.process.control import errors
from verbenastream.process import state
from verbenastream.request import claims

if TYPE_CHECKING:
    from verbenastream.process.control import log_clock

# Further records are proposed while earlier ones wait for their fsync.
_MAX_RECORDS_IN_FLIGHT = 4
_MAX_BATCHES_PER_RECORD = 256
# Each recorded answer has up to 64 KiB. A larger record would delay the
# heartbeats that are sent after it.
_MAX_BYTES_PER_RECORD = 4 * 2**20
_MAX_PENDING_BATCHES = 4_096

PendingBatch = tuple[claims.ClaimBatch, asyncio.Future[claims.ClaimBatchReply]]
ProposeClaims = Callable[[state.Command], Awaitable[state.ClaimsResult]]


class ClaimBatcher:
    """Collects claim batches while earlier log records are being written.

    ``propose`` commits one command and returns its result.
    """

    def __init__(
        self, propose: ProposeClaims, clock: log_clock.LogClock
    ) -> None:
        self._propose = propose
        self._clock = clock
        self._pending: collections.deque[PendingBatch] = collections.deque()
        self._in_flight: set[asyncio.Task[None]] = set()

    async def submit(self, batch: claims.ClaimBatch) -> claims.ClaimBatchReply:
        """Return the reply once the batch is committed.

        Raises ``NotReadyError`` if too many batches are pending or the
        state refuses the claims, so that the entry answers ``not-run``. In
        the second case the outcomes of the batch were recorded.
        """
        if len(self._pending) >= _MAX_PENDING_BATCHES:
            raise errors.NotReadyError(
                f'{_MAX_PENDING_BATCHES} claim calls are already pending',
                'Answer the callers with not-run.',
            )
        future: asyncio.Future[claims.ClaimBatchReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending.append((batch, future))
        # Calls that arrive in the same iteration of the event loop share a
        # record.
        asyncio.get_running_loop().call_soon(self._start_next_record)
        return await future

    def _start_next_record(self) -> None:
        if self._pending and len(self._in_flight) < _MAX_RECORDS_IN_FLIGHT:
            task = asyncio.create_task(self._commit(self._next_group()))
            self._in_flight.add(task)
            task.add_done_callback(self._on_record_done)

    def _on_record_done(self, task: asyncio.Task[None]) -> None:
        self._in_flight.discard(task)
        self._start_next_record()

    def _next_group(self) -> list[PendingBatch]:
        group: list[PendingBatch] = []
        size = 0
        while self._pending and len(group) < _MAX_BATCHES_PER_RECORD:
            size += _body_bytes(self._pending[0][0])
            if group and size > _MAX_BYTES_PER_RECORD:
                break
            group.append(self._pending.popleft())
        return group

    async def _commit(self, group: list[PendingBatch]) -> None:
        command = state.ApplyClaims(
            tuple(batch for batch, _ in group), self._clock.now()
        )
        try:
            result = await self._propose(command)
        except Exception as error:
            for _, future in group:
                _set_exception(future, error)
            return
        for (_, future), reply in zip(group, result.replies, strict=True):
            if reply is None:
                _set_exception(future, _claims_refused_error())
            elif not future.done():
                future.set_result(reply)


def _claims_refused_error() -> errors.NotReadyError:
    return errors.NotReadyError(
        'claims are refused: the entry holds no lease or the claim table '
        'is full',
        'Answer the callers with not-run.',
    )


def _set_exception(
    future: asyncio.Future[claims.ClaimBatchReply], error: Exception
) -> None:
    if not future.done():
        future.set_exception(error)


def _body_bytes(batch: claims.ClaimBatch) -> int:
    return sum(
        len(outcome.answer.body)
        for outcome in batch.outcomes
        if outcome.answer is not None and outcome.answer.body is not None
    )
